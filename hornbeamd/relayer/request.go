package relayer

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/hornbeamd/trimmer"
)

// encodedHeader returns the request's header in wire format for an upstream.
func (c *call) encodedHeader(upstream string, remaining time.Duration) []byte {
	var h fasthttp.RequestHeader
	in := &c.ctx.Request.Header
	h.SetNoDefaultContentType(true)
	c.codec.WriteRequest(&h, upstream, c.workspaceName(), remaining)
	private := c.table.HasWorkspaces()
	b := make([]byte, 0, 512)
	b = append(b, in.Method()...)
	b = append(b, ' ')
	b = append(b, in.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	connection := in.Peek(fasthttp.HeaderConnection)
	for k, v := range in.All() {
		if trimmer.IsHopByHop(k) || len(connection) > 0 && trimmer.IsConnectionOption(connection, k) || len(h.PeekBytes(k)) > 0 || private && c.codec.IsIdentity(k) {
			continue
		}
		b = trimmer.AppendField(b, k, v)
	}
	for k, v := range h.All() {
		b = trimmer.AppendField(b, k, v)
	}
	if c.body.size > 0 || len(in.Peek(fasthttp.HeaderContentLength)) > 0 || in.IsPost() || in.IsPut() || in.IsPatch() {
		b = trimmer.AppendField(b, []byte(fasthttp.HeaderContentLength), strconv.AppendInt(nil, int64(c.body.size), 10))
	}
	return append(b, "\r\n"...)
}

// host returns the host of a request in lower case, without the port.
func host(ctx *fasthttp.RequestCtx) string {
	h := string(ctx.Request.Header.Host())
	if i := strings.LastIndexByte(h, ':'); i >= 0 {
		h = h[:i]
	}
	return strings.ToLower(h)
}

// path returns the path of a request as the caller sent it, without the query.
func path(ctx *fasthttp.RequestCtx) string {
	p := string(ctx.Request.Header.RequestURI())
	if i := strings.IndexByte(p, '?'); i >= 0 {
		p = p[:i]
	}
	return p
}
