// Package runner runs an instance that reads its configuration, upstreams and peers
// from a shared store. One control goroutine passes events to the steerer's state
// machine and executes the resulting effects; other goroutines serve traffic.
package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/guarder"
	"hornbeamstream.example/hornbeamd/relayer"
	"hornbeamstream.example/hornbeamd/watcher"
)

// Store is the access of an instance to the shared store.
type Store interface {
	watcher.Source
	// Register creates or updates the object of the instance in the store.
	Register(ctx context.Context, i steerer.Instance) error
	// WriteQuarantine creates the object of a quarantine unless it exists, or deletes it
	// if o.Deleted is set. It may be repeated.
	WriteQuarantine(ctx context.Context, o steerer.Object) error
}

// Directory serves service discovery for callers and readiness checks.
type Directory interface {
	// Handler returns the handler for look-ups and readiness checks. It gets the
	// current view from the given function.
	Handler(view func() *steerer.View) fasthttp.RequestHandler
}

// Config configures a Runner.
type Config struct {
	Self steerer.Instance
	// Regions maps failure domains to regions.
	Regions map[string]string
	Bounds  steerer.Bounds
	// Bootstrap reports whether the whole system starts for the first time.
	Bootstrap bool
	// DirectoryAddress, ReadyAddress and AdminAddress are additional addresses to
	// listen on. An empty one is not used.
	DirectoryAddress, ReadyAddress, AdminAddress string
	Store                                        Store
	Dialect                                      relayer.HeaderCodec
	Directory                                    Directory
	Log                                          logr.Logger
	// ReuseWindow is how recently an upstream connection must have been used
	// successfully to be reused, NonIdempotentReuseWindow the same for requests
	// that must not run twice.
	ReuseWindow, NonIdempotentReuseWindow time.Duration
	// Clock is the clock of all parts of the instance.
	Clock interface{ Now() int64 }
	// MaxHeldBytes bounds the bytes that are held for callers and upstreams,
	// BodyStallTimeout the time between two bytes of a request's body, and MinBodyPace
	// its bytes per second from below; 0 means the defaults of relayer.Config.
	MaxHeldBytes     int64
	BodyStallTimeout time.Duration
	MinBodyPace      int
	// MaxCallerConns bounds the open connections of callers, MaxLookupConns those to
	// each address for look-ups and operators; 0 means no bound.
	MaxCallerConns, MaxLookupConns int
	// MinRampShare is that of dispatcher.Builder.
	MinRampShare float64
	// DroppedLogLines returns the number of dropped log lines.
	DroppedLogLines func() uint64
}

const (
	// tickInterval is the time between two ticks of the control goroutine.
	tickInterval = 100 * time.Millisecond
	// eventQueueSize is the capacity of the control goroutine's event queue.
	eventQueueSize = 256
)

// Runner runs one instance.
type Runner struct {
	cfg          Config
	events       chan steerer.Event
	state        *steerer.State
	tableBuilder dispatcher.Builder
	table        atomic.Pointer[dispatcher.Table]
	// probing has the number of health checks in progress, an *atomic.Int64 for each
	// *dispatcher.Upstream.
	probing sync.Map
	// quarantine has the requests that must not be sent.
	quarantine   atomic.Pointer[quarantiner.Set]
	relayer      *relayer.Relayer
	registry     *prometheus.Registry
	metrics      *metrics
	timeline     *recorder.Ring
	eventClock   recorder.Clock
	beaconConn   *net.UDPConn
	watchers     map[steerer.Kind]*watcher.Watcher
	availability watcher.Availability
	relay        *relay
	recoverer    guarder.Recoverer
	// reregister requests another registration.
	reregister chan struct{}
	// frontClosed is closed when no more connections of callers are accepted.
	frontClosed chan struct{}
	// processStart identifies this run of the process.
	processStart uint64
	// ramps are those that were logged last. Only the control loop uses them.
	ramps     []dispatcher.Ramp
	heartbeat heartbeat
}

