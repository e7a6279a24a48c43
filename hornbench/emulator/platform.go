package emulator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform.
const (
	valueBytes = 1 << 20
	// watchLimit bounds how long a watch may wait.
	watchLimit = time.Minute
)

// Faults are the platform's fault switches. Durations are in milliseconds.
type Faults struct {
	// Down closes the connection of every call without an answer.
	Down bool `json:"down"`
	// Hang leaves every call without an answer until it is lifted.
	Hang bool `json:"hang"`
	// Slow delays every answer.
	Slow int64 `json:"slow"`
	// Lose is the number of writes still to come that take effect but are not
	// answered.
	Lose int `json:"lose"`
	// Stale lets reads answer with the state at the time it was switched on.
	Stale bool `json:"stale"`
	// Lag is the age of the instance list.
	Lag int64 `json:"lag"`
}

// Platform is a stand-in for the platform's object API. Its handler serves the
// API and the fault switches at /v1/faults and /v1/calls.
type Platform struct {
	store  *store
	roster roster
	mux    *http.ServeMux

	mu     sync.Mutex
	faults Faults
	calls  map[string]int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{store: newStore(), calls: map[string]int{}, mux: http.NewServeMux()}
	p.handle("GET /v1/objects/{key...}", "get", p.get)
	p.handle("PUT /v1/objects/{key...}", "put", p.put)
	p.handle("GET /v1/objects", "list", p.list)
	p.handle("GET /v1/watch", "watch", p.watch)
	p.handle("GET /v1/instances", "instances", p.instances)
	p.handle("PUT /v1/instances/{name}", "register", p.register)
	p.handle("DELETE /v1/instances/{name}", "remove", p.remove)
	p.mux.HandleFunc("POST /v1/faults", p.setFaults)
	p.mux.HandleFunc("GET /v1/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, p.Calls()) })
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Set replaces the fault switches.
func (p *Platform) Set(f Faults) {
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
	p.store.freeze(f.Stale)
}

// Faults returns the fault switches.
func (p *Platform) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Calls counts the calls since the start by kind, those that met a fault too.
func (p *Platform) Calls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := map[string]int{"total": 0}
	for k, v := range p.calls {
		n[k] = v
		n["total"] += v
	}
	return n
}

func (p *Platform) handle(pattern, kind string, h http.HandlerFunc) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[kind]++
		p.mu.Unlock()
		p.endure(r)
		h(w, r)
	})
}

// endure applies the switches that concern every call.
func (p *Platform) endure(r *http.Request) {
	f := p.Faults()
	if f.Hang {
		p.hang(r)
	}
	if f.Down {
		panic(http.ErrAbortHandler)
	}
	if f.Slow > 0 {
		pause(r, time.Duration(f.Slow)*time.Millisecond)
	}
}

// hang waits until the switch is lifted or the caller closes, and then closes
// the connection.
func (p *Platform) hang(r *http.Request) {
	for p.Faults().Hang {
		_, news := p.store.since("", 0)
		if !p.Faults().Hang {
			break
		}
		select {
		case <-news:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	panic(http.ErrAbortHandler)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	f := p.Faults()
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(f)
	reply(w, http.StatusOK, f)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	o, ok := p.store.get(r.PathValue("key"))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	base, err := condition(r)
	if err != nil {
		http.Error(w, "neither create nor version is given", http.StatusBadRequest)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, valueBytes))
	if err != nil {
		http.Error(w, "the value is larger than 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	if !json.Valid(value) {
		http.Error(w, "the value is not JSON", http.StatusBadRequest)
		return
	}
	o, ok := p.store.put(r.PathValue("key"), base, value)
	if ok && p.loses() {
		panic(http.ErrAbortHandler)
	}
	switch {
	case ok:
		reply(w, http.StatusOK, map[string]any{"key": o.Key, "version": o.Version})
	case o.Version == 0:
		http.Error(w, "no such object", http.StatusNotFound)
	default:
		reply(w, http.StatusConflict, o)
	}
}

// condition reads the version that the object must have; 0 means absent.
func condition(r *http.Request) (uint64, error) {
	q := r.URL.Query()
	if q.Get("create") == "1" {
		return 0, nil
	}
	return strconv.ParseUint(q.Get("version"), 10, 64)
}

func (p *Platform) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Lose == 0 {
		return false
	}
	p.faults.Lose--
	return true
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	reply(w, http.StatusOK, p.store.list(q.Get("prefix"), q.Get("after")))
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil && q.Get("after") != "" {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	wait, _ := strconv.ParseInt(q.Get("wait"), 10, 64)
	end := time.NewTimer(min(time.Duration(wait)*time.Millisecond, watchLimit))
	defer end.Stop()
	for {
		l, news := p.store.since(q.Get("prefix"), after)
		if f := p.Faults(); f.Down || f.Hang {
			p.endure(r)
		}
		if len(l.Objects) > 0 {
			reply(w, http.StatusOK, l)
			return
		}
		select {
		case <-news:
		case <-end.C:
			reply(w, http.StatusOK, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) instances(w http.ResponseWriter, _ *http.Request) {
	lag := time.Duration(p.Faults().Lag) * time.Millisecond
	reply(w, http.StatusOK, p.roster.at(time.Now().Add(-lag)))
}

func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
	i := Instance{State: "live"}
	if err := json.NewDecoder(r.Body).Decode(&i); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if i.State != "live" && i.State != "leaving" {
		http.Error(w, "the state is neither live nor leaving", http.StatusBadRequest)
		return
	}
	i.Name = r.PathValue("name")
	p.roster.add(move{at: time.Now(), instance: i})
	reply(w, http.StatusOK, i)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.Remove(r.PathValue("name"))
	reply(w, http.StatusOK, struct{}{})
}

// Remove takes an instance from the list, as the platform does when it notices
// that a process has died.
func (p *Platform) Remove(name string) {
	p.roster.add(move{at: time.Now(), instance: Instance{Name: name}, removed: true})
}

// pause waits for a time or until the caller closes the connection.
func pause(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
