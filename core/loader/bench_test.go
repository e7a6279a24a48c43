package loader_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"hornbeamstream.example/core/loader"
)

// designSizeState returns a state of the size that the system is designed for: 4
// regions, 11 failure domains, 2250 upstreams at 150 sites and 120,000 client
// blocks.
func designSizeState(b *testing.B) loader.State {
	b.Helper()
	objects := map[string]json.RawMessage{}
	put := func(key string, o any) { objects[key], _ = json.Marshal(o) }
	for i := range 4 {
		put(fmt.Sprintf("region/r%d", i), loader.Region{})
	}
	for i := range 11 {
		put(fmt.Sprintf("domain/d%d", i), loader.Domain{Region: fmt.Sprintf("r%d", i%4), Instances: 58})
	}
	put("service/lookup", loader.Service{TimeoutMillis: 2000})
	for i := range 2250 {
		put(fmt.Sprintf("upstream/lookup-%d", i), loader.Upstream{
			Service: "lookup", Domain: fmt.Sprintf("d%d", i%11), Slots: 6, MaxConns: 330,
			Address: fmt.Sprintf("127.2.%d.%d:8000", i/200, i%200+1),
		})
	}
	s, err := loader.State{}.Apply(loader.Ticket{Number: 1, Objects: objects})
	for n := 0; n < 4 && err == nil; n++ {
		regions := map[string][]string{}
		for i := range 30_000 {
			r := fmt.Sprintf("r%d", i%4)
			regions[r] = append(regions[r], fmt.Sprintf("%d.%d.%d.0/24", n+1, i/256, i%256))
		}
		raw, _ := json.Marshal(loader.Blocks{Regions: regions})
		key := fmt.Sprintf("blocks/%d", n)
		s, err = s.Apply(loader.Ticket{Number: s.Version + 1, Base: s.Version, Objects: map[string]json.RawMessage{key: raw}})
	}
	if err != nil {
		b.Fatal(err)
	}
	return s
}

func BenchmarkApply(b *testing.B) {
	s := designSizeState(b)
	objects := map[string]map[string]string{
		"drain":  {"drain/upstream/lookup-7": `{}`},
		"blocks": {"blocks/9": `{"regions":{"r0":["9.9.9.0/24"]}}`},
	}
	for name, o := range objects {
		change := newTicket(s.Version, o)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := s.Apply(change); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s := designSizeState(b)
	for b.Loop() {
		data, err := loader.EncodeState(s)
		if err == nil {
			_, err = loader.DecodeState(data)
		}
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "bytes")
	}
}
