package runner

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

const (
	// crashBound is how long after the third crash a crashing request may still reach
	// upstreams, and crashRetries how often it may after that.
	crashBound   = 3 * time.Second
	crashRetries = 3
	// crashRestartTime is how long a crashed upstream is away.
	crashRestartTime = 400 * time.Millisecond
)

// crashingFleet is a service whose upstreams crash when they run /p/crash. Each comes
// back under another ID.
type crashingFleet struct {
	store *memoryStore

	mu       sync.Mutex
	started  int
	arrivals []time.Time
	crashes  []time.Time
	servers  map[string]*http.Server
	closed   bool
}

func startCrashingFleet(t *testing.T, m *memoryStore, size int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{store: m, servers: map[string]*http.Server{}}
	for range size {
		f.start(t)
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.closed = true
		for _, s := range f.servers {
			_ = s.Close()
		}
	})
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 200}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 2 * time.Second, Aim: 100 * time.Millisecond, Attempts: 2, Idempotent: true,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	return f
}

func (f *crashingFleet) start(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		_ = ln.Close()
		return
	}
	f.started++
	id := fmt.Sprint("u", f.started)
	s := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if strings.HasPrefix(q.RequestURI, "/p/crash") {
			f.crash(t, id)
			panic(http.ErrAbortHandler)
		}
		time.Sleep(5 * time.Millisecond)
		w.Header().Set("Id", q.Header.Get("Id"))
		fmt.Fprint(w, "ran")
	})}
	f.servers[id] = s
	go func() { _ = s.Serve(ln) }()
	f.store.put(steerer.Upstreams, steerer.Object{Name: id, Upstream: &steerer.Upstream{ID: id, Service: "s", Address: ln.Addr().String(), Domain: "d", Slots: 4}})
}

// crash ends an upstream shortly after it has begun to run the request.
func (f *crashingFleet) crash(t *testing.T, id string) {
	f.mu.Lock()
	f.arrivals = append(f.arrivals, time.Now())
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.servers[id]
	if s == nil {
		return
	}
	delete(f.servers, id)
	f.crashes = append(f.crashes, time.Now())
	_ = s.Close()
	go func() {
		time.Sleep(crashRestartTime)
		f.store.put(steerer.Upstreams, steerer.Object{Name: id, Deleted: true})
		f.start(t)
	}()
}

// late returns how many of the crashing requests reached an upstream later than
// crashBound after the third crash, and the number of crashes.
func (f *crashingFleet) late() (n, crashes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return 0, len(f.crashes)
	}
	for _, at := range f.arrivals {
		if at.Sub(f.crashes[2]) > crashBound {
			n++
		}
	}
	return n, len(f.crashes)
}

// startInstances starts instances, numbered from first, and waits until each counts all.
func startInstances(t *testing.T, m *memoryStore, first, size int) (all []*testInstance) {
	t.Helper()
	for n := range size {
		all = append(all, startInstance(t, m, first+n))
	}
	for _, i := range all {
		waitForResponse(t, i.cfg.DirectoryAddress, "/", fmt.Sprint("200 true ", size))
	}
	return all
}

// repeatCrash sends the crashing request to instances in turn for a time.
func repeatCrash(instances []*testInstance, d time.Duration) (answers []string) {
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		answers = append(answers, get(instances[n%len(instances)].cfg.Self.Front, "/p/crash"))
		time.Sleep(70 * time.Millisecond)
	}
	return answers
}

// TestCrashingRequestIsContained guards against a request that crashes the upstreams
// that run it and is sent to further ones each time it comes again, at any instance.
// Other requests must be served.
func TestCrashingRequestIsContained(t *testing.T) {
	for name, size := range map[string]int{"alone": 1, "three": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMemoryStore()
			f := startCrashingFleet(t, m, 6)
			all := startInstances(t, m, 20, size)
			answers := repeatCrash(all, 6*time.Second)
			late, crashes := f.late()
			t.Logf("%d crashes, %d late arrivals", crashes, late)
			is.True(crashes >= 3)
			is.True(late <= crashRetries)
			// What has not been sent is refused as not run.
			is.True(slices.ContainsFunc(answers, func(a string) bool { return strings.HasPrefix(a, "503") }))
			for range 20 {
				is.Equal(get(all[0].cfg.Self.Front, "/p/x"), "200 ran")
			}
		})
	}
}

// TestCrashingRequestAfterRestart guards against an instance that sends a request to
// upstreams again because it has restarted since the request was known to crash them,
// whether or not another instance is left to ask.
func TestCrashingRequestAfterRestart(t *testing.T) {
	for name, size := range map[string]int{"all restarted": 1, "one restarted": 2} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := newMemoryStore()
			f := startCrashingFleet(t, m, 6)
			all := startInstances(t, m, 30, size)
			repeatCrash(all, crashBound+1500*time.Millisecond)
			_, before := f.late()
			is.True(before >= 3)
			all[0].stop()
			<-all[0].done
			restarted := startInstance(t, m, 30)
			waitForResponse(t, restarted.cfg.DirectoryAddress, "/", fmt.Sprint("200 true ", size))
			repeatCrash([]*testInstance{restarted}, 1500*time.Millisecond)
			late, after := f.late()
			t.Logf("%d crashes before the restart, %d in all, %d late arrivals", before, after, late)
			is.True(late <= crashRetries)
		})
	}
}
