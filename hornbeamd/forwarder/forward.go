package forwarder

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
)

const (
	// maxTries bounds the tries of one request, within router.Tried.
	maxTries = 4
	// maxFullPeers bounds the tries of a request at other instances that have no
	// free slot. They put no load on an upstream.
	maxFullPeers = 3
	// cancelGracePeriod is how long a slot stays taken after its request was
	// cancelled, because the upstream learns of it later.
	cancelGracePeriod = 50 * time.Millisecond
)

// call is a request in flight.
type call struct {
	forwarder *Forwarder

	ctx     *fasthttp.RequestCtx
	req     *Request
	routing router.Request
	tried   router.Tried
	// key is set for once-services.
	key requestKey
	// repeat is set for a request that the caller has sent before.
	repeat bool
	isHead bool
	// commonHead is the request's head without the fields that differ between
	// tries.
	commonHead []byte
	// body is a small body, which can be sent again; stream is a large one.
	body     []byte
	stream   io.Reader
	bodySize int64
	// streamRead is set once stream has been read from.
	streamRead bool
	tries      int
	fullPeers  int
	// paidRetry is a retry for which the budget has already been charged.
	paidRetry router.Choice
	// queueDeadline ends the wait for a slot, once that has begun.
	queueDeadline int64
	// hedge is set for a hedged try. hedgeResult is the result of a hedged try
	// that responded before the original one.
	hedge *hedge
	// link is charged with the request's body.
	link        *limiter.BandwidthLimiter
	hedgeResult result
	// mayHaveRun is set if an earlier try may have run.
	mayHaveRun bool
}

// result is the result of a try.
type result struct {
	outcome Outcome
	reason  router.Reason
	// peerFull is set if another instance had no free slot.
	peerFull bool
	// retryable is set if the request may be tried elsewhere.
	retryable bool
	// exchange has a response to pass on.
	exchange *exchange
	// onEnd runs when the response has been passed on.
	onEnd func(whole bool)
	link  *limiter.BandwidthLimiter
	// recorded is the response to an earlier send of the request.
	recorded RequestRecord
	replayed bool
}

// Forward forwards a request and writes its response.
func (f *Forwarder) Forward(ctx *fasthttp.RequestCtx, r *Request) {
	c := f.acquireCall(ctx, r)
	defer c.release()
	if !r.Hop {
		if !r.Table.AcquireEntry(&c.routing, f.now()) {
			f.writeResponse(c, result{outcome: r.UnsentOutcome(), reason: ReasonOverloaded})
			return
		}
		defer f.exitTable(c)
	}
	if err := c.readRequest(); err != nil {
		f.writeBodyError(c, err)
		return
	}
	f.writeResponse(c, f.forwardOnce(c))
}

// exitTable ends the admission of a request, unless its response is streamed:
// then the end of the stream does.
func (f *Forwarder) exitTable(c *call) {
	if !c.ctx.Response.IsBodyStream() {
		c.req.Table.ReleaseEntry()
	}
}

// forwardOnce forwards a request. One of a once-service is first checked for
// earlier sends.
func (f *Forwarder) forwardOnce(c *call) result {
	r := c.req
	if !r.Service.AtMostOnce {
		return f.runTries(c)
	}
	c.key = requestKey{r.Service.Name, string(r.ID)}
	c.repeat = r.Attempt > 1
	if r.Hop || !r.IDFromCaller {
		return f.runTries(c)
	}
	if !c.repeat {
		seen, ok := f.dedup.addReceived(c.key, f.now(), r.Deadline)
		if !ok {
			return result{outcome: OutcomeNotRun, reason: ReasonOverloaded}
		}
		if !seen {
			return f.runFirstSend(c)
		}
		c.repeat = true
		r.Attempt = 2
	}
	return f.runRepeat(c)
}

func (f *Forwarder) runFirstSend(c *call) result {
	res := f.runTries(c)
	if res.outcome == OutcomeNotRun && !f.dedup.removeReceived(c.key) {
		return result{outcome: OutcomeUnknown, reason: ReasonFenced}
	}
	return res
}

func (f *Forwarder) runRepeat(c *call) result {
	f.metrics.CountDecision(c.req.Service.Name, DecisionQueried)
	v, a := f.resolveRepeat(c)
	switch {
	case v == verdictRan && a.HasResponse:
		f.metrics.CountDecision(c.req.Service.Name, DecisionReplayed)
		return result{outcome: OutcomeRan, recorded: a, replayed: true}
	case v != verdictRun:
		return result{outcome: OutcomeUnknown, reason: ReasonDuplicate}
	}
	res := f.runTries(c)
	if res.outcome == OutcomeNotRun {
		f.dedup.releaseFence(c.key, f.now())
	}
	return res
}

