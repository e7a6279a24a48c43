package relayer

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/hornbeamd/pooler"
)

// try performs one exchange. It reports whether the request is done.
func (r *Relayer) try(c *call, d *dispatcher.Decision) (done bool) {
	x := &exchange{relayer: r, call: c, target: d.Upstream, admittedAt: d.At, pool: r.pool(d.Upstream), response: fasthttp.AcquireResponse()}
	defer fasthttp.ReleaseResponse(x.response)
	x.body.Budget, x.body.MaxBytes = &r.byteBudget, maxResponseBytes
	x.rerouteAt = c.deadline
	x.retryable = c.route.Idempotent && c.runs+1 < c.route.Attempts && c.sends+1 < maxExchanges
	if x.retryable {
		x.rerouteAt = c.req.Now + int64(rerouteDelay(d))
	}
	c.sends++
	released, settled := false, false
	defer func() {
		x.body.Discard()
		if !settled {
			x.abortAfterPanic(d, released)
		}
	}()
	err := x.run()
	if !x.newConn && (errors.Is(err, errSilent) || errors.Is(err, errDeadline)) {
		// The other idle connections may be broken as well.
		x.pool.CloseIdleBefore(c.req.Now)
	}
	if c.nextDecision == nil {
		c.recordDelivery(x.sent)
	} else {
		// reroute has charged the budget for the next exchange.
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
	lost := x.connLost(err)
	if lost {
		c.last.digest = c.digest()
		r.connLost(d.Upstream, c.digest())
	}
	if res == dispatcher.Answered {
		r.observeAnswer(c)
	}
	done = c.handleResult(x, res, err)
	if !done && lost && c.lastOnLoss {
		c.giveUp(c.last)
		done = true
	}
	settled = true
	if !done {
		r.cfg.Log.Info("send", append(c.last.logFields(), "id", string(c.id), "took", (now-c.req.Now)/int64(time.Millisecond))...)
	}
	return done
}

// abortAfterPanic ends an exchange in which a panic occurred. The request may
// have run if any byte of it was sent. If released is set, the decision has
// been released already.
func (x *exchange) abortAfterPanic(d *dispatcher.Decision, released bool) {
	x.abort()
	if x.sent {
		x.call.runs++
	}
	if !released {
		d.Done(&x.call.req, dispatcher.Canceled, 0, x.relayer.cfg.Now())
	}
}

// failAfterPanic responds to a request whose handler panicked.
func (r *Relayer) failAfterPanic(c *call, cause any) {
	r.cfg.Guard.Report("request", cause)
	c.holdsFailure = false
	c.giveUp(outcome{label: "panic", retryAfter: startingRetryAfter})
	r.cfg.Guard.Do("request", func() { r.finish(c) })
}

// rerouteDelay returns how long an upstream may stay silent before the request
// is sent to another one. An upstream to which the key is unknown gets more
// time: the run would have to start from scratch elsewhere too.
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

// classify returns the result of an exchange for the dispatcher.
func (x *exchange) classify(err error) dispatcher.Result {
	switch {
	case errors.Is(err, errCallerClosed), errors.Is(err, errWithdrawn), errors.Is(err, errStaleTable), errors.Is(err, errQuarantined), errors.Is(err, pooler.ErrTooManyConns), errors.Is(err, pooler.ErrClosed):
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

// handleResult responds to the request, or leaves it to be sent again. It
// reports whether the request is done.
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
