package steerer

import (
	"encoding/json"
	"testing"
)

// FuzzBeacon passes datagrams to an instance that knows their sender, and to one
// that does not. No datagram may cause a panic or add an unknown instance to the
// view.
func FuzzBeacon(f *testing.F) {
	f.Add(`{"n":"near","r":true,"v":5,"p":{"upstreams":{"r":9,"a":4}}}`)
	f.Add(`{"n":"near","p":{"unknown":{"r":18446744073709551615,"a":-1}}}`)
	f.Add(`{"n":"","r":true}`)
	f.Add(`{"n":"near","q":[{"i":"u1","b":1,"f":true,"v":4.2,"a":9},{"i":"","v":-1e308,"a":-9223372036854775808}]}`)
	f.Add(`{"n":"near","r":true,"x":[{"d":"0000000000000007","c":[{"u":1,"a":-9223372036854775808},{"u":4294967295,"a":9223372036854775807}],"f":true,"a":-1}]}`)
	f.Add(`{"n":"near","r":true,"c":[{"i":"u1","b":1,"c":2000},{"i":"","b":-1,"c":9223372036854775807}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		var b Beacon
		if json.Unmarshal([]byte(text), &b) != nil {
			return
		}
		empty := New(self(), false)
		empty, _ = Step(empty, BeaconReceived{Now: seconds(1), Beacon: b, From: "10.0.0.9:70"})
		_, _ = Step(empty, Tick{Now: seconds(1.1)})
		known := New(self(), false)
		for _, e := range startEvents(upstreamObject("u1")) {
			known, _ = Step(known, e)
		}
		known, _ = Step(known, BeaconReceived{Now: seconds(1), Beacon: b, From: "10.0.0.9:70"})
		known, _ = Step(known, Tick{Now: seconds(1.1)})
		for _, i := range known.view(seconds(1.1)).Available {
			if i.Name != "self" && i.Name != "near" && i.Name != "far" {
				t.Fatalf("unknown instance %q", i.Name)
			}
		}
	})
}
