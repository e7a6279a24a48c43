package dispatcher

import (
	"math"
	"sync/atomic"
	"time"
)

// Result is the outcome of an exchange with an upstream.
type Result uint8

// Results of an exchange.
const (
	// Answered means that a complete answer was received.
	Answered Result = iota
	// Failed means that the upstream returned an error or aborted the exchange.
	Failed
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreachable means that the upstream refused the connection or no longer
	// exists.
	Unreachable
	// Canceled means that this instance ended the exchange because the caller
	// disconnected.
	Canceled
	// DeadlineExceeded means that no answer was received before the request's
	// deadline.
	DeadlineExceeded
	// AttemptTimeout means that no answer was received within the time expected
	// for this attempt.
	AttemptTimeout
	// DialTimeout means that no connection could be opened in time: the upstream or
	// the network path to it is down.
	DialTimeout
	// PauseRequested means that the upstream refused the request without running it
	// and asked for a pause.
	PauseRequested
)

// Done records the end of the exchange that followed a decision. Took is the
// duration of the exchange.
func (d *Decision) Done(r *Request, res Result, took time.Duration, now int64) {
	u := d.Upstream
	u.inflight.Add(-1)
	switch res {
	case Answered, Failed, Shed, Unreachable, PauseRequested:
		u.path.recordAnswer(now)
	case DialTimeout:
		u.path.recordDialTimeout(now)
	}
	u.ramp.observe(res, now)
	switch res {
	case Answered:
		u.markReachable(r.Key)
		u.observe(now, r.serviceTime().observe(d, u, took), false)
	case AttemptTimeout, DeadlineExceeded:
		// The time so far is a lower bound of the latency.
		u.observe(now, r.serviceTime().slowdown(d, u, took), took > overdueFactor*d.Expected)
	case Failed:
		u.observe(now, 0, true)
	case Shed:
		// The upstream's load is reported separately. A single refusal is no sign
		// of a fault, but many of them are.
		u.observe(now, 0, true)
	case Unreachable, DialTimeout:
		u.MarkUnreachable(now)
		u.observe(now, 0, true)
		if res == Unreachable {
			u.ramp.start(now)
		}
	case PauseRequested:
		// The upstream has said how long the pause lasts, so nothing is estimated.
	case Canceled:
	}
}

// ReportLoad records a load report of the decision's upstream.
func (d *Decision) ReportLoad(l Load, now int64) { d.Upstream.report(l, now) }

const (
	// overdueFactor is the multiple of the expected latency beyond which a missing
	// answer counts as a failure.
	overdueFactor = 2
	// hitRateWeight is the number of samples that the hit rate averages over.
	hitRateWeight = 24
	// highHitRate is the hit rate above which a slow run on an upstream that is
	// assumed to be warm is attributed to the upstream, not to a cold key.
	highHitRate = 0.6
	// maxRunCount is the number of warm or cold runs from which on both counts are halved, so
	// that their ratio follows the recent runs.
	maxRunCount = 4096
	// serviceTimeWeight is the number of samples that a service time averages over.
	serviceTimeWeight = 32
	// initialWarmShare and initialColdShare are the service times before any
	// sample, as shares of the route's latency aim.
	initialWarmShare, initialColdShare = 0.35, 0.9
)

// serviceTime estimates how long the upstreams of a service run a request of a route,
// without round trip and queueing.
type serviceTime struct {
	aim                  atomic.Int64
	warmTime, coldTime   atomic.Int64
	warmCount, coldCount atomic.Int64
	// hitRate is the share of requests as fast as warm ones, among those whose key
	// was only assumed to be cached.
	hitRate movingAverage
}

// movingAverage is an exponentially weighted moving average. Its zero value is 0.
type movingAverage struct{ bits atomic.Uint64 }

func (a *movingAverage) value() float64 { return math.Float64frombits(a.bits.Load()) }

// add adds a sample. Weight is the number of samples to average over.
func (a *movingAverage) add(sample, weight float64) {
	old := a.value()
	// Concurrent calls may lose a sample, which hardly changes the average.
	a.bits.Store(math.Float64bits(old + (sample-old)/weight))
}

// likelyWarm returns the expected service time of a request whose key other
// instances are assumed to have sent to the upstream.
func (s *serviceTime) likelyWarm() float64 {
	h := s.hitRate.value()
	return h*s.warm() + (1-h)*s.cold()
}

// wasWarm classifies a run that took t as warm or cold. A slow run on an upstream
// that was assumed to be warm counts as cold while the hit rate is low, as after a
// start. Otherwise it counts as warm, on a slow upstream.
func (s *serviceTime) wasWarm(d *Decision, t float64) bool {
	if d.KnownWarm || !d.LikelyWarm {
		return d.LikelyWarm
	}
	fast := t < (s.warm()+s.cold())/2
	if fast {
		s.hitRate.add(1, hitRateWeight)
	} else {
		s.hitRate.add(0, hitRateWeight)
	}
	return fast || s.hitRate.value() > highHitRate
}

func (s *serviceTime) warm() float64 {
	if t := s.warmTime.Load(); t > 0 {
		return float64(t)
	}
	return initialWarmShare * float64(s.aim.Load())
}

func (s *serviceTime) cold() float64 {
	if t := s.coldTime.Load(); t > 0 {
		return max(float64(t), s.warm())
	}
	return max(initialColdShare*float64(s.aim.Load()), s.warm())
}

// mean returns the mean time that a request occupies a slot.
func (s *serviceTime) mean() float64 {
	warm, cold := float64(s.warmCount.Load()), float64(s.coldCount.Load())
	if warm+cold == 0 {
		return s.cold()
	}
	return (warm*s.warm() + cold*s.cold()) / (warm + cold)
}

// sample returns the service time within the duration of an exchange.
func (s *serviceTime) sample(d *Decision, u *Upstream, took time.Duration) float64 {
	return max(float64(took-u.RTT-d.Wait), float64(took)/4)
}

// slowdown returns the duration of an exchange without an answer relative to the
// estimated service time.
func (s *serviceTime) slowdown(d *Decision, u *Upstream, took time.Duration) float64 {
	estimate := s.cold()
	if d.KnownWarm {
		estimate = s.warm()
	}
	return s.sample(d, u, took) / estimate
}

// observe adds a sample and returns it relative to the estimate so far.
func (s *serviceTime) observe(d *Decision, u *Upstream, took time.Duration) float64 {
	t := s.sample(d, u, took)
	estimate, value, count := s.cold(), &s.coldTime, &s.coldCount
	if s.wasWarm(d, t) {
		estimate, value, count = s.warm(), &s.warmTime, &s.warmCount
	}
	if count.Add(1) >= maxRunCount {
		s.warmCount.Store(s.warmCount.Load()/2 + 1)
		s.coldCount.Store(s.coldCount.Load() / 2)
	}
	value.Store(int64(estimate + (min(t, 3*estimate)-estimate)/serviceTimeWeight))
	return t / estimate
}
