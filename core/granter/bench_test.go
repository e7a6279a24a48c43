package granter

import (
	"fmt"
	"testing"
)

// BenchmarkHeartbeat measures a leader's work for one heartbeat in a domain of
// 58 members and 200 upstreams, the size of the stated target. There are 116
// heartbeats a second and a tick for every twelfth.
func BenchmarkHeartbeat(b *testing.B) {
	now := epoch
	p := Config{Version: 1, Domain: "d", Reserve: 0.1}
	for i := range 200 {
		p.Upstreams = append(p.Upstreams, UpstreamConfig{Upstream: fmt.Sprint("u", i), Service: fmt.Sprint("s", i%3), Slots: 40, Limit: limit})
	}
	for i := range 12 {
		p.Quotas = append(p.Quotas, Quota{Name: fmt.Sprint("q", i), Rate: 100})
	}
	s := New(Member{Name: "m0", Incarnation: 1, Peer: "m0"}, now)
	s.Step(ConfigChanged{Now: now, Config: p})
	s.Step(LeaseRead{Sent: now, Now: now})
	version, calls := uint64(0), uint64(0)
	tick := func() {
		for _, f := range s.Step(Tick{Now: now}) {
			if w, ok := f.(WriteLease); ok {
				version++
				s.Step(WriteCompleted{Sent: now, Now: now, Nonce: w.Lease.Nonce, Version: version})
			}
		}
	}
	beat := func(i int) {
		now = now.Add(HeartbeatInterval / 58)
		if i%12 == 0 {
			tick()
		}
		calls++
		m := Member{Name: fmt.Sprint("m", i%58), Incarnation: 1, Peer: fmt.Sprint("m", i%58)}
		s.Step(HeartbeatReceived{Now: now, From: m, Call: calls, Epoch: s.Epoch, Seen: s.Sequence})
	}
	for i := 1; i < 5000; i++ {
		beat(i)
	}
	if len(s.LiveMembers) != 58 {
		b.Fatal("live members:", len(s.LiveMembers))
	}
	b.ResetTimer()
	for i := range b.N {
		beat(i)
	}
}
