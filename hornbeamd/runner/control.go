package runner

import (
	"context"
	"time"

	"hornbeamstream.example/core/allocator"
	"hornbeamstream.example/core/steerer"
)

// minLoggedGap is the duration of a step of the control loop from which on it is logged.
const minLoggedGap = 300 * time.Millisecond

// runControl is the control loop. Its goroutine owns the state.
func (r *Runner) runControl(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	lastMaintenance, lastSample := int64(0), int64(0)
	gapStart := r.now()
	r.heartbeat.beatAt = gapStart
	effects := r.step(steerer.SettingsChanged{Now: r.now(), Bounds: r.cfg.Bounds, Regions: r.cfg.Regions})
	for {
		r.executeAll(effects)
		r.recordGap(&gapStart, "effects")
		var e steerer.Event
		select {
		case <-ctx.Done():
			return nil
		case e = <-r.events:
		case <-tick.C:
			e = steerer.Tick{Now: r.now()}
			if r.now()-lastMaintenance >= int64(time.Second) {
				lastMaintenance = r.now()
				r.recoverer.Do("maintenance", r.relayer.Maintain)
				r.logRamps()
			}
		}
		r.recordGap(&gapStart, "wait")
		if now := r.now(); r.heartbeat.beat(now) {
			// The event may have waited since before the pause, so it comes second.
			r.executeAll(r.step(steerer.Resumed{Now: now}))
			r.heartbeat.renew()
		}
		effects = r.step(e)
		r.recordGap(&gapStart, "event")
		if now := r.now(); now-lastSample >= int64(allocator.ReportInterval) {
			lastSample = now
			effects = append(effects, r.sampleUsage(now)...)
		}
	}
}

// sampleUsage returns the effects of the use of the workspaces' allowances.
func (r *Runner) sampleUsage(now int64) []steerer.Effect {
	reports := r.tableBuilder.SampleUsage(now)
	if len(reports) == 0 {
		return nil
	}
	return r.step(steerer.UsageSampled{Now: now, Start: r.processStart, Reports: reports})
}

func (r *Runner) executeAll(effects []steerer.Effect) {
	for _, x := range effects {
		r.recoverer.Do("effect", func() { r.execute(x) })
	}
}

// step applies an event to the state. A panic is recovered and the event has no
// effect.
func (r *Runner) step(e steerer.Event) (effects []steerer.Effect) {
	before := r.state
	if steerer.CarriesObjects(e) {
		// Only data from other writers can be malformed, so the state isn't copied
		// for every tick and beacon.
		before = r.state.Clone()
	}
	if !r.recoverer.Do("event", func() { r.state, effects = steerer.Step(r.state, e) }) {
		r.state = before
	}
	return effects
}

// recordGap records the time since the end of the control loop's previous step, and sets it
// to now. A step is the wait for an event, its application to the state, or the execution of
// its effects.
func (r *Runner) recordGap(since *int64, step string) {
	now := r.now()
	gap := time.Duration(now - *since)
	*since = now
	r.metrics.controlGaps.WithLabelValues(step).Observe(gap.Seconds())
	if gap >= minLoggedGap {
		r.cfg.Log.Info("control loop stalled", "step", step, "took", gap.Milliseconds())
	}
}
