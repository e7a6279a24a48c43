package observer

import "time"

// sources is the number of sources of signals.
const sources = FromRefusedConnections + 1

const (
	// refusedRun is the number of refused connections, without an accepted one
	// in between, that count as a leaving signal. One can be an accident.
	refusedRun = 3
	// refusedTerm is the time after which refusals no longer belong to a run.
	refusedTerm = 2 * time.Second
	// readyHold is how long a leaving signal in an answer outweighs health
	// reports that never said leaving, because health reports can be frozen. It
	// doubles up to readyHoldMax with every further such signal.
	readyHold    = 30 * time.Second
	readyHoldMax = 8 * time.Minute
)

// mark is the newest signal of one source.
type mark struct {
	leaving bool
	at      time.Time
}

// signals are the leaving and ready signals of one upstream.
type signals struct {
	marks [sources]mark
	// last are the times of each source's newest signal.
	last [sources]time.Time
	// refusals counts the refused connections of the present run, whose newest
	// was at refusedAt.
	refusals  int
	refusedAt time.Time
	// hold is the length of the newest hold, which ends at holdUntil; agreed
	// tells that a health report has said leaving or cold since its start.
	hold      time.Duration
	holdUntil time.Time
	agreed    bool
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

// mark takes a signal over if it is newer than the source's last one. At the
// same time, leaving wins.
func (u *upstream) mark(source Source, leaving bool, at, now time.Time) {
	m := &u.marks[source]
	if at.Before(m.at) || at.Equal(m.at) && !leaving {
		return
	}
	_, _, before := u.leaving()
	if m.leaving && leaving {
		// The time of the first signal is kept, but a ready signal has to be
		// newer than the last one.
		if at.After(u.last[source]) {
			u.last[source] = at
		}
		return
	}
	if !leaving && m.leaving && !at.After(u.last[source]) {
		return
	}
	*m = mark{leaving, at}
	u.last[source] = at
	if _, _, after := u.leaving(); before && !after {
		u.restart(now, u.spec.Slots)
	}
}

// leaving returns the time and the source of the first leaving signal.
func (g *signals) leaving() (since time.Time, source Source, ok bool) {
	for i, m := range g.marks {
		if m.leaving && (!ok || m.at.Before(since)) {
			since, source, ok = m.at, Source(i), true
		}
	}
	return since, source, ok
}

// refused counts refused connections.
func (u *upstream) refused(now time.Time, n int) {
	if now.Sub(u.refusedAt) > refusedTerm {
		u.refusals = 0
	}
	u.refusals += n
	u.refusedAt = now
	if u.refusals >= refusedRun {
		u.mark(FromRefusedConnections, true, now, now)
		return
	}
	// The next probe comes soon, so that a run is seen within a second.
	u.expedite(now)
}

// accepted ends a run of refusals that is older than the accepted connection.
func (u *upstream) accepted(sent, now time.Time) {
	if !sent.After(u.refusedAt) {
		return
	}
	u.refusals = 0
	if u.marks[FromRefusedConnections].leaving {
		u.mark(FromRefusedConnections, false, sent, now)
	}
}

// beginHold begins a hold after a leaving signal that did not come from a health
// report, unless it is known already.
func (g *signals) beginHold(now time.Time) {
	if g.marks[FromUpstream].leaving || now.Before(g.holdUntil) {
		return
	}
	g.hold = min(max(2*g.hold, readyHold), readyHoldMax)
	g.holdUntil = now.Add(g.hold)
	g.agreed = false
}

// reported takes the state of a health report as a signal. A report outweighs a
// signal in an answer only when reports have said leaving or cold since, or
// when the hold has ended.
func (u *upstream) reported(e Probed, leaving bool) {
	if leaving || e.Health.State == "cold" {
		u.agreed = true
	}
	if !leaving && !u.agreed && e.Sent.Before(u.holdUntil) {
		return
	}
	if !leaving && !u.marks[FromUpstream].leaving {
		return
	}
	at := e.Sent
	if leaving {
		at = e.Now
	}
	u.mark(FromUpstream, leaving, at, e.Now)
	if !leaving && u.agreed {
		u.hold, u.holdUntil = 0, time.Time{}
	}
}
