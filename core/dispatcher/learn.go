package dispatcher

import (
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
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that this instance ended the exchange itself, because its
	// caller has gone.
	Abandoned
	// Late means that no answer came before the request's deadline.
	Late
	// Silent means that no answer came in the time that it should have taken.
	Silent
)

// Done ends the exchange that a decision began. Took is its duration.
func (d *Decision) Done(r *Request, res Result, took time.Duration, now int64) {
	u := d.Upstream
	u.inflight.Add(-1)
	switch res {
	case Answered:
		u.reached(r.Key)
		u.learn(now, r.Route.work.learn(d, u, took), false)
	case Silent, Late:
		// The answer would have taken longer still.
		u.learn(now, r.Route.work.relative(d, u, took), took > lateShare*d.Expected)
	case Failed:
		u.learn(now, 0, true)
	case Shed:
		// Its load is reported apart; a refusal is no sign of a fault unless
		// there are many of them.
		u.learn(now, 0, true)
	case Unreachable:
		u.unreachable(now)
		u.learn(now, 0, true)
	case Abandoned:
	}
}

// Report takes over an upstream's report of its load.
func (d *Decision) Report(l Load, now int64) { d.Upstream.report(l, now) }

const (
	// lateShare is the multiple of the expected time from which on a missing
	// answer counts as a failure.
	lateShare = 2
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

// sample returns the part of the duration that is work, with the usual value.
func (w *work) sample(d *Decision, u *Upstream, took time.Duration) (t, usual float64) {
	usual = w.cold()
	if d.Warm {
		usual = w.warm()
	}
	return max(float64(took-u.Trip-d.Wait), float64(took)/4), usual
}

// relative returns how slow an exchange was relative to the usual time.
func (w *work) relative(d *Decision, u *Upstream, took time.Duration) float64 {
	t, usual := w.sample(d, u, took)
	return t / usual
}

// learn adds a sample and returns how slow it was relative to the usual time.
func (w *work) learn(d *Decision, u *Upstream, took time.Duration) float64 {
	t, usual := w.sample(d, u, took)
	value, count := &w.coldTime, &w.coldCount
	if d.Warm {
		value, count = &w.warmTime, &w.warmCount
	}
	if count.Add(1) >= counterSize {
		w.warmCount.Store(w.warmCount.Load()/2 + 1)
		w.coldCount.Store(w.coldCount.Load() / 2)
	}
	value.Store(int64(usual + (min(t, 3*usual)-usual)/workWeight))
	return t / usual
}
