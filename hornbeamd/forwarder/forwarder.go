// Package forwarder carries requests to upstreams and to other instances. It
// owns its connections and knows for each request whether any byte of it can
// have reached the other end, which decides whether it may be sent again.
package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/router"
)

// Tables gives the table in force.
type TableSource interface{ Table() *router.Table }

// Metrics receives what happens to requests. Its methods are called from many
// goroutines and must not block.
type Metrics interface {
	// Answered reports the end of a request and the time since its arrival.
	// Hops are reported by the origin only.
	ObserveRequest(service string, outcome Outcome, reason router.Reason, took time.Duration)
	// Retried reports a try that took from the retry budget.
	CountRetry(service string)
	// Decided reports a decision on a request's way.
	CountDecision(service string, d Decision)
}

// Decision is a step on a request's way that operators count.
type Decision uint8

// Decisions. A request can meet several of them.
const (
	// Own: placed on a slot held here.
	DecisionLocal Decision = iota
	// Hopped: sent to another instance.
	DecisionForwarded
	// Shifted: moved to another region under the cap of a shift.
	DecisionShifted
	// Missed: another instance had no free slot.
	DecisionPeerFull
	// Waited: no slot was free, so the request waited for one.
	DecisionQueued
	// Silenced: no byte of an answer came within the suspicion time.
	DecisionSuspected
	// Inquired: the other instances were asked about a repeat.
	DecisionQueried
	// Replayed: a repeat got the answer of the first send.
	DecisionReplayed
	// Capped: the cap of a shift kept the request in its region.
	DecisionShiftCapped
	// Unpaid: a retry was left out because the retry budget was used up.
	DecisionRetryDenied
	// Paced: bytes waited for the budget of a link between regions.
	DecisionThrottled
)

var decisionNames = [...]string{"own", "hopped", "shifted", "missed", "waited", "silenced", "inquired", "replayed", "capped", "unpaid", "paced"}

// String returns the decision's metric label.
func (d Decision) String() string { return decisionNames[d] }

// Config has the parts that a Forwarder needs.
type Config struct {
	Tables TableSource
	// Metrics may be nil.
	Metrics Metrics
	// Witnesses answer for other instances. Without it, the outcome of a
	// repeat that is not known here is unknown.
	PeerQuerier PeerQuerier
	// Hedge sends a second try of a request that is not once when the first one
	// is slower than nearly all others, as the retry budget allows.
	Hedge bool
	// Now gives the time in Unix nanoseconds. The default is the system's clock.
	Now func() int64
}

// Forwarder carries requests. New makes one.
type Forwarder struct {
	tables    TableSource
	metrics   Metrics
	witnesses PeerQuerier
	hedge     bool
	now       func() int64

	pools  atomic.Pointer[map[poolKey]*pool]
	queues atomic.Pointer[map[string]*queue]
	grow   sync.Mutex
	record *record
	done   chan struct{}
	closed sync.Once
}

// New returns a Forwarder. Close ends its background work.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		tables:    cfg.Tables,
		metrics:   cfg.Metrics,
		witnesses: cfg.PeerQuerier,
		hedge:     cfg.Hedge,
		now:       cfg.Now,
		done:      make(chan struct{}),
	}
	if f.now == nil {
		f.now = func() int64 { return time.Now().UnixNano() }
	}
	if f.metrics == nil {
		f.metrics = noMetrics{}
	}
	f.pools.Store(&map[poolKey]*pool{})
	f.queues.Store(&map[string]*queue{})
	f.record = newRecord(f.now())
	go f.maintain()
	return f
}

// Close ends background work and closes idle connections. Requests in flight
// end undisturbed.
func (f *Forwarder) Close() {
	f.closed.Do(func() { close(f.done) })
	for _, p := range *f.pools.Load() {
		p.dropIdle(maxTime)
	}
}

// Samples returns what was seen of each upstream since the last call.
func (f *Forwarder) Samples() []observer.Sample {
	var list []observer.Sample
	for _, p := range *f.pools.Load() {
		if s, ok := p.sample(); ok {
			list = append(list, s)
		}
	}
	return list
}

// pool returns the connections to an address.
func (f *Forwarder) pool(key poolKey, conns int) *pool {
	p := (*f.pools.Load())[key]
	if p == nil {
		p = f.addPool(key)
	}
	if conns > 0 {
		p.limit.Store(int64(conns))
	}
	return p
}

func (f *Forwarder) addPool(key poolKey) *pool {
	usual := &f.queue(key.service).usual
	f.grow.Lock()
	defer f.grow.Unlock()
	old := *f.pools.Load()
	if p := old[key]; p != nil {
		return p
	}
	next := make(map[poolKey]*pool, len(old)+1)
	for k, p := range old {
		next[k] = p
	}
	p := newPool(key, usual, f.now)
	next[key] = p
	f.pools.Store(&next)
	return p
}

type noMetrics struct{}

func (noMetrics) ObserveRequest(string, Outcome, router.Reason, time.Duration) {}
func (noMetrics) CountRetry(string)                                            {}
func (noMetrics) CountDecision(string, Decision)                               {}
