package observer

import (
	"math"
	"time"
)

const (
	// startShare is the share of the slots that a returning upstream starts
	// with, coldShare that of one that says it is cold.
	slowStartDivisor = 4
	coldDivisor      = 8
	// latencyShare is the share of the slots that latency alone leaves: a slow
	// upstream with a quarter of its slots gets too few requests to matter, and
	// a service whose requests have become heavier is not cut off.
	latencyFloorDivisor = 4
	// slowRatio is the ratio to the usual latency above which the limit falls;
	// above calmRatio it does not rise.
	slowRatio     = 2.0
	increaseRatio = 1.5
	// siblingMost is how many times the siblings' latency may be usual.
	maxSiblingRatio = 2
	// cutMost bounds one decrease, cutPause the time between two, in which the
	// effect of the first can be seen.
	minDecreaseFactor = 0.5
	decreaseInterval  = 100 * time.Millisecond
	// calmTerm is the time without a decrease after which the limit rises fast
	// again: what caused the decrease has ended.
	fastIncreaseDelay = 3 * time.Second
	// okGain is how much one success raises the limit during slow start.
	increasePerSuccess = 0.25
	// slowGain is the share of the slots by which the limit rises per second
	// above the level of the last decrease.
	increasePerSecond = 0.1
	// baselineDrift is the share per second by which the usual latency rises,
	// so that it follows lasting changes within an hour or two.
	baselineDriftPerSecond = 0.0005
	// latencyGain and baselineGain are the weights of one sample in the smoothed
	// and in the usual latency. With 32 samples, requests of varying size do not
	// look like a slow upstream, and one that is ten times slower shows after
	// four.
	latencyWeight  = 1.0 / 32
	baselineWeight = 1.0 / 256
	// judgeLeast is the number of samples below which nothing is judged,
	// usualLeast that which makes a latency the usual one.
	minLatencySamples  = 4
	minBaselineSamples = 32
	// activeTerm is the time after the last success in which latency counts.
	activeTimeout = 5 * time.Second
	// overload is the reported load above which the limit falls. A load of 1
	// only says that all slots are used.
	overloadThreshold = 1.05
	// frozenRun is the number of equal reports, with traffic in between, after
	// which load reports are ignored.
	frozenReports = 3
)

// limiter adapts the number of requests that an upstream gets at a time.
type adaptiveLimit struct {
	limit float64
	// threshold is the level of the last decrease: below it the limit rises fast.
	threshold float64
	// reportedSlots is the number of slots that the upstream reports, 0 if unknown.
	reportedSlots int
	cold          bool
	cause         string
	// latency is the smoothed, baseline the usual, least the shortest time to the
	// first byte. Samples and total count what the first two are made of.
	latency, baseline, minLatency   time.Duration
	latencySamples, baselineSamples int
	lastSuccess, lastDecrease       time.Time
	lastUpdate                      time.Time
	lastReport                      Health
	// equal counts reports like the last one, oks the successes since it.
	equalReports, successes int
}

// open begins without a slow start. That an instance sees an upstream for the
// first time says nothing about the upstream, which may have been busy for days;
// a cold one says so in its health reports.
func (l *adaptiveLimit) startFull(now time.Time, slots int) {
	*l = adaptiveLimit{limit: float64(slots), threshold: float64(slots), lastUpdate: now}
}

// restart begins a slow start, for an upstream that was away.
func (l *adaptiveLimit) slowStart(now time.Time, slots int) {
	*l = adaptiveLimit{limit: max(1, float64(slots)/slowStartDivisor), threshold: float64(slots), lastUpdate: now, cause: "slow start"}
}

func (l *adaptiveLimit) clamp(slots int) {
	if l.reportedSlots > 0 {
		slots = min(slots, l.reportedSlots)
	}
	l.limit = max(1, min(l.limit, float64(slots)))
}

// whole returns the limit in slots: at least one, so that recovery is seen. It
// rises in whole steps, so that verdicts do not alternate.
func (l *adaptiveLimit) rounded(slots, old int) int {
	n := int(l.limit + 0.5)
	if n > old && l.limit < float64(old+1) {
		n = old
	}
	return min(max(1, n), slots)
}

func (l *adaptiveLimit) hasRecentTraffic(now time.Time) bool {
	return l.latency > 0 && now.Sub(l.lastSuccess) <= activeTimeout
}

// observe adapts the limit to a batch of outcomes.
func (l *adaptiveLimit) observe(now time.Time, x Sample, slots int, sibling time.Duration) {
	elapsed := min(max(0, now.Sub(l.lastUpdate)), time.Second)
	l.lastUpdate = now
	l.successes += x.OK
	ratio := l.updateLatency(now, x, elapsed, sibling)
	bad := x.Shed + x.Refused + x.Failed
	switch {
	case bad > 0:
		l.decrease(now, 1-float64(bad)/float64(bad+x.OK), "shed or failed requests")
	case ratio > slowRatio:
		if floor := max(1, float64(slots)/latencyFloorDivisor); l.limit > floor {
			l.decrease(now, slowRatio/ratio, "slow")
			l.limit = max(l.limit, floor)
		}
	case x.OK > 0 && ratio <= increaseRatio:
		l.increase(x.OK, elapsed, slots)
	}
	l.clamp(slots)
}

