package relayer

import (
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
)

// outcome is how a request or one of its exchanges ended, for answer and log.
type outcome struct {
	// word names it in the log.
	label    string
	upstream string
	// domain is the upstream's failure domain.
	domain     string
	status     int
	retryAfter time.Duration
	expected   time.Duration
	wait       time.Duration
	// load and report are the estimated load of the upstream and the age of its
	// report.
	load      float64
	reportAge time.Duration
	// known tells that this instance had sent the request's key to the upstream
	// before.
	keyKnown bool
	cause    string
}

// fields are the parts of an outcome for the log, with times in milliseconds.
func (o *outcome) logFields() []any {
	return []any{
		"outcome", o.label, "upstream", o.upstream, "domain", o.domain,
		"expected", o.expected.Milliseconds(), "wait", o.wait.Milliseconds(),
		"load", int(o.load), "report", o.reportAge.Milliseconds(), "cause", o.cause,
	}
}

// giveUp ends a request that is not sent any further. Only one that has not run
// may be refused as such. A failure that an upstream has given is passed on.
func (c *call) giveUp(o outcome) {
	if c.last.upstream != "" && o.upstream == "" {
		o.upstream, o.cause = c.last.upstream, c.last.label+" "+c.last.cause
	}
	switch {
	case c.runs == 0:
		c.refuse(o)
	case c.holdsFailure:
		o.status = c.ctx.Response.StatusCode()
		c.last = o
	case o.status != 0:
		c.fail(o.status, o)
	default:
		c.fail(fasthttp.StatusBadGateway, o)
	}
}

// pass copies an answer to the caller's response.
func (c *call) copyResponse(x *exchange) {
	out := &c.ctx.Response
	out.Reset()
	x.response.Header.CopyTo(&out.Header)
	out.Header.ResetConnectionClose()
	for _, k := range [...]string{
		fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTrailer,
		fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyConnection,
	} {
		out.Header.Del(k)
	}
	c.last.status = out.StatusCode()
	if c.isHead {
		out.SkipBody = true
	} else {
		out.SetBodyRaw(x.body.data)
		if caller, ok := c.ctx.Conn().(*conn); ok {
			caller.addHeld(x.body.reserved)
		} else {
			x.body.byteBudget.release(x.body.reserved)
		}
		x.body = body{}
	}
	switch c.last.status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout:
		// These would promise that the request has not run.
		out.SetStatusCode(fasthttp.StatusBadGateway)
		c.codec.RemoveSignature(&out.Header)
		out.Header.Del(fasthttp.HeaderRetryAfter)
	}
}

// refuse answers that the request has not run and when to come back.
func (c *call) refuse(o outcome) {
	out := &c.ctx.Response
	out.Reset()
	out.SetStatusCode(fasthttp.StatusServiceUnavailable)
	retryAt := max(o.retryAfter, minRetryAfter)
	out.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAt.Seconds(), 'f', 3, 64))
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.SetBodyString("The request has not run: " + o.label + ".\n")
	o.status = fasthttp.StatusServiceUnavailable
	c.last = o
}

// minRetry is the least time after which a refused request may come back.
const minRetryAfter = 50 * time.Millisecond

// fail ends a request that may have run, or one that can't be served at all.
func (c *call) fail(status int, o outcome) {
	out := &c.ctx.Response
	out.Reset()
	out.SetStatusCode(status)
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.SetBodyString(fasthttp.StatusMessage(status) + ": " + o.label + ".\n")
	o.status = status
	c.last = o
}

// finish counts and logs the end of a request.
func (r *Relayer) finish(c *call) {
	c.releaseNext(r.cfg.Now())
	took := time.Duration(r.cfg.Now() - c.start)
	route, aim, version := "", time.Duration(0), uint64(0)
	if c.route != nil {
		route, aim = c.route.Name, c.route.Aim
	}
	if c.table.HasConfig() {
		version = c.table.View.Config.Version
	}
	status := c.ctx.Response.StatusCode()
	r.cfg.Metrics.RequestDone(route, c.last.label, took)
	r.cfg.Log.V(verbosity(status)).Info("request", append(c.last.logFields(),
		"id", string(c.id), "route", route, "aim", aim.Milliseconds(), "known", c.last.keyKnown, "key", string(c.affinityKey), "version", version,
		"status", status, "sends", c.sends, "runs", c.runs, "took", took.Milliseconds())...)
}

// dropNext gives back the place of an exchange that was chosen but not begun,
// because the request ended before.
func (c *call) releaseNext(now int64) {
	if c.nextDecision == nil {
		return
	}
	c.nextDecision.Done(&c.req, dispatcher.Canceled, 0, now)
	c.recordDelivery(false)
	c.nextDecision = nil
}

// verbosity ranks log lines: failures come before successes.
func verbosity(status int) int {
	if status >= 300 {
		return 0
	}
	return 1
}

// malformed answers what the codec could not read.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetBodyString(fasthttp.StatusMessage(status) + ".\n")
}
