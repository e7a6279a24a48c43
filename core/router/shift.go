package router

import (
	"math"
	"strings"

	"hornbeamstream.example/core/limiter"
)

// burstRatio is the burst of a shift's token bucket relative to its rate, so that
// requests that arrive together are not all refused.
const burstRatio = 0.05

// shift moves a share of a service's requests from one region to another.
type shift struct {
	from, to      string
	start, finish int64
	share         float64
	bucket        *limiter.TokenBucket
}

// includes reports whether the shift applies to the hash at the given time. The
// share rises linearly from start to finish, and a hash that is included stays
// included while it rises.
func (s *shift) includes(hash uint64, now int64) bool {
	if now < s.start {
		return false
	}
	share := s.share
	if now < s.finish {
		share *= float64(now-s.start) / float64(s.finish-s.start)
	}
	return hash < fraction(share)
}

// quotaRate returns the granted rate of a quota, 0 if there is none.
func (b *builder) quotaRate(name string) float64 {
	for _, q := range b.Holdings.Quotas {
		if q.Name == name {
			return q.Rate
		}
	}
	return 0
}

func (b *builder) buildShifts() {
	for name, c := range b.Config.Shifts {
		s := b.services[name]
		if s == nil || c.Share <= 0 {
			continue
		}
		bucket := reuseOrNew(b.fresh.buckets, b.old.buckets, name+"/"+c.From+"/"+c.To)
		rate := min(b.quotaRate("shift/"+name), c.MaxRate)
		bucket.Set(rate, 1+rate*burstRatio, b.deadline())
		s.shift = &shift{
			from: c.From, to: c.To, share: c.Share, bucket: bucket,
			start: c.Start.UnixNano(), finish: c.Finish.UnixNano(),
		}
	}
}

// buildLinks sets the byte budgets of the links from this region to others. The
// static rate, an even share of the link's capacity, applies without a grant.
func (b *builder) buildLinks() {
	domains := len(b.Config.DomainsInRegion(b.Region))
	instances := b.Config.Domains[b.Domain].Instances
	for key, c := range b.Config.Links {
		from, to, _ := strings.Cut(key, "/")
		if from != b.Region || to == b.Region {
			continue
		}
		static := float64(c.Capacity) / math.Max(1, float64(domains*instances))
		l := reuseOrNew(b.fresh.links, b.old.links, to)
		rate, deadline := b.quotaRate("link/"+key), b.deadline()
		if rate <= 0 {
			deadline = 0
		}
		l.Set(math.Min(rate, float64(c.Capacity)), static, deadline)
	}
}

// link returns the budget of the link to a region, or nil if it has no limit.
func (b *builder) link(region string) *limiter.BandwidthLimiter {
	return b.fresh.links[region]
}
