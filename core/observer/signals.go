package observer

import "time"

// sourceCount is the number of sources of signals.
const sourceCount = FromRefusedConnections + 1

const (
	// refusalThreshold is the number of refused connections, without an accepted
	// one in between, that count as a leaving signal. A single one can be
	// transient.
	refusalThreshold = 3
	// refusalWindow is the time after which a refusal starts a new run.
	refusalWindow = 2 * time.Second
	// minHoldDown is how long a leaving signal in a response overrides health
	// reports that never said leaving, because health reports can be frozen. It
	// doubles up to maxHoldDown with every further such signal.
	minHoldDown = 30 * time.Second
	maxHoldDown = 8 * time.Minute
)

// sourceSignal is the newest signal of one source.
type sourceSignal struct {
	leaving bool
	at      time.Time
}

// signals are the leaving and ready signals of one upstream.
type signals struct {
	latest [sourceCount]sourceSignal
	// newestAt holds the time of each source's newest signal.
	newestAt [sourceCount]time.Time
	// refusals counts the refused connections of the current run, the newest of
	// which was at lastRefusal.
	refusals    int
	lastRefusal time.Time
	// holdDown is the length of the newest hold-down, which ends at
	// holdDownUntil. confirmed reports whether a health report has said leaving
	// or cold since its start.
	holdDown      time.Duration
	holdDownUntil time.Time
	confirmed     bool
}

func (s Source) cause() string {
	switch s {
	case FromConfig:
		return "drained by ticket"
	case FromPlatform:
		return "leaving by the platform's list"
	case FromUpstream:
		return "leaving by its own signal"
	case FromRefusedConnections:
		return "connections refused"
	}
	return "leaving"
}

// recordSignal records a signal if it is newer than the source's previous one.
// Of two signals with the same time, leaving takes precedence.
func (u *upstream) recordSignal(source Source, leaving bool, at, now time.Time) {
	m := &u.latest[source]
	if at.Before(m.at) || at.Equal(m.at) && !leaving {
		return
	}
	_, _, before := u.leaving()
	if m.leaving && leaving {
		// The time of the first signal is kept, but a ready signal has to be
		// newer than the newest one.
		if at.After(u.newestAt[source]) {
			u.newestAt[source] = at
		}
		return
	}
	if !leaving && m.leaving && !at.After(u.newestAt[source]) {
		return
	}
	*m = sourceSignal{leaving, at}
	u.newestAt[source] = at
	if _, _, after := u.leaving(); before && !after {
		u.slowStart(now, u.spec.Slots)
	}
}

// leaving returns the time and the source of the first leaving signal.
func (g *signals) leaving() (since time.Time, source Source, ok bool) {
	for i, m := range g.latest {
		if m.leaving && (!ok || m.at.Before(since)) {
			since, source, ok = m.at, Source(i), true
		}
	}
	return since, source, ok
}

// recordRefusals counts refused connections.
func (u *upstream) recordRefusals(now time.Time, n int) {
	if now.Sub(u.lastRefusal) > refusalWindow {
		u.refusals = 0
	}
	u.refusals += n
	u.lastRefusal = now
	if u.refusals >= refusalThreshold {
		u.recordSignal(FromRefusedConnections, true, now, now)
		return
	}
	// An early probe detects a run within a second.
	u.expedite(now)
}

// recordAccepted ends a run of refusals that is older than the accepted
// connection.
func (u *upstream) recordAccepted(sent, now time.Time) {
	if !sent.After(u.lastRefusal) {
		return
	}
	u.refusals = 0
	if u.latest[FromRefusedConnections].leaving {
		u.recordSignal(FromRefusedConnections, false, sent, now)
	}
}

// startHoldDown begins a hold-down after a leaving signal that did not come from
// a health report, unless the upstream is already leaving or held down.
func (g *signals) startHoldDown(now time.Time) {
	if g.latest[FromUpstream].leaving || now.Before(g.holdDownUntil) {
		return
	}
	g.holdDown = min(max(2*g.holdDown, minHoldDown), maxHoldDown)
	g.holdDownUntil = now.Add(g.holdDown)
	g.confirmed = false
}

// recordHealth records the state in a health report as a signal. A report
// overrides a signal in a response only if reports have said leaving or cold
// since, or if the hold-down has ended.
func (u *upstream) recordHealth(e Probed, leaving bool) {
	if leaving || e.Health.State == "cold" {
		u.confirmed = true
	}
	if !leaving && !u.confirmed && e.Sent.Before(u.holdDownUntil) {
		return
	}
	if !leaving && !u.latest[FromUpstream].leaving {
		return
	}
	at := e.Sent
	if leaving {
		at = e.Now
	}
	u.recordSignal(FromUpstream, leaving, at, e.Now)
	if !leaving && u.confirmed {
		u.holdDown, u.holdDownUntil = 0, time.Time{}
	}
}
