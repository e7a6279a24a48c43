// Package router makes traffic decisions on an immutable table. A decision
// takes no lock that all cores share and allocates nothing.
package router

import (
	"net/netip"

	"hornbeamstream.example/core/limiter"
)

// Peer is another instance that may hold parts.
type Peer struct {
	Name   string
	Domain string
	Region string
	// Data is the address for forwarded requests.
	Address string
	// Credits are the free slots that this peer last reported, by service.
	Credits map[string]*limiter.Credit
	// Path judges whether the path to the peer works.
	Path *limiter.CircuitBreaker
}

// ReservePart is the Part of a target whose slots need no grant.
const ReservePart = -1

// Target is one part that this instance holds.
type Target struct {
	Upstream string
	Address  string
	MaxConns int
	// Part is the index of the part, or ReservePart.
	Part int
	// Gate admits requests within the part's limit and the grant's deadline.
	Gate *limiter.Semaphore
	// Path judges whether the path to the upstream works.
	Path *limiter.CircuitBreaker

	// Slots is the configured size of the part; latency in nanoseconds is the
	// least time in which the upstream answers.
	Slots   int
	latency int64
}

// Service is one service as seen from this instance.
type Service struct {
	Name       string
	AtMostOnce bool
	Bulk       bool
	Priority   int
	// Limit is the longest time in nanoseconds that a request may run.
	Timeout      int64
	MaxBodyBytes int64
	// Targets are the parts held here, Peers the instances that hold others.
	Targets     []Target
	Peers       []*Peer
	RetryBudget *limiter.RetryBudget

	// plans maps the caller's region to the order of regions; unknown is the
	// plan of callers without a known region. Both are nil in a table that was
	// not made by Build.
	plans   map[string]*plan
	unknown *plan
	shift   *shift
}

// Request is what a decision depends on.
type Request struct {
	Service *Service
	// Region is the home region of the caller's block.
	Region string
	// Entry is the region of the instance that forwarded the request here. It
	// matters only with Hop; empty means Region.
	EntryRegion string
	Block       netip.Addr
	// Hash is the hash of caller block and request id.
	Hash uint64
	// Deadline is in Unix nanoseconds.
	Deadline int64
	Priority int
	// Hop tells that another instance forwarded the request here, so that only
	// parts held here come into question.
	Forwarded bool
}

// Reason tells why a request cannot be placed.
type Reason string

// Reasons of refusals, also used as metric labels.
const (
	OK               Reason = ""
	NoUpstream       Reason = "noupstream"
	NoFreeSlot       Reason = "full"
	DeadlineExceeded Reason = "toolate"
)

// Choice is where a request goes: either Target, whose gate has been acquired
// and must be released, or Peer.
type Choice struct {
	Target *Target
	Peer   *Peer
	// Shifted tells that the request left its region by a shift and that a
	// token of the shift's cap was taken.
	Shifted bool
	// Capped tells that a shift covers the request but its cap had no token.
	ShiftCapped bool
	// Link is the budget of the link between regions that this instance's bytes
	// use, or nil: the request's body at the entry instance, the answer at the
	// instance that a request was forwarded to.
	Link *limiter.BandwidthLimiter
}

// Tried remembers the places that a request has been to.
type Tried struct {
	choices [4]Choice
	count   int
}

// Add remembers the place of a choice.
func (t *Tried) Add(c Choice) {
	if t.count == len(t.choices) {
		return
	}
	t.choices[t.count] = c
	t.count++
}

// target tells whether the upstream of a target has been tried. Paths outlive
// tables, so that a retry on a newer table recognizes the place.
func (t *Tried) target(g *Target) bool {
	if t == nil {
		return false
	}
	for i := range t.count {
		o := t.choices[i].Target
		if o != nil && (o == g || o.Path != nil && o.Path == g.Path) {
			return true
		}
	}
	return false
}

func (t *Tried) peer(p *Peer) bool {
	if t == nil {
		return false
	}
	for i := range t.count {
		o := t.choices[i].Peer
		if o != nil && (o == p || o.Path != nil && o.Path == p.Path) {
			return true
		}
	}
	return false
}
