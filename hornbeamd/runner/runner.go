// Package runner is the process of an instance that takes its configuration,
// upstreams and peers from a shared store: one control goroutine steps the
// steerer and executes its effects, others carry traffic.
package runner

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/exporter"
	"hornbeamstream.example/hornbeamd/guarder"
	"hornbeamstream.example/hornbeamd/relayer"
	"hornbeamstream.example/hornbeamd/watcher"
)

// Store is what an instance needs of the shared store.
type Store interface {
	watcher.Source
	// Register makes sure that the store has an object for the instance.
	Register(ctx context.Context, i steerer.Instance) error
}

// Directory answers callers that ask which instances to use, and health checks.
type Directory interface {
	// Handler returns the handler for look-ups and readiness.
	Handler(view func() *steerer.View) fasthttp.RequestHandler
}

// Config has what an instance is made of.
type Config struct {
	Self    steerer.Instance
	Regions map[string]string
	Bounds  steerer.Bounds
	// First tells that the whole system starts for the first time.
	Bootstrap bool
	// Lookup, Ready and Admin are the addresses to listen on besides those of
	// Self. An empty one is not used.
	DirectoryAddress, ReadyAddress, AdminAddress string
	Store                                        Store
	Dialect                                      relayer.HeaderCodec
	Directory                                    Directory
	Log                                          logr.Logger
	// Reuse and Proven are those of relayer.Config.
	ReuseWindow, NonIdempotentReuseWindow time.Duration
	// Clock gives the time to all parts of the instance.
	Clock Clock
	// Memory bounds the bytes of answers in hand; 0 sets the usual bound.
	MaxResponseMemory int64
	// Dropped is the number of log lines that were dropped.
	DroppedLogLines func() uint64
}

const (
	// tickTime is the time between two ticks of the control goroutine.
	tickTime = 100 * time.Millisecond
	// pauseTime is the time without a tick from which on the process counts as
	// paused.
	pauseTime = 1500 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueue = 256
	// stopShare is the part of the time for a planned stop after which no new
	// connections are taken, closeShare that after which idle ones are closed.
	closeShare, stopShare = 0.5, 0.75
	// stopMargin is the time that is kept for the end of the process.
	stopMargin = 600 * time.Millisecond
)

// Runner is one running instance.
type Runner struct {
	cfg      Config
	events   chan steerer.Event
	state    *steerer.State
	builder  dispatcher.Builder
	tables   atomic.Pointer[dispatcher.Table]
	relayer  *relayer.Relayer
	registry *prometheus.Registry
	metrics  *metrics
	ring     *recorder.Ring
	clock    recorder.Clock
	beacons  *net.UDPConn
	watchers map[steerer.Kind]*watcher.Watcher
	relay    *relay
	guard    guarder.Recoverer
	// again asks for another registration.
	again chan struct{}
	// alive is when the control goroutine last worked.
	alive atomic.Int64
}

// New returns an instance that does not run yet.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:      cfg,
		events:   make(chan steerer.Event, eventQueue),
		state:    steerer.New(cfg.Self, cfg.Bootstrap),
		builder:  dispatcher.Builder{Self: cfg.Self},
		registry: prometheus.NewRegistry(),
		ring:     &recorder.Ring{},
		again:    make(chan struct{}, 1),
	}
	r.registry.MustRegister(collectors.NewGoCollector())
	r.metrics = newMetrics(r.registry, cfg.DroppedLogLines)
	r.metrics.watch(r.registry, r.view)
	r.cfg.Store = countedStore{cfg.Store, r.metrics.calls}
	r.guard = guarder.Recoverer{Log: cfg.Log, OnPanic: func(what string) { r.metrics.panics.WithLabelValues(what).Inc() }}
	r.relayer = relayer.New(relayer.Config{
		Tables: &r.tables, HeaderCodec: cfg.Dialect, Metrics: r.metrics, Log: cfg.Log, Now: r.now,
		OnUpstreamLeaving: r.departed,
		ReuseAge:          cfg.ReuseWindow, NonIdempotentReuseAge: cfg.NonIdempotentReuseWindow, Guard: r.guard, MaxBufferedBytes: cfg.MaxResponseMemory, Heartbeat: &r.alive,
	})
	r.relay = newRelay(r)
	r.watchers = map[steerer.Kind]*watcher.Watcher{}
	guard := &watcher.Guard{}
	for _, k := range steerer.Kinds {
		r.watchers[k] = &watcher.Watcher{Kind: k, Source: r.cfg.Store, Now: r.now, Guard: guard, Lead: k == steerer.Instances}
	}
	return r
}

