package forwarder

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/router"
)

const (
	// A refused request may be retried after minRetryDelay plus a random part of
	// retryJitter, so that callers don't retry in step.
	minRetryDelay = 100 * time.Millisecond
	retryJitter   = 400 * time.Millisecond
)

// writeResponse writes the final response of a request.
func (f *Forwarder) writeResponse(c *call, res result) {
	r := c.req
	out := &c.ctx.Response
	switch {
	case res.exchange != nil:
		f.copyResponse(c, &res)
	case res.replayed:
		out.SetStatusCode(res.recorded.StatusCode)
		out.Header.SetContentType(res.recorded.ContentType)
		out.SetBody(res.recorded.Body)
	default:
		WriteOutcome(c.ctx, res.outcome, res.reason, f.now())
	}
	out.Header.Set(HeaderOutcome, res.outcome.String())
	out.Header.SetBytesV(HeaderID, r.ID)
	if r.Hop {
		f.setFreeSlots(c)
		return
	}
	if res.outcome == OutcomeRan && r.Service.RetryBudget != nil {
		r.Service.RetryBudget.Deposit()
	}
	if !out.IsBodyStream() {
		f.observe(r, &res)
	}
}

// observe reports a finished request and its latency as the caller sees it.
func (f *Forwarder) observe(r *Request, res *result) {
	f.metrics.ObserveRequest(r.Service.Name, res.outcome, res.reason, time.Duration(f.now()-r.Arrived))
}

// copyResponse copies an upstream's or peer's response to the caller.
func (f *Forwarder) copyResponse(c *call, res *result) {
	x := res.exchange
	out := &c.ctx.Response
	x.header.CopyTo(&out.Header)
	removeHopByHop(&out.Header)
	if x.complete {
		f.throttle(res.link, c.req.Service, len(res.exchange.body), c.req.Deadline)
		if !c.isHead {
			out.SetBody(x.body)
		} else {
			out.SkipBody = true
			out.Header.SetContentLength(max(x.length, 0))
		}
		x.release()
		return
	}
	s := &responseStream{x: x, prefix: x.body, remaining: int64(x.length), link: res.link, service: c.req.Service, forwarder: f}
	onEnd, service, arrived, forwarded, table := res.onEnd, c.req.Service.Name, c.req.Arrived, c.req.Hop, c.req.Table
	s.onEnd = func(whole bool) {
		onEnd(whole)
		if !forwarded {
			table.ReleaseEntry()
			f.metrics.ObserveRequest(service, OutcomeRan, router.OK, time.Duration(f.now()-arrived))
		}
	}
	_ = c.ctx.SetWriteDeadline(time.Unix(0, c.req.Deadline))
	out.SetBodyStream(s, x.length)
}

// removeHopByHop removes the fields that concern only the connection on which
// a response arrived.
func removeHopByHop(h *fasthttp.ResponseHeader) {
	h.ResetConnectionClose()
	for _, k := range [...]string{
		fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTrailer,
		fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyConnection,
		HeaderReason, HeaderFree, HeaderRefused, HeaderState,
	} {
		h.Del(k)
	}
}

// setFreeSlots tells the forwarding instance how many slots of the service are
// free here.
func (f *Forwarder) setFreeSlots(c *call) {
	n, now := 0, f.now()
	targets := c.req.Service.Targets
	for i := range targets {
		n += targets[i].Gate.Free(now)
	}
	var b [20]byte
	c.ctx.Response.Header.SetBytesV(HeaderFree, strconv.AppendInt(b[:0], int64(n), 10))
}

// WriteOutcome writes a response that tells that a request did not run or that
// it may have run, and when to retry. A repeat of a request that may have run
// gets the outcome once that is known.
func WriteOutcome(ctx *fasthttp.RequestCtx, o Outcome, reason router.Reason, now int64) {
	out := &ctx.Response
	out.Reset()
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.Header.Set(HeaderOutcome, o.String())
	out.Header.Set(HeaderReason, string(reason))
	at := now + int64(minRetryDelay) + rand.Int64N(int64(retryJitter))
	out.Header.Set(fasthttp.HeaderRetryAfter, "1")
	out.Header.Set(HeaderRetry, strconv.FormatInt(at/nanosPerMilli, 10))
	if o == OutcomeNotRun {
		out.SetStatusCode(fasthttp.StatusServiceUnavailable)
		out.SetBodyString("The request did not run.\n")
		return
	}
	out.SetStatusCode(fasthttp.StatusGatewayTimeout)
	out.SetBodyString("The request may have run.\n")
}

// writeBodyError responds to a request whose body cannot be forwarded. Nothing
// was sent.
func (f *Forwarder) writeBodyError(c *call, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, errBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	WriteError(c.ctx, status, err.Error())
}

// WriteError responds to a bad request with one sentence of text. It returns a
// valid request id, so that an instance which forwarded the request knows that
// it did not run.
func WriteError(ctx *fasthttp.RequestCtx, status int, sentence string) {
	out := &ctx.Response
	out.Reset()
	out.SetStatusCode(status)
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.Header.Set(HeaderOutcome, OutcomeNotRun.String())
	if id := ctx.Request.Header.Peek(HeaderID); ValidateID(id) == nil {
		out.Header.SetBytesV(HeaderID, id)
	}
	out.SetBodyString(sentence + "\n")
}

// requestHash decides whether a request falls into the share of a shift. It is
// the same for all repeats of a request.
func requestHash(r *Request) uint64 {
	var b [16 + MaxIDLen]byte
	block := r.Block.As16()
	n := copy(b[:], block[:])
	n += copy(b[n:], r.ID)
	return xxhash.Sum64(b[:n])
}
