// Package screener rejects bytes that are no final HTTP/1 response. HTTP clients interpret
// some of them as one: fasthttp takes the status 000 for 200, accepts any major version and
// any other status of three digits, blanks in the name of a field, and a line feed alone as
// the end of a header whose lines end with CRLF.
package screener

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"

	"github.com/valyala/fasthttp"
)

// ErrNotFinal means that the bytes in place of a response are not a final one. Whether the
// request has run is unknown.
var ErrNotFinal = errors.New("not a final HTTP response")

// errInterim means that no final response follows interim ones.
var errInterim = fmt.Errorf("%w: %d interim responses", ErrNotFinal, maxInterim)

const (
	// statusLineBytes is the length of the part of a status line up to the byte behind the
	// status: "HTTP/1.1 200 ".
	statusLineBytes = 13
	// minorVersion is the index of the minor version in a status line.
	minorVersion = 7
	// maxInterim limits the interim responses before a final one.
	maxInterim = 100
	// Interim responses have a status from minInterim on, final ones from minFinal to
	// maxFinal, as RFC 9110 section 15 defines them.
	minInterim         = 100
	minFinal, maxFinal = 200, 599
)

// Await reads interim responses from r and returns nil once the header of a final one is
// buffered, of which it reads nothing. Its errors match ErrNotFinal unless reading fails. The
// buffer of r must hold a whole header.
func Await(r *bufio.Reader) error {
	for range maxInterim {
		var s scanner
		if err := s.peek(r); err != nil {
			return err
		}
		if !s.interim {
			return nil
		}
		var h fasthttp.ResponseHeader
		if err := h.Read(r); err != nil {
			return err
		}
	}
	return errInterim
}

// isInterim checks the first bytes of a status line. It reports whether the response is
// followed by another one.
func isInterim(line []byte) (bool, error) {
	status, ok := parseStatus(line)
	switch {
	case ok && status >= minFinal && status <= maxFinal:
		return false, nil
	case ok && status >= minInterim && status < minFinal && status != fasthttp.StatusSwitchingProtocols:
		return true, nil
	}
	return false, fmt.Errorf("%w: %q", ErrNotFinal, string(line))
}

// parseStatus returns the status in the first bytes of a status line. It reports whether
// they have the form of one.
func parseStatus(line []byte) (status int, ok bool) {
	const digit = 'd'
	for i, want := range []byte("HTTP/1.d ddd") {
		isDigit := line[i] >= '0' && line[i] <= '9'
		if want == digit && !isDigit || want != digit && line[i] != want {
			return 0, false
		}
	}
	if end := line[statusLineBytes-1]; end != ' ' && end != '\r' && end != '\n' {
		return 0, false
	}
	status, err := strconv.Atoi(string(line[statusLineBytes-4 : statusLineBytes-1]))
	return status, err == nil
}
