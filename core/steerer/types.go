// Package steerer is the control logic of an instance whose configuration,
// upstreams and peers are kept in a shared object store. One pure step takes a
// state and an event and gives the new state and effects as data. It reads no
// clock, network or random source: time arrives in the events, as nanoseconds
// on the instance's own monotonic clock.
package steerer

import "time"

// Part is one service of a route with its share of the route's requests.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other parts.
	Weight float64
}

// Route says how the requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Bulk marks large answers.
	Bulk bool
	// Timeout is the longest time that a caller is kept waiting, Aim the time
	// within which an answer is worth most.
	Timeout, Aim time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Attempts bounds the upstreams that one request may be sent to.
	Attempts int
	// Sticky requests run faster on an upstream that has seen their key.
	Sticky bool
	// Homes lists the only regions in which requests may run. None means all.
	Homes []string
	Parts []WeightedService
}

// Service holds what all upstreams of a service have in common.
type Service struct {
	Name string
	// Conns bounds the connections to one upstream, those of all instances
	// together.
	Conns int
	// ColdRate is how many requests a second an upstream takes while it is cold,
	// those of all instances together.
	ColdRate float64
}

// Limits bounds what callers may send and how long they may be idle. A zero
// value sets no bound.
type Limits struct {
	HeadBytes, BodyBytes int
	HeadTime, IdleTime   time.Duration
}

// Config is one version of the whole configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Upstream is one incarnation of an upstream as its registration describes it.
type Upstream struct {
	ID string
	// Born is the Unix time of its start in milliseconds. Together with the ID it
	// names the incarnation.
	Born    int64
	Service string
	Address string
	Domain  string
	Slots   int
	// Sequence orders the registrations of one incarnation.
	Sequence uint64
	// Draining upstreams take no new requests.
	Draining bool
	// Doubtful upstreams have lost their registration while the store was away and
	// may be gone. They are used if there are no others.
	Doubtful bool
	// ColdUntil is the time at which the upstream is warm, on the clock of the
	// events.
	ColdUntil int64
}

// Instance is an instance of this system.
type Instance struct {
	Name string
	// Front is where callers connect, Beacon where other instances send beacons
	// and ask for changes.
	Front  string
	Beacon string
	Domain string
	Region string
}

// Beacon is what an instance tells the others about itself, several times a
// second. Short names keep the datagrams small.
type Beacon struct {
	Name string `json:"n"`
	// Ready tells that the instance takes requests.
	Ready bool `json:"r"`
	// Version is the configuration in force there.
	Version uint64 `json:"v"`
	// Proofs tells, for each kind that the instance reads from the store itself,
	// how fresh its knowledge is.
	Sync map[Kind]SyncStatus `json:"p,omitempty"`
	// Left names upstreams that have said lately that they leave.
	Leaving []Incarnation `json:"l,omitempty"`
}

// Proof says that an instance knew all changes of a kind up to a revision.
type SyncStatus struct {
	Revision uint64 `json:"r"`
	// Era is the store's era that the revision belongs to; 0 if the sender knows
	// none.
	Era uint64 `json:"e,omitempty"`
	// Age is the time since the store confirmed that, in milliseconds, as of the
	// sending of the beacon.
	Age int64 `json:"a"`
}

// Bounds are the limits that the environment sets to all instances together.
type Bounds struct {
	// RetryShare of the requests for a service may be sent once more in any span
	// of time, and RetrySlack beyond that.
	RetryShare float64
	RetrySlack float64
	// ColdSlack is how many requests within a second a cold upstream bears
	// beyond its rate.
	ColdSlack float64
	// Stop is the time that a planned stop may take.
	Stop time.Duration
	// LookupTime bounds how long callers may keep the answer to a look-up.
	LookupTime time.Duration
}

// Kind names a collection of objects in the store.
type Kind string

// Kinds of objects that the control logic follows.
const (
	Configs     Kind = "config"
	Upstreams   Kind = "upstreams"
	Evacuations Kind = "evacuations"
	Instances   Kind = "instances"
)

// Kinds lists all of them.
var Kinds = []Kind{Configs, Upstreams, Evacuations, Instances}
