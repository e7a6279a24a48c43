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

var errBodyTooLarge = errors.New("the body is larger than the service allows, or too large to be sent without Content-Length")

var callPool = sync.Pool{New: func() any { return new(call) }}

func (f *Forwarder) acquireCall(ctx *fasthttp.RequestCtx, r *Request) *call {
	c := callPool.Get().(*call)
	base, body := c.commonHead[:0], c.body[:0]
	*c = call{forwarder: f, ctx: ctx, req: r, commonHead: base, body: body, isHead: ctx.IsHead()}
	c.routing = router.Request{
		Service:     r.Service,
		Region:      r.HomeRegion,
		EntryRegion: r.EntryRegion,
		Block:       r.Block,
		Hash:        requestHash(r),
		Deadline:    r.Deadline,
		Priority:    r.Priority,
		Forwarded:   r.Hop,
	}
	return c
}

// release returns the call to its pool. Nothing refers to it after Forward has
// returned.
func (c *call) release() {
	if cap(c.body) > 2*maxBufferedBody {
		return
	}
	c.ctx, c.req, c.stream = nil, nil, nil
	callPool.Put(c)
}

// readRequest builds the head that all tries share and buffers a small body. A
// body without Content-Length must be small, so that one that is too large is
// rejected before anything is sent.
func (c *call) readRequest() error {
	h := &c.ctx.Request.Header
	limit := c.req.Service.MaxBodyBytes
	length := int64(h.ContentLength())
	if length > limit {
		return errBodyTooLarge
	}
	body := c.ctx.RequestBodyStream()
	if body != nil {
		// A caller that stalls must not hold a slot.
		_ = c.ctx.SetReadDeadline(time.Unix(0, c.req.Deadline))
	}
	switch {
	case body == nil:
		c.body = append(c.body, c.ctx.Request.Body()...)
	case length > maxBufferedBody:
		c.stream, c.bodySize = body, length
	default:
		if err := c.readBody(body, length, min(limit, maxBufferedBody)); err != nil {
			return err
		}
	}
	if c.stream == nil {
		c.bodySize = int64(len(c.body))
	}
	if c.bodySize > limit {
		return errBodyTooLarge
	}
	c.buildHead(h)
	return nil
}

func (c *call) readBody(body io.Reader, length, limit int64) error {
	size := length
	if length < 0 {
		size = limit + 1
	}
	c.body = resize(c.body, int(size))
	n, err := io.ReadFull(body, c.body)
	c.body = c.body[:n]
	switch {
	case length >= 0 && err != nil:
		return errBodyTruncated
	case length < 0 && err == nil:
		return errBodyTooLarge
	case err != nil && err != io.EOF && err != io.ErrUnexpectedEOF:
		return errBodyTruncated
	}
	if length < 0 && err == io.ErrUnexpectedEOF {
		// ReadFull doesn't distinguish a short body from a truncated one.
		if _, err = body.Read(make([]byte, 1)); err != io.EOF {
			return errBodyTruncated
		}
	}
	return nil
}

func (c *call) buildHead(h *fasthttp.RequestHeader) {
	b := append(c.commonHead[:0], h.Method()...)
	b = append(b, ' ')
	b = append(b, h.RequestURI()...)
	b = append(b, " HTTP/1.1\r\n"...)
	connection := h.Peek(fasthttp.HeaderConnection)
	for k, v := range h.All() {
		if isDroppedField(k) || len(connection) > 0 && trimmer.IsConnectionOption(connection, k) {
			continue
		}
		b = trimmer.AppendField(b, k, v)
	}
	if c.bodySize > 0 || len(h.Peek(fasthttp.HeaderContentLength)) > 0 || h.IsPost() || h.IsPut() || h.IsPatch() {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, c.bodySize, 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, HeaderID+": "...)
	b = append(b, c.req.ID...)
	b = append(b, "\r\n"+HeaderDeadline+": "...)
	b = strconv.AppendInt(b, c.req.Deadline/nanosPerMilli, 10)
	c.commonHead = append(b, "\r\n"...)
}

// isDroppedField reports whether a header field of a caller's request is not
// forwarded.
func isDroppedField(k []byte) bool {
	if bytes.HasPrefix(k, []byte("Horn-")) {
		return true
	}
	return trimmer.IsHopByHop(k)
}

// bodyReader returns the streamed body, or nil if the body is buffered.
func (c *call) bodyReader() io.Reader {
	if c.stream == nil {
		return nil
	}
	return (*streamReader)(c)
}

// streamReader reads a body that is streamed.
type streamReader call

// Read reads from the caller and marks the body as one that can't be sent
// again.
func (s *streamReader) Read(p []byte) (int, error) {
	s.streamRead = true
	n, err := s.stream.Read(p)
	s.forwarder.throttle(s.link, s.req.Service, n, s.req.Deadline)
	return n, err
}

// callerGone reports whether the caller has closed its connection. A
// once-request goes on, so that a repeat can get its response.
func (c *call) callerGone() bool {
	return c.ctx != nil && !c.req.Service.AtMostOnce && pooler.PeerClosed(c.ctx.Conn())
}

// appendUpstreamRequest appends the request as it is sent to an upstream.
func (c *call) appendUpstreamRequest(b []byte) []byte {
	b = append(b, c.commonHead...)
	b = append(b, "\r\n"...)
	return append(b, c.body...)
}

// appendPeerRequest appends the request as it is sent to another instance.
func (c *call) appendPeerRequest(b []byte) []byte {
	r := c.req
	b = append(b, c.commonHead...)
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
