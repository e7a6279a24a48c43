package screener

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Stream is a connection whose reader can distinguish a reset from the end of the stream. The
// kernel reports the error of a connection once, to a read or to a write. If a write gets it,
// the next read returns io.EOF, and a response without a length would seem complete.
type Stream struct {
	net.Conn

	mu sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
}

// NewStream returns a stream on c. At the end of the stream it sets the write deadline of c.
func NewStream(c net.Conn) *Stream { return &Stream{Conn: c} }

// Write implements net.Conn.
func (s *Stream) Write(b []byte) (n int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err = s.Conn.Write(b)
	s.recordLocked(err)
	return n, err
}

// WriteBuffers writes and consumes b, with one system call where that is possible.
func (s *Stream) WriteBuffers(b *net.Buffers) (n int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err = b.WriteTo(s.Conn)
	s.recordLocked(err)
	return n, err
}

// recordLocked keeps the first error of a write. The caller must hold s.mu.
func (s *Stream) recordLocked(err error) {
	if s.writeErr == nil {
		s.writeErr = err
	}
}

// Read implements net.Conn. It returns io.EOF only where the peer has ended the stream, and
// then interrupts a write in progress.
func (s *Stream) Read(b []byte) (n int, err error) {
	n, err = s.Conn.Read(b)
	if err == io.EOF {
		if lost := s.lossError(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// lossError returns the error by which the connection was lost, if a write got it.
func (s *Stream) lossError() error {
	// A blocked write has got no error, and must not delay the reader.
	_ = s.Conn.SetWriteDeadline(time.Unix(1, 0))
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, harmless := range []error{
		syscall.EPIPE, // the peer ended the stream before it reset the connection
		os.ErrDeadlineExceeded,
		net.ErrClosed,
	} {
		if errors.Is(s.writeErr, harmless) {
			return nil
		}
	}
	return s.writeErr
}
