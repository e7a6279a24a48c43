package runner

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// TestNoRequestCutByExit guards against requests that are accepted late in a graceful
// shutdown and run for longer than the process: their connections were closed without
// an answer. They have to be refused as not run, so that callers go elsewhere. Runs may
// take longer than those that the instance has seen.
func TestNoRequestCutByExit(t *testing.T) {
	for name, lateRunTime := range map[string]time.Duration{"usual runs": usualRunTime, "longer runs": usualRunTime * 8 / 5} {
		t.Run(name, func(t *testing.T) { testNoRequestCutByExit(t, lateRunTime) })
	}
}

// usualRunTime is the run time of the request before the shutdown.
const usualRunTime = 1500 * time.Millisecond

// testNoRequestCutByExit sends requests during a shutdown that run for lateRunTime.
func testNoRequestCutByExit(t *testing.T, lateRunTime time.Duration) {
	is := is.New(t)
	const stop = 4 * time.Second
	var runTime atomic.Int64
	runTime.Store(int64(usualRunTime))
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(time.Duration(runTime.Load()))
		w.Header().Set("Id", q.Header.Get("Id"))
		fmt.Fprint(w, "ran")
	})}
	go func() { _ = server.Serve(upstream) }()
	defer func() { is.NoErr(server.Close()) }()

	m := newMemoryStore()
	m.put(steerer.Upstreams, steerer.Object{Name: "u", Upstream: &steerer.Upstream{ID: "u", Service: "s", Address: upstream.Addr().String(), Domain: "d", Slots: 40}})
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 50}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Aim: usualRunTime, Attempts: 1,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	i := startInstance(t, m, 7, func(c *Config) { c.Bounds.Stop = stop })
	waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 true 1")
	is.Equal(get(i.cfg.Self.Front, "/p/x"), "200 ran")

	runTime.Store(int64(lateRunTime))
	i.stop()
	began := time.Now()
	answers := make(chan string, 100)
	sent := 0
	// Until the listener closes.
	for time.Since(began) < time.Duration(closeListenerShare*float64(stop))-200*time.Millisecond {
		go func() { answers <- get(i.cfg.Self.Front, "/p/x") }()
		sent++
		time.Sleep(100 * time.Millisecond)
	}
	// The process exits when Run has returned.
	<-i.done
	is.NoErr(i.err)
	time.Sleep(50 * time.Millisecond)
	t.Logf("%d of %d requests answered before the exit", len(answers), sent)
	is.Equal(len(answers), sent)
	for range sent {
		answer := <-answers
		is.True(answer == "200 ran" || strings.HasPrefix(answer, "503")) // answered, or refused as not run
	}
}

// TestNoLateRequestCutByExit guards against requests that are accepted late in a graceful
// shutdown, or must not run twice, and are cut off without an answer at its end because
// their upstream does not answer in the usual time. They have to be refused as not run.
func TestNoLateRequestCutByExit(t *testing.T) {
	is := is.New(t)
	const (
		stop = 4 * time.Second
		// Later requests are late.
		early = 2 * time.Second
	)
	var stuck atomic.Bool
	exited := make(chan struct{})
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if stuck.Load() {
			<-exited
		}
		w.Header().Set("Id", q.Header.Get("Id"))
		fmt.Fprint(w, "ran")
	})}
	go func() { _ = server.Serve(upstream) }()
	defer func() { is.NoErr(server.Close()) }()

	m := newMemoryStore()
	m.put(steerer.Upstreams, steerer.Object{Name: "u", Upstream: &steerer.Upstream{ID: "u", Service: "s", Address: upstream.Addr().String(), Domain: "d", Slots: 40}})
	route := func(name string, idempotent bool) steerer.Route {
		return steerer.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: 5 * time.Second, Aim: 100 * time.Millisecond, Attempts: 1, Idempotent: idempotent,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}
	}
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version: 1, Services: []steerer.Service{{Name: "s", Conns: 50}}, Routes: []steerer.Route{route("once", false), route("safe", true)},
	}})
	i := startInstance(t, m, 8, func(c *Config) { c.Bounds.Stop = stop })
	waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 true 1")
	for range 20 {
		is.Equal(get(i.cfg.Self.Front, "/once/x"), "200 ran")
		is.Equal(get(i.cfg.Self.Front, "/safe/x"), "200 ran")
	}

	stuck.Store(true)
	i.stop()
	began := time.Now()
	answers := make(chan string, 100)
	sent := 0
	send := func(path string) {
		sent++
		go func() { answers <- get(i.cfg.Self.Front, path) }()
	}
	time.Sleep(300 * time.Millisecond) // until the shutdown has begun
	for time.Since(began) < time.Duration(closeListenerShare*float64(stop))-200*time.Millisecond {
		send("/once/x")
		if time.Since(began) > early {
			send("/safe/x")
		}
		time.Sleep(100 * time.Millisecond)
	}
	<-i.done
	is.NoErr(i.err)
	time.Sleep(50 * time.Millisecond)
	t.Logf("%d of %d requests answered before the exit", len(answers), sent)
	refused := 0
	for range len(answers) {
		if strings.HasPrefix(<-answers, "503") {
			refused++
		}
	}
	close(exited)
	is.Equal(refused, sent)
}
