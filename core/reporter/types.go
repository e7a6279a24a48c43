// Package reporter defines what an instance tells operators about itself on its
// admin address: GET /status answers with one Status as JSON, GET /timeline
// with a JSON array of recorder.Event, optionally only those after ?after=<stamp>.
package reporter

import "hornbeamstream.example/core/granter"

// Status is the account of one instance.
type Status struct {
	Instance granter.Member `json:"instance"`
	Region   string         `json:"region"`
	// Version is the configuration version in force here.
	Version uint64 `json:"version"`
	// Leader and Epoch describe the lease of the instance's failure domain.
	Leader string `json:"leader"`
	Epoch  uint64 `json:"epoch"`
	// Platform tells whether the platform answered the last call.
	PlatformReachable bool `json:"platform"`
	// Members are all known instances, of all failure domains.
	Members   []granter.Member `json:"members"`
	Upstreams []Upstream       `json:"upstreams"`
}

// Upstream is what an instance knows of an upstream whose parts it holds.
type Upstream struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Slots are the granted slots, Limit what is admitted now, Busy the
	// requests in flight.
	Slots    int  `json:"slots"`
	Limit    int  `json:"limit"`
	InFlight int  `json:"busy"`
	Leaving  bool `json:"leaving"`
}
