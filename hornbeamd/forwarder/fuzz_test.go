package forwarder

import (
	"bytes"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"testing"
	"time"

	"hornbeamstream.example/hornbeamd/pooler"
)

// scriptedConn is a connection that returns a given response.
type scriptedConn struct {
	net.Conn
	io.Reader
}

func (s *scriptedConn) Read(p []byte) (int, error)     { return s.Reader.Read(p) }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }
func (*scriptedConn) SetDeadline(time.Time) error      { return nil }
func (*scriptedConn) Close() error                     { return nil }

// FuzzReceive guards against accepting a truncated response, or one of another
// request.
func FuzzReceive(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nHorn-Id: a\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nHorn-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n")
	f.Add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\nHorn-Id: a\r\n\r\nx")
	f.Add("HTTP/1.1 200 OK\r\nHorn-Id: a\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		now := func() int64 { return 1 }
		p := newConnPool(poolKey{}, new(quantile), now)
		p.open = 1
		x := acquireExchange()
		x.pool, x.conn, x.deadline = p, pooler.NewConn(&scriptedConn{Reader: strings.NewReader(text)}, 1), maxUnixNano
		if x.receive([]byte("a"), false) != nil {
			x.closeConn()
			x.release()
			return
		}
		if !bytes.Contains([]byte(text), []byte(":")) || string(x.header.Peek(HeaderID)) != "a" {
			t.Fatal("accepted a response without the request's id")
		}
		if x.complete && x.chunkedBody == nil && x.length > 0 && len(x.body) != x.length {
			t.Fatalf("got %d body bytes, want %d", len(x.body), x.length)
		}
		if x.complete && x.chunkedBody != nil && !hasChunkedSuffix(text) {
			t.Fatal("accepted a response without its last chunk")
		}
		if x.complete {
			x.releaseConn()
		} else {
			x.closeConn()
		}
		x.release()
	})
}

// hasChunkedSuffix reports whether some suffix of a text is a complete chunked
// body.
func hasChunkedSuffix(text string) bool {
	for i := range len(text) {
		if _, err := io.ReadAll(httputil.NewChunkedReader(strings.NewReader(text[i:]))); err == nil {
			return true
		}
	}
	return false
}