func (r *Runner) now() int64 { return r.cfg.Clock.Now() }

// Run serves until the context ends and then stops without cutting requests.
func (r *Runner) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance %s: %w", r.cfg.Self.Name, err)
		}
	}()
	control, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	group, failed := errgroup.WithContext(control)
	if err := r.openBeacons(failed); err != nil {
		return err
	}
	front, err := r.serve(failed, group)
	if err != nil {
		return err
	}
	r.cfg.Log.Info("started", "domain", r.cfg.Self.Domain, "front", r.cfg.Self.Front)
	r.record(steerer.LogEvent{Type: string(recorder.Started), Subject: r.cfg.Self.Name})
	group.Go(func() error { return r.control(failed) })
	group.Go(func() error { return r.listen(failed) })
	group.Go(func() error { return r.register(failed) })
	for _, w := range r.watchers {
		w.Emit = r.emit(failed)
		group.Go(func() error { return r.follow(failed, w) })
	}
	group.Go(func() error { return r.serveChanges(failed) })
	group.Go(func() error {
		select {
		case <-failed.Done():
			return nil
		case <-ctx.Done():
		}
		r.stop(front)
		end()
		return nil
	})
	// The servers' goroutines end with the process.
	<-failed.Done()
	if cause := context.Cause(failed); control.Err() == nil {
		return cause
	}
	r.cfg.Log.Info("stopped", "requests", r.relayer.ActiveConns())
	return nil
}

// follow runs a watcher again if it has panicked.
func (r *Runner) follow(ctx context.Context, w *watcher.Watcher) (err error) {
	for ctx.Err() == nil {
		if r.guard.Do("watch", func() { err = w.Run(ctx) }) {
			return err
		}
		w.Reset()
		time.Sleep(tickTime)
	}
	return nil
}

// listenTCP opens a listener that is closed when the context ends.
func listenTCP(ctx context.Context, what, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s address: %w", what, err)
	}
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	return ln, nil
}

// serve opens the listeners and starts the servers. It returns the listener for
// callers.
func (r *Runner) serve(ctx context.Context, group *errgroup.Group) (net.Listener, error) {
	front, err := listenTCP(ctx, "front", r.cfg.Self.Front)
	if err != nil {
		return nil, err
	}
	group.Go(func() error {
		// The listener is closed at a planned stop, which ends Serve first.
		_ = r.relayer.Serve(front)
		return nil
	})
	answer := r.cfg.Directory.Handler(r.view)
	handler := func(ctx *fasthttp.RequestCtx) {
		if !r.guard.Do("look-up", func() { answer(ctx) }) {
			ctx.Error("unexpected error\n", fasthttp.StatusInternalServerError)
		}
	}
	for _, address := range []string{r.cfg.DirectoryAddress, r.cfg.ReadyAddress} {
		if address == "" {
			continue
		}
		ln, err := listenTCP(ctx, "look-up", address)
		if err != nil {
			return nil, err
		}
		s := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, IdleTimeout: time.Minute}
		group.Go(func() error { return s.Serve(ln) })
	}
	if r.cfg.AdminAddress == "" {
		return front, nil
	}
	ln, err := listenTCP(ctx, "admin", r.cfg.AdminAddress)
	if err != nil {
		// An instance without metrics still serves.
		r.cfg.Log.Info("no address for operators", "cause", err.Error())
		return front, nil
	}
	admin := exporter.Admin{Registry: r.registry, Timeline: r.ring, Status: r.status, Ready: func() bool { return r.view().Ready }}
	group.Go(func() error { return admin.Server().Serve(ln) })
	return front, nil
}

// Adjust puts new bounds and regions of failure domains into force.
func (r *Runner) UpdateSettings(bounds steerer.Bounds, regions map[string]string) {
	r.events <- steerer.SettingsChanged{Now: r.now(), Bounds: bounds, Regions: regions}
}

// view returns the view in force.
func (r *Runner) view() *steerer.View {
	if t := r.tables.Load(); t != nil {
		return &t.View
	}
	return &steerer.View{}
}

func (r *Runner) emit(ctx context.Context) func(steerer.Event) {
	return func(e steerer.Event) {
		select {
		case r.events <- e:
		case <-ctx.Done():
		}
	}
}

