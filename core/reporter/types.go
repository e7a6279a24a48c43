// Package reporter defines the JSON that an instance serves to operators on its
// admin address: GET /status returns a Status, GET /timeline an array of
// recorder.Event, with ?after=<stamp> only those after the stamp.
package reporter

import "hornbeamstream.example/core/granter"

// Status is the status of one instance.
type Status struct {
	Instance granter.Member `json:"instance"`
	Region   string         `json:"region"`
	// Version is the configuration version in force at the instance.
	Version uint64 `json:"version"`
	// Leader and Epoch describe the lease of the instance's failure domain.
	Leader string `json:"leader"`
	Epoch  uint64 `json:"epoch"`
	// PlatformReachable reports whether the platform answered the last call.
	PlatformReachable bool `json:"platform"`
	// Members are all known instances, of all failure domains.
	Members   []granter.Member `json:"members"`
	Upstreams []Upstream       `json:"upstreams"`
	// Workspaces are the customers with an allowance, as this instance sees them.
	Workspaces []Workspace `json:"workspaces,omitempty"`
}

// Workspace is the use of a workspace's allowance.
type Workspace struct {
	Name string `json:"name"`
	// Rate is the allowance in requests per second, Burst the number of requests that may
	// run at once, Level the number left of these at all instances together.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	Level float64 `json:"level"`
	// Demand is the rate of requests at all instances, OwnDemand that at this instance,
	// Part this instance's part of the allowance.
	Demand    float64 `json:"demand"`
	OwnDemand float64 `json:"own"`
	Part      float64 `json:"part"`
	// Admitted and Refused count the requests at this instance since its start.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
	// Basis says what the instance decides by: plenty, scarce, stale or alone.
	Basis string `json:"basis"`
	// Age is the age of the totals in milliseconds, -1 if there are none.
	Age int64 `json:"age"`
}

// Question names a request of which GET /explain says where it would go. It holds no key of a
// workspace.
type Question struct {
	Host, Path string
	// AffinityKey names the object of the request; empty if unknown.
	AffinityKey string
	// Workspace is the name of a workspace; empty if the request has no key.
	Workspace string
}

// Explanation says where an instance would send a request now, and why.
type Explanation struct {
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
	// Route and Service are those of the request; empty if there is none.
	Route   string `json:"route"`
	Service string `json:"service"`
	// Workspace is the allowance, nil if there is none.
	Workspace *Workspace `json:"workspace,omitempty"`
	// Upstream is where the request would go; empty if it would be refused.
	Upstream string `json:"upstream,omitempty"`
	// Status and Reason are those of a refusal, RetryAfter its Retry-After in milliseconds.
	Status     int    `json:"status,omitempty"`
	Reason     string `json:"reason,omitempty"`
	RetryAfter int64  `json:"retry,omitempty"`
	// Candidates are the upstreams of the service, those that are weighed first.
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is an upstream as a decision sees it. Times are in milliseconds.
type Candidate struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Verdict string `json:"verdict"`
	// Cost is the expected latency with penalties; it and those that follow are 0 unless
	// the upstream is weighed.
	Cost     int64   `json:"cost"`
	Expected int64   `json:"expected"`
	Cold     int64   `json:"cold"`
	Wait     int64   `json:"wait"`
	Load     float64 `json:"load"`
	// Age is the age of the load report.
	Age      int64   `json:"age"`
	Slowdown float64 `json:"slowdown"`
	Failures float64 `json:"failures"`
	Known    bool    `json:"known"`
	// Warming is how long the upstream stays cold, Pause how long it wants no requests.
	Warming int64 `json:"warming"`
	Pause   int64 `json:"pause"`
}

// Upstream is the state of an upstream of which the instance holds parts.
type Upstream struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Slots is the number of granted slots, Limit the number of requests admitted
	// now, InFlight the number of requests in flight.
	Slots    int  `json:"slots"`
	Limit    int  `json:"limit"`
	InFlight int  `json:"busy"`
	Leaving  bool `json:"leaving"`
}
