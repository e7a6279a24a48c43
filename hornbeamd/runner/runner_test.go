package runner

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/relayer"
	"hornbeamstream.example/hornbeamd/watcher"
)

// memory is a store in memory.
type memory struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	objects  map[steerer.Kind]map[string]steerer.Object
	changes  []stored
	wake     chan struct{}
	down     bool
}

type stored struct {
	revision uint64
	kind     steerer.Kind
	object   steerer.Object
}

func newMemory() *memory {
	return &memory{era: 1, revision: 1, objects: map[steerer.Kind]map[string]steerer.Object{}, wake: make(chan struct{})}
}

func (m *memory) put(k steerer.Kind, o steerer.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	if m.objects[k] == nil {
		m.objects[k] = map[string]steerer.Object{}
	}
	m.objects[k][o.Name] = o
	m.changes = append(m.changes, stored{m.revision, k, o})
	close(m.wake)
	m.wake = make(chan struct{})
}

// restore takes the store back to a copy in which nothing was written yet.
func (m *memory) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.objects, m.changes = 1, map[steerer.Kind]map[string]steerer.Object{}, nil
	close(m.wake)
	m.wake = make(chan struct{})
}

// names lists the objects of a kind.
func (m *memory) names(k steerer.Kind) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.objects[k]))
}

func (m *memory) Register(_ context.Context, i steerer.Instance) error {
	m.mu.Lock()
	down := m.down
	m.mu.Unlock()
	if down {
		return fmt.Errorf("down")
	}
	m.put(steerer.Instances, steerer.Object{Name: i.Name, Instance: &i})
	return nil
}

func (m *memory) List(_ context.Context, k steerer.Kind, _ string, _ bool) (p watcher.Page, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return p, fmt.Errorf("down")
	}
	p.Era, p.Revision = m.era, m.revision
	for _, o := range m.objects[k] {
		p.Objects = append(p.Objects, o)
	}
	return p, nil
}

func (m *memory) Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (p watcher.Page, err error) {
	for {
		m.mu.Lock()
		down, wake := m.down, m.wake
		p = watcher.Page{Era: m.era, Revision: m.revision}
		gone := revision > m.revision
		for _, c := range m.changes {
			if c.kind == k && c.revision > revision {
				p.Objects = append(p.Objects, c.object)
			}
		}
		m.mu.Unlock()
		switch {
		case down:
			return p, fmt.Errorf("down")
		case gone:
			return p, watcher.ErrHistory
		case len(p.Objects) > 0 || !time.Now().Before(until):
			return p, nil
		}
		select {
		case <-wake:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// plain implements relayer.Dialect and Directory.
type plain struct{}

func (plain) ReadRequest(h *fasthttp.RequestHeader) relayer.RequestInfo {
	return relayer.RequestInfo{ID: h.Peek("Id")}
}
func (plain) WriteRequest(*fasthttp.RequestHeader, string, time.Duration) {}
func (plain) ReadResponse(h *fasthttp.ResponseHeader) relayer.ResponseInfo {
	return relayer.ResponseInfo{RequestID: h.Peek("Id"), Signed: true}
}
func (plain) RemoveSignature(*fasthttp.ResponseHeader) {}

func (plain) Handler(view func() *steerer.View) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		v := view()
		fmt.Fprintf(ctx, "%t %d", v.Ready, len(v.Nearest("r", "", 64)))
	}
}

// instance is a running instance of the test.
type instance struct {
	cfg  Config
	stop context.CancelFunc
	done chan struct{}
	err  error
}

func start(t *testing.T, m *memory, n int) *instance {
	t.Helper()
	ip := fmt.Sprintf("127.91.%d.%d", os.Getpid()%250, n+1)
	cfg := Config{
		Self:             steerer.Instance{Name: fmt.Sprint("i", n), Front: ip + ":8381", Beacon: ip + ":7200", Domain: "d", Region: "r"},
		Regions:          map[string]string{"d": "r"},
		Bounds:           steerer.Bounds{Stop: 2 * time.Second, ColdSlack: 5},
		DirectoryAddress: ip + ":8383", AdminAddress: ip + ":9464",
		Store: m, Dialect: plain{}, Directory: plain{}, Log: logr.Discard(), ReuseWindow: 10 * time.Second, NonIdempotentReuseWindow: 4 * time.Second, Clock: NewClock(),
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{cfg: cfg, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(i.done)
		i.err = New(cfg).Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-i.done
	})
	return i
}

func get(address, path string) string {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	q, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err.Error()
	}
	q.Host = "h"
	q.Header.Set("Id", "q1")
	a, err := client.Do(q)
	if err != nil {
		return "error"
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(a.StatusCode, " ", string(body))
}

// await waits until an address answers with the given text.
func await(t *testing.T, address, path, want string) {
	t.Helper()
	got := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if got = get(address, path); got == want {
			return
		}
	}
	t.Fatalf("%s%s answers %q, not %q", address, path, got, want)
}

