package granter

import (
	"maps"
	"slices"
)

// entry is a record with its key.
type entry struct {
	key    PartKey
	record *Allocation
}

// accounts returns the accounts in the order of names. The order is kept,
// because every heartbeat and tick needs it and members change rarely.
func (s *State) accounts() []*MemberState {
	if s.roster == nil {
		for _, name := range slices.Sorted(maps.Keys(s.Members)) {
			s.roster = append(s.roster, s.Members[name])
		}
	}
	return s.roster
}

// ordered returns the records in the order of their keys.
func (s *State) ordered() []entry {
	if s.order == nil {
		for _, k := range slices.SortedFunc(maps.Keys(s.Allocations), compareKeys) {
			s.order = append(s.order, entry{k, s.Allocations[k]})
		}
	}
	return s.order
}
