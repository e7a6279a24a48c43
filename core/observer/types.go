// Package observer judges upstreams from what traffic and probes report. It is
// a pure state machine. Reports only ever lower a limit below the configured
// slots, because health and load endpoints can lag or mislead.
package observer

import "time"

// Source is the origin of a leaving or ready signal.
type Source int

// Sources of signals about an upstream.
const (
	// FromTicket is a drain in the configuration.
	FromConfig Source = iota
	// FromPlatform is the platform's list.
	FromPlatform
	// FromUpstream is the upstream's own signal in answers or health reports.
	FromUpstream
	// FromRefusal is a run of refused connections.
	FromRefusedConnections
)

// Sample sums up what traffic saw of one upstream since the last batch.
type Sample struct {
	Upstream string
	// OK counts whole answers, Shed documented refusals, Refused connections
	// that could not be opened, Failed all other failures.
	OK, Shed, Refused, Failed int
	// Latency is the mean time to the first byte of the answers in OK.
	Latency time.Duration
	// Leaving tells that an answer carried the leaving signal.
	Leaving bool
}

// Health is the answer of an upstream's health endpoint.
type Health struct {
	Upstream string
	// State is "ready", "cold" or "leaving"; empty when the probe failed.
	State string
	Load  float64
	Slots int
	Busy  int
	// Refused tells that the connection was refused.
	Refused bool
}

// Spec is what the configuration says about an upstream.
type Spec struct {
	Upstream string
	// Service groups upstreams whose latencies can be compared; empty means
	// that there are none.
	Service string
	Slots   int
	Drained bool
	// Probers is the number of instances that probe the upstream. Above two,
	// each probes less often, so that probes do not use the upstream up.
	Probers int
}

// Event is an input of Step.
type Event interface{ observerEvent() }

// Tick reports the time.
type Tick struct{ Now time.Time }

// SpecsChanged brings the upstreams that this instance watches, which are those
// of its own failure domain.
type SpecsChanged struct {
	Now   time.Time
	Specs []Spec
}

// Sampled brings a batch from traffic.
type Sampled struct {
	Now     time.Time
	Samples []Sample
}

// Probed brings the answer to a Probe effect.
type Probed struct {
	// Sent is the time just before the probe was sent; a ready signal is as
	// old as that.
	Sent, Now time.Time
	Health    Health
}

// Signaled brings a leaving or ready signal from another source, such as the
// platform's list or another instance.
type Signaled struct {
	// At is the time of the signal itself, Now the time of its arrival.
	At, Now  time.Time
	Upstream string
	Source   Source
	Leaving  bool
}

func (Tick) observerEvent()         {}
func (SpecsChanged) observerEvent() {}
func (Sampled) observerEvent()      {}
func (Probed) observerEvent()       {}
func (Signaled) observerEvent()     {}

// Effect is an output of Step.
type Effect interface{ observerEffect() }

// Probe asks for the upstream's health answer; it ends with Probed.
type Probe struct{ Upstream string }

// Verdict publishes what an upstream may get. It is emitted on change.
type Verdict struct {
	Upstream string
	// Limit is at most the configured slots; 0 while leaving.
	Limit   int
	Leaving bool
	// Since is the time of the first leaving signal.
	Since time.Time
	// Latency is a lower bound of the time to the first byte, a power of two of
	// milliseconds; 0 when it is not known.
	Latency time.Duration
	Cause   string
}

func (Probe) observerEffect()   {}
func (Verdict) observerEffect() {}
