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
