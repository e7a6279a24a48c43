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
	maxSends = 4
	// patienceShare is the multiple of the expected time after which a request
	// that may run again is sent to another upstream, but not before unknownShare
	// of the time that a run without the key takes, nor before minPatience.
	patienceShare = 3
	unknownShare  = 1.5
	minPatience   = 250 * time.Millisecond
	// answerMargin is the part of the caller's time that is kept for the way of
	// the answer.
	answerMargin = 15 * time.Millisecond
	// startingReturn is when to come back to an instance that knows no
	// configuration yet.
	startingReturn = 300 * time.Millisecond
	// pauseTime is the age from which on a table is not used, since the process
	// was paused.
	pauseTime = 1500 * time.Millisecond
)

// call is one request of a caller.
type call struct {
	ctx      *fasthttp.RequestCtx
	table    *dispatcher.Table
	route    *dispatcher.Route
	pool     *dispatcher.Pool
	req      dispatcher.Request
	id       []byte
	object   []byte
	began    int64
	deadline int64
	head     bool
	// early tells that the request is relayed before its turn on the connection.
	early bool
	// runs counts the exchanges that may have run the request, arrivals those that
	// may have reached an upstream, sends all.
	runs, arrivals, sends int
	// paid tells that the next exchange has been taken from the retry budget.
	paid bool
	// next is where the request goes after an upstream that has been silent.
	next *dispatcher.Decision
	// kept tells that the response holds an upstream's failure, which is passed on
	// if the request is not sent again.
	kept    bool
	dialect HeaderCodec
	last    outcome
}

// handle answers a request when its turn has come on its connection.
func (r *Relayer) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !r.cfg.Guard.Do("connection", func() { r.turn(ctx, c, ok) }) {
		ctx.Response.Reset()
		ctx.Response.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.SetConnectionClose()
	}
	// What was started already is answered before the connection closes.
	if r.closing.Load() && (!ok || len(c.started) == 0) {
		ctx.Response.SetConnectionClose()
	}
}

// turn answers the request whose turn it is on a connection. Ours tells that the
// connection is a conn.
func (r *Relayer) turn(ctx *fasthttp.RequestCtx, c *conn, ours bool) {
	if !ours {
		r.serve(ctx, false)
		return
	}
	if !c.begin() {
		ctx.Response.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.SetConnectionClose()
		return
	}
	if s := c.next(&ctx.Request.Header); s != nil {
		r.finishStarted(ctx, c, s)
		return
	}
	r.startBehind(ctx)
	r.serve(ctx, false)
}

// serve answers a request. Early tells that its turn has not come.
func (r *Relayer) serve(ctx *fasthttp.RequestCtx, early bool) {
	c := &call{ctx: ctx, early: early, began: r.cfg.Now(), dialect: r.cfg.HeaderCodec, table: r.cfg.Tables.Load(), head: ctx.IsHead()}
	defer func() {
		if cause := recover(); cause != nil {
			r.recovered(c, cause)
		}
	}()
	in := r.cfg.HeaderCodec.ReadRequest(&ctx.Request.Header)
	c.id = in.ID
	if word := r.unfit(c); word != "" {
		c.refuse(outcome{word: word, retryAt: startingReturn})
		r.finish(c)
		return
	}
	if most := r.limits().HeadBytes; most > 0 && len(ctx.Request.Header.RawHeaders()) > most {
		c.fail(fasthttp.StatusRequestHeaderFieldsTooLarge, outcome{word: "head too large"})
		r.finish(c)
		return
	}
	c.route = c.table.Route(host(ctx), path(ctx))
	if c.route == nil || len(c.route.Pools) == 0 {
		c.fail(fasthttp.StatusNotFound, outcome{word: "no route"})
		r.finish(c)
		return
	}
	c.prepare(in)
	r.relay(c)
	r.finish(c)
}

// unfit says why the table must not be used, if so.
func (r *Relayer) unfit(c *call) string {
	switch {
	case !c.table.HasConfig():
		return "starting"
	case c.table.View.Stale, r.cfg.Heartbeat != nil && c.began-r.cfg.Heartbeat.Load() > int64(pauseTime):
		return "stale"
	}
	return ""
}

