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
	// retryTime and retrySpread give the time after which a refused request may
	// come again, spread so that callers do not return together.
	minRetryDelay = 100 * time.Millisecond
	retryJitter   = 400 * time.Millisecond
)

// answer writes the end of a request.
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
	if res.outcome == OutcomeRan && r.Service.Retries != nil {
		r.Service.Retries.Success()
	}
	if !out.IsBodyStream() {
		f.observe(r, &res)
	}
}

// report counts an answered request, and time as its caller sees it.
func (f *Forwarder) observe(r *Request, res *result) {
	f.metrics.ObserveRequest(r.Service.Name, res.outcome, res.reason, time.Duration(f.now()-r.Arrived))
}

// pass copies an answer to the caller's response.
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
	end, service, arrived, hop, table := res.onEnd, c.req.Service.Name, c.req.Arrived, c.req.Hop, c.req.Table
	s.onEnd = func(whole bool) {
		end(whole)
		if !hop {
			table.Exit()
			f.metrics.ObserveRequest(service, OutcomeRan, router.Placed, time.Duration(f.now()-arrived))
		}
	}
	_ = c.ctx.SetWriteDeadline(time.Unix(0, c.req.Deadline))
	out.SetBodyStream(s, x.length)
}

// clean removes what concerns only the connection that an answer came on.
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

// setFree tells the origin how many slots of the service are free here.
func (f *Forwarder) setFreeSlots(c *call) {
	n, now := 0, f.now()
	targets := c.req.Service.Targets
	for i := range targets {
		n += targets[i].Gate.Free(now)
	}
	var b [20]byte
	c.ctx.Response.Header.SetBytesV(HeaderFree, strconv.AppendInt(b[:0], int64(n), 10))
}

// Refuse answers that a request did not run, with the time at which to retry,
// or that it may have run. A repeat of the latter gets the outcome once it is
// known.
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

// refuseBody answers a request whose body cannot be used. Nothing was sent.
func (f *Forwarder) writeBodyError(c *call, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, errBodyTooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	WriteError(c.ctx, status, err.Error())
}

// Reject answers a bad request with one sentence. It repeats a valid id, so that
// an instance which forwarded the request knows that it did not run.
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

// hash places a request on the share of a shift, alike for all its repeats.
func requestHash(r *Request) uint64 {
	var b [16 + MaxIDLen]byte
	block := r.Block.As16()
	n := copy(b[:], block[:])
	n += copy(b[n:], r.ID)
	return xxhash.Sum64(b[:n])
}
