package relayer

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// maxSends bounds the exchanges for one request, those that an upstream
	// refused included.
	maxExchanges = 4
	// patienceShare is the multiple of the expected time after which a request
	// that may run again is sent to another upstream, but not before unknownShare
	// of the time that a run without the key takes, nor before minPatience.
	rerouteFactor    = 3
	unknownKeyFactor = 1.5
	minRerouteDelay  = 250 * time.Millisecond
	// answerMargin is the part of the caller's time that is kept for the way of
	// the answer.
	responseMargin = 15 * time.Millisecond
	// startingReturn is when to come back to an instance that knows no
	// configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// pauseTime is the age from which on a table is not used, since the process
	// was paused.
	maxHeartbeatAge = 1500 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	ctx         *fasthttp.RequestCtx
	table       *dispatcher.Table
	route       *dispatcher.Route
	pool        *dispatcher.Pool
	req         dispatcher.Request
	id          []byte
	affinityKey []byte
	start       int64
	deadline    int64
	isHead      bool
	// early tells that the request is relayed before its turn on the connection.
	pipelined bool
	// runs counts the exchanges that may have run the request, arrivals those that
	// may have reached an upstream, sends all.
	runs, delivered, sends int
	// paid tells that the next exchange has been taken from the retry budget.
	budgetTaken bool
	// next is where the request goes after an upstream that has been silent.
	nextDecision *dispatcher.Decision
	// kept tells that the response holds an upstream's failure, which is passed on
	// if the request is not sent again.
	holdsFailure bool
	codec        HeaderCodec
	last         outcome
}

// handle answers a request when its turn has come on its connection.
func (r *Relayer) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !r.cfg.Guard.Do("connection", func() { r.handleTurn(ctx, c, ok) }) {
		ctx.Response.Reset()
		ctx.Response.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.SetConnectionClose()
	}
	// What was started already is answered before the connection closes.
	if r.draining.Load() && (!ok || len(c.pipelined) == 0) {
		ctx.Response.SetConnectionClose()
	}
}

// turn answers the request whose turn it is on a connection. Ours tells that the
// connection is a conn.
func (r *Relayer) handleTurn(ctx *fasthttp.RequestCtx, c *conn, ours bool) {
	if !ours {
		r.serve(ctx, false)
		return
	}
	if !c.beginRequest() {
		ctx.Response.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.SetConnectionClose()
		return
	}
	if s := c.takePipelined(&ctx.Request.Header); s != nil {
		r.awaitPipelined(ctx, c, s)
		return
	}
	r.startPipelined(ctx)
	r.serve(ctx, false)
}

// serve answers a request. Early tells that its turn has not come.
func (r *Relayer) serve(ctx *fasthttp.RequestCtx, early bool) {
	c := &call{ctx: ctx, pipelined: early, start: r.cfg.Now(), codec: r.cfg.HeaderCodec, table: r.cfg.Tables.Load(), isHead: ctx.IsHead()}
	defer func() {
		if cause := recover(); cause != nil {
			r.failAfterPanic(c, cause)
		}
	}()
	in := r.cfg.HeaderCodec.ReadRequest(&ctx.Request.Header)
	c.id = in.ID
	if word := r.tableUnusable(c); word != "" {
		c.refuse(outcome{label: word, retryAfter: startingRetryAfter})
		r.finish(c)
		return
	}
	if most := r.limits().HeadBytes; most > 0 && len(ctx.Request.Header.RawHeaders()) > most {
		c.fail(fasthttp.StatusRequestHeaderFieldsTooLarge, outcome{label: "head too large"})
		r.finish(c)
		return
	}
	c.route = c.table.Route(host(ctx), path(ctx))
	if c.route == nil || len(c.route.Pools) == 0 {
		c.fail(fasthttp.StatusNotFound, outcome{label: "no route"})
		r.finish(c)
		return
	}
	c.prepare(in)
	r.relay(c)
	r.finish(c)
}

// unfit says why the table must not be used, if so.
func (r *Relayer) tableUnusable(c *call) string {
	switch {
	case !c.table.HasConfig():
		return "starting"
	case c.table.View.Stale, r.cfg.Heartbeat != nil && c.start-r.cfg.Heartbeat.Load() > int64(maxHeartbeatAge):
		return "stale"
	}
	return ""
}

// prepare works out what the decisions depend on.
func (c *call) prepare(in RequestInfo) {
	left := c.route.Timeout
	if in.CallerTimeout > 0 && (left <= 0 || in.CallerTimeout < left) {
		left = in.CallerTimeout - min(responseMargin, in.CallerTimeout/8)
	}
	c.deadline = c.start + int64(left)
	c.affinityKey = in.Key
	key := uint64(0)
	if len(in.Key) > 0 && c.route.Sticky {
		key = xxhash.Sum64(in.Key) ^ xxhash.Sum64String(c.route.Name) | 1
	}
	c.pool = c.route.SelectPool(key, c.start)
	c.req = dispatcher.Request{Route: c.route, Pool: c.pool, Key: key, Deadline: c.deadline}
}

