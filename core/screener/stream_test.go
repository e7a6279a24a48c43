package screener

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endingConn is a connection whose peer has sent text. Its writes block until their
// deadline is changed and then fail with err.
type endingConn struct {
	net.Conn
	io.Reader
	err         error
	interrupted chan struct{}
	once        sync.Once
}

func newEndingConn(text string, err error) *endingConn {
	return &endingConn{Reader: strings.NewReader(text), err: err, interrupted: make(chan struct{})}
}

func (c *endingConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }

func (c *endingConn) Write([]byte) (int, error) {
	<-c.interrupted
	return 0, c.err
}

func (c *endingConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.interrupted) })
	return nil
}

func ExampleStream() {
	c := newEndingConn("HTTP/1.1 200 OK\r\n\r\npart", &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET})
	_ = c.SetWriteDeadline(time.Time{})
	s := NewStream(c)
	_, _ = s.Write([]byte("upload"))
	data, err := io.ReadAll(s)
	fmt.Println(len(data), err)
	// Output: 23 write tcp: connection reset by peer
}

// TestStreamEnd reads to the end of a connection while a write is in progress, which has
// the given error.
func TestStreamEnd(t *testing.T) {
	for _, c := range []struct {
		err  error
		lost bool
	}{
		{syscall.ECONNRESET, true},
		{syscall.ETIMEDOUT, true},
		{syscall.EHOSTUNREACH, true},
		{nil, false},
		{syscall.EPIPE, false}, // a reset that follows the end
		{os.ErrDeadlineExceeded, false},
		{net.ErrClosed, false},
	} {
		for name, write := range map[string]func(*Stream) error{
			"one":     func(s *Stream) error { _, err := s.Write(make([]byte, 1)); return err },
			"buffers": func(s *Stream) error { _, err := s.WriteBuffers(&net.Buffers{make([]byte, 1)}); return err },
		} {
			t.Run(fmt.Sprint(name, " ", c.err), func(t *testing.T) {
				is := is.New(t)
				s := NewStream(newEndingConn("part", c.err))
				written := make(chan error, 1)
				go func() { written <- write(s) }()
				for s.mu.TryLock() {
					s.mu.Unlock() // the write has not begun
					time.Sleep(time.Millisecond)
				}
				data, err := io.ReadAll(s)
				is.Equal(string(data), "part")
				is.Equal(errors.Is(err, c.err), c.lost || c.err == nil)
				is.Equal(err != nil, c.lost)
				is.Equal(<-written, c.err)
			})
		}
	}
}

// TestStreamKeepsFirstError has a later write that reports another error.
func TestStreamKeepsFirstError(t *testing.T) {
	is := is.New(t)
	c := newEndingConn("", syscall.ECONNRESET)
	_ = c.SetWriteDeadline(time.Time{})
	s := NewStream(c)
	_, _ = s.Write(nil)
	c.err = syscall.EPIPE
	_, _ = s.Write(nil)
	_, err := s.Read(make([]byte, 1))
	is.Equal(err, syscall.ECONNRESET)
}
