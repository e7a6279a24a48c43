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

type metadata struct {
	Name          string   `json:"name"`
	Revision      uint64   `json:"revision"`
	Created       uint64   `json:"created"`
	Finalizers    []string `json:"finalizers"`
	DeletePending bool     `json:"deletePending"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is the platform's metadata store as PROTOCOL.md describes it, without limits of rate.
// It keeps all of its history.
type store struct {
	address string

	mu      sync.Mutex
	rev     uint64
	kinds   map[string]map[string]object
	changes []change
	news    chan struct{}
}

func newStore() *store {
	return &store{rev: 10, kinds: map[string]map[string]object{}, news: make(chan struct{})}
}

func (s *store) listen() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return nil
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.kinds[kind][name]; ok {
		delete(s.kinds[kind], name)
		s.log(change{kind, o, true})
	}
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	old, ok := s.kinds[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	o := object{Metadata: metadata{Name: name, Revision: s.rev + 1, Created: s.rev + 1, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.log(change{kind, o, false})
	return o
}

func (s *store) log(c change) {
	s.rev++
	c.Object.Metadata.Revision = s.rev
	s.changes = append(s.changes, c)
	close(s.news)
	s.news = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	status, body := http.StatusOK, any(nil)
	switch q := r.URL.Query(); {
	case r.Method == http.MethodGet && q.Has("watch"):
		body = s.watch(r, kind)
	case r.Method == http.MethodGet && name == "":
		body = s.list(kind, q.Get("after"))
	default:
		status, body = s.change(r, kind, name)
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) list(kind, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.kinds[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return map[string]any{"items": items, "hasMore": false, "currentRev": s.rev}
}

func (s *store) watch(r *http.Request, kind string) any {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev, news := []change{}, s.rev, s.news
		for _, c := range s.changes {
			if c.kind == kind && c.Object.Metadata.Revision > from {
				events = append(events, c)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "currentRev": rev}
		if len(events) > 0 {
			return answer
		}
		select {
		case <-news:
		case <-end:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}

func (s *store) change(r *http.Request, kind, name string) (int, any) {
	var o object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			return http.StatusBadRequest, nil
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, ok := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		return http.StatusConflict, old
	case r.Method != http.MethodPost && !ok:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, old
	case r.Method == http.MethodDelete:
		delete(s.kinds[kind], name)
		s.log(change{kind, old, true})
		return http.StatusOK, old
	case o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision && ok:
		return http.StatusConflict, old
	}
	return http.StatusOK, s.write(kind, name, o.Spec)
}

// spec returns the spec of an object.
func (s *store) spec(kind, name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kinds[kind][name].Spec
}
