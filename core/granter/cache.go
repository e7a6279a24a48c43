package granter

import (
	"maps"
	"slices"
)

// allocationEntry is an allocation with its key.
type allocationEntry struct {
	key        PartKey
	allocation *Allocation
}

// membersByName returns the member states sorted by name. The result is cached,
// because every heartbeat and tick needs it and members change rarely.
func (s *State) membersByName() []*MemberState {
	if s.sortedMembers == nil {
		for _, name := range slices.Sorted(maps.Keys(s.Members)) {
			s.sortedMembers = append(s.sortedMembers, s.Members[name])
		}
	}
	return s.sortedMembers
}

// allocationsByKey returns the allocations sorted by key, cached likewise.
func (s *State) allocationsByKey() []allocationEntry {
	if s.sortedAllocations == nil {
		for _, k := range slices.SortedFunc(maps.Keys(s.Allocations), compareKeys) {
			s.sortedAllocations = append(s.sortedAllocations, allocationEntry{k, s.Allocations[k]})
		}
	}
	return s.sortedAllocations
}
