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
	word     string
	upstream string
	// domain is the upstream's failure domain.
	domain   string
	status   int
	retryAt  time.Duration
	expected time.Duration
	wait     time.Duration
	// load and report are the estimated load of the upstream and the age of its
	// report.
	load   float64
	report time.Duration
	// known tells that this instance had sent the request's key to the upstream
	// before.
	known bool
	cause string
}

// fields are the parts of an outcome for the log, with times in milliseconds.
func (o *outcome) fields() []any {
	return []any{
		"outcome", o.word, "upstream", o.upstream, "domain", o.domain,
		"expected", o.expected.Milliseconds(), "wait", o.wait.Milliseconds(),
		"load", int(o.load), "report", o.report.Milliseconds(), "cause", o.cause,
	}
}

// giveUp ends a request that is not sent any further. Only one that has not run
// may be refused as such. A failure that an upstream has given is passed on.
func (c *call) giveUp(o outcome) {
	if c.last.upstream != "" && o.upstream == "" {
		o.upstream, o.cause = c.last.upstream, c.last.word+" "+c.last.cause
	}
	switch {
	case c.runs == 0:
		c.refuse(o)
	case c.kept:
		o.status = c.ctx.Response.StatusCode()
		c.last = o
	case o.status != 0:
		c.fail(o.status, o)
	default:
		c.fail(fasthttp.StatusBadGateway, o)
	}
}

// pass copies an answer to the caller's response.
func (c *call) pass(x *exchange) {
	out := &c.ctx.Response
	out.Reset()
	x.answer.Header.CopyTo(&out.Header)
	out.Header.ResetConnectionClose()
	for _, k := range [...]string{
		fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderTrailer,
		fasthttp.HeaderUpgrade, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyConnection,
	} {
		out.Header.Del(k)
	}
	c.last.status = out.StatusCode()
	if c.head {
		out.SkipBody = true
	} else {
		out.SetBodyRaw(x.body.data)
		if caller, ok := c.ctx.Conn().(*conn); ok {
			caller.hold(x.body.taken)
		} else {
			x.body.buffers.give(x.body.taken)
		}
		x.body = body{}
	}
	switch c.last.status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout:
		// These would promise that the request has not run.
		out.SetStatusCode(fasthttp.StatusBadGateway)
		c.dialect.RemoveSignature(&out.Header)
		out.Header.Del(fasthttp.HeaderRetryAfter)
	}
}

// refuse answers that the request has not run and when to come back.
func (c *call) refuse(o outcome) {
	out := &c.ctx.Response
	out.Reset()
	out.SetStatusCode(fasthttp.StatusServiceUnavailable)
	retryAt := max(o.retryAt, minRetry)
	out.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAt.Seconds(), 'f', 3, 64))
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.SetBodyString("The request has not run: " + o.word + ".\n")
	o.status = fasthttp.StatusServiceUnavailable
	c.last = o
}

// minRetry is the least time after which a refused request may come back.
const minRetry = 50 * time.Millisecond

// fail ends a request that may have run, or one that can't be served at all.
func (c *call) fail(status int, o outcome) {
	out := &c.ctx.Response
	out.Reset()
	out.SetStatusCode(status)
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.SetBodyString(fasthttp.StatusMessage(status) + ": " + o.word + ".\n")
	o.status = status
	c.last = o
}

// finish counts and logs the end of a request.
func (r *Relayer) finish(c *call) {
	c.dropNext(r.cfg.Now())
	took := time.Duration(r.cfg.Now() - c.began)
	route, aim, version := "", time.Duration(0), uint64(0)
	if c.route != nil {
		route, aim = c.route.Name, c.route.Aim
	}
	if c.table.HasConfig() {
		version = c.table.View.Config.Version
	}
	status := c.ctx.Response.StatusCode()
	r.cfg.Metrics.RequestDone(route, c.last.word, took)
	r.cfg.Log.V(verbosity(status)).Info("request", append(c.last.fields(),
		"id", string(c.id), "route", route, "aim", aim.Milliseconds(), "known", c.last.known, "key", string(c.object), "version", version,
		"status", status, "sends", c.sends, "runs", c.runs, "took", took.Milliseconds())...)
}

// dropNext gives back the place of an exchange that was chosen but not begun,
// because the request ended before.
func (c *call) dropNext(now int64) {
	if c.next == nil {
		return
	}
	c.next.Done(&c.req, dispatcher.Canceled, 0, now)
	c.arrive(false)
	c.next = nil
}

// verbosity ranks log lines: failures come before successes.
func verbosity(status int) int {
	if status >= 300 {
		return 0
	}
	return 1
}

// malformed answers what the codec could not read.
func malformed(ctx *fasthttp.RequestCtx, err error) {
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
