package router

import (
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
)

// Table is an immutable snapshot of where requests can go. Its counters go on
// in the table that is built after it.
type Table struct {
	Version  uint64
	Self     string
	Region   string
	Domain   string
	Services map[string]*Service

	counters counters
	holdings granter.Holdings
	config   *loader.State
	source   source
	// short tells that limits are lowered because closed gates are not empty.
	short bool
	// headroom is the weight of free slots against delay.
	headroom float64
}

// Free returns the number of free slots of a service at this instance, which
// other instances take as credits.
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

// weightSeed and mix make the choice by weight and the choice among owners
// independent of the choice by shift, which compares the request's hash itself.
const weightSeed = 0x9e3779b97f4a7c15

func mix(h uint64) uint64 {
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
