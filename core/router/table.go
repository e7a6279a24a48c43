package router

import (
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
)

// Table is an immutable routing table. Its counters are shared with the tables
// that are built from it.
type Table struct {
	Version  uint64
	Self     string
	Region   string
	Domain   string
	Services map[string]*Service

	counters   counters
	holdings   granter.Holdings
	config     *loader.State
	planInputs planInputs
	// limitsReduced reports whether limits are lowered because other gates of the
	// upstream have more requests in flight than they now admit.
	limitsReduced bool
	// headroom is the weight of free slots relative to delay, from 0 to 1.
	headroom float64
}

// FreeSlots returns the number of free slots of a service at this instance. It
// is reported to other instances, which use it as credits.
func (t *Table) FreeSlots(service string, now int64) int {
	s := t.Services[service]
	if s == nil {
		return 0
	}
	free := 0
	for i := range s.Targets {
		free += s.Targets[i].Gate.Free(now)
	}
	return free
}

// weightSeed and mix decorrelate the hashes used for weights and for the choice
// among owners from the request's hash, which shifts compare directly.
const weightSeed = 0x9e3779b97f4a7c15

func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