// relay sends the request until it is answered or given up.
func (r *Relayer) relay(c *call) {
	c.pool.RetryBudget.Success()
	for {
		c.req.Now = r.cfg.Now()
		if c.req.Now >= c.deadline {
			c.giveUp(outcome{label: "late", status: fasthttp.StatusGatewayTimeout})
			return
		}
		if c.sends > 0 && c.callerClosed() {
			c.releaseNext(c.req.Now)
			c.endAbandoned()
			return
		}
		if !c.takeRetryBudget() {
			c.giveUp(outcome{label: string(dispatcher.RetryBudgetExhausted)})
			return
		}
		d := c.choose()
		if d.Upstream == nil {
			c.giveUp(outcome{label: string(d.Reason), retryAfter: d.RetryAfter, expected: d.Expected, wait: d.Wait, load: d.Load, reportAge: d.ReportAge})
			return
		}
		if done := r.try(c, &d); done {
			return
		}
	}
}

// pay takes the next exchange from the retry budget unless it is the first that
// may reach an upstream.
func (c *call) takeRetryBudget() bool {
	if c.budgetTaken || c.delivered == 0 {
		return true
	}
	c.budgetTaken = c.pool.RetryBudget.Take()
	return c.budgetTaken
}

// arrive notes whether an exchange may have reached its upstream. One that has
// not gives its part of the retry budget back.
func (c *call) recordDelivery(sent bool) {
	if sent {
		c.delivered++
	} else if c.budgetTaken {
		c.pool.RetryBudget.Return()
	}
	c.budgetTaken = false
}

// choose returns where the request goes next.
func (c *call) choose() dispatcher.Decision {
	if d := c.nextDecision; d != nil {
		c.nextDecision = nil
		return *d
	}
	return dispatcher.Choose(&c.req)
}

// reroute looks for another upstream for a request that the given one does not
// answer. While the instance stops, no exchange is broken off.
func (r *Relayer) reroute(c *call, silent *dispatcher.Upstream) bool {
	if r.draining.Load() || !c.pool.RetryBudget.Take() {
		return false
	}
	q := c.req
	q.Now = r.cfg.Now()
	q.Tried = append(q.Tried[:len(q.Tried):len(q.Tried)], silent)
	d := dispatcher.Choose(&q)
	if d.Upstream == nil {
		c.pool.RetryBudget.Return()
		return false
	}
	c.nextDecision, c.budgetTaken = &d, true
	return true
}

// try is one exchange. It reports whether the request is answered.
func (r *Relayer) try(c *call, d *dispatcher.Decision) (done bool) {
	x := &exchange{relayer: r, call: c, target: d.Upstream, pool: r.pool(d.Upstream), response: fasthttp.AcquireResponse()}
	defer fasthttp.ReleaseResponse(x.response)
	x.body.byteBudget = &r.byteBudget
	x.rerouteAt = c.deadline
	x.retryable = c.route.Idempotent && c.runs+1 < c.route.Attempts && c.sends+1 < maxExchanges
	if x.retryable {
		x.rerouteAt = c.req.Now + int64(rerouteDelay(d))
	}
	c.sends++
	released, settled := false, false
	defer func() {
		x.body.discard()
		if !settled {
			x.abortAfterPanic(d, released)
		}
	}()
	err := x.run()
	if !x.newConn && (errors.Is(err, errSilent) || errors.Is(err, errDeadline)) {
		// The others may have gone silent with it.
		x.pool.CloseIdleBefore(c.req.Now)
	}
	if c.nextDecision == nil {
		c.recordDelivery(x.sent)
	} else {
		// The budget was taken for the exchange that follows.
		c.delivered++
	}
	now := r.cfg.Now()
	res := x.classify(err)
	if x.info.HasLoad && err == nil {
		d.ReportLoad(x.info.Load, now)
	}
	if x.info.ColdLeft > 0 && err == nil {
		d.Upstream.MarkCold(now+int64(x.info.ColdLeft), now)
	}
	released = true
	d.Done(&c.req, res, time.Duration(now-c.req.Now), now)
	r.cfg.Metrics.ExchangeDone(c.pool.Name, resultNames[res])
	c.req.Tried = append(c.req.Tried, d.Upstream)
	c.last = outcome{label: resultNames[res], upstream: d.Upstream.ID, domain: d.Upstream.Domain, expected: d.Expected, wait: d.Wait, load: d.Load, reportAge: d.ReportAge, keyKnown: d.KnownWarm}
	if err != nil {
		c.last.cause = err.Error()
	}
	if errors.Is(err, errDeadline) {
		c.last.status = fasthttp.StatusGatewayTimeout
	}
	done = c.handleResult(x, res, err)
	settled = true
	if !done {
		r.cfg.Log.Info("send", append(c.last.logFields(), "id", string(c.id), "took", (now-c.req.Now)/int64(time.Millisecond))...)
	}
	return done
}

