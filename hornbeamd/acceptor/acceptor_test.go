package acceptor

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// failingListener fails to accept with the given errors in turn.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	c, _ := net.Pipe()
	return c, nil
}

// TestAcceptSurvivesShortage guards against a server that ends, or accepts nothing any more,
// once the descriptors have been used up.
func TestAcceptSurvivesShortage(t *testing.T) {
	is := is.New(t)
	shortages := 0
	ln := &failingListener{errs: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE, nil, net.ErrClosed}}
	c, err := Accept(ln, func(error) { shortages++ })
	is.NoErr(err)
	is.True(c != nil)
	is.Equal(shortages, 3)
	_, err = Accept(ln, nil)
	is.True(errors.Is(err, net.ErrClosed))
}

// TestListenerClosesTheQuietest opens more connections than allowed.
func TestListenerClosesTheQuietest(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = inner.Close() }()
	ln := &Listener{Listener: inner, Max: 2}
	open := func() (caller, server net.Conn) {
		caller, err := net.Dial("tcp", inner.Addr().String())
		is.NoErr(err)
		server, err = ln.Accept()
		is.NoErr(err)
		return caller, server
	}
	first, firstServer := open()
	second, _ := open()
	_, err = first.Write([]byte("x"))
	is.NoErr(err)
	_, err = firstServer.Read(make([]byte, 1))
	is.NoErr(err)
	_, third := open()
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // closed
	_, err = firstServer.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(third.Close())
	is.Equal(ln.conns.Len(), 1)
}
