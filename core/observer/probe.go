package observer

import "time"

const (
	probeInterval = time.Second
	// probeShare is added to the interval for every prober above two.
	probeShare       = 500 * time.Millisecond
	probeIntervalMax = 10 * time.Second
	// probeSoon is the pause after a refused connection.
	probeSoon = 250 * time.Millisecond
	// probeTerm is the time after which a probe without an end is given up.
	probeTerm = 2 * time.Second
	// failedRun is the number of failed probes in a row, without any answer to
	// traffic, after which an upstream counts as unreachable.
	failedRun = 3
)

// prober schedules the probes of one upstream and counts their failures.
type prober struct {
	next time.Time
	// pending is the time at which the probe under way was sent, or zero.
	pending  time.Time
	failures int
}

// spread staggers the first probes of many upstreams over an interval.
func (p *prober) spread(now time.Time, i int) {
	p.next = now.Add(time.Duration(i%10) * probeInterval / 10)
}

func (p *prober) due(now time.Time) bool {
	if !p.pending.IsZero() && now.Sub(p.pending) < probeTerm {
		return false
	}
	return !now.Before(p.next)
}

func (p *prober) sent(now time.Time, probers int) {
	p.pending = now
	p.next = now.Add(min(max(probeInterval, time.Duration(probers)*probeShare), probeIntervalMax))
}

func (p *prober) ended(h Health) {
	p.pending = time.Time{}
	if h.State != "" {
		p.failures = 0
	}
}

// expedite brings the next probe forward.
func (p *prober) expedite(now time.Time) {
	if soon := now.Add(probeSoon); p.next.After(soon) {
		p.next = soon
	}
}

// failed counts a probe without an answer.
func (u *upstream) failed(now time.Time) {
	if u.failures++; u.failures >= failedRun && !u.active(now) {
		u.cut(now, 0, "no answer to probes")
	}
}
