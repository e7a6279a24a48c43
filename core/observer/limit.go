package observer

import (
	"math"
	"time"
)

const (
	// slowStartDivisor sets the limit at which slow start begins: the slots
	// divided by it. coldDivisor is that for an upstream that reports cold.
	slowStartDivisor = 4
	coldDivisor      = 8
	// latencyFloorDivisor sets the lowest limit due to latency alone: the slots
	// divided by it. A slow upstream with a quarter of its slots gets too few
	// requests to matter, and a service whose requests have become more expensive
	// is not cut off.
	latencyFloorDivisor = 4
	// slowRatio is the ratio to the baseline latency above which the limit is
	// decreased; above increaseRatio it is not increased.
	slowRatio     = 2.0
	increaseRatio = 1.5
	// maxSiblingRatio is the largest ratio of the baseline to the siblings'
	// latency that is taken into account.
	maxSiblingRatio = 2
	// minDecreaseFactor bounds one decrease. decreaseInterval is the shortest time
	// between two, in which the effect of the first becomes visible.
	minDecreaseFactor = 0.5
	decreaseInterval  = 100 * time.Millisecond
	// fastIncreaseDelay is the time without a decrease after which the limit rises
	// fast again, because the cause of the decrease has ended.
	fastIncreaseDelay = 3 * time.Second
	// increasePerSuccess bounds the increase of the limit by the number of
	// successes.
	increasePerSuccess = 0.25
	// increasePerSecond is the share of the slots by which the limit rises per
	// second above the level of the last decrease.
	increasePerSecond = 0.1
	// baselineDriftPerSecond is the share by which the baseline latency rises per
	// second, so that it follows lasting changes within an hour or two.
	baselineDriftPerSecond = 0.0005
	// latencyWeight and baselineWeight are the weights of one sample in the smoothed
	// and in the baseline latency. At 1/32, requests of varying size do not look
	// like a slow upstream, and one that is ten times slower is detected after
	// four samples.
	latencyWeight  = 1.0 / 32
	baselineWeight = 1.0 / 256
	// minLatencySamples is the number of samples below which the latency is not
	// compared. minBaselineSamples is the number that makes a baseline valid.
	minLatencySamples  = 4
	minBaselineSamples = 32
	// activeTimeout is how long after the last success the latency counts.
	activeTimeout = 5 * time.Second
	// overloadThreshold is the reported load above which the limit is decreased. A
	// load of 1 only means that all slots are in use.
	overloadThreshold = 1.05
	// frozenReports is the number of repeated equal reports, with traffic in
	// between, after which load reports are ignored.
	frozenReports = 3
)

// adaptiveLimit adapts the concurrency limit of an upstream, with slow start and
// multiplicative decrease.
type adaptiveLimit struct {
	limit float64
	// threshold is the limit after the last decrease; below it the limit rises
	// fast, as below the slow start threshold of TCP.
	threshold float64
	// reportedSlots is the number of slots that the upstream reports, 0 if unknown.
	reportedSlots int
	cold          bool
	cause         string
	// latency is the smoothed time to the first byte, baseline the usual one and
	// minLatency the shortest one. latencySamples and baselineSamples count the
	// samples in the first two.
	latency, baseline, minLatency   time.Duration
	latencySamples, baselineSamples int
	lastSuccess, lastDecrease       time.Time
	lastUpdate                      time.Time
	lastReport                      Health
	// equalReports counts the reports equal to the previous one, successes the
	// successes since the last report.
	equalReports, successes int
}

// startFull begins with all slots, without slow start. An upstream that is new to
// this instance may have been in use for days; a cold one says so in its health
// reports.
func (l *adaptiveLimit) startFull(now time.Time, slots int) {
	*l = adaptiveLimit{limit: float64(slots), threshold: float64(slots), lastUpdate: now}
}

// slowStart begins a slow start, for an upstream that was out of use.
func (l *adaptiveLimit) slowStart(now time.Time, slots int) {
	*l = adaptiveLimit{limit: max(1, float64(slots)/slowStartDivisor), threshold: float64(slots), lastUpdate: now, cause: "slow start"}
}

func (l *adaptiveLimit) clamp(slots int) {
	if l.reportedSlots > 0 {
		slots = min(slots, l.reportedSlots)
	}
	l.limit = max(1, min(l.limit, float64(slots)))
}

// rounded returns the limit in whole slots, at least one, so that recovery is
// detected. It has hysteresis, so that verdicts do not alternate.
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

// observe adapts the limit to a batch of results.
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

// updateLatency updates the latencies and returns the latency ratio. When all
// upstreams of a service become slower, the requests have become more expensive
// and no single upstream is slow.
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

// latencyRatio returns the ratio of the latency to the baseline or to that of the
// siblings, whichever is longer. The baseline counts only up to maxSiblingRatio
// times the latency of the siblings, so that an upstream that was slow from the
// start is detected.
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

// updateEWMA applies a batch of samples with the given weight to an exponentially
// weighted moving average.
func updateEWMA(mean *time.Duration, x Sample, weight float64) {
	if *mean == 0 {
		*mean = x.Latency
	}
	all := 1 - math.Pow(1-min(weight, 1), float64(x.OK))
	*mean += time.Duration(all * float64(x.Latency-*mean))
}

// decrease multiplies the limit by a factor, at most once per decreaseInterval.
func (l *adaptiveLimit) decrease(now time.Time, factor float64, cause string) {
	if now.Sub(l.lastDecrease) < decreaseInterval {
		return
	}
	l.lastDecrease, l.cause = now, cause
	l.limit = max(1, l.limit*max(factor, minDecreaseFactor))
	l.threshold = l.limit
}

// increase doubles the limit within a second up to the level of the last
// decrease and raises it linearly above that. Only successes raise it.
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

// onIdle raises the limit of an upstream without traffic step by step up to the
// slow start level, so that its recovery is detected.
func (l *adaptiveLimit) onIdle(now time.Time, slots int) {
	if now.Sub(l.lastUpdate) < activeTimeout {
		return
	}
	l.lastUpdate = now
	if floor := float64(slots) / slowStartDivisor; !l.cold && l.limit < floor {
		l.limit = max(1, min(l.limit+1, floor))
	}
}

// applyReport applies the slots, load and cold state in a health report. They
// only lower the limit.
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

// frozen reports whether the reports have stayed the same despite traffic.
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

// latencyLowerBound returns half of the shortest latency, because the mean of a
// batch hides the shortest ones. It is rounded down to a power of two of
// milliseconds, so that it rarely changes.
func (l *adaptiveLimit) latencyLowerBound() time.Duration {
	ms := l.minLatency.Milliseconds() / 2
	if ms < 1 {
		return 0
	}
	return time.Duration(math.Exp2(math.Floor(math.Log2(float64(ms))))) * time.Millisecond
}
