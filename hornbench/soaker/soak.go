package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Options says what a soak is like.
type Options struct {
	// Binary is the hornplatform program.
	Binary string
	Seed   uint64
	// Until is when the faults end; a calm time follows.
	Until time.Time
	// Instances and Upstreams (for each of two services) are spread over the
	// failure domains.
	Instances, Upstreams, Callers int
	// Extended adds a store that comes back from a copy, and upstreams that say that
	// they leave or ask for a pause.
	Extended bool
	// Limits adds upstreams that limit the rate of their requests.
	Limits bool
	// Bursts lets faults come in bursts, so that the time bounds are checked between
	// them, and adds a store that takes calls without an answer.
	Bursts bool
	// Crashes adds requests that crash the upstreams that run them, and upstreams that
	// crash together.
	Crashes bool
	// Workspaces adds workspaces whose keys change with each configuration, one of them
	// with an allowance that it exceeds all the time.
	Workspaces bool
	// Pauses adds pauses of instances in which routes move several times.
	Pauses bool
	// Garbage adds upstreams and a store that send bytes that are no answer.
	Garbage bool
	// Stops adds callers that send late on connections opened early, and leaves only planned
	// stops and moves of routes as faults.
	Stops bool
	// Dir takes the logs of the instances. It is made if it is missing.
	Dir string
}

const (
	// startTime bounds the start of the instances.
	startTime = 10 * time.Second
	// calmTime follows the last fault, recoverTime is its first part, in which
	// things may still go wrong.
	calmTime    = 6 * time.Second
	recoverTime = 4 * time.Second
	// contactTime is how long after a disturbance time bounds do not hold.
	contactTime = 3 * time.Second
)

// domains are the failure domains with their regions.
var domains = map[string]string{"a-1": "a", "a-2": "a", "b-1": "b"}

var domainNames = []string{"a-1", "a-2", "b-1"}

// services are the two services; routes move between them.
var services = []string{"alpha", "beta"}

// World is all that runs during a soak.
type World struct {
	options   Options
	random    *rand.Rand
	store     *Store
	server    *storeServer
	ledger    *Ledger
	journal   *Journal
	instances []*Instance
	// byFront is the result of fronts.
	byFront map[string]*Instance

	mu        sync.Mutex
	upstreams []*Upstream
	// left has the upstreams that have told that they leave.
	left    []*Upstream
	version uint64
	// config is the newest configuration, evacuated has the domains that the
	// operator has evacuated and evacuations when that was.
	config      any
	evacuated   map[string]bool
	evacuations []evacuation
	// all has all upstreams that ever were.
	all []*Upstream
	// moves has the times at which the routes moved to a service.
	moves []move
	// disturbed has the periods in which the store was disturbed.
	disturbed []span
	faults    []string
	// returning is held while the store comes back from a copy.
	returning sync.Mutex
	// signals is held while an instance is paused, stopped or started.
	signals sync.Mutex
	began   time.Time
	next    int
	// crashes has the times at which upstreams crashed by the request that crashed them.
	crashes map[string][]time.Time
	// keys has all keys of workspaces that ever were, oldest first.
	keys   []workspaceKey
	closed bool
}

// move is a configuration that sends all requests to a service.
type move struct {
	at      time.Time
	service string
}

// evacuation is a time in which a domain was evacuated.
type evacuation struct {
	domain string
	span
}

// span is a time between two moments; one without an end goes on.
type span struct{ from, to time.Time }

// overlap tells whether one of the spans has a part between two moments.
func overlap(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || from.Before(s.to))
	})
}

