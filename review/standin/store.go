package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store as PROTOCOL.md describes it.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type event struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Deleted  bool   `json:"deleted"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []event
	revision uint64
	changed  chan struct{}
	// down makes the store refuse all calls of the system with 503.
	down bool
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, revision: 1, changed: make(chan struct{})}
}

func (s *store) serve(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, s) }()
	return nil
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// put writes an object as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.note(kind, o, true)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	var o object
	o.Metadata.Name, o.Spec = name, spec
	if old, ok := s.objects[kind][name]; ok && string(old.Spec) == string(spec) {
		return old
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o.Metadata.Revision = s.revision + 1
	s.objects[kind][name] = o
	s.note(kind, o, false)
	return o
}

func (s *store) note(kind string, o object, deleted bool) {
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, event{kind, s.revision, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	status, body := s.call(r, kind, name)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) call(r *http.Request, kind, name string) (int, any) {
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		return s.watch(r, kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		return s.list(kind, r.URL.Query().Get("after"))
	case http.MethodDelete:
		if exists {
			delete(s.objects[kind], name)
			s.note(kind, old, true)
		}
		return http.StatusOK, old
	}
	var o object
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		return http.StatusBadRequest, nil
	}
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
		if old, exists = s.objects[kind][name]; exists {
			return http.StatusConflict, old
		}
	} else if !exists {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, s.write(kind, name, o.Spec)
}

func (s *store) list(kind, after string) (int, any) {
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": s.revision}
}

func (s *store) watch(r *http.Request, kind string) (int, any) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "currentRev": revision}
		if len(events) > 0 {
			return http.StatusOK, answer
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, answer
		case <-r.Context().Done():
			return http.StatusOK, answer
		}
	}
}
