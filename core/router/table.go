package router

// Table is an immutable snapshot of where requests can go.
type Table struct {
	Version  uint64
	Self     string
	Region   string
	Domain   string
	Services map[string]*Service
}

// Tried remembers the places that a request has been to.
type Tried struct {
	targets [4]*Target
	peers   [4]*Peer
	count   int
}

// Add remembers the place of a choice.
func (t *Tried) Add(c Choice) {
	if t.count == len(t.targets) {
		return
	}
	t.targets[t.count] = c.Target
	t.peers[t.count] = c.Peer
	t.count++
}

func (t *Tried) has(target *Target, peer *Peer) bool {
	for i := range t.count {
		if (target != nil && t.targets[i] == target) || (peer != nil && t.peers[i] == peer) {
			return true
		}
	}
	return false
}

// Choose picks a place for the request. On success with a Target, its gate has
// been acquired and the caller releases it.
func (t *Table) Choose(q *Request, now int64, tried *Tried) (Choice, Reason) {
	if now >= q.Deadline {
		return Choice{}, TooLate
	}
	for i := range q.Service.Targets {
		g := &q.Service.Targets[i]
		if !tried.has(g, nil) && g.Gate.Acquire(now) {
			return Choice{Target: g}, Placed
		}
	}
	if q.Hop {
		return Choice{}, Full
	}
	for _, p := range q.Service.Peers {
		if !tried.has(nil, p) && p.Path.Usable(now) && p.Credits[q.Service.Name].Take(now) {
			return Choice{Peer: p}, Placed
		}
	}
	return Choice{}, Full
}
