package forwarder

import (
	"errors"
	"time"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/detector"
)

// tryTarget sends a request to an upstream whose slot has been taken. The slot
// is released when the upstream is done with the request.
func (f *Forwarder) tryTarget(c *call, choice router.Choice, e *dedupEntry) result {
	t, service, key := choice.Target, c.req.Service.Name, c.key
	p := f.pool(poolKey{t.Upstream, service, t.Address}, t.MaxConns)
	if !f.quarantine.admits(c, f.now()) {
		f.releaseSlot(service, t)
		return result{outcome: OutcomeNotRun, reason: ReasonQuarantined}
	}
	x := acquireExchange()
	x.request = c.appendUpstreamRequest(x.request[:0])
	err := f.roundTrip(c, p, t.Path, x)
	if err != nil {
		if x.sent && detector.IsConnLost(err) {
			f.quarantine.connLost(c, t, f.now)
		}
		res := f.failureResult(c, x, err)
		if err != errHedgeWon || x.suspected {
			f.countFailure(x, err, res)
		}
		f.releaseSlotLater(service, t, x.sent && !detector.IsConnLost(err))
		x.release()
		return res
	}
	if string(x.header.Peek(HeaderState)) == "leaving" {
		p.stats.leaving.Store(true)
	}
	if x.complete {
		x.releaseConn()
		f.releaseSlot(service, t)
	}
	if x.header.StatusCode() == 503 && len(x.header.Peek(HeaderRefused)) > 0 {
		p.stats.shed.Add(1)
		if !x.complete {
			x.closeConn()
			f.releaseSlotLater(service, t, true)
		}
		x.release()
		return result{outcome: OutcomeNotRun, reason: ReasonRefused, retryable: true}
	}
	if x.header.StatusCode() < 500 {
		f.quarantine.observeAnswer(c, f.now())
	}
	p.stats.ok.Add(1)
	p.stats.latency.Add(x.firstByteAt - x.sentAt)
	res := result{outcome: OutcomeRan, exchange: x, link: choice.Link}
	if !x.complete {
		res.onEnd = func(whole bool) {
			f.releaseSlotLater(service, t, !whole)
			if e != nil {
				f.dedup.finish(key, e, OutcomeRan, RequestRecord{}, f.now())
			}
		}
	}
	return res
}

// releaseSlotLater releases a slot. After a cancellation it waits for
// cancelGracePeriod, so that the upstream can notice it first.
func (f *Forwarder) releaseSlotLater(service string, t *router.Target, cancelled bool) {
	if !cancelled {
		f.releaseSlot(service, t)
		return
	}
	q := f.queue(service)
	time.AfterFunc(cancelGracePeriod, func() {
		t.Gate.Release()
		q.wake(1)
	})
}

// tryPeer sends a request to another instance.
func (f *Forwarder) tryPeer(c *call, choice router.Choice) result {
	peer := choice.Peer
	x := acquireExchange()
	x.request = c.appendPeerRequest(x.request[:0])
	c.link = choice.Link
	f.throttle(c.link, c.req.Service, len(c.body), c.req.Deadline)
	defer func() { c.link = nil }()
	if err := f.roundTrip(c, f.pool(poolKey{"", c.req.Service.Name, peer.Address}, 0), peer.Path, x); err != nil {
		res := f.failureResult(c, x, err)
		x.release()
		return res
	}
	outcome, ok := ParseOutcome(x.header.Peek(HeaderOutcome))
	if x.complete {
		x.releaseConn()
	}
	if ok && outcome == OutcomeRan {
		f.updateCredit(c, peer, x)
		return result{outcome: OutcomeRan, exchange: x, onEnd: func(bool) {}}
	}
	res := result{outcome: outcome, reason: parsePeerReason(x.header.Peek(HeaderReason))}
	res.peerFull = outcome == OutcomeNotRun && (res.reason == router.NoFreeSlot || res.reason == router.NoUpstream)
	if res.peerFull {
		c.notePeerFull(peer, f.now())
	} else {
		f.updateCredit(c, peer, x)
	}
	res.retryable = outcome == OutcomeNotRun && res.reason != router.DeadlineExceeded && res.reason != ReasonQuarantined || outcome == OutcomeUnknown && !c.req.Service.AtMostOnce
	x.closeConn()
	x.release()
	return res
}

// parsePeerReason parses a reason without retaining v, which fasthttp reuses.
func parsePeerReason(v []byte) router.Reason {
	switch string(v) {
	case string(router.NoFreeSlot):
		return router.NoFreeSlot
	case string(router.NoUpstream):
		return router.NoUpstream
	case string(router.DeadlineExceeded):
		return router.DeadlineExceeded
	case string(ReasonRefused):
		return ReasonRefused
	case string(ReasonUnreachable):
		return ReasonUnreachable
	case string(ReasonConnLimit):
		return ReasonConnLimit
	case string(ReasonNoResponse):
		return ReasonNoResponse
	case string(ReasonDuplicate):
		return ReasonDuplicate
	case string(ReasonFenced):
		return ReasonFenced
	case string(ReasonOverloaded):
		return ReasonOverloaded
	case string(ReasonStarting):
		return ReasonStarting
	case string(ReasonQuarantined):
		return ReasonQuarantined
	}
	return ReasonExchangeFailed
}

// updateCredit sets the peer's credit to the free slots that it reports, and wakes
// as many requests: an instance without slots of its own learns of free ones in
// no other way.
func (f *Forwarder) updateCredit(c *call, peer *router.Peer, x *exchange) {
	name := c.req.Service.Name
	credit := peer.Credits[name]
	n, err := ParseNumber(x.header.Peek(HeaderFree), 1<<31)
	if credit == nil || err != nil {
		return
	}
	credit.Update(int(n), f.now())
	f.queue(name).wake(n)
}

