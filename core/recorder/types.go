// Package recorder keeps the timeline: a bounded ring of typed events in each
// process, ordered over all processes by a hybrid logical clock.
package recorder

import "time"

// Kind is the type of an event.
type Kind string

// Kinds of events.
const (
	KindStarted        Kind = "started"
	KindStopped        Kind = "stopped"
	KindLeaving        Kind = "leaving"
	KindSubmitted      Kind = "submitted"
	KindConfigured     Kind = "configured"
	KindRejected       Kind = "rejected"
	KindElected        Kind = "elected"
	KindLeaseLost      Kind = "deposed"
	KindGranted        Kind = "granted"
	KindGrantExpired   Kind = "lapsed"
	KindDrainStarted   Kind = "drained"
	KindDrainCompleted Kind = "emptied"
	KindLimitChanged   Kind = "limited"
	KindLost           Kind = "lost"
	KindRecovered      Kind = "found"
	KindPaused         Kind = "paused"
)

// Event is one entry of the timeline.
type Event struct {
	// Stamp is the hybrid logical time: 48 bits of Unix ms, 16 bits of counter.
	Stamp uint64 `json:"stamp"`
	// Wall is the process's own clock at the event.
	Wall     time.Time `json:"wall"`
	Instance string    `json:"instance"`
	Domain   string    `json:"domain"`
	Kind     Kind      `json:"kind"`
	// Version is the number of the ticket that the event belongs to.
	Version uint64 `json:"version,omitempty"`
	// Epoch is the lease epoch that the event belongs to.
	Epoch    uint64 `json:"epoch,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Peer     string `json:"peer,omitempty"`
	// Since is the beginning of what the event ends, such as a drain.
	Since time.Time `json:"since,omitzero"`
	// Cause is one short sentence.
	Cause string `json:"cause,omitempty"`
}
