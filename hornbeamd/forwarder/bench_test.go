package forwarder_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serveFast starts a codec server and returns its address.
func serveFast(tb testing.TB, handler fasthttp.RequestHandler) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(tb).NoErr(err)
	s := &fasthttp.Server{Handler: handler, NoDefaultDate: true}
	go func() { _ = s.Serve(ln) }()
	tb.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// BenchmarkForward compares a request through an instance, through two
// instances, and through a forwarder that only copies.
func BenchmarkForward(b *testing.B) {
	up := serveFast(b, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV("Horn-Id", ctx.Request.Header.Peek("Horn-Id"))
		ctx.SetBodyString("the balance is 12.50")
	})
	ln := &upstream{ln: fixed(up)}
	one := service("lookup", false, ln)
	one.Targets[0].Gate.Set(1000, far)
	one.Targets[0].MaxConns = 1000
	n := newNode(b, "a", one)
	m := via(b, "lookup", false, n)
	hc := &fasthttp.HostClient{Addr: up, MaxConns: 1000, MaxIdleConnDuration: time.Minute}
	bare := serveFast(b, func(ctx *fasthttp.RequestCtx) {
		if hc.Do(&ctx.Request, &ctx.Response) != nil {
			ctx.SetStatusCode(502)
		}
	})
	for _, tt := range []struct{ name, addr string }{{"bare", bare}, {"one", n.front}, {"hop", m.front}} {
		b.Run(tt.name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) { load(b, pb, tt.addr) })
		})
	}
}

func load(b *testing.B, pb *testing.PB, addr string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Error(err)
		return
	}
	defer c.Close()
	br := bufio.NewReader(c)
	var h fasthttp.ResponseHeader
	for pb.Next() {
		if _, err = io.WriteString(c, "GET /s/lookup/1?m=2 HTTP/1.1\r\nHost: x\r\nHorn-Id: one\r\nAccept: */*\r\n\r\n"); err != nil {
			b.Error(err)
			return
		}
		if err = h.Read(br); err != nil || h.StatusCode() != 200 {
			b.Error(err, h.String())
			return
		}
		_, _ = br.Discard(h.ContentLength())
	}
}

// fixed is a listener of which only the address is used.
type fixed string

func (fixed) Accept() (net.Conn, error) { return nil, io.EOF }
func (fixed) Close() error              { return nil }
func (f fixed) Addr() net.Addr          { a, _ := net.ResolveTCPAddr("tcp", string(f)); return a }
