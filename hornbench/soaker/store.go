// Package soaker runs real hornplatform processes between stand-ins of the
// users' platform, injects faults from outside of them by a seed, and checks
// what callers and upstreams see.
package soaker

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historySize is the number of changes that the store keeps.
	historySize = 400
	// staleTime is how old the answer to a stale read is.
	staleTime = 2 * time.Second
)

// object is one object of the store.
type object struct {
	Metadata struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"metadata"`
	Spec json.RawMessage `json:"spec"`
}

// change is one entry of the store's history.
type change struct {
	kind    string
	object  object
	deleted bool
}

// Store is a stand-in for the platform's store: objects by kind and name,
// conditional writes, lists and watches. Its zero value is not ready for use.
type Store struct {
	mu       sync.Mutex
	objects  map[string]map[string]object
	history  []change
	base     uint64
	revision uint64
	wake     chan struct{}
	mode     storeMode
	calls    int
	// era counts the returns from a copy.
	era  int
	copy *copied
	// forgotten is closed when the store forgets the watches that wait.
	forgotten chan struct{}
	// past has the states of the last staleTime and the one before, oldest first.
	past []copied
}

// copied is an earlier state of the store. The store can come back with it, and
// answers stale reads with it.
type copied struct {
	objects  map[string]map[string]object
	revision uint64
	// until is when the next change came.
	until time.Time
}

// storeMode says how the store treats calls of instances.
type storeMode string

const (
	storeUp storeMode = "up"
	// storeBusy refuses calls; nothing is done.
	storeBusy storeMode = "busy"
	// storeLost does what is asked and then closes the connection.
	storeLost storeMode = "lost"
	// storeSlow answers late.
	storeSlow storeMode = "slow"
	// storeSilent never answers the calls that come meanwhile.
	storeSilent storeMode = "silent"
	// storeGarbage sends bytes that are no answer; nothing is done.
	storeGarbage storeMode = "garbage"
)

// slowTime is how late a slow store answers.
const slowTime = 300 * time.Millisecond

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]map[string]object{}, revision: 1, base: 1, wake: make(chan struct{}), forgotten: make(chan struct{}), mode: storeUp, era: 1}
}

// SetMode changes how calls of instances are treated.
func (s *Store) SetMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.base = nil, s.revision
	s.signal()
}

// Save copies what the store has.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = &copied{objects: cloneObjects(s.objects), revision: s.revision}
}

// Forget makes the store forget the watches that wait, which are never answered.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.forgotten)
	s.forgotten = make(chan struct{})
}

// keepPast keeps the state before a change, for stale reads. The store is locked.
func (s *Store) keepPast() {
	now := time.Now()
	s.past = append(s.past, copied{cloneObjects(s.objects), s.revision, now})
	for now.Sub(s.past[0].until) > staleTime {
		s.past = s.past[1:]
	}
}

// Restore takes the store back to its copy, as if nothing had been written since.
// Revisions are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepPast()
	s.objects, s.revision = cloneObjects(s.copy.objects), s.copy.revision
	s.history = slices.DeleteFunc(s.history, func(c change) bool { return c.object.Metadata.Revision > s.revision })
	s.base = min(s.base, s.revision)
	s.era++
	s.signal()
}

func cloneObjects(all map[string]map[string]object) map[string]map[string]object {
	c := map[string]map[string]object{}
	for kind, objects := range all {
		c[kind] = maps.Clone(objects)
	}
	return c
}

// Names lists the objects of a kind.
func (s *Store) Names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.objects[kind]))
}

// Put writes an object as the operator or an upstream does, unaffected by the
// mode.
func (s *Store) Put(kind, name string, spec any) error {
	data, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
	return nil
}

// Heartbeat writes the registration of an upstream, unless it differs from the
// current one only by its count.
func (s *Store) Heartbeat(id string, spec map[string]any) error {
	s.mu.Lock()
	old, exists := s.objects["servers"][id]
	s.mu.Unlock()
	if exists {
		var known map[string]any
		if err := json.Unmarshal(old.Spec, &known); err != nil {
			return err
		}
		if fmt.Sprint(known["state"], known["born"]) == fmt.Sprint(spec["state"], float64(spec["born"].(int64))) {
			return nil
		}
	}
	return s.Put("servers", id, spec)
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.keepPast()
	delete(s.objects[kind], name)
	s.note(change{kind, o, true})
}

func (s *Store) write(kind, name string, spec json.RawMessage) object {
	s.keepPast()
	var o object
	o.Metadata.Name, o.Spec = name, spec
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o.Metadata.Revision = s.revision + 1
	s.objects[kind][name] = o
	s.note(change{kind, o, false})
	return o
}

// note appends a change to the history. The store is locked.
func (s *Store) note(c change) {
	s.revision++
	c.object.Metadata.Revision = s.revision
	s.history = append(s.history, c)
	if n := len(s.history) - historySize; n > 0 {
		s.base = s.history[n-1].object.Metadata.Revision
		s.history = s.history[n:]
	}
	s.signal()
}

func (s *Store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// Era counts the returns from a copy.
func (s *Store) Era() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Calls is the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode, calls := s.mode, s.calls
	s.mu.Unlock()
	switch mode {
	case storeBusy:
		w.Header().Set("Store-Era", strconv.Itoa(s.Era()))
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	case storeSlow:
		time.Sleep(slowTime)
	case storeSilent:
		<-r.Context().Done()
		return
	case storeGarbage:
		writeGarbage(w, strconv.Itoa(calls), "")
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	status, body, era := s.serveInEra(r, kind, name)
	w.Header().Set("Store-Era", strconv.Itoa(era))
	if mode == storeLost && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_ = json.NewEncoder(w).Encode(body)
}

// serveInEra answers a call and tells the era of the answer. A read that crosses a
// return from a copy is made again, so that it belongs to one era.
func (s *Store) serveInEra(r *http.Request, kind, name string) (status int, body any, era int) {
	for {
		era = s.Era()
		status, body = s.serve(r, kind, name)
		if r.Method != http.MethodGet || s.Era() == era {
			return status, body, era
		}
	}
}

func (s *Store) serve(r *http.Request, kind, name string) (int, any) {
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		return s.watch(r, kind)
	case r.Method == http.MethodGet:
		return s.list(kind, query.Get("after"), query.Get("allowStale") == "1")
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		return s.store(r, kind, name)
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
		return http.StatusOK, nil
	}
	return http.StatusNotFound, nil
}

// list answers a list. A stale one has the state of staleTime ago, also if the store
// has come back from a copy since.
func (s *Store) list(kind, after string, stale bool) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects, revision := s.objects, s.revision
	if stale {
		at := time.Now().Add(-staleTime)
		if n := slices.IndexFunc(s.past, func(c copied) bool { return c.until.After(at) }); n >= 0 {
			objects, revision = s.past[n].objects, s.past[n].revision
		}
	}
	items := []object{}
	for name, o := range objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "currentRev": revision}
}

func (s *Store) store(r *http.Request, kind, name string) (int, any) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][o.Metadata.Name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, old
	case r.Method == http.MethodPut && !exists:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && string(old.Spec) == string(o.Spec):
		return http.StatusOK, old
	}
	if name == "" {
		name = o.Metadata.Name
	}
	return http.StatusOK, s.write(kind, name, o.Spec)
}

func (s *Store) watch(r *http.Request, kind string) (int, any) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := strconv.Atoi(query.Get("waitMs"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	forgotten := s.forgotten
	s.mu.Unlock()
	for {
		events, revision, wake, gone := s.since(kind, from)
		if gone {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "currentRev": revision}
		}
		select {
		case <-forgotten:
			<-r.Context().Done()
			return http.StatusOK, nil
		case <-wake:
		case <-r.Context().Done():
			return http.StatusOK, nil
		case <-timeout:
			return http.StatusOK, map[string]any{"events": []any{}, "currentRev": revision}
		}
	}
}

// since returns the changes of a kind after a revision.
func (s *Store) since(kind string, from uint64) (events []map[string]any, revision uint64, wake chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if from < s.base || from > s.revision {
		return nil, 0, nil, true
	}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Revision > from {
			events = append(events, map[string]any{"object": c.object, "deleted": c.deleted})
		}
	}
	return events, s.revision, s.wake, false
}
