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
	// caller has gone or the time was over.
	Abandoned
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
	case Failed, Silent:
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

// learn adds a sample and returns how slow it was relative to the usual time.
func (w *work) learn(d *Decision, u *Upstream, took time.Duration) float64 {
	t := max(float64(took-u.Trip-d.Wait), float64(took)/4)
	value, count, usual := &w.coldTime, &w.coldCount, w.cold()
	if d.Warm {
		value, count, usual = &w.warmTime, &w.warmCount, w.warm()
	}
	if n := count.Add(1); n >= counterSize {
		count.Store(n / 2)
		(&w.warmCount).Store(w.warmCount.Load()/2 + 1)
	}
	sample := min(t, 3*usual)
	value.Store(int64(usual + (sample-usual)/workWeight))
	return t / usual
}
