// Package reducer is the control logic of one instance: a deterministic state
// machine whose Step function takes events and returns effects as data. It
// composes the granter, the follower and the observer, exchanges views with other
// failure domains, and records the timeline. It uses no clock, network or random
// source.
package reducer

import (
	"time"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
)

// ViewVersion identifies the view that an instance has of a failure domain.
type ViewVersion struct {
	Domain   string
	Epoch    uint64
	Sequence uint64
	// Age is the time since the failure domain was last heard from, directly or
	// through others.
	Age time.Duration
}

// Request is a message from one instance to another: a heartbeat within the
// failure domain, or gossip between failure domains.
type Request struct {
	From granter.Member
	// Epoch, Seen and Held belong to a heartbeat, see granter.HeartbeatReceived.
	Epoch   uint64
	Seen    uint64
	Held    []granter.Part
	Config  uint64
	Views   []ViewVersion
	Signals []observer.Signaled
	Clock   uint64
}

// Response is the reply to a Request.
type Response struct {
	From granter.Member
	// Leader, Epoch, Valid, Sequence, Parts and Quotas answer a heartbeat.
	Leader   string
	Epoch    uint64
	Valid    time.Duration
	Sequence uint64
	Parts    []granter.Part
	Quotas   []granter.Quota
	Config   uint64
	Views    []granter.View
	// Heard has the age of the last message from each failure domain.
	Heard   []ViewVersion
	Signals []observer.Signaled
	Clock   uint64
}

// Event is an input of Step.
type Event interface{ reducerEvent() }

// Tick reports the time and the traffic samples since the last tick.
type Tick struct {
	Now     time.Time
	Samples []observer.Sample
	// Busy lists the parts with requests in flight.
	Busy []granter.Part
}

// RequestReceived is a peer's request, answered by Answer with the same Call.
type RequestReceived struct {
	Now     time.Time
	Call    uint64
	Request Request
}

// ResponseReceived ends a Send effect.
type ResponseReceived struct {
	Sent, Now time.Time
	To        string
	Response  Response
}

// SendFailed ends a Send effect without an answer.
type SendFailed struct {
	Now time.Time
	To  string
}

// GranterEvent wraps an event for the granter.
type GranterEvent struct {
	Now   time.Time
	Event granter.Event
}

// FollowerEvent wraps an event for the follower.
type FollowerEvent struct {
	Now   time.Time
	Event follower.Event
}

// ObserverEvent wraps an event for the observer.
type ObserverEvent struct {
	Now   time.Time
	Event observer.Event
}

// ListSeen has the platform's list of instances: the names of all, and of
// those that it marks as leaving.
type ListSeen struct {
	Now     time.Time
	Names   []string
	Leaving []string
}

// LeaveAsked starts the graceful shutdown of this instance.
type LeaveAsked struct{ Now time.Time }

func (Tick) reducerEvent()             {}
func (RequestReceived) reducerEvent()  {}
func (ResponseReceived) reducerEvent() {}
func (SendFailed) reducerEvent()       {}
func (GranterEvent) reducerEvent()     {}
func (FollowerEvent) reducerEvent()    {}
func (ObserverEvent) reducerEvent()    {}
func (ListSeen) reducerEvent()         {}
func (LeaveAsked) reducerEvent()       {}

// Effect is an output of Step.
type Effect interface{ reducerEffect() }

// Send sends a request to the instance at the Peer address To; it ends with
// ResponseReceived or SendFailed.
type Send struct {
	To      string
	Request Request
}

// Answer answers RequestReceived.
type Answer struct {
	Call     uint64
	Response Response
}

// GranterEffect wraps an effect of the granter: ReadLease, ReadList, WriteLease,
// SendVote or AnswerVote.
type GranterEffect struct{ Effect granter.Effect }

// FollowerEffect wraps an effect of the follower: Fetch, Load, Watch or Compact.
type FollowerEffect struct{ Effect follower.Effect }

// Probe sends a health check to the upstream at an address.
type Probe struct {
	Upstream string
	Address  string
}

// Publish has the input of new routing tables. Its values must not be changed.
type Publish struct {
	Config   loader.State
	Holdings granter.Holdings
	Views    []granter.View
	Verdicts []observer.Verdict
	// Lost names the failure domains from which no message has arrived for some
	// time; lookups leave out their instances.
	Lost []string
}

// Record adds an event to the timeline.
type Record struct{ Event recorder.Event }

func (Send) reducerEffect()           {}
func (Answer) reducerEffect()         {}
func (GranterEffect) reducerEffect()  {}
func (FollowerEffect) reducerEffect() {}
func (Probe) reducerEffect()          {}
func (Publish) reducerEffect()        {}
func (Record) reducerEffect()         {}
