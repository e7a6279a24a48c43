package server

import (
	"fmt"
	"net"
	"net/netip"
	"testing"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/resolver"
)

// blocks is the target's number of client address blocks.
const blocks = 120_000

// table is a look-up table at the target's number of blocks.
func table() *resolver.Table {
	config := &loader.State{
		Regions: map[string]loader.Region{"a": {}, "b": {}},
		Domains: map[string]loader.Domain{"a-1": {Region: "a"}, "b-1": {Region: "b"}},
		Blocks:  map[string]loader.Blocks{"0": {Regions: map[string][]string{}}},
	}
	for i := range blocks {
		region := "a"
		if i%2 == 1 {
			region = "b"
		}
		prefix := fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255)
		config.Blocks["0"].Regions[region] = append(config.Blocks["0"].Regions[region], prefix)
	}
	var views []granter.View
	for _, d := range []string{"a-1", "b-1"} {
		v := granter.View{Domain: d, Epoch: 1}
		for i := range 5 {
			v.Members = append(v.Members, granter.Member{Name: d + fmt.Sprint(i), Domain: d, Front: fmt.Sprintf("127.1.0.%d:7001", i+1)})
		}
		views = append(views, v)
	}
	return resolver.Build(resolver.Input{Config: config, Region: "a", Views: views})
}

// BenchmarkLookup asks for look-ups over HTTP on loopback with 120,000 blocks.
// With -cpu 1, client and server share one core.
func BenchmarkLookup(b *testing.B) {
	s := New(Config{Tables: &fake{}, Resolver: lookups{table()}})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() { _ = s.Serve(ln) }()
	client := fasthttp.HostClient{Addr: ln.Addr().String(), MaxConns: 64}
	b.SetParallelism(16)
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		q.SetRequestURI("http://" + ln.Addr().String() + "/v1/lookup?block=10.1.2.3")
		for p.Next() {
			if err := client.Do(q, r); err != nil || r.StatusCode() != 200 {
				b.Error(err, r.StatusCode())
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

// lookups adapts a table, which is never replaced here.
type lookups struct{ *resolver.Table }

func (l lookups) HomeRegion(addr netip.Addr) string { return l.Table.HomeRegion(addr) }
