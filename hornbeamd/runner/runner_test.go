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
	"strconv"
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

// memoryStore is an in-memory Store.
type memoryStore struct {
	mu          sync.Mutex
	era         uint64
	revision    uint64
	objects     map[steerer.Kind]map[string]steerer.Object
	changes     []change
	changed     chan struct{}
	unavailable bool
}

type change struct {
	revision uint64
	kind     steerer.Kind
	object   steerer.Object
}

func newMemoryStore() *memoryStore {
	return &memoryStore{era: 1, revision: 1, objects: map[steerer.Kind]map[string]steerer.Object{}, changed: make(chan struct{})}
}

func (m *memoryStore) put(k steerer.Kind, o steerer.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	if m.objects[k] == nil {
		m.objects[k] = map[string]steerer.Object{}
	}
	m.objects[k][o.Name] = o
	m.changes = append(m.changes, change{m.revision, k, o})
	close(m.changed)
	m.changed = make(chan struct{})
}

// restore resets the store as if it were restored from an empty backup.
func (m *memoryStore) restore() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.revision, m.objects, m.changes = 1, map[steerer.Kind]map[string]steerer.Object{}, nil
	close(m.changed)
	m.changed = make(chan struct{})
}

// names returns the sorted names of the objects of a kind.
func (m *memoryStore) names(k steerer.Kind) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.objects[k]))
}

func (m *memoryStore) Register(_ context.Context, i steerer.Instance) error {
	m.mu.Lock()
	unavailable := m.unavailable
	m.mu.Unlock()
	if unavailable {
		return fmt.Errorf("down")
	}
	m.put(steerer.Instances, steerer.Object{Name: i.Name, Instance: &i})
	return nil
}

func (m *memoryStore) WriteQuarantine(_ context.Context, o steerer.Object) error {
	m.mu.Lock()
	unavailable := m.unavailable
	old, ok := m.objects[steerer.Quarantines][o.Name]
	m.mu.Unlock()
	switch {
	case unavailable:
		return fmt.Errorf("down")
	case ok && !old.Deleted == !o.Deleted:
		return nil
	}
	m.put(steerer.Quarantines, o)
	return nil
}

func (m *memoryStore) List(_ context.Context, k steerer.Kind, _ string, _ bool) (p watcher.Page, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return p, fmt.Errorf("down")
	}
	p.Era, p.Revision = m.era, m.revision
	for _, o := range m.objects[k] {
		if !o.Deleted {
			p.Objects = append(p.Objects, o)
		}
	}
	return p, nil
}

func (m *memoryStore) Ping(context.Context) (era uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return 0, fmt.Errorf("down")
	}
	return m.era, nil
}

func (m *memoryStore) Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (p watcher.Page, err error) {
	for {
		m.mu.Lock()
		unavailable, changed := m.unavailable, m.changed
		p = watcher.Page{Era: m.era, Revision: m.revision}
		gone := revision > m.revision
		for _, c := range m.changes {
			if c.kind == k && c.revision > revision {
				p.Objects = append(p.Objects, c.object)
			}
		}
		m.mu.Unlock()
		switch {
		case unavailable:
			return p, fmt.Errorf("down")
		case gone:
			return p, watcher.ErrCompacted
		case len(p.Objects) > 0 || !time.Now().Before(until):
			return p, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return p, ctx.Err()
		}
	}
}

// plainDialect is a minimal relayer.HeaderCodec and Directory.
type plainDialect struct{}

func (plainDialect) ReadRequest(h *fasthttp.RequestHeader) relayer.RequestInfo {
	return relayer.RequestInfo{ID: h.Peek("Id")}
}
func (plainDialect) WriteRequest(*fasthttp.RequestHeader, string, string, time.Duration) {}
func (plainDialect) IsIdentity([]byte) bool                                              { return false }

func (plainDialect) WriteProbe(h *fasthttp.RequestHeader, upstream string) {
	h.Set("Expected", upstream)
}

func (plainDialect) ReadResponse(h *fasthttp.ResponseHeader) relayer.ResponseInfo {
	cold, err := strconv.Atoi(string(h.Peek("Cold")))
	if err != nil {
		cold = 0
	}
	return relayer.ResponseInfo{RequestID: h.Peek("Id"), UpstreamID: h.Peek("Upstream"), Signed: true, ColdLeft: time.Duration(cold) * time.Millisecond}
}
func (plainDialect) RemoveSignature(*fasthttp.ResponseHeader) {}

func (plainDialect) Handler(view func() *steerer.View) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		v := view()
		fmt.Fprintf(ctx, "%t %d", v.Ready, len(v.Nearest("r", "", 64)))
	}
}

// testInstance is an instance that a test runs.
type testInstance struct {
	cfg  Config
	stop context.CancelFunc
	done chan struct{}
	err  error
}

