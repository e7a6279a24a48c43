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
	// maxMisses bounds the extra hops of a request that other instances refuse
	// for lack of a free slot. They cost no upstream anything.
	maxMisses = 3
	// settleTime is how long a slot stays taken after its request was cancelled,
	// because the upstream learns of it later.
	settleTime = 50 * time.Millisecond
)

// call is a request on its way.
type call struct {
	forwarder *Forwarder

	ctx   *fasthttp.RequestCtx
	req   *Request
	q     router.Request
	tried router.Tried
	// key is set for once-services.
	key entryKey
	// repeat tells that this request is a repeat which may run.
	repeat bool
	head   bool
	// base is the request's head without the fields that differ between tries.
	base []byte
	// body is a small body, which can be sent again; stream a large one.
	body   []byte
	stream io.Reader
	size   int64
	// spent tells that stream has been read from.
	spent  bool
	tries  int
	misses int
	// next is the place of a retry that is already paid for.
	next router.Choice
	// until is the end of the wait for a slot, once that has begun.
	until int64
	// hedge is set for a second try, won is what it has brought to the first.
	hedge *hedge
	// link is charged with the request's body.
	link *limiter.BandwidthLimiter
	won  result
	// doubt tells that an earlier try may have run.
	doubt bool
}

// result is the end of a try.
type result struct {
	outcome Outcome
	reason  router.Reason
	// miss tells that another instance had no free slot.
	miss bool
	// again tells that the try may be repeated elsewhere.
	again bool
	// x has an answer to pass on.
	x *exchange
	// end runs when x has been passed on.
	end  func(whole bool)
	link *limiter.BandwidthLimiter
	// first is the kept answer to an earlier send of the request.
	first RequestRecord
	kept  bool
}

// Forward carries a request and writes its answer.
func (f *Forwarder) Forward(ctx *fasthttp.RequestCtx, r *Request) {
	c := f.acquireCall(ctx, r)
	defer c.release()
	if !r.Hop {
		if !r.Table.AcquireEntry(&c.q, f.now()) {
			f.answer(c, result{outcome: r.UnsentOutcome(), reason: ReasonOverloaded})
			return
		}
		defer f.exit(c)
	}
	if err := c.load(); err != nil {
		f.refuseBody(c, err)
		return
	}
	f.answer(c, f.place(c))
}

// exit ends the request's stay at this instance, unless a stream goes on, which
// ends it later.
func (f *Forwarder) exit(c *call) {
	if !c.ctx.Response.IsBodyStream() {
		c.req.Table.ReleaseEntry()
	}
}

// place runs a request, after it has settled whether it may run.
func (f *Forwarder) place(c *call) result {
	r := c.req
	if !r.Service.AtMostOnce {
		return f.run(c)
	}
	c.key = entryKey{r.Service.Name, string(r.ID)}
	c.repeat = r.Attempt > 1
	if r.Hop || !r.IDFromCaller {
		return f.run(c)
	}
	if !c.repeat {
		seen, ok := f.record.note(c.key, f.now(), r.Deadline)
		if !ok {
			return result{outcome: OutcomeNotRun, reason: ReasonOverloaded}
		}
		if !seen {
			return f.runNoted(c)
		}
		c.repeat = true
		r.Attempt = 2
	}
	return f.runRepeat(c)
}

func (f *Forwarder) runNoted(c *call) result {
	res := f.run(c)
	if res.outcome == OutcomeNotRun && !f.record.unnote(c.key) {
		return result{outcome: OutcomeUnknown, reason: ReasonFenced}
	}
	return res
}

func (f *Forwarder) runRepeat(c *call) result {
	f.metrics.CountDecision(c.req.Service.Name, DecisionQueried)
	v, a := f.inquire(c)
	switch {
	case v == answered && a.HasResponse:
		f.metrics.CountDecision(c.req.Service.Name, DecisionReplayed)
		return result{outcome: OutcomeRan, first: a, kept: true}
	case v != mayRun:
		return result{outcome: OutcomeUnknown, reason: ReasonDuplicate}
	}
	res := f.run(c)
	if res.outcome == OutcomeNotRun {
		f.record.giveBack(c.key, f.now())
	}
	return res
}

