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
	retryTime   = 100 * time.Millisecond
	retrySpread = 400 * time.Millisecond
)

// answer writes the end of a request.
func (f *Forwarder) answer(c *call, res result) {
	r := c.req
	out := &c.ctx.Response
	switch {
	case res.x != nil:
		f.pass(c, &res)
	case res.kept:
		out.SetStatusCode(res.first.StatusCode)
		out.Header.SetContentType(res.first.ContentType)
		out.SetBody(res.first.Body)
	default:
		WriteOutcome(c.ctx, res.outcome, res.reason, f.now())
	}
	out.Header.Set(HeaderOutcome, res.outcome.String())
	out.Header.SetBytesV(HeaderID, r.ID)
	if r.Hop {
		f.setFree(c)
		return
	}
	if res.outcome == OutcomeRan && r.Service.RetryBudget != nil {
		r.Service.RetryBudget.Deposit()
	}
	if !out.IsBodyStream() {
		f.report(r, &res)
	}
}

// report counts an answered request, and time as its caller sees it.
func (f *Forwarder) report(r *Request, res *result) {
	f.metrics.ObserveRequest(r.Service.Name, res.outcome, res.reason, time.Duration(f.now()-r.Arrived))
}

// pass copies an answer to the caller's response.
func (f *Forwarder) pass(c *call, res *result) {
	x := res.x
	out := &c.ctx.Response
	x.header.CopyTo(&out.Header)
	clean(&out.Header)
	if x.whole {
		f.pace(res.link, c.req.Service, len(res.x.body), c.req.Deadline)
		if !c.head {
			out.SetBody(x.body)
		} else {
			out.SkipBody = true
			out.Header.SetContentLength(max(x.length, 0))
		}
		x.release()
		return
	}
	s := &stream{x: x, prefix: x.body, left: int64(x.length), link: res.link, service: c.req.Service, forwarder: f}
	end, service, arrived, hop, table := res.end, c.req.Service.Name, c.req.Arrived, c.req.Hop, c.req.Table
	s.end = func(whole bool) {
		end(whole)
		if !hop {
			table.ReleaseEntry()
			f.metrics.ObserveRequest(service, OutcomeRan, router.OK, time.Duration(f.now()-arrived))
		}
	}
	_ = c.ctx.SetWriteDeadline(time.Unix(0, c.req.Deadline))
	out.SetBodyStream(s, x.length)
}

// clean removes what concerns only the connection that an answer came on.
func clean(h *fasthttp.ResponseHeader) {
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
func (f *Forwarder) setFree(c *call) {
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
	at := now + int64(retryTime) + rand.Int64N(int64(retrySpread))
	out.Header.Set(fasthttp.HeaderRetryAfter, "1")
	out.Header.Set(HeaderRetry, strconv.FormatInt(at/millisec, 10))
	if o == OutcomeNotRun {
		out.SetStatusCode(fasthttp.StatusServiceUnavailable)
		out.SetBodyString("The request did not run.\n")
		return
	}
	out.SetStatusCode(fasthttp.StatusGatewayTimeout)
	out.SetBodyString("The request may have run.\n")
}

// refuseBody answers a request whose body cannot be used. Nothing was sent.
func (f *Forwarder) refuseBody(c *call, err error) {
	status := fasthttp.StatusBadRequest
	if errors.Is(err, errLarge) {
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
func hash(r *Request) uint64 {
	var b [16 + MaxIDLen]byte
	block := r.Block.As16()
	n := copy(b[:], block[:])
	n += copy(b[n:], r.ID)
	return xxhash.Sum64(b[:n])
}