// measure smooths the latency and returns its ratio to the usual one. When all
// upstreams of a service become slower, the requests have become heavier, and
// no single one is slow.
func (l *adaptiveLimit) updateLatency(now time.Time, x Sample, elapsed, sibling time.Duration) float64 {
	if x.OK == 0 || x.Latency <= 0 {
		return 1
	}
	if !l.hasRecentTraffic(now) {
		l.latency, l.latencySamples = x.Latency, 0
	}
	l.lastSuccess = now
	l.latencySamples += x.OK
	updateEWMA(&l.latency, x, max(1/float64(l.latencySamples), latencyWeight))
	drift := 1 + baselineDriftPerSecond*elapsed.Seconds()
	l.baseline = time.Duration(float64(l.baseline) * drift)
	if l.minLatency = time.Duration(float64(l.minLatency) * drift); l.minLatency == 0 || x.Latency < l.minLatency {
		l.minLatency = x.Latency
	}
	if l.baselineSamples < minBaselineSamples || l.latencyRatio(sibling) <= slowRatio {
		l.baselineSamples += x.OK
		updateEWMA(&l.baseline, x, max(1/float64(l.baselineSamples), baselineWeight))
	}
	return l.latencyRatio(sibling)
}

// ratio compares the latency with the usual one or that of the siblings,
// whichever is longer. An upstream that was slow from the start has no excuse
// beyond siblingMost.
func (l *adaptiveLimit) latencyRatio(sibling time.Duration) float64 {
	usual := sibling
	if l.baselineSamples >= minBaselineSamples {
		usual = max(l.baseline, sibling)
	}
	if sibling > 0 {
		usual = min(usual, maxSiblingRatio*sibling)
	}
	if usual == 0 || l.latencySamples < minLatencySamples {
		return 1
	}
	return float64(l.latency) / float64(usual)
}

// blend moves a mean towards a batch of samples by a share for each of them.
func updateEWMA(mean *time.Duration, x Sample, share float64) {
	if *mean == 0 {
		*mean = x.Latency
	}
	all := 1 - math.Pow(1-min(share, 1), float64(x.OK))
	*mean += time.Duration(all * float64(x.Latency-*mean))
}

// cut lowers the limit by a factor.
func (l *adaptiveLimit) decrease(now time.Time, factor float64, cause string) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease, l.cause = now, cause
	l.limit = max(1, l.limit*max(factor, minDecreaseFactor))
	l.threshold = l.limit
}

// raise lets the limit double in a second up to the level of the last decrease
// and rise evenly above it. Only successes raise it.
func (l *adaptiveLimit) increase(oks int, elapsed time.Duration, slots int) {
	seconds := elapsed.Seconds()
	step := float64(slots) * increasePerSecond * seconds
	if l.limit < l.threshold || l.lastUpdate.Sub(l.lastDecrease) >= fastIncreaseDelay {
		step = max(step, l.limit*seconds)
	}
	l.limit += min(step, increasePerSuccess*float64(oks))
	if l.limit >= float64(slots) {
		l.cause = ""
	}
}

// idle forgets the latency of an upstream without traffic and offers it some
// more, so that its recovery is seen.
func (l *adaptiveLimit) onIdle(now time.Time, slots int) {
	if now.Sub(l.lastUpdate) < activeTimeout {
		return
	}
	l.lastUpdate = now
	if floor := float64(slots) / slowStartDivisor; !l.cold && l.limit < floor {
		l.limit = max(1, min(l.limit+1, floor))
	}
}

// report takes the numbers of a health report into account. They only lower
// the limit.
func (l *adaptiveLimit) applyReport(now time.Time, h Health, slots int) {
	if l.frozen(h) {
		return
	}
	l.reportedSlots = max(0, h.Slots)
	if cold := h.State == "cold"; cold != l.cold {
		l.cold = cold
		if cold {
			l.slowStart(now, slots)
			l.cold, l.limit = true, max(1, float64(slots)/coldDivisor)
			l.cause = "cold"
		}
	}
	if h.Load > overloadThreshold {
		l.decrease(now, 1/h.Load, "reported load")
	}
	l.clamp(slots)
}

// frozen tells whether the reports have stayed the same despite traffic.
func (l *adaptiveLimit) frozen(h Health) bool {
	same := h == l.lastReport
	if l.lastReport = h; !same {
		l.equalReports = 0
	}
	if same && l.successes > 0 {
		l.equalReports++
	}
	l.successes = 0
	return l.equalReports >= frozenReports
}

// expected returns half of the least latency, because batches hide the shortest
// ones, rounded down to a power of two of milliseconds, so that it does not
// change all the time.
func (l *adaptiveLimit) latencyLowerBound() time.Duration {
	ms := l.minLatency.Milliseconds() / 2
	if ms < 1 {
		return 0
	}
	return time.Duration(math.Exp2(math.Floor(math.Log2(float64(ms))))) * time.Millisecond
}
