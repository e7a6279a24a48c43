package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"strings"
)

// object is a configuration object that can check its own fields.
type object interface {
	check(report reporter)
}

// table gives access to the objects of one kind in a state.
type table struct {
	// names is the number of names after the kind in a key.
	names  int
	blank  func() any
	clone  func(s *State)
	put    func(s *State, name string, raw json.RawMessage) error
	remove func(s *State, name string)
	get    func(s *State, name string) (any, bool)
	each   func(s *State, visit func(name string, o object))
}

var tables = map[string]table{
	KindRegion:   newTable(1, func(s *State) *map[string]Region { return &s.Regions }),
	KindDomain:   newTable(1, func(s *State) *map[string]Domain { return &s.Domains }),
	KindLink:     newTable(2, func(s *State) *map[string]Link { return &s.Links }),
	KindService:  newTable(1, func(s *State) *map[string]Service { return &s.Services }),
	KindUpstream: newTable(1, func(s *State) *map[string]Upstream { return &s.Upstreams }),
	KindWeight:   newTable(2, func(s *State) *map[string]Weight { return &s.Weights }),
	KindShift:    newTable(1, func(s *State) *map[string]Shift { return &s.Shifts }),
	KindDrain:    newTable(2, func(s *State) *map[string]Drain { return &s.Drains }),
	KindBlocks:   newTable(1, func(s *State) *map[string]Blocks { return &s.Blocks }),
	KindPolicy:   newTable(1, func(s *State) *map[string]Policy { return &s.Policies }),
}

func newTable[T object](names int, field func(s *State) *map[string]T) table {
	return table{
		names: names,
		blank: func() any { return new(T) },
		clone: func(s *State) {
			m := maps.Clone(*field(s))
			if m == nil {
				m = map[string]T{}
			}
			*field(s) = m
		},
		put: func(s *State, name string, raw json.RawMessage) error {
			var o T
			if err := decodeStrict(raw, &o); err != nil {
				return err
			}
			(*field(s))[name] = o
			return nil
		},
		remove: func(s *State, name string) { delete(*field(s), name) },
		get: func(s *State, name string) (any, bool) {
			o, ok := (*field(s))[name]
			return o, ok
		},
		each: func(s *State, visit func(name string, o object)) {
			for name, o := range *field(s) {
				visit(name, o)
			}
		},
	}
}

// decodeStrict reads one JSON value and refuses unknown keys.
func decodeStrict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value")
	}
	return nil
}

const maxName = 63

// SplitKey returns the kind and the name of an object key, and whether the key
// is well formed. The name of a link, weight or drain has two parts.
func SplitKey(key string) (kind, name string, ok bool) {
	kind, name, _ = strings.Cut(key, "/")
	t, known := tables[kind]
	if !known {
		return kind, name, false
	}
	parts := strings.Split(name, "/")
	if len(parts) != t.names {
		return kind, name, false
	}
	for _, part := range parts {
		if !validName(part) {
			return kind, name, false
		}
	}
	return kind, name, true
}

// validName accepts lower-case letters, digits and inner hyphens.
func validName(name string) bool {
	if name == "" || len(name) > maxName || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
