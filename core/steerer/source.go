package steerer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fewInstances is the size of a system in which every instance reads the
	// store itself. In larger ones readers do, and the others ask them.
	fewInstances = 16
	// readers is the number of instances that read the store.
	readers = 3
	// longWait is how long a call waits for a change if nobody depends on its
	// end; shortWait is the time between two proofs of a reader.
	longWait  = 25 * time.Second
	shortWait = 700 * time.Millisecond
	// proofTime is how long an instance relies on a proof: a reader's wait, the
	// time between two beacons, and a lost one.
	proofTime = 1700 * time.Millisecond
	// fetchTime is how long an answer of another instance is waited for.
	fetchTime = 800 * time.Millisecond
	// behindTime is how long an instance lags behind the readers before it reads
	// the store itself.
	behindTime = time.Second
	// newsTime is the least time between two beacons.
	newsTime = 200 * time.Millisecond
	// lagTime is how long an instance that reads the store itself waits for its
	// own call when another one knows more.
	lagTime = 400 * time.Millisecond
	// firstTime is how long a starting instance waits for the store before it asks
	// others: some times what an answer usually takes.
	firstTime = 300 * time.Millisecond
	// historySize bounds the changes of a kind that are kept for others.
	historySize = 1024
	// sureTime is how long what may be old is not acted on if nobody confirms it.
	sureTime = time.Second
)

// source is where an instance has its knowledge of a kind from.
type source struct {
	// known tells that the objects are known as of some revision.
	known bool
	// at is the point up to which all changes are known.
	at Position
	// turnedAt is when the store was last found to have come back from a copy; 0
	// means never.
	turnedAt int64
	// reading tells that this instance reads the kind from the store itself.
	reading bool
	// once tells that reading ends with a list, listed when one came; 0 means
	// never.
	once   bool
	listed int64
	wait   time.Duration
	// proven is when the store last confirmed what is known here; 0 means never.
	proven int64
	// sure tells that what is known was confirmed since the start and since the
	// last pause of the process; sureBy is when it counts as such anyway.
	sure   bool
	sureBy int64
	// asked is when another instance was last asked; 0 means that no answer is
	// awaited.
	asked int64
	// wanted is the latest point that another instance has proven, behind since
	// when it is not known here; 0 means that it is.
	wanted Position
	behind int64
	// history has the changes since base, oldest first.
	history []change
	base    uint64
}

// change is a change with the revision at which it was known.
type change struct {
	revision uint64
	object   Object
}

// proof is a Proof on the own clock.
type proof struct {
	mark Position
	at   int64
}

func newSources() map[Kind]*source {
	all := map[Kind]*source{}
	for _, k := range Kinds {
		all[k] = &source{}
	}
	return all
}

// waitOf is how long a call waits for a change of a kind. Instances come and go
// rarely, and nothing depends on knowing them at once.
func (s *State) waitOf(k Kind) time.Duration {
	switch {
	case len(s.peers) < fewInstances:
		return longWait
	case k == Instances:
		return 8 * shortWait
	}
	return shortWait
}

// relyOn is how long a proof of a kind counts.
func relyOn(k Kind) time.Duration {
	if k == Instances {
		return 8 * proofTime
	}
	return proofTime
}

// news is what has become known of a kind.
type news struct {
	kind    Kind
	objects []Object
	at      Position
	// whole tells that objects are all there are, confirmed that the store itself
	// has said so just now.
	whole, confirmed bool
}

// advance notes that all changes up to a revision are known.
func (s *State) advance(now int64, n news) []Effect {
	c := s.sources[n.kind]
	if !c.known {
		c.known, c.sureBy, s.dirty = true, now+int64(sureTime), true
	}
	if n.confirmed {
		c.proven = now
		s.confirm(c)
	}
	if n.whole && c.once {
		c.once, c.reading, c.listed = false, false, now
	}
	if n.whole {
		// A list does not say which objects are gone.
		c.base, c.history = n.at.Revision, nil
	} else {
		for _, o := range n.objects {
			c.history = append(c.history, change{n.at.Revision, o})
		}
	}
	if over := len(c.history) - historySize; over > 0 {
		c.base = c.history[over-1].revision
		c.history = append(c.history[:0], c.history[over:]...)
	}
	moved := c.at.Before(n.at) && (n.whole || len(n.objects) > 0)
	if c.at.Before(n.at) {
		// While changes go on, an instance that follows them is never quite there.
		c.at, c.behind = n.at, now
	}
	if !c.at.Before(c.wanted) {
		c.behind = 0
	}
	if !moved || !c.reading || len(s.peers) < fewInstances {
		return nil
	}
	// Tells the others soon that there is something to ask for.
	s.next = min(s.next, max(now, s.sent+int64(newsTime)))
	return nil
}