// prepare works out what the decisions depend on.
func (c *call) prepare(in RequestInfo) {
	left := c.route.Timeout
	if in.CallerTimeout > 0 && (left <= 0 || in.CallerTimeout < left) {
		left = in.CallerTimeout - min(answerMargin, in.CallerTimeout/8)
	}
	c.deadline = c.began + int64(left)
	c.object = in.Key
	key := uint64(0)
	if len(in.Key) > 0 && c.route.Sticky {
		key = xxhash.Sum64(in.Key) ^ xxhash.Sum64String(c.route.Name) | 1
	}
	c.pool = c.route.SelectPool(key, c.began)
	c.req = dispatcher.Request{Route: c.route, Pool: c.pool, Key: key, Deadline: c.deadline}
}

// relay sends the request until it is answered or given up.
func (r *Relayer) relay(c *call) {
	c.pool.RetryBudget.Deposit()
	for {
		c.req.Now = r.cfg.Now()
		if c.req.Now >= c.deadline {
			c.giveUp(outcome{word: "late", status: fasthttp.StatusGatewayTimeout})
			return
		}
		if c.sends > 0 && c.gone() {
			c.dropNext(c.req.Now)
			c.leave()
			return
		}
		if !c.pay() {
			c.giveUp(outcome{word: string(dispatcher.RetryBudgetExhausted)})
			return
		}
		d := c.choose()
		if d.Upstream == nil {
			c.giveUp(outcome{word: string(d.Reason), retryAt: d.RetryAfter, expected: d.Expected, wait: d.Wait, load: d.Load, report: d.ReportAge})
			return
		}
		if done := r.try(c, &d); done {
			return
		}
	}
}

// pay takes the next exchange from the retry budget unless it is the first that
// may reach an upstream.
func (c *call) pay() bool {
	if c.paid || c.arrivals == 0 {
		return true
	}
	c.paid = c.pool.RetryBudget.TryWithdraw()
	return c.paid
}

// arrive notes whether an exchange may have reached its upstream. One that has
// not gives its part of the retry budget back.
func (c *call) arrive(sent bool) {
	if sent {
		c.arrivals++
	} else if c.paid {
		c.pool.RetryBudget.Refund()
	}
	c.paid = false
}

// choose returns where the request goes next.
func (c *call) choose() dispatcher.Decision {
	if d := c.next; d != nil {
		c.next = nil
		return *d
	}
	return dispatcher.Choose(&c.req)
}

// reroute looks for another upstream for a request that the given one does not
// answer. While the instance stops, no exchange is broken off.
func (r *Relayer) reroute(c *call, silent *dispatcher.Upstream) bool {
	if r.closing.Load() || !c.pool.RetryBudget.TryWithdraw() {
		return false
	}
	q := c.req
	q.Now = r.cfg.Now()
	q.Tried = append(q.Tried[:len(q.Tried):len(q.Tried)], silent)
	d := dispatcher.Choose(&q)
	if d.Upstream == nil {
		c.pool.RetryBudget.Refund()
		return false
	}
	c.next, c.paid = &d, true
	return true
}

// try is one exchange. It reports whether the request is answered.
func (r *Relayer) try(c *call, d *dispatcher.Decision) (done bool) {
	x := &exchange{relayer: r, call: c, target: d.Upstream, pool: r.pool(d.Upstream), answer: fasthttp.AcquireResponse()}
	defer fasthttp.ReleaseResponse(x.answer)
	x.body.buffers = &r.buffers
	x.patience = c.deadline
	x.repeatable = c.route.Idempotent && c.runs+1 < c.route.Attempts && c.sends+1 < maxSends
	if x.repeatable {
		x.patience = c.req.Now + int64(patience(d))
	}
	c.sends++
	released, settled := false, false
	defer func() {
		x.body.drop()
		if !settled {
			x.panicked(d, released)
		}
	}()
	err := x.run()
	if !x.fresh && (errors.Is(err, errSilent) || errors.Is(err, errLate)) {
		// The others may have gone silent with it.
		x.pool.CloseIdleBefore(c.req.Now)
	}
	if c.next == nil {
		c.arrive(x.sent)
	} else {
		// The budget was taken for the exchange that follows.
		c.arrivals++
	}
	now := r.cfg.Now()
	res := x.result(err)
	if x.verdict.HasLoad && err == nil {
		d.ReportLoad(x.verdict.Load, now)
	}
	if x.verdict.ColdLeft > 0 && err == nil {
		d.Upstream.MarkCold(now+int64(x.verdict.ColdLeft), now)
	}
	released = true
	d.Done(&c.req, res, time.Duration(now-c.req.Now), now)
	r.cfg.Metrics.ExchangeDone(c.pool.Name, results[res])
	c.req.Tried = append(c.req.Tried, d.Upstream)
	c.last = outcome{word: results[res], upstream: d.Upstream.ID, domain: d.Upstream.Domain, expected: d.Expected, wait: d.Wait, load: d.Load, report: d.ReportAge, known: d.KnownWarm}
	if err != nil {
		c.last.cause = err.Error()
	}
	if errors.Is(err, errLate) {
		c.last.status = fasthttp.StatusGatewayTimeout
	}
	done = c.settle(x, res, err)
	settled = true
	if !done {
		r.cfg.Log.Info("send", append(c.last.fields(), "id", string(c.id), "took", (now-c.req.Now)/int64(time.Millisecond))...)
	}
	return done
}

