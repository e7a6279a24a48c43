package runner

import (
	"cmp"
	"net"
	"time"

	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/relayer"
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
	// lastResponseTime is the time before the exit from which on no request is read. No
	// deadline of an accepted request is in it.
	lastResponseTime = relayer.ExitResponseTime
	// acceptQueueTime is how long connections that the kernel has queued are accepted
	// before the listener is closed.
	acceptQueueTime = 20 * time.Millisecond
)

// shutdownSchedule has the times of the phases of a graceful shutdown. Each phase keeps the
// restrictions of those before it.
//
//	from           connections                       requests
//	start          closed after their next response  served, if they end before the exit
//	closeIdle      closed when idle                   as before
//	closeListener  none is accepted                   as before
//	endReads       closed when nothing has arrived   none is read, those read are answered
//	exit           all closed                        none in progress
//
// The process exits as soon as the listener and all connections are closed, from
// closeListener on. No request can arrive then. At exit it exits in any case.
type shutdownSchedule struct {
	start, closeIdle, closeListener, endReads, exit time.Time
}

// newShutdownSchedule returns the schedule of a shutdown that may take the given time.
func newShutdownSchedule(start time.Time, timeout time.Duration) shutdownSchedule {
	exit := start.Add(max(0, timeout-exitMargin))
	earlier := func(t, limit time.Time) time.Time {
		if t.After(limit) {
			return limit
		}
		return t
	}
	after := func(share float64) time.Time { return start.Add(time.Duration(share * float64(timeout))) }
	s := shutdownSchedule{start: start, exit: exit}
	s.endReads = exit.Add(-lastResponseTime)
	if s.endReads.Before(start) {
		s.endReads = start
	}
	s.closeListener = earlier(after(closeListenerShare), s.endReads)
	s.closeIdle = earlier(after(closeIdleShare), s.closeListener)
	return s
}

// shutdown stops the instance gracefully. It first announces that the instance
// leaves, so that callers move to other instances, while it still serves.
func (r *Runner) shutdown(front net.Listener) {
	// There is no view yet if the instance has just started.
	timeout := cmp.Or(r.currentView().Bounds.Stop, r.cfg.Bounds.Stop)
	s := newShutdownSchedule(time.Now(), timeout)
	now := r.now()
	r.relayer.StartDrain()
	r.relayer.SetExitTime(now+int64(s.exit.Sub(s.start)), now+int64(longRunShare*float64(timeout)))
	r.logShutdown("announced", s.start)
	r.post(steerer.ShutdownStarted{Now: now})
	time.Sleep(time.Until(s.closeIdle))
	r.logShutdown("closing idle connections", s.start)
	r.relayer.CloseIdleConnections()
	time.Sleep(time.Until(s.closeListener))
	closeAfterQueue(front)
	r.logShutdown("closing listener", s.start)
	if r.awaitNoConns(s.endReads) {
		return
	}
	r.logShutdown("ending reads", s.start)
	r.relayer.EndReads()
	r.awaitNoConns(s.exit)
}

// closeAfterQueue closes a listener after the connections that the kernel has queued have been
// accepted.
func closeAfterQueue(ln net.Listener) {
	if tcp, ok := ln.(*net.TCPListener); ok && tcp.SetDeadline(time.Now().Add(acceptQueueTime)) == nil {
		return
	}
	_ = ln.Close()
}

// awaitNoConns closes idle connections until the given time, or until no connection of a
// caller is left and none can be accepted. It reports whether that is so.
func (r *Runner) awaitNoConns(until time.Time) bool {
	for {
		r.relayer.CloseIdleConnections()
		select {
		case <-r.frontClosed:
			if r.relayer.Conns().Open == 0 {
				return true
			}
		default:
			// A connection may be accepted.
		}
		remaining := time.Until(until)
		if remaining <= 0 {
			return false
		}
		time.Sleep(min(remaining, tickInterval/5))
	}
}

// logShutdown logs a phase of the shutdown that began at start.
func (r *Runner) logShutdown(phase string, start time.Time) {
	n := r.relayer.Conns()
	r.cfg.Log.Info("shutdown", "phase", phase, "after", time.Since(start).Milliseconds(), "connections", n.Open, "requests", n.Active, "idle", n.Idle)
}
