// Package follower keeps the configuration of one instance up to date. It is a
// pure state machine: it takes tickets from the platform or from peers in
// order, keeps a bounded history for others, and never goes back to an older
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
	// CompactEvery is the number of tickets between two snapshots. A new
	// instance reads at most this many tickets after the snapshot.
	TicketsPerSnapshot = 64
	// WatchWait is the longest time that one watch on the platform waits.
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
	// IsolatedAfter is the time without news from any relay or peer after which
	// an instance that is not a relay asks the platform itself.
	IsolationTimeout = 3 * time.Second
)

// Event is an input of Step.
type Event interface{ followerEvent() }

// Tick reports the time.
type Tick struct {
	Now time.Time
	// Relay tells that this instance watches the platform for its domain.
	Relay bool
}

// PeerSeen reports the version that a peer has. Every contact counts, also
// when the version is not newer.
type PeerSeen struct {
	Now     time.Time
	Peer    string
	Version uint64
}

// Fetched ends a Fetch effect. Tickets follow each other without a gap;
// Snapshot is set when the peer's history doesn't reach back far enough.
type Fetched struct {
	Now      time.Time
	Peer     string
	Tickets  []loader.Ticket
	Snapshot *loader.State
	Failed   bool
}

// Loaded ends a Load effect.
type Loaded struct {
	Now      time.Time
	Snapshot loader.State
	Tickets  []loader.Ticket
	// Revision is the store revision up to which the tickets are complete.
	Revision uint64
	Failed   bool
}

// Watched ends a Watch effect.
type Watched struct {
	Now      time.Time
	Tickets  []loader.Ticket
	Revision uint64
	Failed   bool
}

// Compacted ends a Compact effect.
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

// Fetch asks the peer for tickets after a version; it ends with Fetched.
type Fetch struct {
	Peer  string
	After uint64
}

// Load asks the platform for the snapshot and the tickets after it; it ends
// with Loaded.
type Load struct{ After uint64 }

// Watch waits on the platform for tickets after a store revision; it ends with
// Watched.
type Watch struct{ Revision uint64 }

// Compact asks for a snapshot of the state in the platform; it ends with
// Compacted.
type WriteSnapshot struct{ State loader.State }

// Advanced publishes a new configuration. Rejected holds, by version, why a
// ticket changed nothing.
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
