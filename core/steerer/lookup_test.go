package steerer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestLookupsNameAll asks all instances of a region with more than fit into one
// answer. Each instance is named, and none twice as often as another one of its
// domain.
func TestNearestReturnsEveryInstance(t *testing.T) {
	const limit = 64
	is := is.New(t)
	var v View
	for i := range 98 {
		v.Available = append(v.Available, other(fmt.Sprintf("i%02d", i), []string{"a-1", "a-2"}[i%2]))
	}
	v.Available = append(v.Available, other("far", "b-1"))
	named := map[string]int{}
	for _, i := range v.Available[:98] {
		v.Self = i
		for _, domain := range []string{"a-1", "a-2"} {
			found := v.Nearest("a", domain, limit)
			is.Equal(len(found), limit)
			own := 0
			for _, address := range found {
				named[address]++
				for _, f := range v.Available {
					if f.Front == address && f.Domain == domain {
						own++
					}
				}
			}
			is.Equal(own, 49) // all of the caller's domain
		}
	}
	is.Equal(len(named), 98)
	least, most := 1<<30, 0
	for _, n := range named {
		least, most = min(least, n), max(most, n)
	}
	is.True(most < 2*least)
	is.Equal(v.Nearest("b", "b-1", limit), []string{"far:80"})
	is.Equal(len(v.Nearest("none", "", limit)), limit)
}