// confirm notes that what is known of a kind is not old.
func (s *State) confirm(c *source) {
	if !c.sure {
		c.sure, s.dirty = true, true
	}
}

// settle counts as confirmed what nobody has confirmed in time.
func (s *State) settle(now int64) {
	for _, c := range s.sources {
		if c.known && !c.sure && now >= c.sureBy {
			s.confirm(c)
		}
	}
}

// wake doubts all that is known, since the process was paused, and asks for what
// has changed meanwhile.
func (s *State) wake(now int64) (out []Effect) {
	s.dirty = true
	for _, k := range Kinds {
		c := s.sources[k]
		if !c.known {
			continue
		}
		c.sure, c.sureBy = false, now+int64(sureTime)
		if c.reading {
			out = append(out, Watch{Kind: k, Enabled: true, Era: c.at.Era, Revision: c.at.Revision, PollTimeout: c.wait, SlowRetry: !s.isReader(now), Confirm: true})
		}
	}
	return append(out, LogEvent{Type: "paused", Subject: s.Self.Name, Cause: "the process did not run for a while"})
}

// stale tells whether what requests depend on may be old.
func (s *State) stale() bool {
	return !s.sources[Configs].sure || !s.sources[Upstreams].sure || !s.sources[Evacuations].sure
}

// outdated tells whether an answer of the store is older than what other
// instances have told meanwhile.
func (s *State) outdated(k Kind, at Position) bool {
	c := s.sources[k]
	return c.known && at.Before(c.at)
}

// turned tells whether the store has come back from a copy since what is known
// of a kind. Changes do not lead from one era to the next.
func (s *State) turned(k Kind, at Position) bool {
	c := s.sources[k]
	return c.known && at.Era > c.at.Era
}

// assign decides which kinds this instance reads from the store itself.
func (s *State) assign(now int64) (out []Effect) {
	duty := s.isReader(now)
	for _, k := range Kinds {
		c := s.sources[k]
		on, wait := duty || !c.known || !s.covered(now, k), s.waitOf(k)
		if !s.sources[Instances].known {
			// Which instances read is not known yet.
			on = k == Instances && now >= s.listAt
		}
		if on == c.reading && (!on || wait == c.wait) {
			continue
		}
		c.reading, c.wait, c.once = on, wait, on && !duty && !c.known
		out = append(out, Watch{Kind: k, Enabled: on, Era: c.at.Era, Revision: c.revisionToRead(), PollTimeout: wait, ListOnly: c.once, SlowRetry: !duty})
	}
	return out
}

func (c *source) revisionToRead() uint64 {
	if !c.known {
		return 0
	}
	return c.at.Revision
}

// isReader tells whether this instance is one of the readers: the first by rank
// among those that it has heard from lately.
func (s *State) isReader(now int64) bool {
	if len(s.peers) < fewInstances {
		return true
	}
	own, ahead := rank(s.Self.Name), 0
	for _, p := range s.peers {
		if p.near(now) && rank(p.Name) > own {
			ahead++
		}
	}
	return ahead < readers
}

func rank(name string) uint64 { return xxhash.Sum64String("reader " + name) }

// covered tells whether another instance proves fresh knowledge of a kind, which
// is known here as well.
func (s *State) covered(now int64, k Kind) bool {
	if b := s.sources[k].behind; b != 0 && now-b >= int64(behindTime) {
		return false
	}
	if at := s.sources[k].listed; at != 0 && now-at < int64(relyOn(k)) {
		// The readers' first proofs may still be on their way.
		return true
	}
	for _, p := range s.peers {
		if q, ok := p.proofs[k]; ok && now-q.at < int64(relyOn(k)) {
			return true
		}
	}
	return false
}

// prove takes over the proofs of a beacon.
func (p *peer) prove(e BeaconReceived) {
	for k, q := range e.Beacon.Sync {
		if p.proofs == nil {
			p.proofs = map[Kind]proof{}
		}
		p.proofs[k] = proof{Position{q.Era, q.Revision}, e.Now - q.Age*int64(time.Millisecond)}
	}
}

// proofs lists what this instance proves to others.
func (s *State) proofs(now int64) map[Kind]SyncStatus {
	var all map[Kind]SyncStatus
	for k, c := range s.sources {
		if !c.reading || c.proven == 0 {
			continue
		}
		if all == nil {
			all = map[Kind]SyncStatus{}
		}
		all[k] = SyncStatus{Era: c.at.Era, Revision: c.at.Revision, Age: (now - c.proven) / int64(time.Millisecond)}
	}
	return all
}
