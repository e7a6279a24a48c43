package relayer

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/collector"
	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
)

// outcome describes how a request, or one exchange for it, ended. It is used
// for the response and the log.
type outcome struct {
	// label is the outcome in logs and metrics, and in responses that the
	// relayer writes itself.
	label    string
	upstream string
	// domain is the upstream's failure domain.
	domain     string
	status     int
	retryAfter time.Duration
	expected   time.Duration
	wait       time.Duration
	// load is the estimated load of the upstream, reportAge the age of the load
	// report that the estimate is based on.
	load      float64
	reportAge time.Duration
	// keyKnown reports whether this instance had sent the request's affinity key
	// to the upstream before.
	keyKnown bool
	cause    string
	// digest is the request's digest if the connection to the upstream was lost, and 0
	// otherwise.
	digest quarantiner.Digest
}

// logFields returns the outcome as log key-value pairs, with times in
// milliseconds.
func (o *outcome) logFields() []any {
	fields := []any{
		"outcome", o.label, "upstream", o.upstream, "domain", o.domain,
		"expected", o.expected.Milliseconds(), "wait", o.wait.Milliseconds(),
		"load", int(o.load), "report", o.reportAge.Milliseconds(), "cause", o.cause,
	}
	if o.digest != 0 {
		fields = append(fields, "digest", o.digest.String())
	}
	return fields
}

// giveUp ends a request without another exchange. Only a request that has not
// run is refused as not run. An upstream's own failure response is passed on.
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

// copyResponse copies the upstream's response to the caller's response.
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
		out.SetBodyRaw(x.body.Data)
		c.hold(&x.relayer.byteBudget, x.body.Reserved)
		x.body = collector.Body{}
	}
	switch c.last.status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout:
		// The request may have run, but these statuses would tell the caller that
		// it has not.
		out.SetStatusCode(fasthttp.StatusBadGateway)
		c.codec.RemoveSignature(&out.Header)
		out.Header.Del(fasthttp.HeaderRetryAfter)
	}
}

// hold keeps the reserved bytes of the response until it has been written.
func (c *call) hold(b *byteBudget, bytes int64) {
	caller, ok := c.ctx.Conn().(*conn)
	switch {
	case !ok:
		b.Release(bytes)
	case c.pipelined != nil:
		c.pipelined.hold(b, bytes)
	default:
		caller.hold(b, bytes)
	}
}

// refuse responds that the request has not run, and when to retry it.
func (c *call) refuse(o outcome) {
	out := &c.ctx.Response
	out.Reset()
	out.SetStatusCode(fasthttp.StatusServiceUnavailable)
	out.Header.Set(fasthttp.HeaderRetryAfter, formatRetryAfter(o.retryAfter))
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.SetBodyString("The request has not run: " + o.label + ".\n")
	o.status = fasthttp.StatusServiceUnavailable
	c.last = o
}

// minRetryAfter is the minimum Retry-After of a refused request.
const minRetryAfter = 50 * time.Millisecond

// fail ends a request that may have run, or one that cannot be served at all.
func (c *call) fail(status int, o outcome) {
	out := &c.ctx.Response
	out.Reset()
	out.SetStatusCode(status)
	out.Header.SetContentType("text/plain; charset=utf-8")
	out.SetBodyString(fasthttp.StatusMessage(status) + ": " + o.label + ".\n")
	o.status = status
	c.last = o
}

// finish records the metrics and the log line of a request.
func (r *Relayer) finish(c *call) {
	c.releaseNext(r.cfg.Now())
	now := r.cfg.Now()
	took := time.Duration(now - c.start)
	route, service, aim, version, valid := "", "", time.Duration(0), uint64(0), time.Duration(0)
	if c.route != nil {
		route, aim = c.route.Name, c.route.Aim
	}
	if c.pool != nil {
		service = c.pool.Name
	}
	if c.table.HasConfig() {
		version = c.table.View.Config.Version
	}
	if r.cfg.TablesValidUntil != nil {
		valid = time.Duration(r.cfg.TablesValidUntil.Load() - now)
	}
	status := c.ctx.Response.StatusCode()
	r.cfg.Metrics.RequestDone(route, c.last.label, took)
	r.cfg.Log.V(verbosity(status)).Info("request", append(c.last.logFields(),
		"id", string(c.id), "workspace", c.workspaceName(), "route", route, "aim", aim.Milliseconds(), "service", service, "known", c.last.keyKnown, "key", string(c.affinityKey), "version", version, "valid", valid.Milliseconds(),
		"status", status, "sends", c.sends, "runs", c.runs, "took", took.Milliseconds())...)
}

// releaseNext releases the decision for an exchange that will not take place
// because the request has ended.
func (c *call) releaseNext(now int64) {
	if c.nextDecision == nil {
		return
	}
	c.nextDecision.Done(&c.req, dispatcher.Canceled, 0, now)
	c.recordDelivery(false)
	c.nextDecision = nil
}

// verbosity returns the log verbosity for a response status. Failures are
// logged at a lower verbosity than successes.
func verbosity(status int) int {
	if status >= 300 {
		return 0
	}
	return 1
}

// rejectHeader responds to a request whose header could not be read.
func (r *Relayer) rejectHeader(ctx *fasthttp.RequestCtx, err error) {
	var timeout interface{ Timeout() bool }
	caller, ok := ctx.Conn().(*conn)
	if ok && errors.As(err, &timeout) && timeout.Timeout() && caller.hasReadsEnded() {
		c := r.newCall(ctx, nil, r.cfg.Now())
		c.refuse(outcome{label: shuttingDown, cause: "the header did not arrive before the shutdown"})
		r.finish(c)
		return
	}
	writeParseError(ctx, err)
}

// writeParseError responds to a request that fasthttp could not parse.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeout interface{ Timeout() bool }
	status := fasthttp.StatusBadRequest
	switch {
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetBodyString(fasthttp.StatusMessage(status) + ".\n")
}
