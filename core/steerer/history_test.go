package steerer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// TestListCostsOthersLittle guards against readers that send all objects to each instance after
// the store has dropped its history, which fills their links: a list tells few changes.
func TestListCostsOthersLittle(t *testing.T) {
	const upstreams, replaced = 260, 3
	for _, tt := range []struct {
		name  string
		after uint64
	}{{"as far as the reader", 100}, {"further than the reader was", 105}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var before []Object
			for n := range upstreams {
				before = append(before, upstreamObject(fmt.Sprintf("i-%08x", n), inDomain("a-1"), withSequence(7)))
			}
			after := before[replaced:len(before):len(before)]
			for n := range replaced {
				after = append(after, upstreamObject(fmt.Sprintf("new-%d", n)))
			}
			s := New(self(), false)
			s, _ = Step(s, Listed{Now: 1, Kind: Upstreams, Era: 1, Revision: 100, Objects: before})
			s, _ = Step(s, Listed{Now: 2, Kind: Upstreams, Era: 1, Revision: 116, Objects: after})
			_, effects := Step(s, ChangesRequested{Now: 3, RequestID: 1, Kind: Upstreams, Era: 1, After: tt.after})
			is.True(encodedSize(t, effects[0].(Reply).Objects) < encodedSize(t, after)/4)
		})
	}
}

// encodedSize returns the size of objects in a message.
func encodedSize(t *testing.T, all []Object) (size int) {
	t.Helper()
	is := is.New(t)
	for _, o := range all {
		data, err := json.Marshal(o)
		is.NoErr(err)
		size += len(data)
	}
	return size
}
