package detector

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestConnLimitIsNoCrash guards against taking an upstream at its limit of connections,
// which resets new ones, for one that has ended.
func TestConnLimitIsNoCrash(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	is.True(!hasEnded(ln.Addr().String()))
	is.NoErr(ln.Close())
	is.True(hasEnded(ln.Addr().String()))
}

// TestListenerOutlastsUpstream guards against missing the end of an upstream whose listener
// accepts connections for a moment after the upstream has closed its own.
func TestListenerOutlastsUpstream(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		// The upstream has ended. Its listener follows.
		time.AfterFunc(dialPause/2, func() { _ = ln.Close() })
		for err == nil {
			_ = c.Close()
			c, err = ln.Accept()
		}
	}()
	is.True(hasEnded(ln.Addr().String()))
}
