// Package follower keeps the configuration of one instance up to date. It is a
// pure state machine: it takes tickets from the platform or from peers in
// order, keeps a bounded history for others, and never returns to an older
// version.
package follower

import (
	"time"

	"hornbeamstream.example/core/loader"
)

// Bounds of the follower.
const (
	// HistoryTickets is the number of tickets kept for peers. At 1,600 tickets
	// a day it covers almost four hours.
	HistoryTickets = 256
	// TicketsPerSnapshot is the number of tickets between two snapshots. A new
	// instance reads at most this many tickets after the snapshot.
	TicketsPerSnapshot = 64
	// WatchWait is the longest time that one watch (a long poll) waits.
	WatchWait = 10 * time.Second
	// CallTimeout is the deadline of platform and peer calls beyond the wait.
	CallTimeout = 2 * time.Second
	// MinBackoff and MaxBackoff bound the time between failed platform calls. A
	// ticket accepted when the platform returns is in force within 2 s only if
	// relays try at least once a second; 22 relays then make 44 calls a second
	// at most, of 2,000 that the platform takes.
	MinBackoff = 200 * time.Millisecond
	MaxBackoff = time.Second
	// MinInterval is the shortest time between two calls of one kind. It bounds
	// an instance's platform calls to 5 a second when watches end at once.
	MinInterval = 200 * time.Millisecond
	// IsolationTimeout is the time without contact to any relay or peer after
	// which an instance that is not a relay calls the platform itself.
	IsolationTimeout = 3 * time.Second
)

// Event is an input of Step.
type Event interface{ followerEvent() }

// Tick reports the time.
type Tick struct {
	Now time.Time
	// Relay reports whether this instance watches the platform for its domain.
	Relay bool
}

// PeerSeen reports the version that a peer has. Every contact counts, also
// when the version is not newer.
type PeerSeen struct {
	Now     time.Time
	Peer    string
	Version uint64
}

// Fetched completes a Fetch effect. Tickets follow each other without a gap;
// Snapshot is set when the peer's history doesn't reach back far enough.
type Fetched struct {
	Now      time.Time
	Peer     string
	Tickets  []loader.Ticket
	Snapshot *loader.State
	Failed   bool
}

// Loaded completes a Load effect.
type Loaded struct {
	Now      time.Time
	Snapshot loader.State
	Tickets  []loader.Ticket
	// Revision is the store revision up to which the tickets are complete.
	Revision uint64
	Failed   bool
}

// Watched completes a Watch effect.
type Watched struct {
	Now      time.Time
	Tickets  []loader.Ticket
	Revision uint64
	Failed   bool
}

// SnapshotWritten completes a WriteSnapshot effect.
type SnapshotWritten struct {
	Now    time.Time
	Failed bool
}

func (Tick) followerEvent()            {}
func (PeerSeen) followerEvent()        {}
func (Fetched) followerEvent()         {}
func (Loaded) followerEvent()          {}
func (Watched) followerEvent()         {}
func (SnapshotWritten) followerEvent() {}

// Effect is an output of Step.
type Effect interface{ followerEffect() }

// Fetch requests tickets after a version from the peer; Fetched completes it.
type Fetch struct {
	Peer  string
	After uint64
}

// Load reads the snapshot and the tickets after it from the platform; Loaded
// completes it.
type Load struct{ After uint64 }

// Watch waits on the platform for tickets after a store revision; Watched
// completes it.
type Watch struct{ Revision uint64 }

// WriteSnapshot writes a snapshot of the state to the platform; SnapshotWritten
// completes it.
type WriteSnapshot struct{ State loader.State }

// ConfigChanged publishes a new configuration. Rejected holds, by number, the
// errors of the tickets that were not applied.
type ConfigChanged struct {
	State    loader.State
	Tickets  []loader.Ticket
	Rejected map[uint64]error
}

func (Fetch) followerEffect()         {}
func (Load) followerEffect()          {}
func (Watch) followerEffect()         {}
func (WriteSnapshot) followerEffect() {}
func (ConfigChanged) followerEffect() {}
