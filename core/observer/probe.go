package observer

import "time"

const (
	probeInterval = time.Second
	// intervalPerProber is added to the interval for every prober above two.
	intervalPerProber = 500 * time.Millisecond
	maxProbeInterval  = 10 * time.Second
	// expeditedDelay is the longest time to the next probe after a refused
	// connection.
	expeditedDelay = 250 * time.Millisecond
	// probeTimeout is the time after which a probe without a result is abandoned.
	probeTimeout = 2 * time.Second
	// unreachableThreshold is the number of consecutive failed probes, without any
	// response to traffic, after which an upstream counts as unreachable.
	unreachableThreshold = 3
)

// prober schedules the probes of one upstream and counts their failures.
type prober struct {
	nextProbe time.Time
	// startedAt is the time at which the probe in progress was sent, or zero.
	startedAt     time.Time
	probeFailures int
}

// stagger spreads the first probes of many upstreams over an interval.
func (p *prober) stagger(now time.Time, i int) {
	p.nextProbe = now.Add(time.Duration(i%10) * probeInterval / 10)
}

func (p *prober) probeDue(now time.Time) bool {
	if !p.startedAt.IsZero() && now.Sub(p.startedAt) < probeTimeout {
		return false
	}
	return !now.Before(p.nextProbe)
}

func (p *prober) probeStarted(now time.Time, probers int) {
	p.startedAt = now
	p.nextProbe = now.Add(min(max(probeInterval, time.Duration(probers)*intervalPerProber), maxProbeInterval))
}

func (p *prober) probeEnded(h Health) {
	p.startedAt = time.Time{}
	if h.State != "" {
		p.probeFailures = 0
	}
}

// expedite moves the next probe to an earlier time.
func (p *prober) expedite(now time.Time) {
	if soon := now.Add(expeditedDelay); p.nextProbe.After(soon) {
		p.nextProbe = soon
	}
}

// probeFailed counts a probe without a response.
func (u *upstream) probeFailed(now time.Time) {
	if u.probeFailures++; u.probeFailures >= unreachableThreshold && !u.hasRecentTraffic(now) {
		u.decrease(now, 0, "no answer to probes")
	}
}
