// Package allocator keeps the use of bounds that all instances share, such as the request
// rate of a workspace, within them while the instances decide without asking each other.
//
// Each instance reports what it admits to a collector of its region a few times a second.
// The collectors exchange the sums of their regions, keep a token bucket for each bound in
// a Ledger, and tell the levels and the total demand to their members. A Share admits
// requests at one instance: its part of the tokens follows its part of the demand.
//
// Nothing here uses a clock or the network. Times are in nanoseconds on a monotonic clock.
package allocator

import (
	"math"
	"time"
)

const (
	// ReportInterval is the time between two reports, and between two totals.
	ReportInterval = 250 * time.Millisecond
	// reportDelay is the time after which an admitted request is contained in the totals
	// that an instance has: its report, the exchange between regions and the totals take
	// up to one interval each.
	reportDelay = 3*ReportInterval + 50*time.Millisecond
	// staleTime is the age of totals from which on they are used with caution, expiryTime
	// that from which on an instance keeps to its part of the rate.
	staleTime  = time.Second
	expiryTime = 3 * time.Second
	// demandTime is the time constant of the average of the demand.
	demandTime = 2 * time.Second
	// silenceTime is the time without a report after which a source is assumed to use up
	// its part of the rate, forgetTime that after which it is assumed to have ended.
	silenceTime = time.Second
	forgetTime  = 30 * time.Second
	// comfortShare is the part of a burst that must be left for single instances to
	// exceed their parts for a moment.
	comfortShare = 0.4
	// minCounted is the number of tokens from which on an instance counts those that it
	// may use, instead of admitting requests by chance.
	minCounted = 2
	// spareShare is the part of what an allowance can be exceeded by without harm that is
	// given out as a burst.
	spareShare = 0.25
	// slackShare is the part of the slack of a bound that is given out, so that bounds
	// of a few requests are used too.
	slackShare = 0.25
)

// Bound is a limit on the requests that all instances together admit.
type Bound struct {
	// Rate is in requests per second. Burst is the number of requests that may be
	// admitted at once. A Rate of 0 and a Burst of 0 mean that there is no limit.
	Rate, Burst float64
	// Slack is the number of requests beyond Rate and Burst that do no harm within any
	// few seconds.
	Slack float64
}

// Allowance is a limit on the requests that run within each window: Rate times Window and
// Burst. Over is the part, and Slack the number, by which more do no harm.
type Allowance struct {
	Rate, Burst float64
	// Window is in seconds; 0 means that Rate and Burst are those of a token bucket.
	Window      float64
	Over, Slack float64
}

// burstShare is the part of a burst that an allowance grants evenly over its window.
// Demand a little above the rate is then met all the time, not only after a pause.
const burstShare = 0.6

// Bound returns the token bucket that uses up an allowance without exceeding it by more than
// what does no harm.
func (a Allowance) Bound() Bound {
	b := Bound{Rate: a.Rate, Burst: a.Burst, Slack: a.Slack}
	if a.Window <= 0 || !b.Limited() {
		return b
	}
	b.Rate += burstShare * a.Burst / a.Window
	spare := (1-burstShare)*a.Burst + a.Over*(a.Rate*a.Window+a.Burst)
	// The instances use up what they have as long as it is not known.
	b.Burst = spareShare*spare + b.Rate*reportDelay.Seconds()
	return b
}

// Limited reports whether there is a limit.
func (b Bound) Limited() bool { return b.Rate > 0 || b.Burst > 0 }

// margin is the number of tokens beyond the burst that are given out.
func (b Bound) margin() float64 { return slackShare * b.Slack }

// Report is the use of a bound by one instance, or by a region.
type Report struct {
	// Admitted is the number of admitted requests since the start of the instance.
	Admitted uint64
	// Demand is the rate of requests, admitted or not, per second.
	Demand float64
}

// Total is the use of a bound by all instances.
type Total struct {
	// Level is the number of tokens left. It is negative if too many have been used.
	Level float64
	// Demand is the rate of requests at all instances, per second.
	Demand float64
}

// Grant is what one instance may admit under a bound.
type Grant struct {
	Bound Bound
	// Part is the instance's part of the demand.
	Part float64
	// Total is what the grant was made from.
	Total Total
	// Headroom is the number of tokens of all instances that may be used.
	Headroom float64
	// Chance is the probability with which a request is admitted if the instance's part
	// of the tokens is too small to count them.
	Chance float64
	// Mean is the expected number of own requests within the delay of reports.
	Mean float64
	// Comfortable means that the demand is well within the bound, so that only a sudden
	// rise could exceed it.
	Comfortable bool
	// At is the time of the totals, 0 if there have been none.
	At int64
}

// NewGrant returns the grant of an instance with the given own demand. Instances is the
// number of instances that share the bound; it determines the part of an instance that does
// not know the demand yet.
func NewGrant(b Bound, own float64, t Total, instances int, at int64) Grant {
	equal := 1 / float64(max(1, instances))
	g := Grant{Bound: b, Part: equal, Total: t, Headroom: t.Level + b.margin(), At: at}
	if t.Demand > 0 && own > 0 {
		g.Part = min(1, own/max(t.Demand, own))
	}
	// An instance that has just started, or has got the callers of another one, has seen
	// little of its demand.
	g.Mean = max(own, b.Rate*equal) * reportDelay.Seconds()
	if t.Demand > 0 {
		g.Chance = min(1, g.Headroom/(t.Demand*reportDelay.Seconds()))
	}
	g.Comfortable = t.Level >= comfortShare*b.Burst && g.Headroom >= 2*t.Demand*reportDelay.Seconds()*min(1, t.Demand/max(b.Rate, 1e-9))
	return g
}

// Basis says what a decision is based on.
type Basis string

// Bases of decisions.
const (
	// Plenty means that the demand is well within the bound.
	Plenty Basis = "plenty"
	// Scarce means that each instance keeps to its part of the tokens left.
	Scarce Basis = "scarce"
	// Stale means that the totals are a little old but the demand was well within the
	// bound.
	Stale Basis = "stale"
	// Alone means that nothing is known of the others at the moment.
	Alone Basis = "alone"
)

// Basis returns what a decision at the given time is based on.
func (g *Grant) Basis(now int64) Basis {
	age := time.Duration(now - g.At)
	switch {
	case g.At != 0 && age <= staleTime && g.Comfortable:
		return Plenty
	case g.At != 0 && age <= staleTime:
		return Scarce
	case g.At != 0 && age <= expiryTime && g.Comfortable:
		return Stale
	}
	return Alone
}

// allowed returns how many requests the instance may admit within the delay of reports. The
// result need not be whole.
func (g *Grant) allowed(now int64) float64 {
	fair := g.Part * g.Headroom
	switch g.Basis(now) {
	case Plenty:
		return max(fair, g.Mean+3*math.Sqrt(g.Mean)+2)
	case Scarce:
		if fair < minCounted {
			return 0
		}
		return fair
	case Stale:
		return g.Mean + 2*math.Sqrt(g.Mean) + 1
	}
	// Nothing is known of the others but that they keep to their parts.
	return g.Part * g.Bound.Rate * reportDelay.Seconds()
}
