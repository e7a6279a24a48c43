package pooler

import (
	"errors"
	"io"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// TestDiscardDropsUnsentBytes guards against an abandoned request that reaches its
// upstream after the end of a network partition, when the upstream may have left: the
// kernel drops the bytes that it has not delivered only if the connection is reset.
func TestDiscardDropsUnsentBytes(t *testing.T) {
	is := is.New(t)
	address, conns := listen(t)
	p := &Pool{Address: address}
	c, _, err := p.Get(0, 1, farDeadline, 4)
	is.NoErr(err)
	_, err = io.WriteString(c, "request")
	is.NoErr(err)
	server := <-conns
	_, err = io.ReadFull(server, make([]byte, len("request")))
	is.NoErr(err)
	p.Discard(c)
	_, err = server.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET)) // not a regular end of the connection
}