// panicked ends an exchange in which something unexpected has happened. It may
// have run the request if anything was sent. Released tells that its place at the
// upstream was given back.
func (x *exchange) panicked(d *dispatcher.Decision, released bool) {
	x.abort()
	if x.sent {
		x.call.runs++
	}
	if !released {
		d.Done(&x.call.req, dispatcher.Canceled, 0, x.relayer.cfg.Now())
	}
}

// recovered answers a request in whose handling something unexpected has happened.
func (r *Relayer) recovered(c *call, cause any) {
	r.cfg.Guard.Report("request", cause)
	c.kept = false
	c.giveUp(outcome{word: "panic", retryAt: startingReturn})
	r.cfg.Guard.Do("request", func() { r.finish(c) })
}

// patience is how long an upstream may stay silent before the request is sent to
// another one. A run that the upstream begins without the key is not broken off:
// it would be begun again elsewhere.
func patience(d *dispatcher.Decision) time.Duration {
	return max(patienceShare*d.Expected, time.Duration(unknownShare*float64(d.ExpectedCold)), minPatience)
}

var results = [...]string{
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
func (x *exchange) result(err error) dispatcher.Result {
	switch {
	case errors.Is(err, errGone), errors.Is(err, errWithdrawn), errors.Is(err, pooler.ErrTooManyConns), errors.Is(err, pooler.ErrClosed):
		return dispatcher.Canceled
	case errors.Is(err, errSilent):
		return dispatcher.AttemptTimeout
	case errors.Is(err, errLate):
		return dispatcher.DeadlineExceeded
	case err != nil && !x.sent && dialTimeout(err):
		return dispatcher.DialTimeout
	case err != nil && !x.sent && unreached(err):
		return dispatcher.Unreachable
	case err != nil:
		return dispatcher.Failed
	case x.answer.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return dispatcher.Unreachable
	case x.verdict.NotRun && x.verdict.Pause > 0:
		return dispatcher.PauseRequested
	case x.verdict.NotRun:
		return dispatcher.Shed
	case x.answer.StatusCode() >= 500:
		return dispatcher.Failed
	}
	return dispatcher.Answered
}

// settle answers the request or decides that it is sent again.
func (c *call) settle(x *exchange, res dispatcher.Result, err error) (done bool) {
	notRun := err == nil && (x.verdict.NotRun || x.answer.StatusCode() == fasthttp.StatusMisdirectedRequest) || err != nil && !x.sent
	if !notRun {
		c.runs++
	}
	switch {
	case errors.Is(err, errGone):
		c.leave()
		return true
	case res == dispatcher.Answered:
		c.pass(x)
		return true
	case !notRun && !c.route.Idempotent:
		if err == nil {
			c.pass(x)
		} else {
			c.giveUp(c.last)
		}
		return true
	case c.runs >= max(1, c.route.Attempts) || c.sends >= maxSends:
		if err == nil && !notRun {
			c.pass(x)
		} else {
			c.giveUp(c.last)
		}
		return true
	}
	if err == nil && !notRun {
		c.pass(x)
		c.kept = true
	}
	return false
}

// leave ends a request whose caller has closed its connection.
func (c *call) leave() {
	c.last.word = results[dispatcher.Canceled]
	c.fail(fasthttp.StatusBadGateway, c.last)
	c.ctx.SetConnectionClose()
}

// gone tells whether the caller has closed its connection.
func (c *call) gone() bool {
	conn, ok := c.ctx.Conn().(*conn)
	switch {
	case ok && c.early:
		// Only the goroutine of the request whose turn it is reads the connection.
		return conn.left.Load()
	case ok:
		if conn.closed() {
			conn.left.Store(true)
		}
		return conn.left.Load()
	}
	return pooler.PeerClosed(c.ctx.Conn())
}
