// Package forwarder forwards requests to upstreams and to other instances. It
// owns its connections and knows for each request whether any byte of it can
// have reached the other end, which decides whether it may be retried.
package forwarder

import (
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/router"
)

// TableSource returns the current routing table.
type TableSource interface{ Table() *router.Table }

// Metrics counts requests. Its methods are called concurrently and must not
// block.
type Metrics interface {
	// ObserveRequest reports the end of a request and the time since its
	// arrival. A request that passes several instances is reported only by the
	// one that the caller sent it to.
	ObserveRequest(service string, outcome Outcome, reason router.Reason, took time.Duration)
	// CountRetry counts a try that was charged to the retry budget.
	CountRetry(service string)
	// CountDecision counts a routing decision.
	CountDecision(service string, d Decision)
}

// Decision is a step in routing a request that is counted in the metrics.
type Decision uint8

// Decisions. A request can meet several of them.
const (
	// DecisionLocal: sent to an upstream on a slot held here.
	DecisionLocal Decision = iota
	// DecisionForwarded: sent to another instance.
	DecisionForwarded
	// DecisionShifted: moved to another region by a shift, within its cap.
	DecisionShifted
	// DecisionPeerFull: another instance had no free slot.
	DecisionPeerFull
	// DecisionQueued: no slot was free, so the request was queued.
	DecisionQueued
	// DecisionSuspected: no response byte arrived within the suspicion timeout.
	DecisionSuspected
	// DecisionQueried: the other instances were queried about a repeat.
	DecisionQueried
	// DecisionReplayed: a repeat got the recorded response.
	DecisionReplayed
	// DecisionShiftCapped: the cap of a shift kept the request in its region.
	DecisionShiftCapped
	// DecisionRetryDenied: the retry budget was used up.
	DecisionRetryDenied
	// DecisionThrottled: bytes were delayed by the rate limit of a link between
	// regions.
	DecisionThrottled
)

var decisionNames = [...]string{"own", "hopped", "shifted", "missed", "waited", "silenced", "inquired", "replayed", "capped", "unpaid", "paced"}

// String returns the decision's metric label.
func (d Decision) String() string { return decisionNames[d] }

// Config configures a Forwarder.
type Config struct {
	Tables TableSource
	// Metrics may be nil.
	Metrics Metrics
	// PeerQuerier queries other instances. If it is nil, the outcome of a repeat
	// that is not known here is unknown.
	PeerQuerier PeerQuerier
	// Hedge enables hedged requests: a second try of a request that is not of a
	// once-service, if the first one is slower than nearly all others and the
	// retry budget allows it.
	Hedge bool
	// Now returns the time in Unix nanoseconds. The default is the system clock.
	Now func() int64
}

// Forwarder forwards requests. Use New to create one.
type Forwarder struct {
	tables      TableSource
	metrics     Metrics
	peerQuerier PeerQuerier
	hedge       bool
	now         func() int64

	pools  atomic.Pointer[map[poolKey]*connPool]
	queues atomic.Pointer[map[string]*waitQueue]
	mu     sync.Mutex
	dedup  *dedupTable
	// quarantine has the requests that have crashed upstreams of this instance.
	quarantine quarantine
	done       chan struct{}
	closeOnce  sync.Once
}

// New returns a Forwarder. Close stops its background work.
func New(cfg Config) *Forwarder {
	f := &Forwarder{
		tables:      cfg.Tables,
		metrics:     cfg.Metrics,
		peerQuerier: cfg.PeerQuerier,
		hedge:       cfg.Hedge,
		now:         cfg.Now,
		done:        make(chan struct{}),
	}
	if f.now == nil {
		f.now = func() int64 { return time.Now().UnixNano() }
	}
	if f.metrics == nil {
		f.metrics = noMetrics{}
	}
	f.pools.Store(&map[poolKey]*connPool{})
	f.queues.Store(&map[string]*waitQueue{})
	f.dedup = newDedupTable(f.now())
	go f.maintain()
	return f
}

// Close stops background work and closes idle connections. Requests in flight
// complete normally.
func (f *Forwarder) Close() {
	f.closeOnce.Do(func() { close(f.done) })
	for _, p := range *f.pools.Load() {
		p.closeUnproven(maxUnixNano)
	}
}

// Samples returns the results of requests to each upstream since the last call.
func (f *Forwarder) Samples() []observer.Sample {
	var list []observer.Sample
	for _, p := range *f.pools.Load() {
		if s, ok := p.sample(); ok {
			list = append(list, s)
		}
	}
	return list
}

// pool returns the connection pool of an address, and creates it if needed.
func (f *Forwarder) pool(key poolKey, conns int) *connPool {
	p := (*f.pools.Load())[key]
	if p == nil {
		p = f.addPool(key)
	}
	if conns > 0 {
		p.maxOpen.Store(int64(conns))
	}
	return p
}

func (f *Forwarder) addPool(key poolKey) *connPool {
	serviceP95 := &f.queue(key.service).firstByteP95
	f.mu.Lock()
	defer f.mu.Unlock()
	old := *f.pools.Load()
	if p := old[key]; p != nil {
		return p
	}
	next := make(map[poolKey]*connPool, len(old)+1)
	for k, p := range old {
		next[k] = p
	}
	p := newConnPool(key, serviceP95, f.now)
	next[key] = p
	f.pools.Store(&next)
	return p
}

type noMetrics struct{}

func (noMetrics) ObserveRequest(string, Outcome, router.Reason, time.Duration) {}
func (noMetrics) CountRetry(string)                                            {}
func (noMetrics) CountDecision(string, Decision)                               {}
