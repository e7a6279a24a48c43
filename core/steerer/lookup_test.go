package steerer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestNearestReturnsEveryInstance asks all instances of a region that has more
// instances than fit into one answer. Each instance must be returned by some, and
// none twice as often as another one.
func TestNearestReturnsEveryInstance(t *testing.T) {
	const limit = 64
	is := is.New(t)
	var v View
	for i := range 98 {
		v.Available = append(v.Available, peerInstance(fmt.Sprintf("i%02d", i), []string{"a-1", "a-2"}[i%2]))
	}
	v.Available = append(v.Available, peerInstance("far", "b-1"))
	counts := map[string]int{}
	for _, i := range v.Available[:98] {
		v.Self = i
		for _, domain := range []string{"a-1", "a-2"} {
			found := v.Nearest("a", domain, limit)
			is.Equal(len(found), limit)
			own := 0
			for _, address := range found {
				counts[address]++
				for _, f := range v.Available {
					if f.Front == address && f.Domain == domain {
						own++
					}
				}
			}
			is.Equal(own, 49) // all of the caller's domain
		}
	}
	is.Equal(len(counts), 98)
	least, most := 1<<30, 0
	for _, n := range counts {
		least, most = min(least, n), max(most, n)
	}
	is.True(most < 2*least)
	is.Equal(v.Nearest("b", "b-1", limit), []string{"far:80"})
	is.Equal(len(v.Nearest("none", "", limit)), limit)
}
