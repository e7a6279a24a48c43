// Package executor runs the control plane of one instance. A single goroutine
// applies events to the reducer; effects run in goroutines of their own and
// post their results as events.
package executor

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/core/resolver"
	"hornbeamstream.example/core/router"
	"hornbeamstream.example/core/submitter"
)

const (
	// tickInterval is the time between two ticks. It is well below the gap at
	// which the reducer detects a paused process, so that a busy machine isn't
	// taken for one.
	tickInterval = 100 * time.Millisecond
	// peerTimeout bounds a call to another instance. It stays below the
	// heartbeat interval plus the time that grants leave for a retry.
	peerTimeout = time.Second
	// platformTimeout bounds a platform call other than a watch.
	platformTimeout = 2 * time.Second
	// maxConcurrentEffects bounds the effects that run concurrently.
	maxConcurrentEffects = 256
	// eventQueueLength is the capacity of the control goroutine's event queue.
	eventQueueLength = 1024
)

// Platform is the part of the platform's API that the executor uses.
type Platform interface {
	submitter.Store
	Instances(ctx context.Context) ([]connector.Instance, error)
	Register(ctx context.Context, i connector.Instance) error
	Remove(ctx context.Context, name string) error
}

// Traffic is the part of the data plane that the executor uses.
type Traffic interface {
	// Samples returns the observations of upstreams since the last call.
	Samples() []observer.Sample
	// Outcome returns what this instance knows about a request id.
	Outcome(q *hornpb.OutcomeRequest) *hornpb.OutcomeResponse
}

// Metrics counts and times the work of the control plane.
type Metrics interface {
	CountEvent(e recorder.Event)
	ObserveStep(took time.Duration)
	CountCall(kind string, failed bool)
}

// Config has the dependencies of an Executor.
type Config struct {
	Clock    Clock
	Self     granter.Member
	Region   string
	Seeds    []string
	Platform Platform
	Ring     *recorder.Ring
	Metrics  Metrics
	Log      logr.Logger
}

// Executor runs the control plane of an instance. Use New to create one;
// SetTraffic must be called before Run.
type Executor struct {
	cfg     Config
	traffic Traffic
	state   *reducer.State

	events  chan func(now time.Time) reducer.Event
	queries chan func(s *reducer.State)
	effects errgroup.Group
	client  *http.Client

	// pendingCalls holds, by call number, the callbacks of peer requests that
	// wait for a response. Only the control goroutine uses it.
	pendingCalls map[uint64]func(reducer.Effect)
	lastCall     uint64

	// platformReachable reports whether the platform answered the last call of
	// any kind. All kinds count because ordinary members only read leases.
	platformReachable atomic.Bool

	// published is the input of the current table. Only the control goroutine
	// uses it.
	published published

	table    atomic.Pointer[router.Table]
	resolver atomic.Pointer[resolver.Table]
	witness  atomic.Pointer[witnesses]
}

// New returns an Executor with an empty table.
func New(cfg Config) *Executor {
	x := &Executor{
		cfg:          cfg,
		state:        reducer.New(cfg.Self, cfg.Region, cfg.Seeds, cfg.Clock.Now()),
		events:       make(chan func(time.Time) reducer.Event, eventQueueLength),
		queries:      make(chan func(*reducer.State)),
		pendingCalls: map[uint64]func(reducer.Effect){},
		client:       newPeerClient(),
	}
	x.effects.SetLimit(maxConcurrentEffects)
	x.witness.Store(&witnesses{})
	x.publish(reducer.Publish{})
	return x
}

// SetTraffic sets the data plane.
func (x *Executor) SetTraffic(t Traffic) { x.traffic = t }

// Table returns the current routing table.
func (x *Executor) Table() *router.Table { return x.table.Load() }

// Leave starts the graceful shutdown of this instance.
func (x *Executor) Leave() {
	x.post(func(now time.Time) reducer.Event { return reducer.LeaveAsked{Now: now} })
}

// post queues an event for the control goroutine. The event gets the time at
// which it is processed, so that one queued during a pause isn't taken for a
// recent one.
func (x *Executor) post(event func(now time.Time) reducer.Event) { x.events <- event }

