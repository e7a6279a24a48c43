package relayer

import (
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// maxExchanges limits the exchanges per request, including those that an
	// upstream refused.
	maxExchanges = 4
	// A retryable request is sent to another upstream after rerouteFactor times
	// the expected time, but not before unknownKeyFactor times the time of a run
	// with an unknown key, nor before minRerouteDelay.
	rerouteFactor    = 3
	unknownKeyFactor = 1.5
	minRerouteDelay  = 250 * time.Millisecond
	// responseMargin is the part of the caller's timeout that is reserved for
	// returning the response.
	responseMargin = 15 * time.Millisecond
	// startingRetryAfter is the Retry-After of an instance that has no
	// configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// shuttingDown is the label of requests that are refused because of a shutdown.
	shuttingDown = "shutting down"
)

// call is one request of a caller.
type call struct {
	ctx         *fasthttp.RequestCtx
	table       *dispatcher.Table
	route       *dispatcher.Route
	pool        *dispatcher.Pool
	req         dispatcher.Request
	id          []byte
	body        requestBody
	affinityKey []byte
	// caller identifies the caller as far as the request's header does.
	caller []byte
	// digestSum caches digest; 0 until it is computed.
	digestSum quarantiner.Digest
	start     int64
	deadline  int64
	isHead    bool
	// pipelined is set if the request is relayed before its turn on the connection.
	pipelined *pipelined
	// runs counts the exchanges that may have run the request, delivered those
	// that may have reached an upstream, and sends all of them.
	runs, delivered, sends int
	// budgetTaken reports whether the retry budget has been charged for the next
	// exchange.
	budgetTaken bool
	// nextDecision is where to send the request after a silent upstream.
	nextDecision *dispatcher.Decision
	// lastOnLoss reports whether the request may not be sent again if the connection to
	// its upstream is lost, because it may have crashed others before.
	lastOnLoss bool
	// holdsFailure reports whether the response holds an upstream's failure,
	// which is passed on if the request is not sent again.
	holdsFailure bool
	codec        HeaderCodec
	// workspace is on whose behalf the request is sent, nil if that is not needed.
	workspace *dispatcher.Workspace
	last      outcome
}

// handle serves a request when its turn has come on its connection.
func (r *Relayer) handle(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !r.cfg.Guard.Do("connection", func() { r.handleTurn(ctx, c, ok) }) {
		ctx.Response.Reset()
		ctx.Response.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.SetConnectionClose()
	}
	// Requests that have been read are answered before the connection closes.
	if r.draining() && (!ok || !c.hasReadFurther()) {
		ctx.Response.SetConnectionClose()
	}
}

// handleTurn serves the request whose turn it is on its connection. If isConn
// is set, c is that connection.
func (r *Relayer) handleTurn(ctx *fasthttp.RequestCtx, c *conn, isConn bool) {
	if !isConn {
		c = nil
	}
	start := r.cfg.Now()
	body, err := r.receiveBody(ctx, c)
	if err != nil {
		if c != nil {
			// The received part is needed no longer than this, however slowly the
			// caller reads the response.
			c.releaseHeld(&r.byteBudget)
		}
		failed := r.newCall(ctx, nil, start)
		failed.id = r.cfg.HeaderCodec.ReadRequest(&ctx.Request.Header).ID
		r.rejectBody(failed, err)
		return
	}
	if !isConn {
		r.serve(ctx, nil, body, start)
		return
	}
	c.noteBodyEnd(ctx.Request.Header.ContentLength())
	if !c.beginRequest() {
		ctx.Response.SetStatusCode(fasthttp.StatusBadGateway)
		ctx.Response.SetConnectionClose()
		return
	}
	if p := c.takePipelined(&r.byteBudget, &ctx.Request.Header); p != nil {
		r.awaitPipelined(ctx, c, p)
		return
	}
	r.startPipelined(ctx)
	r.serve(ctx, nil, body, start)
}

// newCall returns the call for a request whose header arrived at the given time.
func (r *Relayer) newCall(ctx *fasthttp.RequestCtx, p *pipelined, start int64) *call {
	return &call{ctx: ctx, pipelined: p, start: start, codec: r.cfg.HeaderCodec, table: r.cfg.Tables.Load(), isHead: ctx.IsHead()}
}

