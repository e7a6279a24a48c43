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
	tickInterval = 100 * time.Millisecond
	// pauseTime is the time without a tick from which on the process counts as
	// paused.
	pauseThreshold = 1500 * time.Millisecond
	// eventQueue bounds the events that wait for the control goroutine.
	eventQueueSize = 256
	// stopShare is the part of the time for a planned stop after which no new
	// connections are taken, closeShare that after which idle ones are closed.
	closeIdleShare, closeListenerShare = 0.5, 0.75
	// stopMargin is the time that is kept for the end of the process.
	exitMargin = 600 * time.Millisecond
)

// Runner is one running instance.
type Runner struct {
	cfg          Config
	events       chan steerer.Event
	state        *steerer.State
	tableBuilder dispatcher.Builder
	table        atomic.Pointer[dispatcher.Table]
	relayer      *relayer.Relayer
	registry     *prometheus.Registry
	metrics      *metrics
	timeline     *recorder.Ring
	eventClock   recorder.Clock
	beaconConn   *net.UDPConn
	watchers     map[steerer.Kind]*watcher.Watcher
	relay        *relay
	recoverer    guarder.Recoverer
	// again asks for another registration.
	reregister chan struct{}
	// alive is when the control goroutine last worked.
	lastControl atomic.Int64
}

