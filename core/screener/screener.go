// Package screener rejects bytes that are no final HTTP/1 response. HTTP clients interpret
// some of them as one: fasthttp takes the status 000 for 200 and accepts any major version
// and any other status of three digits.
package screener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
)

// ErrNotFinal means that the bytes in place of a response are not a final one. Whether the
// request has run is unknown.
var ErrNotFinal = errors.New("not a final HTTP response")

const (
	// statusLineBytes is the length of the part of a status line up to the byte behind the
	// status: "HTTP/1.1 200 ".
	statusLineBytes = 13
	// maxInterim limits the interim responses before a final one.
	maxInterim = 100
	// Interim responses have a status from minInterim on, final ones from minFinal to
	// maxFinal, as RFC 9110 section 15 defines them.
	minInterim         = 100
	minFinal, maxFinal = 200, 599
)

// Await reads interim responses from r and returns nil once the next one is final, of which
// it reads nothing. Its errors match ErrNotFinal unless reading fails. The buffer of r must
// hold the header of an interim response.
func Await(r *bufio.Reader) error {
	for range maxInterim {
		line, err := r.Peek(statusLineBytes)
		if err != nil {
			if err == io.EOF && len(line) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		interim, err := isInterim(line)
		if err != nil || !interim {
			return err
		}
		var h fasthttp.ResponseHeader
		if err := h.Read(r); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: more than %d interim responses", ErrNotFinal, maxInterim)
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
	return false, fmt.Errorf("%w: %q", ErrNotFinal, line)
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

// NewConn returns a connection to c for a client that parses responses by itself and sends
// the next request only after a response. Reading fails with ErrNotFinal where the response
// to the last request is not a final one.
func NewConn(c net.Conn) net.Conn { return &conn{Conn: c} }

// Dial opens a TCP connection like d and returns it as NewConn does.
func Dial(d net.Dialer, address string) (net.Conn, error) {
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

type conn struct {
	net.Conn
	scanner scanner
}

func (c *conn) Write(b []byte) (int, error) {
	c.scanner = scanner{}
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if serr := c.scanner.scan(b[:n]); serr != nil {
		return 0, serr
	}
	return n, err
}

// scanner looks for the status line of a final response in pieces of a stream.
type scanner struct {
	// line holds the first bytes of a status line, size is their number.
	line [statusLineBytes]byte
	size int
	// interim is the number of interim responses so far.
	interim int
	// inHeader is set behind the status of an interim response, lineEmpty while the
	// current line of its header has no bytes.
	inHeader, lineEmpty bool
	// found is set once a final response has begun.
	found bool
}

// scan examines the next bytes of the stream.
func (s *scanner) scan(b []byte) error {
	for _, c := range b {
		switch {
		case s.found:
			return nil
		case s.inHeader:
			s.skip(c)
		default:
			s.line[s.size] = c
			if s.size++; s.size < statusLineBytes {
				continue
			}
			interim, err := isInterim(s.line[:])
			if err != nil {
				return err
			}
			if s.interim++; interim && s.interim >= maxInterim {
				return fmt.Errorf("%w: %d interim responses", ErrNotFinal, maxInterim)
			}
			s.found, s.inHeader, s.lineEmpty = !interim, interim, c == '\n'
		}
	}
	return nil
}

// skip passes over a byte of the header of an interim response, which an empty line ends.
func (s *scanner) skip(c byte) {
	switch {
	case c == '\n' && s.lineEmpty:
		s.inHeader, s.size = false, 0
	case c == '\n':
		s.lineEmpty = true
	case c != '\r':
		s.lineEmpty = false
	}
}
