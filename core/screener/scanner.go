package screener

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
)

// state is the part of a header that a scanner expects next.
type state uint8

const (
	// inStatus is the part of a status line up to statusLineBytes.
	inStatus state = iota
	inReason
	lineStart
	inName
	inValue
	// lineEnd is behind the CR of the line that ends a header.
	lineEnd
	ended
)

// scanner examines the header of a response in pieces. The zero value expects a status line.
type scanner struct {
	state state
	// line holds the first bytes of the status line, size is their number.
	line [statusLineBytes]byte
	size int
	// interim reports whether the response is followed by another one.
	interim bool
	// afterCR reports whether the last byte of a reason phrase or a value was a CR.
	afterCR bool
	// lastCRLF reports whether the last line ended with CRLF, anyCRLF whether any line has.
	lastCRLF, anyCRLF bool
	// hasField reports whether the header has a field, to which a line that begins with
	// a blank belongs.
	hasField bool
	// name holds the first bytes of the current name, nameSize is the name's length.
	name     [len(transferEncoding)]byte
	nameSize int
}

// transferEncoding is the field that HTTP/1.1 has introduced.
const transferEncoding = "Transfer-Encoding"

// scan examines the next bytes up to the end of the header and returns their number. Its
// errors match ErrNotFinal.
func (s *scanner) scan(b []byte) (n int, err error) {
	for n < len(b) && s.state != ended && err == nil {
		switch {
		case s.state == inStatus:
			copied := copy(s.line[s.size:], b[n:])
			n, s.size = n+copied, s.size+copied
			err = s.checkStatus()
		case s.state == inValue:
			n += s.skipLine(b[n:])
		case s.state == lineStart && tokenBytes[b[n]]:
			s.state, s.nameSize = inName, 0
		case s.state == inName:
			n += s.scanName(b[n:])
			if n < len(b) {
				err = s.endName(b[n])
				n++
			}
		default:
			err = s.step(b[n])
			n++
		}
	}
	return n, err
}

// checkStatus checks the first bytes of the status line if there are enough.
func (s *scanner) checkStatus() (err error) {
	if s.size < statusLineBytes {
		return nil
	}
	if s.interim, err = isInterim(s.line[:]); err != nil {
		return err
	}
	s.state = inReason
	switch s.line[statusLineBytes-1] {
	case '\r':
		s.afterCR = true
	case '\n':
		s.endLine()
	}
	return nil
}

// scanName passes over the bytes of a name and returns their number.
func (s *scanner) scanName(b []byte) (n int) {
	for n < len(b) && tokenBytes[b[n]] {
		n++
	}
	if s.nameSize < len(s.name) {
		copy(s.name[s.nameSize:], b[:n])
	}
	s.nameSize += n
	return n
}

// endName examines the byte behind a name. A response of another version than HTTP/1.1 that
// has a transfer coding has faulty framing, by RFC 9112 section 6.1.
func (s *scanner) endName(c byte) error {
	switch {
	case c != ':':
		return nameError(c)
	case s.line[minorVersion] != '1' && s.nameSize == len(s.name) && strings.EqualFold(string(s.name[:]), transferEncoding):
		return fmt.Errorf("%w: transfer coding in %s", ErrNotFinal, string(s.line[:minorVersion+1]))
	}
	s.state, s.hasField = inValue, true
	return nil
}

func nameError(c byte) error {
	return fmt.Errorf("%w: byte %q in the name of a field", ErrNotFinal, c)
}

// step examines a byte of a reason phrase or one between lines. The empty line that ends a
// header has the same end as the line before it, and an LF alone only if no line has CRLF:
// otherwise a line feed in a field would end the header there.
func (s *scanner) step(c byte) error {
	switch {
	case s.state == inReason:
		return s.stepReason(c)
	case s.state == lineStart && s.hasField && (c == ' ' || c == '\t'):
		s.state = inValue // obsolete line folding
	case s.state == lineStart && c == '\r' && s.lastCRLF:
		s.state = lineEnd
	case s.state == lineEnd && c == '\n', s.state == lineStart && c == '\n' && !s.anyCRLF:
		s.state = ended
	default:
		return nameError(c)
	}
	return nil
}

// stepReason examines a byte of a reason phrase.
func (s *scanner) stepReason(c byte) error {
	switch {
	case c == '\n':
		s.endLine()
	case s.afterCR, c < ' ' && c != '\t' && c != '\r', c == 0x7f:
		return fmt.Errorf("%w: control character in the reason phrase", ErrNotFinal)
	default:
		s.afterCR = c == '\r'
	}
	return nil
}

// peek waits until r has buffered the whole header and examines it.
func (s *scanner) peek(r *bufio.Reader) error {
	for n := 0; s.state != ended; {
		_, err := r.Peek(n + 1)
		b, _ := r.Peek(r.Buffered())
		if len(b) == n {
			switch {
			case err == io.EOF && n > 0:
				return io.ErrUnexpectedEOF
			case err == bufio.ErrBufferFull:
				return fmt.Errorf("%w: header of more than %d bytes", ErrNotFinal, n)
			}
			return err
		}
		scanned, err := s.scan(b[n:])
		if err != nil {
			return err
		}
		n += scanned
	}
	return nil
}

// skipLine passes over the rest of a value's line and returns how many bytes of b belong to it.
func (s *scanner) skipLine(b []byte) int {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		s.afterCR = b[len(b)-1] == '\r'
		return len(b)
	}
	if i > 0 {
		s.afterCR = b[i-1] == '\r'
	}
	s.endLine()
	return i + 1
}

// endLine is called at the LF of a line.
func (s *scanner) endLine() {
	s.lastCRLF, s.anyCRLF = s.afterCR, s.anyCRLF || s.afterCR
	s.state, s.afterCR = lineStart, false
}

// tokenBytes has the bytes of which the name of a field consists, by RFC 9110 section 5.6.2.
var tokenBytes = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		t[c] = true
	}
	return t
}()
