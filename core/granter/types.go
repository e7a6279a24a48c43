// Package granter decides who may use the slots and quotas of one failure
// domain. It is a pure state machine: Step takes a state and an event and
// returns effects. It reads no clock, network or random source.
package granter

import "time"

// Timing of leases and grants. The values bound how long slots stay unused
// after a failure: grant + margin + the service's limit stay below 10 s.
const (
	HeartbeatInterval = 500 * time.Millisecond
	RenewInterval     = time.Second
	LeaseTerm         = 4 * time.Second
	LeaseMargin       = 500 * time.Millisecond
	GrantTerm         = 3 * time.Second
	// PauseGap is the longest time between two ticks after which a process
	// still trusts its leases and grants.
	MaxTickGap = time.Second
	// PartSlots is the largest number of slots in one part.
	MaxPartSlots = 64
	// MaxElectors is the largest number of electors of a domain.
	MaxElectors = 3
	// MemberTerm is the time without a heartbeat after which a member gets no
	// more parts.
	MemberTimeout = 2 * time.Second
	// PromiseTerm is how long an elector stands by a leader; the leader is told
	// LeaseMargin less.
	SupportTerm = 4 * time.Second
	// BallotTerm is how long an elector stands by a candidate.
	VoteTerm = time.Second
	// ListGrace is how long an instance must be absent from the platform's
	// list, which lags, before it counts as gone.
	AbsenceGrace = 5 * time.Second
)

// Member is an instance of the domain.
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

// Part is a range of an upstream's slots.
type Part struct {
	Upstream string `json:"upstream"`
	Index    int    `json:"index"`
	Slots    int    `json:"slots"`
}

// Demand is what the configuration says about one upstream of the domain.
type UpstreamConfig struct {
	Upstream string
	Service  string
	Priority int
	Slots    int
	// Limit is the longest time that a request may run.
	Limit time.Duration
}

// Quota is a rate: "shift/<service>" in requests per second or
// "link/<from>/<to>" in bytes per second.
type Quota struct {
	Name string  `json:"name"`
	Rate float64 `json:"rate"`
}

// Plan is the domain's share of the configuration.
type Config struct {
	Version   uint64
	Domain    string
	Upstreams []UpstreamConfig
	// Quotas are the domain's shares; the leader divides them over members.
	Quotas []Quota
	// Reserve is the share of slots that is usable without a grant.
	Reserve float64
}

// Reserve is a number of slots that a member may use without a grant. Without
// a member the slots rest: nobody may use them until requests of the last user
// must have ended.
type Reserve struct {
	Member   string `json:"member"`
	Upstream string `json:"upstream"`
	Slots    int    `json:"slots"`
}

