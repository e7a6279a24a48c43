// Package router chooses the upstream or the peer instance for each request,
// using an immutable routing table. A choice takes no lock that is shared by all
// cores and does not allocate.
package router

import (
	"net/netip"

	"hornbeamstream.example/core/limiter"
)

// Peer is another instance that may hold parts of upstreams.
type Peer struct {
	Name   string
	Domain string
	Region string
	// Address receives forwarded requests.
	Address string
	// Credits estimates the peer's free slots by service, from its last reports.
	Credits map[string]*limiter.Credit
	// Path tracks whether connections to the peer work.
	Path *limiter.CircuitBreaker
}

// ReservePart is the Part of a target whose slots are usable without a grant.
const ReservePart = -1

// Target is a part of an upstream's slots that this instance holds.
type Target struct {
	Upstream string
	Address  string
	MaxConns int
	// Part is the index of the part, or ReservePart.
	Part int
	// Gate admits requests within the part's limit and the grant's deadline.
	Gate *limiter.Semaphore
	// Path tracks whether connections to the upstream work.
	Path *limiter.CircuitBreaker

	// Slots is the configured size of the part. latency is the upstream's
	// minimum response time in nanoseconds.
	Slots   int
	latency int64
}

// Service holds the routes of one service as seen from this instance.
type Service struct {
	Name       string
	AtMostOnce bool
	Bulk       bool
	Priority   int
	// Timeout is the longest time in nanoseconds that a request may run.
	Timeout      int64
	MaxBodyBytes int64
	// Targets are the parts that this instance holds, Peers the instances that
	// hold other parts.
	Targets     []Target
	Peers       []*Peer
	RetryBudget *limiter.RetryBudget

	// plans maps the caller's region to the order in which regions are tried;
	// defaultPlan is the plan for callers whose region is not known. Both are nil in
	// a table that was not made by Build.
	plans       map[string]*plan
	defaultPlan *plan
	shift       *shift
}

// Request holds the properties of a request that routing depends on.
type Request struct {
	Service *Service
	// Region is the home region of the caller's block.
	Region string
	// EntryRegion is the region of the instance that forwarded the request. It is
	// used only if Forwarded is set; empty means Region.
	EntryRegion string
	Block       netip.Addr
	// Hash is a hash of the caller's block and the request ID.
	Hash uint64
	// Deadline is in Unix nanoseconds.
	Deadline int64
	Priority int
	// Forwarded reports whether another instance forwarded the request here. Such
	// a request is not forwarded again: only Targets are considered.
	Forwarded bool
}

// Reason is the reason why a request was not routed.
type Reason string

// Reasons for refusing a request, also used as metric labels. OK means that it
// was routed.
const (
	OK               Reason = ""
	NoUpstream       Reason = "noupstream"
	NoFreeSlot       Reason = "full"
	DeadlineExceeded Reason = "toolate"
)

// Choice is the destination of a request. Either Target is set, whose gate has
// been acquired and must be released, or Peer.
type Choice struct {
	Target *Target
	Peer   *Peer
	// Shifted reports whether a traffic shift moved the request out of its home
	// region, which used a token of the shift's cap.
	Shifted bool
	// ShiftCapped reports whether a shift applied to the request but its cap had
	// no token left.
	ShiftCapped bool
	// Link is the byte budget of the inter-region link that this instance sends
	// on, or nil. The entry instance sends the request body on it, the instance
	// that a request was forwarded to sends the response.
	Link *limiter.BandwidthLimiter
}

// Tried records the targets and peers that a request has been sent to.
type Tried struct {
	choices [4]Choice
	count   int
}

// Add records the destination of a choice. Beyond the capacity it does nothing.
func (t *Tried) Add(c Choice) {
	if t.count == len(t.choices) {
		return
	}
	t.choices[t.count] = c
	t.count++
}

// hasTarget reports whether the upstream of a target has been tried. It also
// compares paths, which are shared by successive tables, so that a retry on a
// newer table recognizes the upstream.
func (t *Tried) hasTarget(g *Target) bool {
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

func (t *Tried) hasPeer(p *Peer) bool {
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