// run tries places until one has answered or no further try is safe and paid
// for.
func (f *Forwarder) run(c *call) result {
	last := result{outcome: OutcomeNotRun}
	for {
		choice, reason := f.choose(c)
		if reason != router.OK {
			if last.reason == "" {
				last.reason = reason
			}
			return c.conclude(last)
		}
		c.tries++
		c.tried.Add(choice)
		f.decided(c, choice)
		res := f.try(c, choice)
		c.doubt = c.doubt || res.outcome == OutcomeUnknown
		if !res.again || c.spent || !f.mayRetry(c, res) {
			return c.conclude(res)
		}
		last = res
	}
}

// decided counts where a request goes.
func (f *Forwarder) decided(c *call, choice router.Choice) {
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

// conclude makes the outcome of the last try that of the request.
func (c *call) conclude(res result) result {
	if res.outcome == OutcomeNotRun && c.doubt {
		res.outcome = OutcomeUnknown
	}
	return res
}

// choose returns the next place, waiting a little for a slot if none is free.
// The last try comes after the wait, when the refusals before it have aged.
func (f *Forwarder) choose(c *call) (router.Choice, router.Reason) {
	if c.misses < maxMisses {
		choice, reason := c.req.Table.Choose(&c.q, f.now(), &c.tried)
		if reason != router.NoFreeSlot || c.req.Hop || c.tries > c.misses {
			return choice, reason
		}
	}
	f.metrics.CountDecision(c.req.Service.Name, DecisionQueued)
	return f.queue(c.req.Service.Name).wait(f, c)
}

// mayRetry tells whether another try is allowed after res. A hop is tried once
// here, because its origin tries again.
func (f *Forwarder) mayRetry(c *call, res result) bool {
	switch {
	case c.req.Hop || c.tries >= maxTries:
		return false
	case res.miss:
		f.metrics.CountDecision(c.req.Service.Name, DecisionPeerFull)
		c.misses++
		return c.misses <= maxMisses
	}
	return f.payRetry(c)
}

func (f *Forwarder) payRetry(c *call) bool {
	s := c.req.Service
	if s.RetryBudget == nil || !s.RetryBudget.TryWithdraw() {
		f.metrics.CountDecision(s.Name, DecisionRetryDenied)
		return false
	}
	f.metrics.CountRetry(s.Name)
	return true
}

// free gives the slot of a target back.
func (f *Forwarder) free(service string, t *router.Target) {
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
	e, ok := f.record.start(c.key, c.repeat, f.now(), c.req.Deadline)
	if !ok {
		f.free(c.req.Service.Name, choice.Target)
		return f.first(c, e != nil)
	}
	res := f.tryTarget(c, choice, e)
	if res.x == nil || res.x.whole {
		f.record.end(c.key, e, res.outcome, res.account(), f.now())
	}
	return res
}

// first answers a request that has been started here before.
func (f *Forwarder) first(c *call, room bool) result {
	if !room {
		return result{outcome: OutcomeNotRun, reason: ReasonOverloaded}
	}
	a, done := f.record.account(c.key, false, c.req.FirstSent, f.now())
	if done != nil {
		timer := time.NewTimer(time.Duration(c.req.Deadline - f.now()))
		defer timer.Stop()
		select {
		case <-done:
		case <-timer.C:
		}
		a, _ = f.record.account(c.key, false, c.req.FirstSent, f.now())
	}
	if a.Fate == hornpb.Fate_FATE_RAN && a.HasResponse {
		return result{outcome: OutcomeRan, first: a, kept: true}
	}
	return result{outcome: OutcomeUnknown, reason: ReasonDuplicate}
}

// account is what is kept of an answer.
func (r *result) account() RequestRecord {
	if r.outcome != OutcomeRan || r.x == nil || !r.x.whole {
		return RequestRecord{}
	}
	return RequestRecord{
		StatusCode:  r.x.header.StatusCode(),
		ContentType: string(r.x.header.ContentType()),
		Body:        append([]byte(nil), r.x.body...),
		HasResponse: true,
	}
}
