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
	Data string
	// Credits are the free slots that this peer last reported, by service.
	Credits map[string]*limiter.Credit
	// Path judges whether the path to the peer works.
	Path *limiter.Path
}

// Target is one part that this instance holds.
type Target struct {
	Upstream string
	Address  string
	Conns    int
	Part     int
	// Gate admits requests within the part's limit and the grant's deadline.
	Gate *limiter.Gate
	// Path judges whether the path to the upstream works.
	Path *limiter.Path
}

// Service is one service as seen from this instance.
type Service struct {
	Name     string
	Once     bool
	Bulk     bool
	Priority int
	// Limit is the longest time in nanoseconds that a request may run.
	Limit int64
	Body  int64
	// Targets are the parts held here, Peers the instances that hold others.
	Targets []Target
	Peers   []*Peer
	Retries *limiter.Budget
}

// Request is what a decision depends on.
type Request struct {
	Service *Service
	// Region is the home region of the caller's block.
	Region string
	Block  netip.Addr
	// Hash is the hash of caller block and request id.
	Hash uint64
	// Deadline is in Unix nanoseconds.
	Deadline int64
	Priority int
	// Hop tells that another instance forwarded the request here, so that only
	// parts held here come into question.
	Hop bool
}

// Reason tells why a request cannot be placed.
type Reason string

// Reasons of refusals, also used as metric labels.
const (
	Placed     Reason = ""
	NoUpstream Reason = "noupstream"
	Full       Reason = "full"
	TooLate    Reason = "toolate"
	NoBudget   Reason = "nobudget"
)

// Choice is where a request goes: either Target, whose gate has been acquired
// and must be released, or Peer.
type Choice struct {
	Target *Target
	Peer   *Peer
	// Shifted names the moved service when a shift's token was taken.
	Shifted bool
	// Link is the bucket of the link between regions that answers use, or nil.
	Link *limiter.Link
}
