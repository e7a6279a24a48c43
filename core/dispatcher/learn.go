package dispatcher

import (
	"math"
	"sync/atomic"
	"time"
)

// Result says how an exchange ended.
type Result uint8

// Results of an exchange.
const (
	// Answered means that a whole answer came.
	Answered Result = iota
	// Failed means that the upstream failed the request or broke the exchange off.
	Failed
	// Shed means that the upstream refused the request without running it.
	Shed
	// Unreachable means that the upstream takes no connection, or is not there any
	// more.
	Unreachable
	// Abandoned means that this instance ended the exchange itself, because its
	// caller has gone.
	Canceled
	// Late means that no answer came before the request's deadline.
	DeadlineExceeded
	// Silent means that no answer came in the time that it should have taken.
	AttemptTimeout
	// DialTimeout means that no connection could be opened in time: the upstream or
	// the way to it is gone.
	DialTimeout
	// Deferred means that the upstream refused the request without running it and
	// asked for a pause.
	PauseRequested
)

// Done ends the exchange that a decision began. Took is its duration.
func (d *Decision) Done(r *Request, res Result, took time.Duration, now int64) {
	u := d.Upstream
	u.inflight.Add(-1)
	switch res {
	case Answered, Failed, Shed, Unreachable, PauseRequested:
		u.path.answer(now)
	case DialTimeout:
		u.path.timeout(now)
	}
	switch res {
	case Answered:
		u.reached(r.Key)
		u.learn(now, r.Route.work.learn(d, u, took), false)
	case AttemptTimeout, DeadlineExceeded:
		// The answer would have taken longer still.
		u.learn(now, r.Route.work.relative(d, u, took), took > lateShare*d.Expected)
	case Failed:
		u.learn(now, 0, true)
	case Shed:
		// Its load is reported apart; a refusal is no sign of a fault unless
		// there are many of them.
		u.learn(now, 0, true)
	case Unreachable, DialTimeout:
		u.unreachable(now)
		u.learn(now, 0, true)
	case PauseRequested:
		// It has said itself until when it wants nothing.
	case Canceled:
	}
}

// Report takes over an upstream's report of its load.
func (d *Decision) ReportLoad(l Load, now int64) { d.Upstream.report(l, now) }

const (
	// lateShare is the multiple of the expected time from which on a missing
	// answer counts as a failure.
	lateShare = 2
	// hitWeight is the number of samples over which hits are taken, usualHits the
	// share above which a slow run on an upstream that should know the key is the
	// upstream's fault.
	hitWeight = 24
	usualHits = 0.6
	// workWeight is the weight of one sample in the usual time of a route.
	workWeight = 32
	// warmShare and coldShare of a route's aim are its work before any sample.
	warmShare, coldShare = 0.35, 0.9
)

// work is the usual time that requests of a route take on an upstream, without
// distance and wait.
type work struct {
	aim                  atomic.Int64
	warmTime, coldTime   atomic.Int64
	warmCount, coldCount atomic.Int64
	// hits is the share of the requests whose key was only assumed to be known
	// that were answered as fast as with a known one.
	hits average
}

// average is a mean of samples that forgets old ones. Its zero value is 0.
type average struct{ bits atomic.Uint64 }

func (a *average) value() float64 { return math.Float64frombits(a.bits.Load()) }

// add adds a sample; weight is the number of samples over which the mean is
// taken.
func (a *average) add(sample, weight float64) {
	old := a.value()
	// A lost update among many is no harm.
	a.bits.Store(math.Float64bits(old + (sample-old)/weight))
}

// assumed is the time of a run whose key other instances should have sent to
// the upstream.
func (w *work) assumed() float64 {
	h := w.hits.value()
	return h*w.warm() + (1-h)*w.cold()
}

// isWarm judges whether a run knew its key. What looks cold on an upstream that
// should have known it is cold if that is usual at the time, as after a start,
// and slow otherwise.
func (w *work) isWarm(d *Decision, t float64) bool {
	if d.KnownWarm || !d.LikelyWarm {
		return d.LikelyWarm
	}
	fast := t < (w.warm()+w.cold())/2
	if fast {
		w.hits.add(1, hitWeight)
	} else {
		w.hits.add(0, hitWeight)
	}
	return fast || w.hits.value() > usualHits
}

func (w *work) warm() float64 {
	if t := w.warmTime.Load(); t > 0 {
		return float64(t)
	}
	return warmShare * float64(w.aim.Load())
}

func (w *work) cold() float64 {
	if t := w.coldTime.Load(); t > 0 {
		return max(float64(t), w.warm())
	}
	return max(coldShare*float64(w.aim.Load()), w.warm())
}

// mean is the time that a slot is taken for one request.
func (w *work) mean() float64 {
	warm, cold := float64(w.warmCount.Load()), float64(w.coldCount.Load())
	if warm+cold == 0 {
		return w.cold()
	}
	return (warm*w.warm() + cold*w.cold()) / (warm + cold)
}

// sample returns the part of the duration that is work.
func (w *work) sample(d *Decision, u *Upstream, took time.Duration) float64 {
	return max(float64(took-u.RTT-d.Wait), float64(took)/4)
}

// relative returns how slow an exchange without an answer was relative to the
// usual time.
func (w *work) relative(d *Decision, u *Upstream, took time.Duration) float64 {
	usual := w.cold()
	if d.KnownWarm {
		usual = w.warm()
	}
	return w.sample(d, u, took) / usual
}

// learn adds a sample and returns how slow it was relative to the usual time.
func (w *work) learn(d *Decision, u *Upstream, took time.Duration) float64 {
	t := w.sample(d, u, took)
	usual, value, count := w.cold(), &w.coldTime, &w.coldCount
	if w.isWarm(d, t) {
		usual, value, count = w.warm(), &w.warmTime, &w.warmCount
	}
	if count.Add(1) >= counterSize {
		w.warmCount.Store(w.warmCount.Load()/2 + 1)
		w.coldCount.Store(w.coldCount.Load() / 2)
	}
	value.Store(int64(usual + (min(t, 3*usual)-usual)/workWeight))
	return t / usual
}