// notePeerFull records that an instance had no free slot.
func (c *call) notePeerFull(peer *router.Peer, now int64) {
	if credit := peer.Credits[c.req.Service.Name]; credit != nil {
		credit.RecordRefusal(now)
	}
}

// roundTrip sends the request in x.request and reads the response. After an error
// the connection is closed.
func (f *Forwarder) roundTrip(c *call, p *connPool, path *limiter.CircuitBreaker, x *exchange) (err error) {
	defer c.hedge.detach()
	once := c.req.Service.AtMostOnce
	x.pool, x.deadline = p, c.req.Deadline
	for range 2 {
		if x.conn, err = p.get(once, x.deadline); err != nil {
			if !errors.Is(err, errConnLimit) && !errors.Is(err, errDeadlinePassed) {
				path.RecordFailure(f.now())
			}
			return err
		}
		x.newConn = !x.conn.Used
		c.hedge.attach(x.conn)
		err = x.send(c.bodyReader(), c.bodySize)
		// A reused connection that accepts no byte has been closed by the other
		// end, so a new one may work.
		if err == nil || x.sent || x.newConn || c.streamRead {
			break
		}
		x.closeConn()
	}
	if err == nil {
		err = f.awaitResponse(c, x)
	}
	if err == nil {
		x.firstByteAt = f.now()
		path.RecordSuccess(x.firstByteAt)
		err = x.receive(c.req.ID, c.isHead)
	}
	if err != nil {
		if x.newConn && x.suspectsPath(err, f.now()) {
			path.RecordFailure(f.now())
		}
		x.closeConn()
		return err
	}
	x.recordLatency()
	return nil
}

// suspectsPath reports whether err ended an exchange that was without a response
// for long enough to suspect the path.
func (x *exchange) suspectsPath(err error, now int64) bool {
	switch {
	case errors.Is(err, errNoFirstByte):
		return true
	case errors.Is(err, errHedgeWon):
		return x.suspected
	}
	return errors.Is(err, errResponseTimeout) && now-x.sentAt >= int64(x.pool.giveUpTimeout())
}

// recordLatency adds the time to the first byte to the percentiles. Refusals are
// left out: they come at once and would make responses seem fast.
func (x *exchange) recordLatency() {
	outcome, ok := ParseOutcome(x.header.Peek(HeaderOutcome))
	if ok && outcome != OutcomeRan || len(x.header.Peek(HeaderRefused)) > 0 {
		return
	}
	x.pool.firstByteP99.add(x.firstByteAt-x.sentAt, 99)
	x.pool.serviceP95.add(x.firstByteAt-x.sentAt, 19)
}

// awaitResponse waits for the first byte of the response. After the suspicion
// timeout it starts a second try as soon as a slot is available. An exchange of a
// once-service has no second try and is given up before the deadline.
func (f *Forwarder) awaitResponse(c *call, x *exchange) error {
	err := f.awaitHedge(c, x)
	if err != errNoFirstByte {
		return err
	}
	for wait := x.pool.suspicionTimeout(); ; wait += x.pool.suspicionTimeout() {
		if err = x.awaitFirstByte(c, wait); err != errNoFirstByte {
			return err
		}
		f.metrics.CountDecision(c.req.Service.Name, DecisionSuspected)
		if c.req.Service.AtMostOnce {
			return x.awaitFirstByte(c, x.pool.giveUpTimeout())
		}
		if h := f.prepareHedge(c); h != nil {
			return h.race(c, x)
		}
	}
}

// failureResult returns the result of an exchange that ended without a response.
func (f *Forwarder) failureResult(c *call, x *exchange, err error) result {
	if err == errHedgeWon {
		return c.hedgeResult
	}
	res := result{outcome: OutcomeUnknown, reason: ReasonExchangeFailed, retryable: !c.req.Service.AtMostOnce}
	switch {
	case errors.Is(err, errBodyTruncated):
		res.reason = ReasonBodyTruncated
		res.retryable = false
	case errors.Is(err, errNoFirstByte):
		res.reason = ReasonNoResponse
	case errors.Is(err, errCallerGone):
		res.reason = ReasonCallerGone
		res.retryable = false
	case errors.Is(err, errResponseTimeout), isTimeout(err):
		res.reason = router.DeadlineExceeded
		res.retryable = false
	}
	if x.sent {
		return res
	}
	res = result{outcome: OutcomeNotRun, reason: ReasonUnreachable, retryable: true}
	switch {
	case errors.Is(err, errConnLimit):
		res.reason = ReasonConnLimit
	case errors.Is(err, errDeadlinePassed):
		res.reason = router.DeadlineExceeded
		res.retryable = false
	}
	return res
}

// countFailure adds a failed try to the upstream's sample. Limits of this instance
// and deadlines shorter than the suspicion timeout say nothing about the
// upstream.
func (f *Forwarder) countFailure(x *exchange, err error, res result) {
	p := x.pool
	switch {
	case err == errResponseTimeout && f.now()-x.sentAt < int64(p.suspicionTimeout()):
	case errors.Is(err, errConnLimit), errors.Is(err, errDeadlinePassed), res.reason == ReasonBodyTruncated, res.reason == ReasonCallerGone:
	case isConnRefused(err):
		p.stats.refused.Add(1)
	default:
		p.stats.failed.Add(1)
	}
}
