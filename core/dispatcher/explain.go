package dispatcher

import (
	"cmp"
	"slices"
	"time"
)

// Verdict says whether an upstream would take a request, or why not.
type Verdict string

// Verdicts on upstreams.
const (
	// Chosen means that the request would go to the upstream.
	Chosen Verdict = "chosen"
	// Costlier means that another upstream has a lower cost.
	Costlier Verdict = "costs more"
	// OtherKeys means that the upstream does not cache the request's key.
	OtherKeys Verdict = "not for this key"
	// NotHome means that it is in a region that the route or the workspace excludes.
	NotHome Verdict = "not in a home region"
	// Leaving means that it takes no new requests.
	Leaving Verdict = "leaving"
	// PausedUpstream and LimitedUpstream mean that it has asked for a pause, or that this
	// instance has used its share of its limit.
	PausedUpstream  Verdict = "paused"
	LimitedUpstream Verdict = "limited"
	// RampingUp means that it has started or recovered and does not take the request's key
	// yet.
	RampingUp Verdict = "ramping up"
	// ColdUpstream means that it is cold and this instance has used its share of its rate.
	ColdUpstream Verdict = "cold"
	// TooLate means that it would answer after the deadline, or that the queue is longer
	// than the aim.
	TooLate Verdict = "too late"
)

// Explained is an upstream with what the decision is based on.
type Explained struct {
	Upstream *Upstream
	Verdict  Verdict
	// Cost is the expected latency with all penalties. It and the following are 0 unless
	// the upstream is a candidate.
	Cost, Expected, ExpectedCold, Wait time.Duration
	Load                               float64
	ReportAge                          time.Duration
	// Slowdown is the service time relative to the usual, FailureRate the share of failed
	// requests.
	Slowdown, FailureRate float64
	KnownWarm             bool
	// Cold is how long the upstream stays cold, Pause how long it wants no requests.
	Cold, Pause time.Duration
}

// Explanation is what Choose would decide. The limit on moves between regions, which depends
// on the requests before, is left out: it may keep a request in the region where the one
// before ran.
type Explanation struct {
	// Upstreams are those of the pool, the chosen one first, candidates before others.
	Upstreams []Explained
	// Reason says why the request would be refused, RetryAfter when the caller may come
	// back. Reason is empty if an upstream is chosen.
	Reason     Reason
	RetryAfter time.Duration
}

// Explain returns what Choose would decide now. It sends nothing and changes nothing: no
// counter, no share and no estimate.
func Explain(r *Request) (x Explanation) {
	r.preview = true
	candidates := r.allCandidates(nil)
	r.score(candidates)
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	chosen := false
	for i := range candidates {
		e := r.describe(&candidates[i])
		if e.Verdict = r.verdict(&candidates[i]); e.Verdict == Chosen {
			if chosen {
				e.Verdict = Costlier
			}
			chosen = true
		}
		x.Upstreams = append(x.Upstreams, e)
	}
	for _, u := range r.Pool.Upstreams {
		if !isCandidate(candidates, u) {
			x.Upstreams = append(x.Upstreams, Explained{Upstream: u, Verdict: r.exclusion(u), Cold: remaining(u.coldUntil.Load(), r.Now), Pause: remaining(u.flow.pausedUntil.Load(), r.Now)})
		}
	}
	slices.SortStableFunc(x.Upstreams, func(a, b Explained) int { return cmp.Compare(a.order(), b.order()) })
	switch {
	case chosen:
	case len(candidates) == 0:
		d := r.noCandidate()
		x.Reason, x.RetryAfter = d.Reason, d.RetryAfter
	default:
		x.Reason, x.RetryAfter = Overload, r.retryAfter(max(candidates[0].wait, minRetryAfter))
	}
	return x
}

// order sorts the chosen upstream before other candidates, and these before the rest.
func (e *Explained) order() int {
	switch {
	case e.Verdict == Chosen:
		return 0
	case e.Cost > 0:
		return 1
	}
	return 2
}

func isCandidate(candidates []candidate, u *Upstream) bool {
	return slices.ContainsFunc(candidates, func(c candidate) bool { return c.upstream == u })
}

// describe returns a candidate's figures.
func (r *Request) describe(c *candidate) Explained {
	s := c.upstream.snapshot(r.Now, r.Key)
	return Explained{
		Upstream: c.upstream, Cost: time.Duration(c.cost), Expected: c.expected, ExpectedCold: c.expectedCold, Wait: c.wait,
		Load: c.load, ReportAge: c.reportAge, Slowdown: s.slowdown, FailureRate: s.failureRate, KnownWarm: c.knownWarm,
		Cold: remaining(c.upstream.coldUntil.Load(), r.Now), Pause: remaining(c.upstream.flow.pausedUntil.Load(), r.Now),
	}
}

// verdict returns whether a candidate would take the request if it has the lowest cost.
func (r *Request) verdict(c *candidate) Verdict {
	switch {
	case int64(c.expected) > r.Deadline-r.Now || r.queueTooLong(c):
		return TooLate
	case c.upstream.cold(r.Now) && (c.upstream.coldInterval.Load() == 0 || r.Now < c.upstream.nextCold.Load()):
		return ColdUpstream
	}
	return Chosen
}

// exclusion returns why an upstream is no candidate.
func (r *Request) exclusion(u *Upstream) Verdict {
	switch {
	case u.Closed():
		return Leaving
	case !r.allowedRegion(u):
		return NotHome
	case u.Paused(r.Now):
		return PausedUpstream
	case r.Now < u.limitOpensAt():
		return LimitedUpstream
	case !u.takes(r):
		return RampingUp
	}
	return OtherKeys
}

// remaining returns the time from now until a point in time, 0 if it has passed.
func remaining(until, now int64) time.Duration { return time.Duration(max(0, until-now)) }
