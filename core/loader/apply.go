package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// GapError reports a ticket whose number is not the state's version plus one.
// The state is unchanged.
type GapError struct {
	// Version is the state's version.
	Version uint64
	// Number is the number of the ticket.
	Number uint64
}

func (g *GapError) Error() string {
	return fmt.Sprintf("ticket %d does not follow version %d", g.Number, g.Version)
}

// RejectedError reports a ticket that fails validation. It advances the version
// and changes no object, on every instance alike.
type RejectedError struct {
	Number   uint64
	Problems Problems
}

func (r *RejectedError) Error() string {
	return fmt.Sprintf("ticket %d does not pass the checks: %v", r.Number, r.Problems)
}

// Unwrap returns the problems.
func (r *RejectedError) Unwrap() error { return r.Problems }

// Apply returns the state after ticket t, whose number must be s.Version+1. It
// depends on nothing but s and t. With a *GapError the state is unchanged; with a
// *RejectedError only its version is advanced.
func (s State) Apply(t Ticket) (State, error) {
	if t.Number != s.Version+1 {
		return s, &GapError{Version: s.Version, Number: t.Number}
	}
	next, problems := s.applyObjects(t)
	if len(problems) == 0 {
		next.Version = t.Number
		return next, nil
	}
	s.Version = t.Number
	return s, &RejectedError{Number: t.Number, Problems: problems}
}

// applyObjects returns s with the objects of t, and the problems of the result.
func (s State) applyObjects(t Ticket) (State, Problems) {
	p := t.checkHeader()
	kinds := map[string]bool{}
	s.ModifiedVersions = maps.Clone(s.ModifiedVersions)
	if s.ModifiedVersions == nil {
		s.ModifiedVersions = map[string]uint64{}
	}
	for _, key := range slices.Sorted(maps.Keys(t.Objects)) {
		kind, name, ok := SplitKey(key)
		if !ok {
			p.add(key, "is not a valid object key")
			continue
		}
		if !kinds[kind] {
			objectKinds[kind].clone(&s)
			kinds[kind] = true
		}
		s.setObject(&p, kind, name, t.Objects[key])
		s.ModifiedVersions[key] = t.Number
	}
	p = append(p, s.checkObjects(t)...)
	p = append(p, s.checkConsistency(kinds)...)
	p.sort()
	return s, p
}

func (s *State) setObject(p *Problems, kind, name string, raw json.RawMessage) {
	key := kind + "/" + name
	if !isNull(raw) {
		if err := objectKinds[kind].put(s, name, raw); err != nil {
			p.add(key, "%v", err)
		}
		return
	}
	if _, ok := objectKinds[kind].get(s, name); !ok {
		p.add(key, "can't be removed because it does not exist")
	}
	objectKinds[kind].remove(s, name)
}

// checkObjects validates the ticket's objects; all others were validated with
// their own ticket.
func (s State) checkObjects(t Ticket) (p Problems) {
	for key := range t.Objects {
		if o, ok := s.Object(key); ok {
			o.(object).check(p.reporterFor(key))
		}
	}
	return p
}

// checkConsistency checks all references. It checks the prefixes only when
// blocks changed, because there are many.
func (s State) checkConsistency(kinds map[string]bool) Problems {
	p := s.checkReferences()
	if kinds[KindUpstream] {
		p = append(p, s.checkAddresses()...)
	}
	if kinds[KindBlocks] {
		p = append(p, s.checkPrefixes()...)
	}
	return p
}

func (t Ticket) checkHeader() (p Problems) {
	if t.Number != t.Base+1 {
		p.add("base", "must be one below the ticket's number")
	}
	if len(t.Objects) == 0 {
		p.add("objects", "is empty")
	}
	size := 0
	for key, raw := range t.Objects {
		size += len(key) + len(raw)
	}
	if size > MaxTicketBytes {
		p.add("objects", "take %d bytes, more than %d", size, MaxTicketBytes)
	}
	return p
}

func isNull(raw json.RawMessage) bool {
	raw = bytes.TrimSpace(raw)
	return len(raw) == 0 || bytes.Equal(raw, []byte("null"))
}
