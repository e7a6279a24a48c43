package emulator

import (
	"encoding/json"
	"net/http"
	"path"
	"slices"
	"strings"
)

// Fleet is many upstreams with one ledger and one admin handler.
type Fleet struct {
	Ledger    *Ledger
	upstreams []*Upstream
}

// Add adds an upstream; it does not listen until Listen is called.
func (f *Fleet) Add(p Place, b Behavior) *Upstream {
	if f.Ledger == nil {
		f.Ledger = &Ledger{}
	}
	u := NewUpstream(p, b, f.Ledger)
	f.upstreams = append(f.upstreams, u)
	return u
}

// Listen starts all upstreams.
func (f *Fleet) Listen() error {
	for _, u := range f.upstreams {
		if err := u.Listen(); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all upstreams.
func (f *Fleet) Close() {
	for _, u := range f.upstreams {
		u.Close()
	}
}

// Match returns the upstreams whose name matches a pattern as in path.Match.
func (f *Fleet) Match(pattern string) []*Upstream {
	return slices.DeleteFunc(slices.Clone(f.upstreams), func(u *Upstream) bool {
		ok, err := path.Match(pattern, u.Name)
		return !ok || err != nil
	})
}

// Order is the body of POST /control. It applies to the upstreams whose name
// matches Name.
type Order struct {
	Name string `json:"name"`
	// Set holds the fields of Behavior that change.
	Set json.RawMessage `json:"set,omitempty"`
	// Silence makes this many established connections of each upstream silent.
	Silence int `json:"silence,omitempty"`
}

// Account is one upstream in the answer of GET /stats.
type Account struct {
	Place
	Behavior Behavior      `json:"behavior"`
	Count    Count         `json:"count"`
	Busy     int           `json:"busy"`
	Seconds  map[int64]int `json:"seconds"`
}

// Control applies an order and returns how many upstreams it met.
func (f *Fleet) Control(o Order) (int, error) {
	if len(o.Set) > 0 {
		if err := json.Unmarshal(o.Set, &Behavior{}); err != nil {
			return 0, err
		}
	}
	list := f.Match(o.Name)
	for _, u := range list {
		err := u.Change(func(b *Behavior) {
			if len(o.Set) > 0 {
				_ = json.Unmarshal(o.Set, b)
			}
		})
		if err != nil {
			return 0, err
		}
		u.Silence(o.Silence)
	}
	return len(list), nil
}

// Accounts returns the state of all upstreams.
func (f *Fleet) Accounts() []Account {
	runs := map[string][]Run{}
	for _, r := range f.Ledger.Runs() {
		runs[r.Upstream] = append(runs[r.Upstream], r)
	}
	list := make([]Account, len(f.upstreams))
	for i, u := range f.upstreams {
		list[i] = Account{
			Place: u.Place, Behavior: u.Behavior(), Count: u.Count(),
			Busy: u.Busy(), Seconds: Seconds(runs[u.Name]),
		}
	}
	return list
}

// Busy returns the number of requests in flight.
func (u *Upstream) Busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.flights)
}

// Handler serves POST /control, GET /ledger (optionally ?upstream=<pattern>)
// and GET /stats.
func (f *Fleet) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control", f.serveControl)
	mux.HandleFunc("GET /ledger", f.serveLedger)
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, f.Accounts()) })
	return mux
}

func (f *Fleet) serveControl(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, err := f.Control(o)
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case n == 0:
		http.Error(w, "no such upstream", http.StatusNotFound)
	default:
		reply(w, http.StatusOK, map[string]int{"upstreams": n})
	}
}

func (f *Fleet) serveLedger(w http.ResponseWriter, r *http.Request) {
	runs := f.Ledger.Runs()
	if pattern := r.URL.Query().Get("upstream"); pattern != "" {
		runs = slices.DeleteFunc(runs, func(r Run) bool {
			ok, _ := path.Match(strings.TrimSpace(pattern), r.Upstream)
			return !ok
		})
	}
	reply(w, http.StatusOK, runs)
}
