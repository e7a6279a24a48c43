package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"strings"
)

// object is a configuration object that validates its own fields.
type object interface {
	check(report reportFunc)
}

// objectKind gives access to the objects of one kind in a state.
type objectKind struct {
	// nameParts is the number of names after the kind in a key.
	nameParts int
	newObject func() any
	clone     func(s *State)
	put       func(s *State, name string, raw json.RawMessage) error
	remove    func(s *State, name string)
	get       func(s *State, name string) (any, bool)
	forEach   func(s *State, visit func(name string, o object))
}

var objectKinds = map[string]objectKind{
	KindRegion:   newObjectKind(1, func(s *State) *map[string]Region { return &s.Regions }),
	KindDomain:   newObjectKind(1, func(s *State) *map[string]Domain { return &s.Domains }),
	KindLink:     newObjectKind(2, func(s *State) *map[string]Link { return &s.Links }),
	KindService:  newObjectKind(1, func(s *State) *map[string]Service { return &s.Services }),
	KindUpstream: newObjectKind(1, func(s *State) *map[string]Upstream { return &s.Upstreams }),
	KindWeight:   newObjectKind(2, func(s *State) *map[string]Weight { return &s.Weights }),
	KindShift:    newObjectKind(1, func(s *State) *map[string]Shift { return &s.Shifts }),
	KindDrain:    newObjectKind(2, func(s *State) *map[string]Drain { return &s.Drains }),
	KindBlocks:   newObjectKind(1, func(s *State) *map[string]Blocks { return &s.Blocks }),
	KindPolicy:   newObjectKind(1, func(s *State) *map[string]Policy { return &s.Policies }),
}

func newObjectKind[T object](names int, field func(s *State) *map[string]T) objectKind {
	return objectKind{
		nameParts: names,
		newObject: func() any { return new(T) },
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
		forEach: func(s *State, visit func(name string, o object)) {
			for name, o := range *field(s) {
				visit(name, o)
			}
		},
	}
}

// decodeStrict decodes one JSON value and rejects unknown keys.
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

const maxNameLength = 63

// SplitKey returns the kind and the name of an object key, and whether the key
// is well formed. The name of a link, weight or drain has two parts.
func SplitKey(key string) (kind, name string, ok bool) {
	kind, name, _ = strings.Cut(key, "/")
	t, known := objectKinds[kind]
	if !known {
		return kind, name, false
	}
	parts := strings.Split(name, "/")
	if len(parts) != t.nameParts {
		return kind, name, false
	}
	for _, part := range parts {
		if !validName(part) {
			return kind, name, false
		}
	}
	return kind, name, true
}

// validName reports whether name has only lower-case letters, digits and inner
// hyphens, and at most maxNameLength of them.
func validName(name string) bool {
	if name == "" || len(name) > maxNameLength || name[0] == '-' || name[len(name)-1] == '-' {
		return false
	}
	for _, c := range []byte(name) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
