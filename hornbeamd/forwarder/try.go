package forwarder

import (
	"errors"
	"io"
	"syscall"
	"time"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
)

// tryTarget sends a request to an upstream whose slot has been taken. The slot
// is given back when the upstream is done with the request.
func (f *Forwarder) tryTarget(c *call, choice router.Choice, e *entry) result {
	t, service, key := choice.Target, c.req.Service.Name, c.key
	p := f.pool(poolKey{t.Upstream, service, t.Address}, t.MaxConns)
	x := acquireExchange()
	x.wire = c.appendUpstream(x.wire[:0])
	err := f.exchange(c, p, t.Path, x)
	if err != nil {
		res := f.failed(c, x, err)
		if err != errHedged || x.suspected {
			f.count(x, err, res)
		}
		f.freeLater(service, t, x.sent && !ended(err))
		x.release()
		return res
	}
	if string(x.header.Peek(HeaderState)) == "leaving" {
		p.stats.leaving.Store(true)
	}
	if x.whole {
		x.settle()
		f.free(service, t)
	}
	if x.header.StatusCode() == 503 && len(x.header.Peek(HeaderRefused)) > 0 {
		p.stats.shed.Add(1)
		if !x.whole {
			x.abort()
			f.freeLater(service, t, true)
		}
		x.release()
		return result{outcome: OutcomeNotRun, reason: ReasonRefused, again: true}
	}
	p.stats.ok.Add(1)
	p.stats.latency.Add(x.first - x.start)
	res := result{outcome: OutcomeRan, x: x, link: choice.Link}
	if !x.whole {
		res.end = func(whole bool) {
			f.freeLater(service, t, !whole)
			if e != nil {
				f.record.end(key, e, OutcomeRan, RequestRecord{}, f.now())
			}
		}
	}
	return res
}

// ended tells whether the other end has closed the connection, so that it is
// done with the request.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// freeLater gives a slot back, after a cancellation not before the upstream
// can have learned of it.
func (f *Forwarder) freeLater(service string, t *router.Target, cancelled bool) {
	if !cancelled {
		f.free(service, t)
		return
	}
	q := f.queue(service)
	time.AfterFunc(settleTime, func() {
		t.Gate.Release()
		q.wake(1)
	})
}

// tryPeer sends a request to another instance.
func (f *Forwarder) tryPeer(c *call, choice router.Choice) result {
	peer := choice.Peer
	x := acquireExchange()
	x.wire = c.appendHop(x.wire[:0])
	c.link = choice.Link
	f.pace(c.link, c.req.Service, len(c.body), c.req.Deadline)
	defer func() { c.link = nil }()
	if err := f.exchange(c, f.pool(poolKey{"", c.req.Service.Name, peer.Address}, 0), peer.Path, x); err != nil {
		res := f.failed(c, x, err)
		x.release()
		return res
	}
	outcome, ok := ParseOutcome(x.header.Peek(HeaderOutcome))
	if x.whole {
		x.settle()
	}
	if ok && outcome == OutcomeRan {
		f.credit(c, peer, x)
		return result{outcome: OutcomeRan, x: x, end: func(bool) {}}
	}
	res := result{outcome: outcome, reason: peerReason(x.header.Peek(HeaderReason))}
	res.miss = outcome == OutcomeNotRun && (res.reason == router.NoFreeSlot || res.reason == router.NoUpstream)
	if res.miss {
		c.refused(peer, f.now())
	} else {
		f.credit(c, peer, x)
	}
	res.again = outcome == OutcomeNotRun && res.reason != router.DeadlineExceeded || outcome == OutcomeUnknown && !c.req.Service.AtMostOnce
	x.abort()
	x.release()
	return res
}

// peerReason reads a reason without keeping the codec's memory.
func peerReason(v []byte) router.Reason {
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
	}
	return ReasonExchangeFailed
}

// credit notes the free slots that an instance reports, and wakes as many
// requests: an instance without own slots has no other sign of free ones.
func (f *Forwarder) credit(c *call, peer *router.Peer, x *exchange) {
	name := c.req.Service.Name
	credit := peer.Credits[name]
	n, err := ParseNumber(x.header.Peek(HeaderFree), 1<<31)
	if credit == nil || err != nil {
		return
	}
	credit.Update(int(n), f.now())
	f.queue(name).wake(n)
}

// refused notes that an instance had no free slot.
func (c *call) refused(peer *router.Peer, now int64) {
	if credit := peer.Credits[c.req.Service.Name]; credit != nil {
		credit.RecordRefusal(now)
	}
}