// Soak runs one seed and returns its report.
func Soak(ctx context.Context, o Options) (r Report, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("soak with seed %d: %w", o.Seed, err)
		}
	}()
	if err = os.MkdirAll(o.Dir, 0o755); err != nil {
		return r, err
	}
	w := &World{
		options: o, random: rand.New(rand.NewPCG(o.Seed, 7)), store: NewStore(),
		ledger: &Ledger{}, journal: &Journal{}, began: time.Now(), evacuated: map[string]bool{},
		crashes: map[string][]time.Time{},
	}
	defer w.close()
	if err = w.start(ctx); err != nil {
		return r, err
	}
	// The crashing requests are faults and end with them, the callers go on.
	done, faultsDone := make(chan struct{}), make(chan struct{})
	var group errgroup.Group
	for n := range o.Callers {
		c := newCaller(n, domains[domainNames[n%len(domainNames)]], w.instances, w.journal, o.Seed)
		c.popular = o.Crashes
		c.pickKey = func(r *rand.Rand) *workspaceKey { return w.pickKey(r, workspaceNames) }
		group.Go(func() error {
			c.run(done)
			return nil
		})
	}
	if o.Crashes {
		for n := range crashingRequests {
			c := newCaller(o.Callers+n, domains[domainNames[0]], w.instances, w.journal, o.Seed)
			// A request of another workspace is another request.
			c.pickKey = func(r *rand.Rand) *workspaceKey { return w.pickKey(r, workspaceNames[:1]) }
			group.Go(func() error {
				c.repeat(crashingRequest(n), faultsDone)
				return nil
			})
		}
	}
	if o.Stops {
		for n := range lateCallers * len(w.instances) {
			c := &lateCaller{name: fmt.Sprint(latePrefix, n), instance: w.instances[n%len(w.instances)], journal: w.journal, random: rand.New(rand.NewPCG(o.Seed, uint64(n)))}
			group.Go(func() error {
				c.run(done)
				return nil
			})
		}
	}
	w.disturb(ctx)
	close(faultsDone)
	sleep(ctx, calmTime)
	close(done)
	// The callers return no errors.
	_ = group.Wait()
	return w.report(), nil
}

func (w *World) start(ctx context.Context) (err error) {
	if w.server, err = serveStore(w.store); err != nil {
		return err
	}
	w.configure(services[0])
	for n := range w.options.Upstreams * len(services) {
		if err = w.addUpstream(services[n%len(services)], domainNames[n/len(services)%len(domainNames)]); err != nil {
			return err
		}
	}
	net := fmt.Sprintf("127.%d.%d", 100+w.options.Seed%100, os.Getpid()%250)
	for n := range w.options.Instances {
		domain := domainNames[n%len(domainNames)]
		i, err := newInstance(w.options.Binary, w.options.Dir, fmt.Sprintf("i%02d", n), fmt.Sprintf("%s.%d", net, n+1),
			domain, domains[domain], w.server.address, domains, w.grace())
		if err != nil {
			return err
		}
		if w.options.Pauses {
			i.proxy.setLatency(distantStore)
		}
		if err = i.Start(); err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	return w.awaitReady(ctx)
}

func (w *World) awaitReady(ctx context.Context) error {
	until := time.Now().Add(startTime)
	for _, i := range w.instances {
		for !i.Ready() {
			if ctx.Err() != nil || time.Now().After(until) {
				return fmt.Errorf("instance %s is not ready", i.Name)
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

func (w *World) addUpstream(service, domain string) error {
	w.mu.Lock()
	w.next++
	id := fmt.Sprintf("%s-%02d", service, w.next)
	w.mu.Unlock()
	u, err := startUpstream(id, service, domain, 6, w.store, w.ledger, w.crash)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.upstreams, w.all = append(w.upstreams, u), append(w.all, u)
	return nil
}

// configure writes the next version of the configuration, with all routes on one
// service.
func (w *World) configure(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.random.Uint64N(3)
	route := func(name, kind string) []any {
		return []any{name, host, "/" + name + "/", kind, 1100, 150, 1, service, 2, true, []string{}, nil}
	}
	var rows [][]any
	for _, s := range services {
		rows = append(rows, []any{s, "/healthz", 200, 1.0, 20.0})
	}
	config := map[string]any{
		"version": fmt.Sprintf("r%d", w.version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeoutMs", "latencyTargetMs", "priority", "service", "attempts", "sticky", "homeRegions", "trafficSplit"},
			"rows":    [][]any{route("safe", "safe"), route("once", "unsafe")},
		},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConns", "coldStartS", "coldPerS"}, "rows": rows},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 5000},
	}
	if w.options.Workspaces {
		w.rotateKeys()
		config["tenants"] = w.tenants()
	}
	w.config = config
	// The values are of types that always have a JSON form.
	_ = w.store.Put("config", "main", w.config)
	w.moves = append(w.moves, move{time.Now(), service})
}

// close ends everything that the soak has started.
func (w *World) close() {
	for _, i := range w.instances {
		i.signal(os.Kill)
		i.wait()
		i.proxy.Close()
		_ = i.log.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, u := range w.upstreams {
		u.Stop(true)
	}
	if w.server != nil {
		w.server.close()
	}
}

// logs names the files with the logs of the instances.
func (w *World) logs() string { return filepath.Join(w.options.Dir, "*.log") }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
