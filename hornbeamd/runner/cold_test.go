package runner

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// coldUpstream is an upstream that may turn cold, which only its health responses say.
type coldUpstream struct {
	server *http.Server

	mu        sync.Mutex
	coldUntil time.Time
	// arrivals has the requests that arrived while it was cold.
	arrivals []time.Time
}

func startColdUpstream(t *testing.T, m *memoryStore, id string) *coldUpstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u := &coldUpstream{}
	u.server = &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		u.mu.Lock()
		left := time.Until(u.coldUntil)
		if left > 0 && q.RequestURI != "/health" {
			u.arrivals = append(u.arrivals, time.Now())
		}
		u.mu.Unlock()
		w.Header().Set("Id", q.Header.Get("Id"))
		if q.RequestURI == "/health" {
			w.Header().Set("Upstream", id)
			w.Header().Set("Cold", fmt.Sprint(max(0, left.Milliseconds())))
		}
		fmt.Fprint(w, "ran")
	})}
	go func() { _ = u.server.Serve(ln) }()
	t.Cleanup(func() { _ = u.server.Close() })
	m.put(steerer.Upstreams, steerer.Object{Name: id, Upstream: &steerer.Upstream{ID: id, Service: "s", Address: ln.Addr().String(), Domain: "d", Slots: 20}})
	return u
}

// mostWithin returns the largest number of arrivals within a second.
func (u *coldUpstream) mostWithin() (most int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, first := range u.arrivals {
		n := 0
		for _, at := range u.arrivals[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestUpstreamTurnsColdDuringOutage guards against sending the usual load to an upstream
// that turns cold while the store is down, so that its registration does not say so.
func TestUpstreamTurnsColdDuringOutage(t *testing.T) {
	is := is.New(t)
	const (
		coldRate = 5.0
		// Requests that a cold upstream bears within a second, as the deployment states.
		bound = coldRate*1.5 + 5
		load  = 24
	)
	m := newMemoryStore()
	cold := startColdUpstream(t, m, "u1")
	startColdUpstream(t, m, "u2")
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 200, ColdRate: coldRate, HealthPath: "/health"}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 2 * time.Second, Aim: 100 * time.Millisecond, Attempts: 2, Idempotent: true,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	all := startInstances(t, m, 50, 2)
	m.mu.Lock()
	m.unavailable = true
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	var stop atomic.Bool
	var callers sync.WaitGroup
	callers.Go(func() {
		for n := 0; !stop.Load(); n++ {
			callers.Go(func() { get(all[n%2].cfg.Self.Front, fmt.Sprint("/p/", n)) })
			time.Sleep(time.Second / load)
		}
	})
	time.Sleep(2500 * time.Millisecond) // until the outage is known
	cold.mu.Lock()
	cold.coldUntil = time.Now().Add(4 * time.Second)
	cold.mu.Unlock()
	time.Sleep(5 * time.Second)
	stop.Store(true)
	callers.Wait()
	t.Logf("at most %d requests within a second, %.1f are allowed", cold.mostWithin(), bound)
	is.True(float64(cold.mostWithin()) <= bound)
	is.True(cold.mostWithin() > 0)
}
