// Package granter elects the leader of one failure domain and decides which
// instance may use which of the domain's upstream slots and rate quotas. The
// leader holds a lease, kept in a platform object and extended by the support of
// a quorum of electors, and gives each member short-lived grants.
//
// The package is a pure state machine: Step applies an event to the state and
// returns effects. It reads no clock, network or random source.
package granter

import "time"

// Timing of leases and grants. The values bound how long slots stay unused
// after a failure: GrantTerm + LeaseMargin + the service's limit stay below
// 10 s.
const (
	// HeartbeatInterval is the time between a member's heartbeats to the leader,
	// and between the leader's requests to an elector for support.
	HeartbeatInterval = 500 * time.Millisecond
	// RenewInterval is the time between the leader's writes of the lease object.
	RenewInterval = time.Second
	// LeaseTerm is how long a lease lasts after its write was sent.
	LeaseTerm = 4 * time.Second
	// LeaseMargin is the safety margin between the end that a holder assumes and
	// the end that others wait for.
	LeaseMargin = 500 * time.Millisecond
	// GrantTerm is how long a grant lasts, unless the lease ends before it.
	GrantTerm = 3 * time.Second
	// MaxTickGap is the longest time between two ticks after which a process
	// still trusts its lease and grant.
	MaxTickGap = time.Second
	// MaxPartSlots is the largest number of slots in one part.
	MaxPartSlots = 64
	// MaxElectors is the largest number of electors of a domain.
	MaxElectors = 3
	// MemberTimeout is the time without a heartbeat after which a member gets no
	// more parts.
	MemberTimeout = 2 * time.Second
	// SupportTerm is how long an elector promises to support a leader; the
	// leader is told LeaseMargin less.
	SupportTerm = 4 * time.Second
	// VoteTerm is how long an elector keeps its vote for a candidate; the
	// candidate is told LeaseMargin less.
	VoteTerm = time.Second
	// AbsenceGrace is how long an instance must be absent from the platform's
	// list, which lags, before it counts as terminated.
	AbsenceGrace = 5 * time.Second
)

