package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/router"

	"hornbeamstream.example/hornbeamd/pooler"
	"hornbeamstream.example/hornbeamd/trimmer"
)

var errLarge = errors.New("the body is larger than the service allows, or too large to be sent without Content-Length")

var calls = sync.Pool{New: func() any { return new(call) }}

func (f *Forwarder) acquireCall(ctx *fasthttp.RequestCtx, r *Request) *call {
	c := calls.Get().(*call)
	base, body := c.base[:0], c.body[:0]
	*c = call{forwarder: f, ctx: ctx, req: r, base: base, body: body, head: ctx.IsHead()}
	c.q = router.Request{
		Service:     r.Service,
		Region:      r.HomeRegion,
		EntryRegion: r.EntryRegion,
		Block:       r.Block,
		Hash:        hash(r),
		Deadline:    r.Deadline,
		Priority:    r.Priority,
		Forwarded:   r.Hop,
	}
	return c
}

// release gives the call back. Nothing refers to it after Forward has returned.
func (c *call) release() {
	if cap(c.body) > 2*keepSize {
		return
	}
	c.ctx, c.req, c.stream = nil, nil, nil
	calls.Put(c)
}

// load builds the head that all tries share and reads a small body. A body
// without Content-Length must be small, so that one which is too large is
// refused before anything is sent.
func (c *call) load() error {
	h := &c.ctx.Request.Header
	limit := c.req.Service.MaxBodyBytes
	length := int64(h.ContentLength())
	if length > limit {
		return errLarge
	}
	body := c.ctx.RequestBodyStream()
	if body != nil {
		// A caller that stalls must not keep a slot.
		_ = c.ctx.SetReadDeadline(time.Unix(0, c.req.Deadline))
	}
	switch {
	case body == nil:
		c.body = append(c.body, c.ctx.Request.Body()...)
	case length > keepSize:
		c.stream, c.size = body, length
	default:
		if err := c.loadBody(body, length, min(limit, keepSize)); err != nil {
			return err
		}
	}
	if c.stream == nil {
		c.size = int64(len(c.body))
	}
	if c.size > limit {
		return errLarge
	}
	c.loadHead(h)
	return nil
}

func (c *call) loadBody(body io.Reader, length, limit int64) error {
	want := length
	if length < 0 {
		want = limit + 1
	}
	c.body = grown(c.body, int(want))
	n, err := io.ReadFull(body, c.body)
	c.body = c.body[:n]
	switch {
	case length >= 0 && err != nil:
		return errCut
	case length < 0 && err == nil:
		return errLarge
	case err != nil && err != io.EOF && err != io.ErrUnexpectedEOF:
		return errCut
	}
	if length < 0 && err == io.ErrUnexpectedEOF {
		// ReadFull reports a short body and a cut one alike.
		if _, err = body.Read(make([]byte, 1)); err != io.EOF {
			return errCut
		}
	}
	return nil
}

func (c *call) loadHead(h *fasthttp.RequestHeader) {
	b := append(c.base[:0], h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	named := h.Peek(fasthttp.HeaderConnection)
	for k, v := range h.All() {
		if skipped(k) || len(named) > 0 && trimmer.IsConnectionOption(named, k) {
			continue
		}
		b = trimmer.AppendField(b, k, v)
	}
	if c.size > 0 || len(h.Peek(fasthttp.HeaderContentLength)) > 0 || h.IsPost() || h.IsPut() || h.IsPatch() {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, c.size, 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, HeaderID+": "...)
	b = append(b, c.req.ID...)
	b = append(b, "\r\n"+HeaderDeadline+": "...)
	b = strconv.AppendInt(b, c.req.Deadline/millisec, 10)
	c.base = append(b, "\r\n"...)
}

// skipped tells whether a field of a caller's request is not passed on.
func skipped(k []byte) bool {
	if bytes.HasPrefix(k, []byte("Horn-")) {
		return true
	}
	return trimmer.IsHopByHop(k)
}

// reader returns the body that follows the head, and notes that it is spent.
func (c *call) reader() io.Reader {
	if c.stream == nil {
		return nil
	}
	return (*spender)(c)
}

// spender reads a large body.
type spender call

// Read notes that the body cannot be sent again.
func (s *spender) Read(p []byte) (int, error) {
	s.spent = true
	n, err := s.stream.Read(p)
	s.forwarder.pace(s.link, s.req.Service, n, s.req.Deadline)
	return n, err
}

// gone tells whether the caller has closed its connection. A once-request goes
// on, so that a repeat can get its answer.
func (c *call) gone() bool {
	return c.ctx != nil && !c.req.Service.AtMostOnce && pooler.PeerClosed(c.ctx.Conn())
}

// appendUpstream builds the request for an upstream.
func (c *call) appendUpstream(b []byte) []byte {
	b = append(b, c.base...)
	b = append(b, "\r\n"...)
	return append(b, c.body...)
}

// appendHop builds the request for another instance.
func (c *call) appendHop(b []byte) []byte {
	r := c.req
	b = append(b, c.base...)
	b = append(b, HeaderHop+": "...)
	b = strconv.AppendUint(b, r.Table.Version, 10)
	b = append(b, "\r\n"+HeaderAttempt+": "...)
	b = strconv.AppendInt(b, int64(r.Attempt), 10)
	b = append(b, "\r\n"+HeaderPriority+": "...)
	b = strconv.AppendInt(b, int64(r.Priority), 10)
	b = append(b, "\r\n"+HeaderEntry+": "...)
	b = append(b, r.Table.Region...)
	if r.Block.IsValid() {
		b = append(b, "\r\n"+HeaderBlock+": "...)
		b = r.Block.AppendTo(b)
	}
	b = append(b, "\r\n\r\n"...)
	return append(b, c.body...)
}
