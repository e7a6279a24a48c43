package router

import (
	"math"
	"strings"

	"hornbeamstream.example/core/limiter"
)

// burstShare is the part of a cap that requests may use at once, so that those
// that arrive together are not all kept back.
const burstShare = 0.05

// shift moves a part of a service's requests between two regions.
type shift struct {
	from, to      string
	start, finish int64
	share         float64
	bucket        *limiter.TokenBucket
}

// covers tells whether the ramp has reached the hash at the given time. A
// request that is moved stays moved while the ramp rises.
func (s *shift) covers(hash uint64, now int64) bool {
	if now < s.start {
		return false
	}
	share := s.share
	if now < s.finish {
		share *= float64(now-s.start) / float64(s.finish-s.start)
	}
	return hash < fraction(share)
}

func (b *builder) quota(name string) float64 {
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
		bucket := keep(b.fresh.buckets, b.old.buckets, name+"/"+c.From+"/"+c.To)
		rate := min(b.quota("shift/"+name), c.MaxRate)
		bucket.Set(rate, 1+rate*burstShare, b.deadline())
		s.shift = &shift{
			from: c.From, to: c.To, share: c.Share, bucket: bucket,
			start: c.Start.UnixNano(), finish: c.Finish.UnixNano(),
		}
	}
}

// buildLinks sets the budgets of the links that leave this region.
func (b *builder) buildLinks() {
	domains := len(b.Config.DomainsInRegion(b.Region))
	instances := b.Config.Domains[b.Domain].Instances
	for key, c := range b.Config.Links {
		from, to, _ := strings.Cut(key, "/")
		if from != b.Region || to == b.Region {
			continue
		}
		static := float64(c.Capacity) / math.Max(1, float64(domains*instances))
		l := keep(b.fresh.links, b.old.links, to)
		rate, deadline := b.quota("link/"+key), b.deadline()
		if rate <= 0 {
			deadline = 0
		}
		l.Set(math.Min(rate, float64(c.Capacity)), static, deadline)
	}
}

// link returns the budget of the link to a region, nil if it has no limit.
func (b *builder) link(region string) *limiter.BandwidthLimiter {
	return b.fresh.links[region]
}
