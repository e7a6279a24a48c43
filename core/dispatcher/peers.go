package dispatcher

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hornbeamstream.example/core/steerer"
)

// peerSet ranks this instance among the instances that share bounds, in the same order
// on all instances and without communication between them. Instances that are
// registered but unreachable keep their ranks, so that the shares of all add up on both
// sides of a partition. A peerSet is immutable.
type peerSet struct {
	// incomplete means that others may not count this instance, so it has no rank.
	incomplete bool
	// count is the number of instances, this one included.
	count      int
	selfRegion string
	// within has the instances of each region, outside those of all other regions, and
	// all those of all regions.
	within, outside map[string]instanceRing
	all             instanceRing
}

func newPeerSet(self steerer.Instance, peers []steerer.Instance, regions map[string]bool, incomplete bool) *peerSet {
	s := &peerSet{incomplete: incomplete, count: len(peers), selfRegion: self.Region, within: map[string]instanceRing{}, outside: map[string]instanceRing{}}
	selfHash := xxhash.Sum64String(self.Name)
	var all []uint64
	for _, p := range peers {
		all = append(all, xxhash.Sum64String(p.Name))
	}
	for region := range regions {
		var within, outside []uint64
		for i, p := range peers {
			if p.Region == region {
				within = append(within, all[i])
			} else {
				outside = append(outside, all[i])
			}
		}
		s.within[region], s.outside[region] = newInstanceRing(within, selfHash), newInstanceRing(outside, selfHash)
	}
	s.all = newInstanceRing(all, selfHash)
	return s
}

// size returns the number of instances, this one included. A nil set has only this one.
func (s *peerSet) size() int {
	if s == nil {
		return 1
	}
	return max(1, s.count)
}

// rank returns the number of instances that come before this one for an upstream:
// first those of its region, then the others, each in the order of the ring from the
// upstream's hash on. If the region is unknown, all are in one order.
func (s *peerSet) rank(region string, hash uint64) int {
	if s == nil {
		return 0
	}
	within, ok := s.within[region]
	switch {
	case !ok:
		return s.all.distance(hash)
	case region == s.selfRegion:
		return within.distance(hash)
	}
	return len(within.points) + s.outside[region].distance(hash)
}

// instanceRing is a hash ring of instances.
type instanceRing struct {
	// points are the hashes of the instances in ascending order.
	points []uint64
	// self is the index of this instance's point.
	self int
}

func newInstanceRing(points []uint64, self uint64) instanceRing {
	slices.Sort(points)
	i, _ := slices.BinarySearch(points, self)
	return instanceRing{points, i}
}

// distance returns the number of instances on the ring from point to this instance,
// this one excluded.
func (r instanceRing) distance(point uint64) int {
	n := len(r.points)
	if n == 0 {
		return 0
	}
	first, _ := slices.BinarySearch(r.points, point)
	return (r.self - first%n + n) % n
}