// Lease is the platform object lease/<domain>.
type Lease struct {
	Domain   string    `json:"domain"`
	Epoch    uint64    `json:"epoch"`
	Leader   string    `json:"leader"`
	Electors []string  `json:"electors"`
	Members  []Member  `json:"members"`
	Reserve  []Reserve `json:"reserve"`
	// Nonce names the write, so that a writer whose answer was lost recognizes
	// its own value.
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

// Holding tells who holds a part.
type Holding struct {
	Part   Part
	Holder string
}

// View is the leader's account of the domain, ordered by Epoch and Sequence.
type View struct {
	Domain   string
	Epoch    uint64
	Sequence uint64
	Leader   string
	Members  []Member
	Holdings []Holding
}

// Holdings is what this instance may use now. Traffic checks Deadline at use.
type Holdings struct {
	// Version rises with every change.
	Version uint64
	// Parts and Quotas are usable until Deadline, Reserve always.
	Parts    []Part
	Reserve  []Reserve
	Quotas   []Quota
	Deadline time.Time
}

// Event is an input of Step.
type Event interface{ granterEvent() }

// Tick reports the time. It arrives about every 100 ms.
type Tick struct{ Now time.Time }

// PlanChanged brings a new configuration.
type ConfigChanged struct {
	Now    time.Time
	Config Config
}

// LeaseSeen brings the platform's lease object; Version 0 means absent.
type LeaseRead struct {
	// Asked is the time just before the call was sent.
	Sent, Now time.Time
	Version   uint64
	Lease     Lease
}

// WriteEnded reports the end of a WriteLease effect.
type WriteCompleted struct {
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
	// WriteConflict: the object has another version; nothing was written.
	WriteConflict
	// WriteUnknown: the answer was lost; the write may have taken effect.
	WriteUnknown
	// WriteFailed: nothing was written, the platform cannot be reached.
	WriteFailed
)

// ListSeen brings the platform's list of instances.
type InstancesListed struct {
	Now   time.Time
	Names []string
}

// HeartbeatReceived is a heartbeat from a member, answered by AnswerHeartbeat.
type HeartbeatReceived struct {
	Now  time.Time
	From Member
	// Call identifies the answer.
	Call uint64
	// Epoch is the highest epoch that the sender knows, Seen the sequence of the
	// last grant that it accepted in that epoch.
	Epoch uint64
	Seen  uint64
	// Held lists the parts that the sender was granted and has not released.
	Held []Part
}

// HeartbeatAnswered is the answer to SendHeartbeat.
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

// HeartbeatFailed reports that no answer came.
type HeartbeatFailed struct {
	Now time.Time
	To  string
}

// VoteReceived is a request for a vote, answered by AnswerVote. It comes from a
// candidate for a new epoch, or from the leader, for support in its own epoch.
type VoteRequestReceived struct {
	Now       time.Time
	Call      uint64
	Candidate string
	Epoch     uint64
}

// VoteAnswered is the answer to SendVote.
type VoteResponseReceived struct {
	Sent, Now time.Time
	// From is the name of the elector.
	From string
	// Epoch is the highest epoch that the elector voted for; it is the epoch
	// asked for when Granted.
	Epoch   uint64
	Granted bool
	// Valid is how long the promise lasts after Sent.
	Valid time.Duration
}

// InFlightChanged lists the parts that still have requests in flight. It is
// due after every HoldingsChanged and whenever the list changes; a part that
// was taken away is released only after it.
type InFlightChanged struct {
	Now time.Time
	// Version is that of the Holdings that traffic used before the list was
	// made, so that no later admission is missed.
	Version uint64
	Busy    []Part
}

// SeedsSeen brings Peer addresses of instances of the domain, for an instance
// that cannot learn the leader from the platform.
type SeedsChanged struct {
	Now   time.Time
	Peers []string
}

// LeaveAsked starts a planned stop of this instance.
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

// ReadLease asks for the platform's lease object; it ends with LeaseSeen.
type ReadLease struct{ Domain string }

// ReadList asks for the platform's list of instances; it ends with ListSeen.
type ListInstances struct{}

// WriteLease asks for a conditional update, or for create-if-absent when
// Version is 0; it ends with WriteEnded.
type WriteLease struct {
	Version uint64
	Lease   Lease
	// Until is the time after which the write must not be sent any more.
	Deadline time.Time
}

// SendHeartbeat sends a heartbeat to the instance at the Peer address To; it
// ends with HeartbeatAnswered or HeartbeatFailed.
type SendHeartbeat struct {
	To    string
	Epoch uint64
	Seen  uint64
	Held  []Part
}

// AnswerHeartbeat answers HeartbeatReceived.
type SendHeartbeatResponse struct {
	Call     uint64
	Leader   string
	Epoch    uint64
	Valid    time.Duration
	Sequence uint64
	Parts    []Part
	Quotas   []Quota
}

// SendVote asks the elector at the Peer address To for its vote, as a candidate
// for a new epoch or, as the leader, for support in its own epoch. It ends with
// VoteAnswered, or not at all.
type SendVoteRequest struct {
	To    string
	Epoch uint64
}

// AnswerVote answers VoteReceived.
type SendVoteResponse struct {
	Call    uint64
	Epoch   uint64
	Granted bool
	Valid   time.Duration
}

// HoldingsChanged publishes what this instance may use.
type HoldingsChanged struct{ Holdings Holdings }

// ViewChanged publishes the leader's view; only the leader emits it.
type ViewChanged struct{ View View }

// RoleChanged reports that this instance became or ceased to be the leader, for
// the timeline and the logs.
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