// New returns an instance that does not run yet.
func New(cfg Config) *Runner {
	r := &Runner{
		cfg:          cfg,
		events:       make(chan steerer.Event, eventQueueSize),
		state:        steerer.New(cfg.Self, cfg.Bootstrap),
		tableBuilder: dispatcher.Builder{Self: cfg.Self},
		registry:     prometheus.NewRegistry(),
		timeline:     &recorder.Ring{},
		reregister:   make(chan struct{}, 1),
	}
	r.registry.MustRegister(collectors.NewGoCollector())
	r.metrics = newMetrics(r.registry, cfg.DroppedLogLines)
	r.metrics.registerGauges(r.registry, r.currentView)
	r.cfg.Store = instrumentedStore{cfg.Store, r.metrics.storeCalls}
	r.recoverer = guarder.Recoverer{Log: cfg.Log, OnPanic: func(what string) { r.metrics.panics.WithLabelValues(what).Inc() }}
	r.relayer = relayer.New(relayer.Config{
		Tables: &r.table, HeaderCodec: cfg.Dialect, Metrics: r.metrics, Log: cfg.Log, Now: r.now,
		OnUpstreamLeaving: r.upstreamLeaving,
		ReuseAge:          cfg.ReuseWindow, NonIdempotentReuseAge: cfg.NonIdempotentReuseWindow, Guard: r.recoverer, MaxBufferedBytes: cfg.MaxResponseMemory, Heartbeat: &r.lastControl,
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
	front, err := r.startServers(failed, group)
	if err != nil {
		return err
	}
	r.cfg.Log.Info("started", "domain", r.cfg.Self.Domain, "front", r.cfg.Self.Front)
	r.recordEvent(steerer.LogEvent{Type: string(recorder.Started), Subject: r.cfg.Self.Name})
	group.Go(func() error { return r.runControl(failed) })
	group.Go(func() error { return r.receiveBeacons(failed) })
	group.Go(func() error { return r.keepRegistered(failed) })
	for _, w := range r.watchers {
		w.Emit = r.emitter(failed)
		group.Go(func() error { return r.runWatcher(failed, w) })
	}
	group.Go(func() error { return r.serveRelay(failed) })
	group.Go(func() error {
		select {
		case <-failed.Done():
			return nil
		case <-ctx.Done():
		}
		r.shutdown(front)
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
func (r *Runner) startServers(ctx context.Context, group *errgroup.Group) (net.Listener, error) {
	front, err := listenTCP(ctx, "front", r.cfg.Self.Front)
	if err != nil {
		return nil, err
	}
	group.Go(func() error {
		// The listener is closed at a planned stop, which ends Serve first.
		_ = r.relayer.Serve(front)
		return nil
	})
	answer := r.cfg.Directory.Handler(r.currentView)
	handler := func(ctx *fasthttp.RequestCtx) {
		if !r.recoverer.Do("look-up", func() { answer(ctx) }) {
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
	admin := exporter.Admin{Registry: r.registry, Timeline: r.timeline, Status: r.status, Ready: func() bool { return r.currentView().Ready }}
	group.Go(func() error { return admin.Server().Serve(ln) })
	return front, nil
}

// Adjust puts new bounds and regions of failure domains into force.
func (r *Runner) UpdateSettings(bounds steerer.Bounds, regions map[string]string) {
	r.events <- steerer.SettingsChanged{Now: r.now(), Bounds: bounds, Regions: regions}
}

// view returns the view in force.
func (r *Runner) currentView() *steerer.View {
	if t := r.table.Load(); t != nil {
		return &t.View
	}
	return &steerer.View{}
}

func (r *Runner) emitter(ctx context.Context) func(steerer.Event) {
	return func(e steerer.Event) {
		select {
		case r.events <- e:
		case <-ctx.Done():
		}
	}
}

// control is the goroutine that owns the state.
func (r *Runner) runControl(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	maintained := int64(0)
	effects := r.step(steerer.SettingsChanged{Now: r.now(), Bounds: r.cfg.Bounds, Regions: r.cfg.Regions})
	for {
		r.executeAll(effects)
		r.lastControl.Store(r.now())
		var e steerer.Event
		select {
		case <-ctx.Done():
			return nil
		case e = <-r.events:
		case <-tick.C:
			e = steerer.Tick{Now: r.now()}
			if r.now()-maintained >= int64(time.Second) {
				maintained = r.now()
				r.recoverer.Do("maintenance", r.relayer.Maintain)
			}
		}
		if now := r.now(); now-r.lastControl.Load() >= int64(pauseThreshold) {
			r.executeAll(r.step(steerer.Resumed{Now: now}))
		}
		effects = r.step(e)
	}
}

func (r *Runner) executeAll(effects []steerer.Effect) {
	for _, x := range effects {
		r.recoverer.Do("effect", func() { r.execute(x) })
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
	if !r.recoverer.Do("event", func() { r.state, effects = steerer.Step(r.state, e) }) {
		r.state = before
	}
	return effects
}

func (r *Runner) execute(x steerer.Effect) {
	switch x := x.(type) {
	case steerer.Publish:
		r.tableBuilder.Bounds, r.tableBuilder.Regions = x.View.Bounds, x.View.Regions
		r.table.Store(r.tableBuilder.Build(x.View, r.now()))
	case steerer.SendBeacon:
		r.sendBeacon(x)
	case steerer.Watch:
		r.watchers[x.Kind].Follow(watcher.Order{On: x.Enabled, Era: x.Era, Revision: x.Revision, Wait: x.PollTimeout, Once: x.ListOnly, Rare: x.SlowRetry, Confirm: x.Confirm})
	case steerer.Fetch:
		go r.relay.fetch(x)
	case steerer.Reply:
		r.relay.reply(x)
	case steerer.Register:
		select {
		case r.reregister <- struct{}{}:
		default:
			// A registration is about to be written.
		}
	case steerer.LogEvent:
		r.metrics.changes.WithLabelValues(x.Type).Inc()
		r.cfg.Log.Info(x.Type, "subject", x.Subject, "version", x.Version, "cause", x.Cause)
		r.recordEvent(x)
	}
}

// departed hands on that an upstream has said that it leaves. Traffic must not wait
// for the control goroutine.
func (r *Runner) upstreamLeaving(u *dispatcher.Upstream) {
	e := steerer.UpstreamLeaving{Now: r.now(), Incarnation: steerer.Incarnation{ID: u.ID, Born: u.Born}}
	select {
	case r.events <- e:
	default:
		go func() { r.events <- e }()
	}
}

// record writes a change to the timeline.
func (r *Runner) recordEvent(n steerer.LogEvent) {
	wall := time.Now()
	r.timeline.Add(recorder.Event{
		Stamp: r.eventClock.Now(wall), Wall: wall, Instance: r.cfg.Self.Name, Domain: r.cfg.Self.Domain,
		Kind: recorder.Kind(n.Type), Version: n.Version, Upstream: n.Subject, Cause: n.Cause,
	})
}

// register announces this instance in the store until that has succeeded, and
// again when it is told to.
func (r *Runner) keepRegistered(ctx context.Context) error {
	const callTime, pause = 1500 * time.Millisecond, 500 * time.Millisecond
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTime)
		err := r.cfg.Store.Register(call, r.cfg.Self)
		cancel()
		if err == nil {
			select {
			case <-r.reregister:
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
func (r *Runner) shutdown(front net.Listener) {
	began, limit := time.Now(), r.currentView().Bounds.Stop
	end := began.Add(limit - exitMargin)
	at := func(share float64) time.Time {
		return began.Add(time.Duration(share * float64(limit)))
	}
	r.events <- steerer.ShutdownStarted{Now: r.now()}
	r.relayer.StartDrain()
	time.Sleep(time.Until(at(closeIdleShare)))
	r.relayer.CloseIdleConnections()
	time.Sleep(time.Until(at(closeListenerShare)))
	_ = front.Close()
	for time.Now().Before(end) {
		r.relayer.CloseIdleConnections()
		if r.relayer.ActiveConns() == 0 {
			// The kernel may still hold the end of an answer.
			time.Sleep(tickInterval)
			return
		}
		time.Sleep(tickInterval / 2)
	}
}
