package emulator

import (
	"math/rand/v2"
	"time"
)

// States of an upstream.
const (
	Ready   = "ready"
	Cold    = "cold"
	Leaving = "leaving"
)

// longestFactor bounds a service time against its mean.
const longestFactor = 5

// Behavior is how an upstream acts. Times are in milliseconds. Counters tell how
// many of the coming requests meet a fault.
type Behavior struct {
	Slots int `json:"slots"`
	// Conns is the connection limit; 0 means none.
	Conns int `json:"conns"`
	// Open is the cost of a new connection, Probe that of a health answer.
	Open  float64 `json:"open"`
	Probe float64 `json:"probe"`
	// Mean is the mean service time; Spread, from 0 to 1, is the part of it
	// that is exponentially distributed.
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	// Slow multiplies the service time unless it is 0.
	Slow float64 `json:"slow"`
	// Cold is the number of requests that still take Chill times as long.
	Cold  int     `json:"cold"`
	Chill float64 `json:"chill"`
	// Size is the size of answers in bytes.
	Size int `json:"size"`
	// Leaving makes answers and health carry the leaving signal.
	Leaving bool `json:"leaving"`
	// Down refuses connections and resets those that are open.
	Down bool `json:"down"`
	// Hang accepts requests and never answers.
	Hang bool `json:"hang"`
	// Lag is the age of health answers; Lie replaces them.
	Lag int64   `json:"lag"`
	Lie *Health `json:"lie"`
	// Shed refuses, Truncate cuts the answer off in the middle, Reset resets
	// the connection after After bytes of it, Swap gives the previous request's
	// answer, Late holds the answer back for Delay.
	Shed     int   `json:"shed"`
	Truncate int   `json:"truncate"`
	Reset    int   `json:"reset"`
	After    int   `json:"after"`
	Swap     int   `json:"swap"`
	Late     int   `json:"late"`
	Delay    int64 `json:"delay"`
}

// Health is the answer of an upstream's health endpoint.
type Health struct {
	State string  `json:"state"`
	Load  float64 `json:"load"`
	Slots int     `json:"slots"`
	Busy  int     `json:"busy"`
}

// plan is what happens to one request.
type plan struct {
	work, delay time.Duration
	size        int
	shed        bool
	hang        bool
	swap        bool
	leaving     bool
	// cut is the number of bytes of the answer after which the connection ends,
	// or -1; reset tells how it ends.
	cut   int
	reset bool
}

// plan draws a service time and uses up the counters.
func (b *Behavior) plan(random *rand.Rand) plan {
	factor := 1.0
	if b.Slow > 0 {
		factor = b.Slow
	}
	if use(&b.Cold) {
		factor *= max(1, b.Chill)
	}
	work := b.Mean * (1 - b.Spread + b.Spread*min(longestFactor, random.ExpFloat64()))
	p := plan{
		work: milliseconds(work * factor), size: b.Size, hang: b.Hang,
		leaving: b.Leaving, cut: -1,
	}
	if b.Hang {
		p.work = time.Hour
	}
	p.shed = use(&b.Shed)
	p.swap = use(&b.Swap)
	if use(&b.Truncate) {
		p.cut = b.Size / 2
	}
	if use(&b.Reset) {
		p.cut, p.reset = b.After, true
	}
	if use(&b.Late) {
		p.delay = time.Duration(b.Delay) * time.Millisecond
	}
	return p
}

func (b *Behavior) state() string {
	switch {
	case b.Leaving:
		return Leaving
	case b.Cold > 0:
		return Cold
	}
	return Ready
}

func use(counter *int) bool {
	if *counter <= 0 {
		return false
	}
	*counter--
	return true
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
