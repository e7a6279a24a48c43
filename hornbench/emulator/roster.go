package emulator

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// move is one change of the instance list.
type move struct {
	at       time.Time
	instance Instance
	removed  bool
}

// roster is the instance list. It answers with the state of some time ago.
type roster struct {
	mu    sync.Mutex
	moves []move
}

func (r *roster) add(m move) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves = append(r.moves, m)
}

// at returns the list as it was at a time, ordered by name.
func (r *roster) at(t time.Time) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := map[string]Instance{}
	for _, m := range r.moves {
		switch {
		case m.at.After(t):
		case m.removed:
			delete(known, m.instance.Name)
		default:
			known[m.instance.Name] = m.instance
		}
	}
	list := make([]Instance, 0, len(known))
	for _, i := range known {
		list = append(list, i)
	}
	slices.SortFunc(list, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}
