package steerer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestBeaconFitsIntoDatagram guards against beacons that are cut off on the way when many
// upstreams limit their rate or leave at the same time.
func TestBeaconFitsIntoDatagram(t *testing.T) {
	const maxBytes = 1200
	for _, leaving := range []int{0, 8, 40} {
		is := is.New(t)
		s := New(self(), false)
		for _, e := range startEvents() {
			s, _ = Step(s, e)
		}
		incarnation := func(n int) Incarnation {
			return Incarnation{fmt.Sprintf("i-4f060b07%02d", n), 1767954779000 + int64(n)}
		}
		for n := range 40 {
			s, _ = Step(s, UpstreamLimited{Now: seconds(1), Incarnation: incarnation(n), State: RateLimitState{InForce: true, PerSecond: 4.333333333333333}, At: seconds(1)})
		}
		for n := range leaving {
			s, _ = Step(s, UpstreamLeaving{Now: seconds(1), Incarnation: incarnation(50 + n)})
		}
		told := map[string]bool{}
		for n := range 40 {
			_, out := Step(s, Tick{Now: seconds(1.5 + 0.02*float64(n))})
			s.nextBeaconAt = 0
			for _, x := range out {
				b, ok := x.(SendBeacon)
				if !ok {
					continue
				}
				data, err := json.Marshal(b.Beacon)
				is.NoErr(err)
				is.True(len(data) <= maxBytes)
				for _, r := range b.Beacon.RateLimits {
					told[r.ID] = true
				}
			}
		}
		is.True(leaving >= 16 || len(told) == 40) // the beacons take turns
	}
}

// TestSharesWaitForRegistration guards against an instance that takes a share of what is
// divided among all before the others count it.
func TestSharesWaitForRegistration(t *testing.T) {
	is := is.New(t)
	s := New(self(), false)
	for _, e := range startEvents() {
		s, _ = Step(s, e)
	}
	is.True(s.view(seconds(1)).PeersIncomplete) // the list lacks this instance
	s, _ = Step(s, Changed{Now: seconds(1), Kind: Instances, Objects: []Object{{Name: "self", Instance: ptr(self())}}, Revision: 7})
	is.True(!s.view(seconds(1)).PeersIncomplete)
	s, _ = Step(s, Changed{Now: seconds(2), Kind: Instances, Objects: []Object{deletedObject("self")}, Revision: 8})
	is.True(!s.view(seconds(2)).PeersIncomplete) // it registers again
}