// New returns a Runner for an instance. Run starts it.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:          cfg,
		events:       make(chan steerer.Event, eventQueueSize),
		state:        steerer.New(cfg.Self, cfg.Bootstrap),
		tableBuilder: dispatcher.Builder{Self: cfg.Self, MinRampShare: cfg.MinRampShare},
		registry:     prometheus.NewRegistry(),
		timeline:     &recorder.Ring{},
		reregister:   make(chan struct{}, 1),
		frontClosed:  make(chan struct{}),
		processStart: rand.Uint64(),
	}
	r.registry.MustRegister(collectors.NewGoCollector())
	r.metrics = newMetrics(r.registry, cfg.DroppedLogLines)
	r.metrics.registerGauges(r.registry, r.currentView, &r.quarantine)
	r.registry.MustRegister(workspaceCollector{r.workspaces}, rampCollector{&r.table})
	r.cfg.Store = r.metrics.instrument(r.registry, cfg.Store, r.now)
	r.recoverer = guarder.Recoverer{Log: cfg.Log, OnPanic: func(kind string) { r.metrics.panics.WithLabelValues(kind).Inc() }}
	r.relayer = relayer.New(relayer.Config{
		Tables: &r.table, Quarantine: &r.quarantine, HeaderCodec: cfg.Dialect, Metrics: r.metrics, Log: cfg.Log, Now: r.now,
		OnUpstreamLeaving: r.upstreamLeaving, OnUpstreamLimited: r.upstreamLimited,
		OnUpstreamCrashed: r.upstreamCrashed, OnRequestAnswered: r.requestAnswered,
		ReuseAge: cfg.ReuseWindow, NonIdempotentReuseAge: cfg.NonIdempotentReuseWindow, Guard: r.recoverer, MaxHeldBytes: cfg.MaxHeldBytes,
		MaxCallerConns: cfg.MaxCallerConns, BodyStallTimeout: cfg.BodyStallTimeout, MinBodyPace: cfg.MinBodyPace, TablesValidUntil: &r.heartbeat.validUntil,
	})
	r.relay = newRelay(r)
	r.watchers = map[steerer.Kind]*watcher.Watcher{}
	for _, k := range steerer.Kinds {
		r.watchers[k] = &watcher.Watcher{Kind: k, Source: r.cfg.Store, Now: r.now, Availability: &r.availability, Prober: k == steerer.Instances}
	}
	return r
}

func (r *Runner) now() int64 { return r.cfg.Clock.Now() }

// Run serves until the context is done and then shuts down gracefully.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance %s: %w", r.cfg.Self.Name, err)
		}
	}()
	controlCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(controlCtx)
	if err := r.openBeacons(groupCtx); err != nil {
		return err
	}
	front, err := r.startServers(groupCtx, group)
	if err != nil {
		return err
	}
	r.cfg.Log.Info("started", "domain", r.cfg.Self.Domain, "front", r.cfg.Self.Front)
	r.recordEvent(steerer.LogEvent{Type: string(recorder.KindStarted), Subject: r.cfg.Self.Name})
	group.Go(func() error { return r.runControl(groupCtx) })
	group.Go(func() error { return r.receiveBeacons(groupCtx) })
	group.Go(func() error { return r.keepRegistered(groupCtx) })
	for _, w := range r.watchers {
		w.Emit = r.emitter(groupCtx)
		group.Go(func() error { return r.runWatcher(groupCtx, w) })
	}
	group.Go(func() error { return r.availability.Run(groupCtx, r.cfg.Store) })
	group.Go(func() error { return r.serveRelay(groupCtx) })
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
			return nil
		case <-ctx.Done():
		}
		r.shutdown(front)
		cancel()
		return nil
	})
	// Doesn't wait for the group: the servers' goroutines end with the process.
	<-groupCtx.Done()
	if cause := context.Cause(groupCtx); controlCtx.Err() == nil {
		return cause
	}
	conns := r.relayer.Conns()
	r.cfg.Log.Info("stopped", "requests", conns.Active, "connections", conns.Open)
	return nil
}

// runWatcher runs a watcher and restarts it after a panic.
func (r *Runner) runWatcher(ctx context.Context, w *watcher.Watcher) (err error) {
	for ctx.Err() == nil {
		if r.recoverer.Do("watch", func() { err = w.Run(ctx) }) {
			return err
		}
		w.Reset()
		time.Sleep(tickInterval)
	}
	return nil
}

// UpdateSettings applies new bounds and regions of failure domains.
func (r *Runner) UpdateSettings(bounds steerer.Bounds, regions map[string]string) {
	r.events <- steerer.SettingsChanged{Now: r.now(), Bounds: bounds, Regions: regions}
}

// currentView returns the view of the current routing table, or an empty one before
// the first.
func (r *Runner) currentView() *steerer.View {
	if t := r.table.Load(); t != nil {
		return &t.View
	}
	return &steerer.View{}
}

// validView returns the current view, or an empty one if it must not be used any more.
func (r *Runner) validView() *steerer.View {
	if !r.heartbeat.valid(r.now()) {
		return &steerer.View{}
	}
	return r.currentView()
}