// runTries tries targets and peers until one has responded, or until no further
// try is safe and within the retry budget.
func (f *Forwarder) runTries(c *call) result {
	last := result{outcome: OutcomeNotRun}
	for {
		choice, reason := f.choose(c)
		if reason != router.OK {
			if last.reason == "" {
				last.reason = reason
			}
			return c.finalResult(last)
		}
		c.tries++
		c.tried.Add(choice)
		f.countPlacement(c, choice)
		res := f.try(c, choice)
		c.mayHaveRun = c.mayHaveRun || res.outcome == OutcomeUnknown
		if !res.retryable || c.streamRead || !f.mayRetry(c, res) {
			return c.finalResult(res)
		}
		last = res
	}
}

// countPlacement counts where a request is sent.
func (f *Forwarder) countPlacement(c *call, choice router.Choice) {
	service := c.req.Service.Name
	if choice.Shifted {
		f.metrics.CountDecision(service, DecisionShifted)
	}
	if choice.ShiftCapped {
		f.metrics.CountDecision(service, DecisionShiftCapped)
	}
	if choice.Peer != nil {
		f.metrics.CountDecision(service, DecisionForwarded)
		return
	}
	f.metrics.CountDecision(service, DecisionLocal)
}

// finalResult turns the result of the last try into that of the request.
func (c *call) finalResult(res result) result {
	if res.outcome == OutcomeNotRun && c.mayHaveRun {
		res.outcome = OutcomeUnknown
	}
	return res
}

// choose returns the next target or peer, and queues for a slot if none is free.
// After maxFullPeers tries the last one follows a wait, in which the peers' free
// slots may have changed.
func (f *Forwarder) choose(c *call) (router.Choice, router.Reason) {
	if c.fullPeers < maxFullPeers {
		choice, reason := c.req.Table.Choose(&c.routing, f.now(), &c.tried)
		if reason != router.NoFreeSlot || c.req.Hop || c.tries > c.fullPeers {
			return choice, reason
		}
	}
	f.metrics.CountDecision(c.req.Service.Name, DecisionQueued)
	return f.queue(c.req.Service.Name).wait(f, c)
}

// mayRetry reports whether another try is allowed after res. A request from
// another instance is tried once, because that instance retries it.
func (f *Forwarder) mayRetry(c *call, res result) bool {
	switch {
	case c.req.Hop || c.tries >= maxTries:
		return false
	case res.peerFull:
		f.metrics.CountDecision(c.req.Service.Name, DecisionPeerFull)
		c.fullPeers++
		return c.fullPeers <= maxFullPeers
	}
	return f.takeRetry(c)
}

func (f *Forwarder) takeRetry(c *call) bool {
	s := c.req.Service
	if s.RetryBudget == nil || !s.RetryBudget.TryWithdraw() {
		f.metrics.CountDecision(s.Name, DecisionRetryDenied)
		return false
	}
	f.metrics.CountRetry(s.Name)
	return true
}

// releaseSlot releases a target's slot.
func (f *Forwarder) releaseSlot(service string, t *router.Target) {
	if t == nil {
		return
	}
	t.Gate.Release()
	f.queue(service).wake(1)
}

func (f *Forwarder) try(c *call, choice router.Choice) result {
	if choice.Peer != nil {
		return f.tryPeer(c, choice)
	}
	if !c.req.Service.AtMostOnce {
		return f.tryTarget(c, choice, nil)
	}
	e, ok := f.dedup.start(c.key, c.repeat, f.now(), c.req.Deadline)
	if !ok {
		f.releaseSlot(c.req.Service.Name, choice.Target)
		return f.replay(c, e != nil)
	}
	res := f.tryTarget(c, choice, e)
	if res.exchange == nil || res.exchange.complete {
		f.dedup.finish(c.key, e, res.outcome, res.requestRecord(), f.now())
	}
	return res
}

// replay returns the result of a request that was started here before, waiting
// for it if it still runs.
func (f *Forwarder) replay(c *call, hasEntry bool) result {
	if !hasEntry {
		return result{outcome: OutcomeNotRun, reason: ReasonOverloaded}
	}
	a, done := f.dedup.lookup(c.key, false, c.req.FirstSent, f.now())
	if done != nil {
		timer := time.NewTimer(time.Duration(c.req.Deadline - f.now()))
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		}
		a, _ = f.dedup.lookup(c.key, false, c.req.FirstSent, f.now())
	}
	if a.Fate == hornpb.Fate_FATE_RAN && a.HasResponse {
		return result{outcome: OutcomeRan, recorded: a, replayed: true}
	}
	return result{outcome: OutcomeUnknown, reason: ReasonDuplicate}
}

// requestRecord returns what is kept of a response for repeats.
func (r *result) requestRecord() RequestRecord {
	if r.outcome != OutcomeRan || r.exchange == nil || !r.exchange.complete {
		return RequestRecord{}
	}
	return RequestRecord{
		StatusCode:  r.exchange.header.StatusCode(),
		ContentType: string(r.exchange.header.ContentType()),
		Body:        append([]byte(nil), r.exchange.body...),
		HasResponse: true,
	}
}
