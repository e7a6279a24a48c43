package runner

import (
	"net"
	"time"

	"hornbeamstream.example/core/steerer"
)

const (
	// closeIdleShare is the fraction of the graceful shutdown period after which
	// idle connections are closed, closeListenerShare the fraction after which no
	// new connections are accepted.
	closeIdleShare, closeListenerShare = 0.5, 0.75
	// longRunShare is the fraction of the graceful shutdown period in which requests are
	// accepted whose deadlines are later than the exit.
	longRunShare = 0.3
	// exitMargin is the end of the shutdown period that is reserved for the exit of
	// the process.
	exitMargin = 600 * time.Millisecond
)

// shutdown stops the instance gracefully. It first announces that the instance
// leaves, so that callers move to other instances, while it still serves. It then
// closes idle connections, later the listener, and waits for requests in progress.
func (r *Runner) shutdown(front net.Listener) {
	start, timeout := time.Now(), r.currentView().Bounds.Stop
	deadline := start.Add(timeout - exitMargin)
	at := func(share float64) time.Time {
		return start.Add(time.Duration(share * float64(timeout)))
	}
	r.logShutdown("announced", start)
	r.events <- steerer.ShutdownStarted{Now: r.now()}
	r.relayer.StartDrain()
	now := r.now()
	r.relayer.SetExitTime(now+int64(timeout-exitMargin), now+int64(longRunShare*float64(timeout)))
	time.Sleep(time.Until(at(closeIdleShare)))
	r.logShutdown("closing idle connections", start)
	r.relayer.CloseIdleConnections()
	time.Sleep(time.Until(at(closeListenerShare)))
	_ = front.Close()
	r.logShutdown("closed listener", start)
	for time.Now().Before(deadline) {
		r.relayer.CloseIdleConnections()
		if r.relayer.Conns().Active == 0 {
			r.logShutdown("no request in progress", start)
			// The end of a response may still be in a kernel buffer.
			time.Sleep(tickInterval)
			return
		}
		time.Sleep(tickInterval / 2)
	}
}

// logShutdown logs a phase of the shutdown that began at start.
func (r *Runner) logShutdown(phase string, start time.Time) {
	n := r.relayer.Conns()
	r.cfg.Log.Info("shutdown", "phase", phase, "after", time.Since(start).Milliseconds(), "connections", n.Open, "requests", n.Active, "idle", n.Idle)
}