// panicked ends an exchange in which something unexpected has happened. It may
// have run the request if anything was sent. Released tells that its place at the
// upstream was given back.
func (x *exchange) abortAfterPanic(d *dispatcher.Decision, released bool) {
	x.abort()
	if x.sent {
		x.call.runs++
	}
	if !released {
		d.Done(&x.call.req, dispatcher.Canceled, 0, x.relayer.cfg.Now())
	}
}

// recovered answers a request in whose handling something unexpected has happened.
func (r *Relayer) failAfterPanic(c *call, cause any) {
	r.cfg.Guard.Report("request", cause)
	c.holdsFailure = false
	c.giveUp(outcome{label: "panic", retryAfter: startingRetryAfter})
	r.cfg.Guard.Do("request", func() { r.finish(c) })
}

// patience is how long an upstream may stay silent before the request is sent to
// another one. A run that the upstream begins without the key is not broken off:
// it would be begun again elsewhere.
func rerouteDelay(d *dispatcher.Decision) time.Duration {
	return max(rerouteFactor*d.Expected, time.Duration(unknownKeyFactor*float64(d.ExpectedCold)), minRerouteDelay)
}

var resultNames = [...]string{
	dispatcher.Answered:         "answered",
	dispatcher.Failed:           "failed",
	dispatcher.Shed:             "shed",
	dispatcher.Unreachable:      "unreachable",
	dispatcher.Canceled:         "abandoned",
	dispatcher.DeadlineExceeded: "late",
	dispatcher.AttemptTimeout:   "silent",
	dispatcher.DialTimeout:      "dial timeout",
	dispatcher.PauseRequested:   "deferred",
}

// result judges an exchange.
func (x *exchange) classify(err error) dispatcher.Result {
	switch {
	case errors.Is(err, errCallerClosed), errors.Is(err, errWithdrawn), errors.Is(err, pooler.ErrTooManyConns), errors.Is(err, pooler.ErrClosed):
		return dispatcher.Canceled
	case errors.Is(err, errSilent):
		return dispatcher.AttemptTimeout
	case errors.Is(err, errDeadline):
		return dispatcher.DeadlineExceeded
	case err != nil && !x.sent && isDialTimeout(err):
		return dispatcher.DialTimeout
	case err != nil && !x.sent && isDialError(err):
		return dispatcher.Unreachable
	case err != nil:
		return dispatcher.Failed
	case x.response.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return dispatcher.Unreachable
	case x.info.NotRun && x.info.Pause > 0:
		return dispatcher.PauseRequested
	case x.info.NotRun:
		return dispatcher.Shed
	case x.response.StatusCode() >= 500:
		return dispatcher.Failed
	}
	return dispatcher.Answered
}

// settle answers the request or decides that it is sent again.
func (c *call) handleResult(x *exchange, res dispatcher.Result, err error) (done bool) {
	notRun := err == nil && (x.info.NotRun || x.response.StatusCode() == fasthttp.StatusMisdirectedRequest) || err != nil && !x.sent
	if !notRun {
		c.runs++
	}
	switch {
	case errors.Is(err, errCallerClosed):
		c.endAbandoned()
		return true
	case res == dispatcher.Answered:
		c.copyResponse(x)
		return true
	case !notRun && !c.route.Idempotent:
		if err == nil {
			c.copyResponse(x)
		} else {
			c.giveUp(c.last)
		}
		return true
	case c.runs >= max(1, c.route.Attempts) || c.sends >= maxExchanges:
		if err == nil && !notRun {
			c.copyResponse(x)
		} else {
			c.giveUp(c.last)
		}
		return true
	}
	if err == nil && !notRun {
		c.copyResponse(x)
		c.holdsFailure = true
	}
	return false
}

// leave ends a request whose caller has closed its connection.
func (c *call) endAbandoned() {
	c.last.label = resultNames[dispatcher.Canceled]
	c.fail(fasthttp.StatusBadGateway, c.last)
	c.ctx.SetConnectionClose()
}

// gone tells whether the caller has closed its connection.
func (c *call) callerClosed() bool {
	conn, ok := c.ctx.Conn().(*conn)
	switch {
	case ok && c.pipelined:
		// Only the goroutine of the request whose turn it is reads the connection.
		return conn.peerClosed.Load()
	case ok:
		if conn.pollClosed() {
			conn.peerClosed.Store(true)
		}
		return conn.peerClosed.Load()
	}
	return pooler.PeerClosed(c.ctx.Conn())
}