// control is the goroutine that owns the state.
func (r *Runner) control(ctx context.Context) error {
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	maintained := int64(0)
	effects := r.step(steerer.SettingsChanged{Now: r.now(), Bounds: r.cfg.Bounds, Regions: r.cfg.Regions})
	for {
		r.executeAll(effects)
		r.alive.Store(r.now())
		var e steerer.Event
		select {
		case <-ctx.Done():
			return nil
		case e = <-r.events:
		case <-tick.C:
			e = steerer.Tick{Now: r.now()}
			if r.now()-maintained >= int64(time.Second) {
				maintained = r.now()
				r.guard.Do("maintenance", r.relayer.Maintain)
			}
		}
		if now := r.now(); now-r.alive.Load() >= int64(pauseTime) {
			r.executeAll(r.step(steerer.Resumed{Now: now}))
		}
		effects = r.step(e)
	}
}

func (r *Runner) executeAll(effects []steerer.Effect) {
	for _, x := range effects {
		r.guard.Do("effect", func() { r.execute(x) })
	}
}

// step takes an event into account. One that panics leaves the state as it was.
func (r *Runner) step(e steerer.Event) (effects []steerer.Effect) {
	before := r.state
	if steerer.CarriesObjects(e) {
		// Only what others have written can be malformed; a copy for each tick and
		// beacon would be a waste.
		before = r.state.Clone()
	}
	if !r.guard.Do("event", func() { r.state, effects = steerer.Step(r.state, e) }) {
		r.state = before
	}
	return effects
}

func (r *Runner) execute(x steerer.Effect) {
	switch x := x.(type) {
	case steerer.Publish:
		r.builder.Bounds, r.builder.Regions = x.View.Bounds, x.View.Regions
		r.tables.Store(r.builder.Build(x.View, r.now()))
	case steerer.SendBeacon:
		r.send(x)
	case steerer.Watch:
		r.watchers[x.Kind].Follow(watcher.Order{On: x.Enabled, Era: x.Era, Revision: x.Revision, Wait: x.PollTimeout, Once: x.ListOnly, Rare: x.SlowRetry, Confirm: x.Confirm})
	case steerer.Fetch:
		go r.relay.fetch(x)
	case steerer.Reply:
		r.relay.reply(x)
	case steerer.Register:
		select {
		case r.again <- struct{}{}:
		default:
			// A registration is about to be written.
		}
	case steerer.LogEvent:
		r.metrics.changes.WithLabelValues(x.Type).Inc()
		r.cfg.Log.Info(x.Type, "subject", x.Subject, "version", x.Version, "cause", x.Cause)
		r.record(x)
	}
}

// departed hands on that an upstream has said that it leaves. Traffic must not wait
// for the control goroutine.
func (r *Runner) departed(u *dispatcher.Upstream) {
	e := steerer.UpstreamLeaving{Now: r.now(), Incarnation: steerer.Incarnation{ID: u.ID, Born: u.Born}}
	select {
	case r.events <- e:
	default:
		go func() { r.events <- e }()
	}
}

// record writes a change to the timeline.
func (r *Runner) record(n steerer.LogEvent) {
	wall := time.Now()
	r.ring.Add(recorder.Event{
		Stamp: r.clock.Now(wall), Wall: wall, Instance: r.cfg.Self.Name, Domain: r.cfg.Self.Domain,
		Kind: recorder.Kind(n.Type), Version: n.Version, Upstream: n.Subject, Cause: n.Cause,
	})
}

// register announces this instance in the store until that has succeeded, and
// again when it is told to.
func (r *Runner) register(ctx context.Context) error {
	const callTime, pause = 1500 * time.Millisecond, 500 * time.Millisecond
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTime)
		err := r.cfg.Store.Register(call, r.cfg.Self)
		cancel()
		if err == nil {
			select {
			case <-r.again:
				continue
			case <-ctx.Done():
				return nil
			}
		}
		r.cfg.Log.Info("not registered", "cause", err.Error())
		time.Sleep(pause)
	}
	return nil
}

// stop ends the instance without cutting a request. At first nothing changes but
// that callers learn to use other instances; then idle connections and the
// listener are closed, and requests in hand end.
func (r *Runner) stop(front net.Listener) {
	began, limit := time.Now(), r.view().Bounds.Stop
	end := began.Add(limit - stopMargin)
	at := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(limit)))
	}
	r.events <- steerer.ShutdownStarted{Now: r.now()}
	r.relayer.StartDrain()
	time.Sleep(time.Until(at(closeShare)))
	r.relayer.CloseIdleConnections()
	time.Sleep(time.Until(at(stopShare)))
	_ = front.Close()
	for time.Now().Before(end) {
		r.relayer.CloseIdleConnections()
		if r.relayer.ActiveConns() == 0 {
			// The kernel may still hold the end of an answer.
			time.Sleep(tickTime)
			return
		}
		time.Sleep(tickTime / 2)
	}
}
