package generator

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller knows at the end of a request.
type Outcome string

// Outcomes.
const (
	// OK means that the whole and right answer came.
	OK Outcome = "ok"
	// NotRun means that the request did not run.
	NotRun Outcome = "notrun"
	// Unknown means that it may have run.
	Unknown Outcome = "unknown"
	// Wrong means that a complete answer with status 200 was not the answer to
	// the request.
	Wrong Outcome = "wrong"
	// Cut means that an entry that was being stopped in a planned way closed
	// the connection before the answer was complete.
	Cut Outcome = "cut"
)

// Try is one sending of a request to one entry.
type Try struct {
	Entry   string    `json:"entry"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end"`
	Outcome Outcome   `json:"outcome"`
	// Unsent tells that the connection could not be opened.
	Unsent bool `json:"unsent,omitempty"`
	// Closed tells that the connection ended before the answer was complete.
	Closed bool   `json:"closed,omitempty"`
	Status int    `json:"status,omitempty"`
	Cause  string `json:"cause,omitempty"`
}

// Request is one request with all its tries.
type Request struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Region is the caller's home region.
	Region string `json:"region"`
	// Due is the time at which the rate called for the request, End that of its
	// outcome.
	Due     time.Time `json:"due"`
	End     time.Time `json:"end"`
	Outcome Outcome   `json:"outcome"`
	Tries   []Try     `json:"tries"`
	// Expired tells that the cached look-up had expired when it was used.
	Expired bool `json:"expired,omitempty"`
}

// Ledger holds all requests that have ended. Its zero value is empty.
type Ledger struct {
	mu   sync.Mutex
	list []Request
}

func (l *Ledger) add(r Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, r)
}

// Requests returns the requests in the order of their ends.
func (l *Ledger) Requests() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}

// longest is the largest recorded latency in microseconds.
const longest = 60_000_000

// Latency returns the histogram, in microseconds from the due time, of requests
// with outcome OK that keep selects.
func Latency(list []Request, keep func(Request) bool) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, longest, 3)
	for _, r := range list {
		if r.Outcome == OK && keep(r) {
			_ = h.RecordValue(min(longest, max(1, r.End.Sub(r.Due).Microseconds())))
		}
	}
	return h
}

// Outcomes counts requests by outcome.
func Outcomes(list []Request) map[Outcome]int {
	n := map[Outcome]int{}
	for _, r := range list {
		n[r.Outcome]++
	}
	return n
}