// Run steps the reducer until the context ends.
func (x *Executor) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	x.record(recorder.Event{Kind: recorder.KindStarted, Cause: "process started"})
	for {
		select {
		case <-ctx.Done():
			x.record(recorder.Event{Kind: recorder.KindStopped, Cause: "process ends"})
			return nil
		case <-ticker.C:
			x.step(ctx, x.tick())
		case event := <-x.events:
			x.step(ctx, event(x.cfg.Clock.Now()))
		case query := <-x.queries:
			query(x.state)
		}
	}
}

func (x *Executor) tick() reducer.Tick {
	return reducer.Tick{
		Now:     x.cfg.Clock.Now(),
		Samples: x.traffic.Samples(),
		Busy:    x.Table().InFlight(),
	}
}

func (x *Executor) step(ctx context.Context, event reducer.Event) {
	start := time.Now()
	effects := x.state.Step(event)
	for _, e := range effects {
		x.perform(ctx, e)
	}
	x.cfg.Metrics.ObserveStep(time.Since(start))
}

// perform runs an effect: synchronously if it is local, in a goroutine if it
// makes a call.
func (x *Executor) perform(ctx context.Context, e reducer.Effect) {
	switch e := e.(type) {
	case reducer.Publish:
		x.publish(e)
	case reducer.Record:
		x.writeEvent(e.Event)
	case reducer.Answer:
		x.answer(e.Call, e)
	case reducer.Send:
		x.startEffect(func() { x.sendRequest(ctx, e) })
	case reducer.Probe:
		x.startEffect(func() { x.probe(e) })
	case reducer.FollowerEffect:
		x.performFollower(ctx, e.Effect)
	case reducer.GranterEffect:
		x.performGranter(ctx, e.Effect)
	}
}

// startEffect runs an effect in a goroutine. If maxConcurrentEffects are running,
// it drops the effect; the reducer sees a call without a response and retries.
func (x *Executor) startEffect(effect func()) {
	started := x.effects.TryGo(func() error {
		effect()
		return nil
	})
	if !started {
		x.cfg.Metrics.CountCall("dropped", true)
	}
}

// record adds an event that doesn't come from the reducer.
func (x *Executor) record(e recorder.Event) {
	now := x.cfg.Clock.Now()
	e.Stamp = x.state.Clock.Now(now)
	e.Wall = now
	e.Instance = x.cfg.Self.Name
	e.Domain = x.cfg.Self.Domain
	x.writeEvent(e)
}

func (x *Executor) writeEvent(e recorder.Event) {
	x.cfg.Ring.Add(e)
	x.cfg.Metrics.CountEvent(e)
	x.cfg.Log.Info(string(e.Kind), fields(e)...)
}

// fields returns the nonzero fields of an event as log keys and values.
func fields(e recorder.Event) []any {
	var list []any
	add := func(key string, value any, set bool) {
		if set {
			list = append(list, key, value)
		}
	}
	add("version", e.Version, e.Version != 0)
	add("epoch", e.Epoch, e.Epoch != 0)
	add("upstream", e.Upstream, e.Upstream != "")
	add("peer", e.Peer, e.Peer != "")
	add("cause", e.Cause, e.Cause != "")
	return list
}

// inspect runs a query on the control goroutine and waits for it.
func (x *Executor) inspect(ctx context.Context, query func(s *reducer.State)) error {
	done := make(chan struct{})
	wrapped := func(s *reducer.State) {
		defer close(done)
		query(s)
	}
	select {
	case x.queries <- wrapped:
		<-done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// HomeRegion returns the home region of a caller's address, or "" if it is in no
// block.
func (x *Executor) HomeRegion(addr netip.Addr) string { return x.resolver.Load().HomeRegion(addr) }

// AppendAnswer appends the JSON answer to a lookup of addr to dst and returns the
// extended buffer. until is the end of the answer's validity as a Unix time in
// milliseconds.
func (x *Executor) AppendAnswer(dst []byte, addr netip.Addr, until int64) []byte {
	return x.resolver.Load().AppendAnswer(dst, addr, until)
}
