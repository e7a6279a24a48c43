package emulator

import (
	"slices"
	"sync"
	"time"
)

// States in which a run ends.
const (
	// Done means that the whole answer was handed to the network.
	Done = "done"
	// Cancelled means that the caller closed the connection.
	Cancelled = "cancelled"
	// Expired means that the deadline passed during the run.
	Expired = "expired"
	// Truncated, Reset and Silent are faults that were asked for.
	Truncated = "truncated"
	Reset     = "reset"
	Silent    = "silent"
)

// Run is one request that took a slot of an upstream.
type Run struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	Region   string `json:"region"`
	// Block is the caller's block as told by the sender, if it was.
	Block    string    `json:"block,omitempty"`
	Start    time.Time `json:"start"`
	End      time.Time `json:"end"`
	Deadline time.Time `json:"deadline,omitzero"`
	State    string    `json:"state"`
}

// maxRuns bounds the ledger of stand-ins that run for hours; when it is reached,
// the older half is dropped.
const maxRuns = 1 << 20

// Ledger holds the runs of many upstreams. Its zero value is empty.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *Ledger) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) == maxRuns {
		l.runs = append(l.runs[:0], l.runs[maxRuns/2:]...)
	}
	l.runs = append(l.runs, r)
}

// Runs returns the runs that have ended, in the order of their ends.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Seconds counts the runs that began in each second of Unix time.
func Seconds(runs []Run) map[int64]int {
	n := map[int64]int{}
	for _, r := range runs {
		n[r.Start.Unix()]++
	}
	return n
}