// exchange sends the request in x.wire and reads the answer. After an error the
// connection is closed.
func (f *Forwarder) exchange(c *call, p *pool, path *limiter.CircuitBreaker, x *exchange) (err error) {
	defer c.hedge.detach()
	once := c.req.Service.AtMostOnce
	x.pool, x.deadline = p, c.req.Deadline
	for range 2 {
		if x.conn, err = p.get(once, x.deadline); err != nil {
			if !errors.Is(err, errConns) && !errors.Is(err, errExpired) {
				path.RecordFailure(f.now())
			}
			return err
		}
		x.fresh = !x.conn.Used
		c.hedge.attach(x.conn)
		err = x.send(c.reader(), c.size)
		// A used connection that takes no byte has been closed by the other
		// end, so that a fresh one may do.
		if err == nil || x.sent || x.fresh || c.spent {
			break
		}
		x.abort()
	}
	if err == nil {
		err = f.await(c, x)
	}
	if err == nil {
		x.first = f.now()
		path.RecordSuccess(x.first)
		err = x.receive(c.req.ID, c.head)
	}
	if err != nil {
		if x.fresh && x.silent(err, f.now()) {
			path.RecordFailure(f.now())
		}
		x.abort()
		return err
	}
	x.learn()
	return nil
}

// silent tells whether err ended an exchange whose silence was suspicious enough
// to doubt the path.
func (x *exchange) silent(err error, now int64) bool {
	switch {
	case errors.Is(err, errSilent):
		return true
	case errors.Is(err, errHedged):
		return x.suspected
	}
	return errors.Is(err, errLate) && now-x.start >= int64(x.pool.final())
}

// learn notes the time to the first byte. Refusals come at once, so that they
// would make the time of answers seem short.
func (x *exchange) learn() {
	outcome, ok := ParseOutcome(x.header.Peek(HeaderOutcome))
	if ok && outcome != OutcomeRan || len(x.header.Peek(HeaderRefused)) > 0 {
		return
	}
	x.pool.typical.add(x.first-x.start, 99)
	x.pool.usual.add(x.first-x.start, 19)
}

// await waits for the answer to begin. While it is silent for long, a second
// try runs beside the first one as soon as there is a place for it. The exchange
// of a once-service, which has none, is given up before the deadline.
func (f *Forwarder) await(c *call, x *exchange) error {
	err := f.awaitHedge(c, x)
	if err != errSilent {
		return err
	}
	for wait := x.pool.suspicion(); ; wait += x.pool.suspicion() {
		if err = x.await(c, wait); err != errSilent {
			return err
		}
		f.metrics.CountDecision(c.req.Service.Name, DecisionSuspected)
		if c.req.Service.AtMostOnce {
			return x.await(c, x.pool.final())
		}
		if h := f.second(c); h != nil {
			return h.race(c, x)
		}
	}
}

// failed judges an exchange that ended without an answer.
func (f *Forwarder) failed(c *call, x *exchange, err error) result {
	if err == errHedged {
		return c.won
	}
	res := result{outcome: OutcomeUnknown, reason: ReasonExchangeFailed, again: !c.req.Service.AtMostOnce}
	switch {
	case errors.Is(err, errCut):
		res.reason = ReasonBodyTruncated
		res.again = false
	case errors.Is(err, errSilent):
		res.reason = ReasonNoResponse
	case errors.Is(err, errGone):
		res.reason = ReasonCallerGone
		res.again = false
	case errors.Is(err, errLate), isTimeout(err):
		res.reason = router.DeadlineExceeded
		res.again = false
	}
	if x.sent {
		return res
	}
	res = result{outcome: OutcomeNotRun, reason: ReasonUnreachable, again: true}
	switch {
	case errors.Is(err, errConns):
		res.reason = ReasonConnLimit
	case errors.Is(err, errExpired):
		res.reason = router.DeadlineExceeded
		res.again = false
	}
	return res
}

// count adds a failed try to the upstream's sample. Limits of this instance and
// deadlines that pass within the usual time say nothing about the upstream.
func (f *Forwarder) count(x *exchange, err error, res result) {
	p := x.pool
	switch {
	case err == errLate && f.now()-x.start < int64(p.suspicion()):
	case errors.Is(err, errConns), errors.Is(err, errExpired), res.reason == ReasonBodyTruncated, res.reason == ReasonCallerGone:
	case refusedDial(err):
		p.stats.refused.Add(1)
	default:
		p.stats.failed.Add(1)
	}
}