// TestInstances starts instances that find each other, serve requests, go on
// without the store, and stop as planned.
func TestInstancesOutliveStore(t *testing.T) {
	is := is.New(t)
	upstream, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		fmt.Fprint(w, "ran ", q.RequestURI)
	})}
	go func() { _ = server.Serve(upstream) }()
	defer func() { is.NoErr(server.Close()) }()

	m := newMemory()
	m.put(steerer.Upstreams, steerer.Object{Name: "u", Upstream: &steerer.Upstream{ID: "u", Service: "s", Address: upstream.Addr().String(), Domain: "d", Slots: 4}})
	var all []*instance
	for n := range 3 {
		all = append(all, start(t, m, n))
	}
	first, last := all[0], all[2]
	await(t, first.cfg.DirectoryAddress, "/", "200 false 0")
	is.True(strings.HasPrefix(get(first.cfg.Self.Front, "/p/x"), "503")) // knows no configuration
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 50}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Aim: time.Second, Attempts: 1,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	for _, i := range all {
		await(t, i.cfg.DirectoryAddress, "/", "200 true 3")
		is.Equal(get(i.cfg.Self.Front, "/p/x?y"), "200 ran /p/x?y")
	}
	is.True(strings.Contains(get(first.cfg.AdminAddress, "/metrics"), `horn_requests_total{outcome="answered",route="r"} 1`))
	for _, line := range []string{`horn_config_version 1`, `horn_fronts 3`, `horn_ready 1`, `horn_store_calls_total{call="register",result="answered"} 1`, `horn_changes_total{what="configured"} 1`} {
		is.True(strings.Contains(get(first.cfg.AdminAddress, "/metrics"), line+"\n"))
	}
	is.True(strings.Contains(get(first.cfg.AdminAddress, "/timeline"), `"kind":"configured"`))
	is.True(strings.Contains(get(first.cfg.AdminAddress, "/status"), `"version":1`))

	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	last.stop()
	await(t, first.cfg.DirectoryAddress, "/", "200 true 2") // others leave it out
	<-last.done
	is.NoErr(last.err)
	is.Equal(get(first.cfg.Self.Front, "/p/x"), "200 ran /p/x") // without the store

	again := start(t, m, 2) // a start while the store is away
	await(t, again.cfg.DirectoryAddress, "/", "200 true 3")
	is.Equal(get(again.cfg.Self.Front, "/p/x"), "200 ran /p/x")
}

// TestStoreFromACopy takes the store back to a copy that has nothing. The instances
// keep their configuration and register again.
func TestStoreRestoredFromBackup(t *testing.T) {
	is := is.New(t)
	m := newMemory()
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{Version: 3}})
	var all []*instance
	for n := range 2 {
		all = append(all, start(t, m, 10+n))
	}
	for _, i := range all {
		await(t, i.cfg.DirectoryAddress, "/", "200 true 2")
	}
	m.restore()
	for until := time.Now().Add(30 * time.Second); len(m.names(steerer.Instances)) < 2 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(m.names(steerer.Instances), []string{"i10", "i11"})
	for _, i := range all {
		await(t, i.cfg.DirectoryAddress, "/", "200 true 2")
		is.True(strings.Contains(get(i.cfg.AdminAddress, "/status"), `"version":3`))
	}
}

// TestPanicsOfEvents sends an event at which the reducer panics. The instance
// keeps what it knew and goes on.
func TestStepRecoversFromPanic(t *testing.T) {
	is := is.New(t)
	r := New(Config{Self: steerer.Instance{Name: "i"}, Store: newMemory(), Directory: plain{}, Dialect: plain{}, Log: logr.Discard(), Clock: NewClock()})
	r.step(steerer.Listed{Now: 1, Kind: steerer.Evacuations, Objects: []steerer.Object{{Name: "a-1"}}})
	is.Equal(len(r.step(steerer.Listed{Now: 2, Kind: "unknown", Objects: []steerer.Object{{Name: "x"}}})), 0)
	is.Equal(testutil.ToFloat64(r.metrics.panics.WithLabelValues("event")), 1.0)
	r.step(steerer.Listed{Now: 3, Kind: steerer.Evacuations, Objects: []steerer.Object{{Name: "a-1"}}})
	effects := r.step(steerer.Listed{Now: 4, Kind: steerer.Evacuations})
	is.True(len(effects) > 0) // the domain is no longer evacuated, which was still known
}

// TestClockCountsOn reads the clock twice.
func TestClockIsMonotonic(t *testing.T) {
	is := is.New(t)
	c := NewClock()
	first := c.Now()
	is.True(first > 0)
	is.True(c.Now() >= first)
}
