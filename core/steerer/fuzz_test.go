package steerer

import (
	"encoding/json"
	"testing"
)

// FuzzBeacon feeds datagrams to an instance that knows their sender, and to one
// that does not. None may panic or make an instance that is not known appear.
func FuzzBeacon(f *testing.F) {
	f.Add(`{"n":"near","r":true,"v":5,"p":{"upstreams":{"r":9,"a":4}}}`)
	f.Add(`{"n":"near","p":{"unknown":{"r":18446744073709551615,"a":-1}}}`)
	f.Add(`{"n":"","r":true}`)
	f.Fuzz(func(t *testing.T, text string) {
		var b Beacon
		if json.Unmarshal([]byte(text), &b) != nil {
			return
		}
		stranger := New(self(), false)
		stranger, _ = Step(stranger, BeaconReceived{Now: second(1), Beacon: b, From: "10.0.0.9:70"})
		_, _ = Step(stranger, Tick{Now: second(1.1)})
		known := New(self(), false)
		for _, e := range started(server("u1")) {
			known, _ = Step(known, e)
		}
		known, _ = Step(known, BeaconReceived{Now: second(1), Beacon: b, From: "10.0.0.9:70"})
		known, _ = Step(known, Tick{Now: second(1.1)})
		for _, i := range known.view(second(1.1)).Available {
			if i.Name != "self" && i.Name != "near" && i.Name != "far" {
				t.Fatalf("unknown instance %q", i.Name)
			}
		}
	})
}