// serve routes a request and responds to it. If p is set, its turn on the connection has not
// come yet. Start is when its header arrived.
func (r *Relayer) serve(ctx *fasthttp.RequestCtx, p *pipelined, body requestBody, start int64) {
	c := r.newCall(ctx, p, start)
	c.body = body
	defer func() {
		if cause := recover(); cause != nil {
			r.failAfterPanic(c, cause)
		}
	}()
	in := r.cfg.HeaderCodec.ReadRequest(&ctx.Request.Header)
	c.id = in.ID
	var unusable string
	if c.table, unusable = r.currentTable(); unusable != "" {
		c.refuse(outcome{label: unusable, retryAfter: startingRetryAfter})
		r.finish(c)
		return
	}
	if maxBytes := r.limits().HeadBytes; maxBytes > 0 && len(ctx.Request.Header.RawHeaders()) > maxBytes {
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
	if !r.identify(c, in.Credential) {
		r.finish(c)
		return
	}
	c.prepare(in)
	if len(c.route.Pools) > 1 {
		r.cfg.Metrics.PoolSelected(c.route.Name, c.pool.Name)
	}
	r.relay(c)
	r.settleAllowance(c)
	r.finish(c)
}

// currentTable returns the current routing table, and why it must not be used or "". The
// table is the current one at the time for which its validity was checked, so that none from
// before a pause of the process is used after it.
func (r *Relayer) currentTable() (t *dispatcher.Table, label string) {
	for {
		t = r.cfg.Tables.Load()
		label = r.tableUnusable(t, r.cfg.Now())
		if t == r.cfg.Tables.Load() {
			return t, label
		}
	}
}

// tableUnusable returns why no request may be sent by a table, or "".
func (r *Relayer) tableUnusable(t *dispatcher.Table, now int64) string {
	switch {
	case !t.HasConfig():
		return "starting"
	case t.View.Stale, r.cfg.TablesValidUntil != nil && now > r.cfg.TablesValidUntil.Load():
		return "stale"
	}
	return ""
}

// prepare sets the deadline, affinity key and pool that the dispatcher decides
// by.
func (c *call) prepare(in RequestInfo) {
	remaining := c.route.Timeout
	if in.CallerTimeout > 0 && (remaining <= 0 || in.CallerTimeout < remaining) {
		remaining = in.CallerTimeout - min(responseMargin, in.CallerTimeout/8)
	}
	c.deadline = c.start + int64(remaining)
	c.affinityKey, c.caller = in.Key, in.Caller
	key := c.route.KeyHash(in.Key)
	c.pool = c.route.SelectPool()
	c.req = dispatcher.Request{Route: c.route, Pool: c.pool, Workspace: c.workspace, Key: key, Deadline: c.deadline}
}

// relay sends the request to upstreams until it is answered or given up.
func (r *Relayer) relay(c *call) {
	c.pool.RetryBudget.Deposit()
	for {
		c.req.Now = r.cfg.Now()
		if label := r.tableUnusable(r.cfg.Tables.Load(), c.req.Now); label != "" {
			c.releaseNext(c.req.Now)
			c.giveUp(outcome{label: label, retryAfter: startingRetryAfter})
			return
		}
		if c.req.Now >= c.deadline {
			c.giveUp(outcome{label: "late", status: fasthttp.StatusGatewayTimeout})
			return
		}
		if c.callerClosed() {
			c.releaseNext(c.req.Now)
			c.endAbandoned()
			return
		}
		if !r.admitted(c) {
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
		if r.exitsBefore(c, &d, c.req.Now) {
			d.Done(&c.req, dispatcher.Canceled, 0, c.req.Now)
			c.recordDelivery(false)
			c.giveUp(outcome{label: shuttingDown})
			return
		}
		if done := r.try(c, &d); done {
			return
		}
	}
}

// takeRetryBudget charges the retry budget for the next exchange, unless no
// earlier exchange may have reached an upstream. It reports whether the
// exchange may take place.
func (c *call) takeRetryBudget() bool {
	if c.budgetTaken || c.delivered == 0 {
		return true
	}
	c.budgetTaken = c.pool.RetryBudget.TryWithdraw()
	return c.budgetTaken
}

// recordDelivery records whether an exchange may have reached its upstream. If
// not, its charge is returned to the retry budget.
func (c *call) recordDelivery(sent bool) {
	if sent {
		c.delivered++
	} else if c.budgetTaken {
		c.pool.RetryBudget.Refund()
	}
	c.budgetTaken = false
}

// choose returns where to send the request next.
func (c *call) choose() dispatcher.Decision {
	if d := c.nextDecision; d != nil {
		c.nextDecision = nil
		return *d
	}
	return dispatcher.Choose(&c.req)
}

// reroute chooses another upstream for a request that the given one has not
// answered. While the relayer drains, no exchange is aborted for this.
func (r *Relayer) reroute(c *call, current *dispatcher.Upstream) bool {
	if r.draining() || !c.pool.RetryBudget.TryWithdraw() {
		return false
	}
	q := c.req
	q.Now = r.cfg.Now()
	q.Tried = append(q.Tried[:len(q.Tried):len(q.Tried)], current)
	d := dispatcher.Choose(&q)
	if d.Upstream == nil {
		c.pool.RetryBudget.Refund()
		return false
	}
	c.nextDecision, c.budgetTaken = &d, true
	return true
}

// endAbandoned ends a request whose caller has closed the connection.
func (c *call) endAbandoned() {
	c.last.label = resultNames[dispatcher.Canceled]
	c.fail(fasthttp.StatusBadGateway, c.last)
	c.ctx.SetConnectionClose()
}

// callerClosed reports whether the caller has closed its connection.
func (c *call) callerClosed() bool {
	conn, ok := c.ctx.Conn().(*conn)
	switch {
	case ok && c.pipelined != nil:
		// Only the goroutine of the request whose turn it is may read the
		// connection.
		return conn.peerClosed.Load()
	case ok:
		if conn.pollClosed() {
			conn.peerClosed.Store(true)
		}
		return conn.peerClosed.Load()
	}
	return pooler.PeerClosed(c.ctx.Conn())
}
