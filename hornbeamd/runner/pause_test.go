package runner

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/watcher"
)

// pausableClock runs until pause is called, which advances it and stops it until resume.
type pausableClock struct {
	Clock
	mu      sync.Mutex
	stopped bool
	// at is the time while it is stopped, skipped the time by which it is ahead of Clock.
	at, skipped int64
}

func (c *pausableClock) Now() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return c.at
	}
	return c.Clock.Now() + c.skipped
}

func (c *pausableClock) pause(d time.Duration) {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped, c.at = true, now+int64(d)
}

func (c *pausableClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped, c.skipped = false, c.at-c.Clock.Now()
}

// silentStore is a memoryStore that answers no call while it is silent, not even those that
// were made before.
type silentStore struct {
	*memoryStore
	mu sync.Mutex
	// silence is closed when it ends; nil if the store answers.
	silence chan struct{}
}

func (s *silentStore) setSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silence = make(chan struct{})
}

func (s *silentStore) endSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silence)
	s.silence = nil
}

// await waits until the store answers. It returns an error if the context ends first.
func (s *silentStore) await(ctx context.Context) error {
	s.mu.Lock()
	silence := s.silence
	s.mu.Unlock()
	if silence == nil {
		return nil
	}
	select {
	case <-silence:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *silentStore) Ping(ctx context.Context) (era uint64, err error) {
	if err := s.await(ctx); err != nil {
		return 0, err
	}
	return s.memoryStore.Ping(ctx)
}

func (s *silentStore) List(ctx context.Context, k steerer.Kind, after string, stale bool) (p watcher.Page, err error) {
	if err := s.await(ctx); err != nil {
		return p, err
	}
	return s.memoryStore.List(ctx, k, after, stale)
}

func (s *silentStore) Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (p watcher.Page, err error) {
	p, err = s.memoryStore.Watch(ctx, k, revision, until)
	if waitErr := s.await(ctx); waitErr != nil {
		return watcher.Page{}, waitErr
	}
	return p, err
}

// startUpstream starts an upstream that responds with its service's name.
func startUpstream(t *testing.T, m *memoryStore, service string) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		w.Header().Set("Id", q.Header.Get("Id"))
		fmt.Fprint(w, service)
	})}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	m.put(steerer.Upstreams, steerer.Object{Name: service, Upstream: &steerer.Upstream{ID: service, Service: service, Address: ln.Addr().String(), Domain: "d", Slots: 4}})
}

// putRoute configures a route to a service.
func putRoute(m *memoryStore, version uint64, service string) {
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  version,
		Services: []steerer.Service{{Name: "old", Conns: 50}, {Name: "new", Conns: 50}},
		Routes: []steerer.Route{{
			Name: "r", Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Aim: time.Second, Attempts: 1,
			Parts: []steerer.WeightedService{{Service: service, Weight: 1}},
		}},
	}})
}

// TestPauseWhileEffectsAreExecuted guards against requests by an outdated configuration after
// a pause of the process that began while the control loop executed effects. Meanwhile the
// route has moved to another service.
func TestPauseWhileEffectsAreExecuted(t *testing.T) {
	is := is.New(t)
	s := &silentStore{memoryStore: newMemoryStore()}
	clock := &pausableClock{Clock: NewClock()}
	paused := make(chan struct{})
	// The control loop logs that an upstream was added while it executes effects.
	log := funcr.New(func(_, args string) {
		if strings.Contains(args, `"added"`) && strings.Contains(args, `"extra"`) {
			s.setSilent()
			putRoute(s.memoryStore, 2, "new")
			clock.pause(5 * time.Second)
			close(paused)
		}
	}, funcr.Options{})
	startUpstream(t, s.memoryStore, "old")
	startUpstream(t, s.memoryStore, "new")
	putRoute(s.memoryStore, 1, "old")
	i := startInstance(t, s.memoryStore, 20, func(cfg *Config) { cfg.Store, cfg.Clock, cfg.Log = s, clock, logr.New(log.GetSink()) })
	waitForResponse(t, i.cfg.Self.Front, "/p/x", "200 old")

	s.put(steerer.Upstreams, steerer.Object{Name: "extra", Upstream: &steerer.Upstream{ID: "extra", Service: "old", Address: "127.0.0.1:1", Domain: "d", Slots: 4}})
	<-paused
	for range 50 {
		is.True(strings.HasPrefix(get(i.cfg.Self.Front, "/p/x"), "503"))
	}
	is.True(get(i.cfg.DirectoryAddress, "/") != "200 true 1") // not ready
	s.endSilence()
	clock.resume()
	waitForResponse(t, i.cfg.Self.Front, "/p/x", "200 new")
}