// emitter returns a function that queues an event unless the context is done.
func (r *Runner) emitter(ctx context.Context) func(steerer.Event) {
	return func(e steerer.Event) {
		select {
		case r.events <- e:
		case <-ctx.Done():
		}
	}
}

func (r *Runner) execute(x steerer.Effect) {
	switch x := x.(type) {
	case steerer.Publish:
		r.tableBuilder.Bounds, r.tableBuilder.Regions = x.View.Bounds, x.View.Regions
		r.table.Store(r.tableBuilder.Build(x.View, r.now()))
	case steerer.SendBeacon:
		r.sendBeacon(x)
	case steerer.Watch:
		r.watchers[x.Kind].Update(watcher.Options{Enabled: x.Enabled, Era: x.Era, Revision: x.Revision, PollTimeout: x.PollTimeout, ListOnly: x.ListOnly, SlowRetry: x.SlowRetry, Confirm: x.Confirm})
	case steerer.Fetch:
		go r.relay.fetch(x)
	case steerer.Reply:
		r.relay.reply(x)
	case steerer.ApplyRateLimit:
		r.applyLimit(x)
	case steerer.Probe:
		r.probe(x)
	case steerer.ApplyTotals:
		r.tableBuilder.ApplyTotals(x.First, x.Totals, x.Instances, x.At)
	case steerer.MarkCold:
		if u := r.tableBuilder.Upstream(x.Incarnation); u != nil {
			u.MarkCold(x.Until, r.now())
		}
	case steerer.PublishQuarantine:
		r.quarantine.Store(x.Set)
	case steerer.WriteQuarantine:
		go r.writeQuarantine(x)
	case steerer.Register:
		select {
		case r.reregister <- struct{}{}:
		default:
			// A registration is already requested.
		}
	case steerer.LogEvent:
		r.metrics.changes.WithLabelValues(x.Type).Inc()
		r.cfg.Log.Info(x.Type, "subject", x.Subject, "version", x.Version, "cause", x.Cause)
		r.recordEvent(x)
	}
}

// upstreamLeaving queues the event that an upstream has announced its shutdown.
func (r *Runner) upstreamLeaving(u *dispatcher.Upstream) {
	r.post(steerer.UpstreamLeaving{Now: r.now(), Incarnation: incarnation(u)})
}

// upstreamLimited queues the event that a response says something about its upstream's
// limit.
func (r *Runner) upstreamLimited(u *dispatcher.Upstream, s steerer.RateLimitState, at int64) {
	r.post(steerer.UpstreamLimited{Now: r.now(), Incarnation: incarnation(u), State: s, At: at})
}

func incarnation(u *dispatcher.Upstream) steerer.Incarnation {
	return steerer.Incarnation{ID: u.ID, Born: u.Born}
}

// applyLimit applies what another instance has observed of an upstream's limit.
func (r *Runner) applyLimit(x steerer.ApplyRateLimit) {
	c := r.tableBuilder.ApplyRateLimit(x.Incarnation, x.State, x.At, r.now())
	switch {
	case !c.Changed:
	case c.Active:
		r.cfg.Log.Info("limited by upstream", "upstream", x.Incarnation.ID, "limit", c.PerSecond, "cause", "another instance says so")
	default:
		r.cfg.Log.Info("limit of upstream ended", "upstream", x.Incarnation.ID, "limit", c.PerSecond, "sends", c.Sends, "cause", "another instance says so")
	}
}

// post queues an event from a traffic goroutine, which must not wait for the control
// goroutine.
func (r *Runner) post(e steerer.Event) {
	select {
	case r.events <- e:
	default:
		go func() { r.events <- e }()
	}
}

// recordEvent adds a change to the timeline.
func (r *Runner) recordEvent(n steerer.LogEvent) {
	wall := time.Now()
	r.timeline.Add(recorder.Event{
		Stamp: r.eventClock.Now(wall), Wall: wall, Instance: r.cfg.Self.Name, Domain: r.cfg.Self.Domain,
		Kind: recorder.Kind(n.Type), Version: n.Version, Upstream: n.Subject, Cause: n.Cause,
	})
}

// keepRegistered registers this instance in the store, with retries until that
// succeeds, and again on each request through reregister.
func (r *Runner) keepRegistered(ctx context.Context) error {
	const callTimeout, retryDelay = 1500 * time.Millisecond, 500 * time.Millisecond
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := r.cfg.Store.Register(callCtx, r.cfg.Self)
		cancel()
		if err == nil {
			select {
			case <-r.reregister:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		r.cfg.Log.Info("registration failed; will retry", "cause", err.Error())
		time.Sleep(retryDelay)
	}
	return nil
}
