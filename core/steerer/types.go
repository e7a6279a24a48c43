// Package steerer implements the control plane logic of an instance as a
// deterministic state machine. The configuration, upstreams and peers are kept in
// a shared object store. Step takes a state and an event and returns the new state
// and the effects to execute. It uses no clock, network or random source: events
// carry the time, in nanoseconds on the instance's own monotonic clock.
package steerer

import (
	"time"

	"hornbeamstream.example/core/allocator"
	"hornbeamstream.example/core/quarantiner"
)

// WeightedService is one service of a route with its share of the route's
// requests.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services.
	Weight float64
}

// Route defines how the requests for one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent means that requests may be executed more than once.
	Idempotent bool
	// Bulk means that responses are large.
	Bulk bool
	// Timeout is the longest time that a caller is kept waiting. Aim is the latency
	// target, within which a response is worth most.
	Timeout, Aim time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Sticky means that requests run faster on an upstream that has served their
	// affinity key before.
	Sticky bool
	// Homes lists the only regions in which requests may be executed. An empty list
	// allows all.
	Homes []string
	// Parts lists the services that share the requests.
	Parts []WeightedService
	// Public means that requests need no key.
	Public bool `json:",omitempty"`
}

// Workspace is a customer whose callers identify themselves by keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority ranks the requests of the workspace; 0 is the most urgent. It replaces
	// that of the route.
	Priority int
	// Rate is the number of requests per second that may run, of which Burst may run at
	// once, summed over all instances. 0 for both means no limit.
	Rate, Burst float64
	// Homes lists the only regions in which requests may be executed. An empty list
	// allows all.
	Homes []string
}

// Service holds the settings that all upstreams of a service share.
type Service struct {
	Name string
	// Conns is the maximum number of connections to one upstream, summed over all
	// instances.
	Conns int
	// ColdRate is the number of requests per second that an upstream accepts during
	// slow start, summed over all instances.
	ColdRate float64
	// HealthPath is the path of the health checks of its upstreams; empty if unknown.
	HealthPath string
}

// Limits bounds the size of requests, the time to send their headers, and the time
// that connections may be idle. Zero means no limit.
type Limits struct {
	HeadBytes, BodyBytes int
	HeadTime, IdleTime   time.Duration
}

// Config is one version of the complete configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Workspaces lists the customers. If there are any, requests need a key, except those
	// on public routes.
	Workspaces []Workspace `json:",omitempty"`
}

// Upstream is one incarnation of an upstream as described by its registration.
type Upstream struct {
	ID string
	// Born is the start time in Unix milliseconds. ID and Born together identify the
	// incarnation.
	Born    int64
	Service string
	Address string
	Domain  string
	Slots   int
	// Sequence orders the registrations of one incarnation.
	Sequence uint64
	// Draining means that the upstream accepts no new requests.
	Draining bool
	// Doubtful means that the registration expired while the store was unavailable,
	// so the upstream may be gone. It is used only if there are no others.
	Doubtful bool
	// ColdUntil is the end of slow start, on the clock of the events.
	ColdUntil int64
}

// Instance describes an instance of this system.
type Instance struct {
	Name string
	// Front is the address for callers. Beacon is the address to which other
	// instances send beacons and requests for changes.
	Front  string
	Beacon string
	Domain string
	Region string
}

// Allowance returns the allowance of a workspace.
func (b *Bounds) Allowance(w *Workspace) allocator.Allowance {
	return allocator.Allowance{Rate: w.Rate, Burst: w.Burst, Window: b.AllowanceWindow.Seconds(), Over: b.AllowanceOver, Slack: b.AllowanceSlack}
}

// Beacon is the heartbeat that an instance sends to the others several times a
// second. Short JSON names keep the datagrams small.
type Beacon struct {
	Name string `json:"n"`
	// Ready means that the instance accepts requests.
	Ready bool `json:"r"`
	// Version is the version of the sender's configuration.
	Version uint64 `json:"v"`
	// Sync has the sync status of each kind that the sender watches in the store.
	Sync map[Kind]SyncStatus `json:"p,omitempty"`
	// Leaving lists upstreams that have recently announced that they are leaving.
	Leaving []Incarnation `json:"l,omitempty"`
	// RateLimits lists what the sender has observed of upstreams' limits.
	RateLimits []RateLimitReport `json:"q,omitempty"`
	// Crashes lists what the sender has observed of requests that crash upstreams.
	Crashes []quarantiner.Report `json:"x,omitempty"`
	// Cold lists upstreams that have said in the sender's health checks that they are
	// cold.
	Cold []ColdReport `json:"c,omitempty"`
	// Usage is the use of the workspaces' allowances.
	Usage *UsageReport `json:"u,omitempty"`
}

// SyncStatus states that an instance has applied all changes of a kind up to a
// revision.
type SyncStatus struct {
	Revision uint64 `json:"r"`
	// Era is the era of the store that the revision belongs to, or 0 if the sender
	// does not know it.
	Era uint64 `json:"e,omitempty"`
	// Changed is the revision of the last change of the kind, or 0 if the sender does not
	// know it. An instance that has it misses nothing up to Revision.
	Changed uint64 `json:"c,omitempty"`
	// Age is the time in milliseconds from the store's confirmation to the sending
	// of the beacon.
	Age int64 `json:"a"`
}

// Bounds are the limits that the deployment sets for all instances together.
type Bounds struct {
	// RetryShare is the retry budget: the share of the requests for a service that
	// may be retried in any period. RetrySlack retries are allowed beyond it.
	RetryShare float64
	RetrySlack float64
	// ColdSlack is the number of requests beyond its rate that an upstream in slow
	// start accepts within a second.
	ColdSlack float64
	// Stop is the maximum duration of a graceful shutdown.
	Stop time.Duration
	// LookupTime is how long callers may cache the answer to a look-up.
	LookupTime time.Duration
	// AllowanceWindow is the time in which a workspace may use its rate and its burst. It
	// does no harm if it exceeds these by the part AllowanceOver and by AllowanceSlack
	// requests.
	AllowanceWindow               time.Duration
	AllowanceOver, AllowanceSlack float64
}

// Kind identifies a collection of objects in the store.
type Kind string

// Kinds of objects that the control plane watches.
const (
	Configs     Kind = "config"
	Upstreams   Kind = "upstreams"
	Evacuations Kind = "evacuations"
	Instances   Kind = "instances"
	Quarantines Kind = "quarantines"
)

// Kinds lists all kinds.
var Kinds = []Kind{Configs, Upstreams, Evacuations, Instances, Quarantines}
