package recorder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a message's effect being ordered before its cause when the
// clocks of the two processes differ by 200 ms.
func TestClockOrdersAcrossSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		wall := time.UnixMilli(1_700_000_000_000)
		clocks := []*Clock{{}, {}, {}}
		skews := []time.Duration{-200 * time.Millisecond, 0, 200 * time.Millisecond}
		for range rapid.IntRange(1, 50).Draw(t, "messages") {
			from := rapid.IntRange(0, 2).Draw(t, "from")
			to := rapid.IntRange(0, 2).Draw(t, "to")
			wall = wall.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			cause := clocks[from].Now(wall.Add(skews[from]))
			clocks[to].Update(cause)
			effect := clocks[to].Now(wall.Add(skews[to]))
			is.True(effect > cause) // effect is ordered after its cause
		}
	})
}

// Guards against losing the newest events or their order when the ring wraps.
func TestRingKeepsNewest(t *testing.T) {
	is := is.New(t)
	r := Ring{Size: 3}
	for i := range 8 {
		r.Add(Event{Stamp: uint64(i + 1)})
	}
	is.Equal(len(r.After(0)), 3)
	is.Equal(r.After(0)[0].Stamp, uint64(6))
	is.Equal(len(r.After(7)), 1)
}

func ExampleMerge() {
	a := []Event{{Stamp: 1, Instance: "a", Kind: KindSubmitted}, {Stamp: 5, Instance: "a", Kind: KindConfigured}}
	b := []Event{{Stamp: 3, Instance: "b", Kind: KindConfigured}, {Stamp: 5, Instance: "b", Kind: KindDrainStarted}}
	for _, e := range Merge(a, b, a) {
		fmt.Println(e.Stamp, e.Instance, e.Kind)
	}
	// Output:
	// 1 a submitted
	// 3 b configured
	// 5 a configured
	// 5 b drained
}