func startInstance(t *testing.T, m *memoryStore, n int, edit ...func(*Config)) *testInstance {
	t.Helper()
	ip := fmt.Sprintf("127.91.%d.%d", os.Getpid()%250, n+1)
	cfg := Config{
		Self:             steerer.Instance{Name: fmt.Sprint("i", n), Front: ip + ":8381", Beacon: ip + ":7200", Domain: "d", Region: "r"},
		Regions:          map[string]string{"d": "r"},
		Bounds:           steerer.Bounds{Stop: 2 * time.Second, ColdSlack: 5},
		DirectoryAddress: ip + ":8383", AdminAddress: ip + ":9464",
		Store: m, Dialect: plainDialect{}, Directory: plainDialect{}, Log: logr.Discard(), ReuseWindow: 10 * time.Second, NonIdempotentReuseWindow: 4 * time.Second, Clock: NewClock(),
	}
	for _, f := range edit {
		f(&cfg)
	}
	ctx, stop := context.WithCancel(context.Background())
	i := &testInstance{cfg: cfg, stop: stop, done: make(chan struct{})}
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
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Host = "h"
	req.Header.Set("Id", "q1")
	resp, err := client.Do(req)
	if err != nil {
		return "error"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// waitForResponse waits until an address returns the given status and body.
func waitForResponse(t *testing.T, address, path, want string) {
	t.Helper()
	got := ""
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if got = get(address, path); got == want {
			return
		}
	}
	t.Fatalf("%s%s: got %q, want %q", address, path, got, want)
}

// TestInstancesOutliveStore starts instances that discover each other and serve
// requests. They keep serving without the store, in which time one shuts down
// gracefully and another starts.
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

	m := newMemoryStore()
	m.put(steerer.Upstreams, steerer.Object{Name: "u", Upstream: &steerer.Upstream{ID: "u", Service: "s", Address: upstream.Addr().String(), Domain: "d", Slots: 4}})
	var all []*testInstance
	for n := range 3 {
		all = append(all, startInstance(t, m, n))
	}
	first, last := all[0], all[2]
	waitForResponse(t, first.cfg.DirectoryAddress, "/", "200 false 0")
	is.True(strings.HasPrefix(get(first.cfg.Self.Front, "/p/x"), "503")) // no configuration yet
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 50}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Aim: time.Second, Attempts: 1,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	for _, i := range all {
		waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 true 3")
		is.Equal(get(i.cfg.Self.Front, "/p/x?y"), "200 ran /p/x?y")
	}
	is.True(strings.Contains(get(first.cfg.AdminAddress, "/metrics"), `horn_requests_total{outcome="answered",route="r"} 1`))
	for _, line := range []string{`horn_config_version 1`, `horn_fronts 3`, `horn_ready 1`, `horn_store_calls_total{call="register",result="answered"} 1`, `horn_changes_total{what="configured"} 1`} {
		is.True(strings.Contains(get(first.cfg.AdminAddress, "/metrics"), line+"\n"))
	}
	is.True(strings.Contains(get(first.cfg.AdminAddress, "/timeline"), `"kind":"configured"`))
	is.True(strings.Contains(get(first.cfg.AdminAddress, "/status"), `"version":1`))

	m.mu.Lock()
	m.unavailable = true
	m.mu.Unlock()
	last.stop()
	waitForResponse(t, first.cfg.DirectoryAddress, "/", "200 true 2") // the others no longer list it
	<-last.done
	is.NoErr(last.err)
	is.Equal(get(first.cfg.Self.Front, "/p/x"), "200 ran /p/x") // while the store is unavailable

	restarted := startInstance(t, m, 2) // starts while the store is unavailable
	waitForResponse(t, restarted.cfg.DirectoryAddress, "/", "200 true 3")
	is.Equal(get(restarted.cfg.Self.Front, "/p/x"), "200 ran /p/x")
}

// TestStoreRestoredFromBackup restores the store from an empty backup. The instances
// must keep their configuration and register again.
func TestStoreRestoredFromBackup(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{Version: 3}})
	var all []*testInstance
	for n := range 2 {
		all = append(all, startInstance(t, m, 10+n))
	}
	for _, i := range all {
		waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 true 2")
	}
	m.restore()
	for until := time.Now().Add(30 * time.Second); len(m.names(steerer.Instances)) < 2 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(m.names(steerer.Instances), []string{"i10", "i11"})
	for _, i := range all {
		waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 true 2")
		is.True(strings.Contains(get(i.cfg.AdminAddress, "/status"), `"version":3`))
	}
}

// TestStepRecoversFromPanic applies an event at which the steerer panics. The state
// must stay as it was before the event.
func TestStepRecoversFromPanic(t *testing.T) {
	is := is.New(t)
	r := New(Config{Self: steerer.Instance{Name: "i"}, Store: newMemoryStore(), Directory: plainDialect{}, Dialect: plainDialect{}, Log: logr.Discard(), Clock: NewClock()})
	r.step(steerer.Listed{Now: 1, Kind: steerer.Evacuations, Objects: []steerer.Object{{Name: "a-1"}}})
	is.Equal(len(r.step(steerer.Listed{Now: 2, Kind: "unknown", Objects: []steerer.Object{{Name: "x"}}})), 0)
	is.Equal(testutil.ToFloat64(r.metrics.panics.WithLabelValues("event")), 1.0)
	r.step(steerer.Listed{Now: 3, Kind: steerer.Evacuations, Objects: []steerer.Object{{Name: "a-1"}}})
	effects := r.step(steerer.Listed{Now: 4, Kind: steerer.Evacuations})
	is.True(len(effects) > 0) // ends the evacuation of a-1, which was still in the state
}

func TestClockIsMonotonic(t *testing.T) {
	is := is.New(t)
	c := NewClock()
	first := c.Now()
	is.True(first > 0)
	is.True(c.Now() >= first)
}