// Member is an instance of the domain. Front, Peer, Data and Admin are the
// addresses of its listeners.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Front       string `json:"front"`
	Peer        string `json:"peer"`
	Data        string `json:"data"`
	Admin       string `json:"admin"`
	Domain      string `json:"domain"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// Part is a range of an upstream's slots, the unit that is granted to a member.
type Part struct {
	Upstream string `json:"upstream"`
	Index    int    `json:"index"`
	Slots    int    `json:"slots"`
}

// UpstreamConfig is the configuration of one upstream of the domain.
type UpstreamConfig struct {
	Upstream string
	Service  string
	Priority int
	Slots    int
	// Limit is the longest time that a request may run.
	Limit time.Duration
}

// Quota is a rate limit: "shift/<service>" in requests per second or
// "link/<from>/<to>" in bytes per second.
type Quota struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
}

// Config is the part of the configuration that concerns the domain.
type Config struct {
	Version   uint64
	Domain    string
	Upstreams []UpstreamConfig
	// Quotas are the domain's shares; the leader divides them among the members.
	Quotas []Quota
	// Reserve is the fraction of the slots that is usable without a grant.
	Reserve float64
}

// Reserve is a number of slots that a member may use without a grant. Slots
// with an empty Member are quarantined: nobody may use them until the last
// member's requests must have ended.
type Reserve struct {
	Member   string `json:"member"`
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
}

// Lease is the content of the platform object lease/<domain>.
type Lease struct {
	Domain   string    `json:"domain"`
	Epoch    uint64    `json:"epoch"`
	Leader   string    `json:"leader"`
	Electors []string  `json:"electors"`
	Members  []Member  `json:"members"`
	Reserve  []Reserve `json:"reserve"`
	// Nonce identifies the write, so that a writer that got no answer
	// recognizes its own value.
	Nonce uint64 `json:"nonce"`
}

// Grant lets a member use parts and quotas until Deadline.
type Grant struct {
	Epoch    uint64
	Sequence uint64
	Deadline time.Time
	Parts    []Part
	Quotas   []Quota
}

// Holding is a part and the name of the member that holds it.
type Holding struct {
	Part   Part
	Holder string
}

// View is the leader's view of the domain. Views are ordered by Epoch, then
// Sequence.
type View struct {
	Domain   string
	Epoch    uint64
	Sequence uint64
	Leader   string
	Members  []Member
	Holdings []Holding
}

// Holdings is what this instance may use now. The data path checks Deadline at
// each use.
type Holdings struct {
	// Version increases with every change.
	Version uint64
	// Parts and Quotas are usable until Deadline, Reserve always.
	Parts    []Part
	Reserve  []Reserve
	Quotas   []Quota
	Deadline time.Time
}

// Event is an input of Step.
type Event interface{ granterEvent() }

// Tick reports the time, about every 100 ms.
type Tick struct{ Now time.Time }

// ConfigChanged delivers a new configuration.
type ConfigChanged struct {
	Now    time.Time
	Config Config
}

// LeaseRead is the result of ReadLease. Version is 0 if the lease object does
// not exist.
type LeaseRead struct {
	// Sent is the time just before the request was sent.
	Sent, Now time.Time
	Version   uint64
	Lease     Lease
}

// WriteCompleted is the result of WriteLease.
type WriteCompleted struct {
	// Sent is the time just before the request was sent.
	Sent, Now time.Time
	Nonce     uint64
	Result    WriteResult
	// Version is the new version when Result is WriteDone.
	Version uint64
}

// WriteResult is the outcome of a conditional update.
type WriteResult int

// Outcomes of a conditional update.
const (
	WriteDone WriteResult = iota
	// WriteConflict means that the object has another version; nothing was
	// written.
	WriteConflict
	// WriteUnknown means that no answer came; the write may have taken effect or
	// may still do so.
	WriteUnknown
	// WriteFailed means that the platform was unreachable; nothing was written.
	WriteFailed
)

// InstancesListed is the result of ListInstances.
type InstancesListed struct {
	Now   time.Time
	Names []string
}

// HeartbeatReceived is a heartbeat from a member. SendHeartbeatResponse answers
// it.
type HeartbeatReceived struct {
	Now  time.Time
	From Member
	// Call identifies the request in the response.
	Call uint64
	// Epoch is the highest epoch that the sender knows, Seen the sequence number
	// of the last grant that it accepted in that epoch.
	Epoch uint64
	Seen  uint64
	// Held lists the parts that the sender was granted and has not released.
	Held []Part
}

// HeartbeatResponseReceived is the response to SendHeartbeat.
type HeartbeatResponseReceived struct {
	// Sent is the time just before the heartbeat was sent.
	Sent, Now time.Time
	From      Member
	Leader    string
	Epoch     uint64
	// Valid is how long the grant lasts after Sent; zero means no grant.
	Valid    time.Duration
	Sequence uint64
	Parts    []Part
	Quotas   []Quota
}

// HeartbeatFailed reports that no response to SendHeartbeat came.
type HeartbeatFailed struct {
	Now time.Time
	To  string
}

// VoteRequestReceived is a request for a vote, from a candidate for a new epoch
// or from the leader for support in its own epoch. SendVoteResponse answers it.
type VoteRequestReceived struct {
	Now       time.Time
	Call      uint64
	Candidate string
	Epoch     uint64
}

// VoteResponseReceived is the response to SendVoteRequest.
type VoteResponseReceived struct {
	Sent, Now time.Time
	// From is the name of the elector.
	From string
	// Epoch is the highest epoch that the elector voted for; it is the requested
	// epoch if Granted is set.
	Epoch   uint64
	Granted bool
	// Valid is how long the elector keeps its promise after Sent.
	Valid time.Duration
}

// InFlightChanged lists the parts that have requests in flight. It must follow
// every HoldingsChanged and every change of the list; a part that is no longer
// granted is released only after it.
type InFlightChanged struct {
	Now time.Time
	// Version is the version of the Holdings in force when the list was made, so
	// that no later admission is missed.
	Version uint64
	Busy    []Part
}

// SeedsChanged delivers Peer addresses of instances of the domain, for an
// instance that cannot learn the leader from the platform.
type SeedsChanged struct {
	Now   time.Time
	Peers []string
}

// LeaveRequested starts a planned stop of this instance.
type LeaveRequested struct{ Now time.Time }

func (Tick) granterEvent()                      {}
func (ConfigChanged) granterEvent()             {}
func (LeaseRead) granterEvent()                 {}
func (WriteCompleted) granterEvent()            {}
func (InstancesListed) granterEvent()           {}
func (HeartbeatReceived) granterEvent()         {}
func (HeartbeatResponseReceived) granterEvent() {}
func (HeartbeatFailed) granterEvent()           {}
func (VoteRequestReceived) granterEvent()       {}
func (VoteResponseReceived) granterEvent()      {}
func (InFlightChanged) granterEvent()           {}
func (SeedsChanged) granterEvent()              {}
func (LeaveRequested) granterEvent()            {}

// Effect is an output of Step, performed by the executor.
type Effect interface{ granterEffect() }

// ReadLease reads the platform's lease object. Its result is LeaseRead.
type ReadLease struct{ Domain string }

// ListInstances reads the platform's list of instances. Its result is
// InstancesListed.
type ListInstances struct{}

// WriteLease updates the lease object if it still has the given version, or
// creates it if Version is 0. Its result is WriteCompleted.
type WriteLease struct {
	Version uint64
	Lease   Lease
	// Deadline is the time after which the write must not be sent any more.
	Deadline time.Time
}

// SendHeartbeat sends a heartbeat to the instance at the Peer address To. Its
// result is HeartbeatResponseReceived or HeartbeatFailed.
type SendHeartbeat struct {
	To    string
	Epoch uint64
	Seen  uint64
	Held  []Part
}

// SendHeartbeatResponse answers HeartbeatReceived.
type SendHeartbeatResponse struct {
	Call     uint64
	Leader   string
	Epoch    uint64
	Valid    time.Duration
	Sequence uint64
	Parts    []Part
	Quotas   []Quota
}

// SendVoteRequest asks the elector at the Peer address To for its vote, as a
// candidate for a new epoch or, as the leader, for support in its own epoch. Its
// result is VoteResponseReceived, if there is any.
type SendVoteRequest struct {
	To    string
	Epoch uint64
}

// SendVoteResponse answers VoteRequestReceived.
type SendVoteResponse struct {
	Call    uint64
	Epoch   uint64
	Granted bool
	Valid   time.Duration
}

// HoldingsChanged publishes what this instance may use.
type HoldingsChanged struct{ Holdings Holdings }

// ViewChanged publishes a new view of the domain. Only the leader emits it.
type ViewChanged struct{ View View }

// RoleChanged reports, for the timeline and the logs, that this instance became
// or ceased to be the leader.
type RoleChanged struct {
	Leader bool
	Epoch  uint64
	Cause  string
}

func (ReadLease) granterEffect()             {}
func (ListInstances) granterEffect()         {}
func (WriteLease) granterEffect()            {}
func (SendHeartbeat) granterEffect()         {}
func (SendHeartbeatResponse) granterEffect() {}
func (SendVoteRequest) granterEffect()       {}
func (SendVoteResponse) granterEffect()      {}
func (HoldingsChanged) granterEffect()       {}
func (ViewChanged) granterEffect()           {}
func (RoleChanged) granterEffect()           {}
