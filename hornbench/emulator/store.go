// Package emulator stands in for what surrounds the system: the platform's
// object API and the upstreams, both with fault switches.
package emulator

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
)

// pageSize is the largest number of objects in one list answer.
const pageSize = 1000

// Object is one object of the platform's store.
type Object struct {
	Key string `json:"key"`
	// Version is the store revision of the last write.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// List is the answer to list and watch calls. Objects are ordered by key.
type List struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
	// More tells that the list goes on after the last key. Watches are not cut.
	More bool `json:"more,omitempty"`
}

// store holds objects under one increasing revision.
type store struct {
	mu       sync.Mutex
	objects  map[string]Object
	revision uint64
	// old is what reads see while they are stale; nil otherwise.
	old map[string]Object
	// news is closed and replaced at every change.
	news chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]Object{}, news: make(chan struct{})}
}

// wake ends all waits, also when only the faults have changed.
func (s *store) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

// freeze makes reads answer from the present state until it is lifted.
func (s *store) freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !on:
		s.old = nil
	case s.old == nil:
		s.old = maps.Clone(s.objects)
	}
	s.wake()
}

// put writes under the condition that the key's present version is base, where
// 0 means absent. On a mismatch it returns the current object and false.
func (s *store) put(key string, base uint64, value []byte) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[key]
	if o.Version != base {
		return o, false
	}
	s.revision++
	o = Object{Key: key, Version: s.revision, Value: value}
	s.objects[key] = o
	s.wake()
	return o, true
}

func (s *store) visible() map[string]Object {
	if s.old != nil {
		return s.old
	}
	return s.objects
}

func (s *store) get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.visible()[key]
	return o, ok
}

func (s *store) list(prefix, after string) List {
	l := s.collect(func(o Object) bool { return strings.HasPrefix(o.Key, prefix) && o.Key > after })
	if len(l.Objects) > pageSize {
		l.Objects, l.More = l.Objects[:pageSize], true
	}
	return l
}

// since lists what was written after a revision, and returns the channel that
// is closed at the next change.
func (s *store) since(prefix string, revision uint64) (List, <-chan struct{}) {
	s.mu.Lock()
	news := s.news
	s.mu.Unlock()
	return s.collect(func(o Object) bool { return o.Version > revision && strings.HasPrefix(o.Key, prefix) }), news
}

func (s *store) collect(match func(Object) bool) List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := List{Objects: []Object{}}
	for _, o := range s.visible() {
		l.Revision = max(l.Revision, o.Version)
		if match(o) {
			l.Objects = append(l.Objects, o)
		}
	}
	slices.SortFunc(l.Objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return l
}
