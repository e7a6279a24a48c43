package reducer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
)

const (
	// gossipFanout is the number of other failure domains that a leader asks
	// for newer views in each heartbeat interval. Views spread transitively, so
	// it need not grow with the number of domains.
	gossipFanout = 2
	// leaderResponseTimeout is the time without a heartbeat response after which
	// a member gossips with other failure domains itself.
	leaderResponseTimeout = 2 * time.Second
)

// Gossip is the state of the gossip between failure domains.
type Gossip struct {
	// NextRound is the time of the next round.
	NextRound time.Time
	// LastLeaderResponse is the time of the last response of the leader of the
	// instance's own domain.
	LastLeaderResponse time.Time
	// NextTarget counts targets for round-robin selection.
	NextTarget int
	// Unreachable holds the addresses whose last request failed.
	Unreachable map[string]bool
}

// gossip asks other failure domains for newer views. Leaders do so for their
// domain, members only while they get no response from their leader.
func (s *State) gossip() {
	if s.now.Before(s.Gossip.NextRound) {
		return
	}
	s.Gossip.NextRound = s.now.Add(granter.HeartbeatInterval)
	if !s.Granter.Leading && s.now.Before(s.Gossip.LastLeaderResponse.Add(leaderResponseTimeout)) {
		return
	}
	targets := s.targets()
	for range min(gossipFanout, len(targets)) {
		to := targets[s.Gossip.NextTarget%len(targets)]
		s.Gossip.NextTarget++
		s.emit(Send{To: to, Request: s.request(granter.SendHeartbeat{})})
	}
}

// targets returns one address for each other failure domain, and the seeds as
// long as some of them are not known as members.
func (s *State) targets() []string {
	var targets []string
	known := map[string]bool{s.Self.Peer: true}
	for _, d := range sortedKeys(s.Views) {
		v := s.Views[d]
		for _, m := range v.Members {
			known[m.Peer] = true
		}
		if d == s.Self.Domain {
			continue
		}
		if to := s.contact(v); to != "" {
			targets = append(targets, to)
		}
	}
	for _, seed := range s.Seeds {
		if !known[seed] {
			targets = append(targets, seed)
		}
	}
	return targets
}

// contact returns the address of the domain's leader, or of another member
// when the leader did not answer.
func (s *State) contact(v granter.View) string {
	var to string
	for _, m := range v.Members {
		if m.Name == v.Leader && !s.Gossip.Unreachable[m.Peer] {
			return m.Peer
		}
		if to == "" || s.Gossip.Unreachable[to] {
			to = m.Peer
		}
	}
	return to
}

func (s *State) request(h granter.SendHeartbeat) Request {
	return Request{
		From:    s.Self,
		Epoch:   h.Epoch,
		Seen:    h.Seen,
		Held:    h.Held,
		Config:  s.Follower.Config.Version,
		Views:   s.viewVersions(),
		Signals: s.sortedSignals(),
		Clock:   s.Clock.Now(s.now),
	}
}

func (s *State) viewVersions() []ViewVersion {
	versions := make([]ViewVersion, 0, len(s.Views))
	for _, v := range sortedValues(s.Views) {
		versions = append(versions, ViewVersion{
			Domain:   v.Domain,
			Epoch:    v.Epoch,
			Sequence: v.Sequence,
			Age:      s.now.Sub(s.LastHeard[v.Domain]),
		})
	}
	return versions
}

func (s *State) sortedSignals() []observer.Signaled {
	return slices.SortedFunc(maps.Values(s.Signals), compareSignals)
}

func (s *State) requestReceived(e RequestReceived) {
	s.now = e.Now
	q := e.Request
	s.Clock.Update(q.Clock)
	s.updateLastHeard(q.From.Domain, q.Views)
	own := q.From.Domain == s.Self.Domain
	var heartbeat granter.SendHeartbeatResponse
	if own {
		heartbeat = s.heartbeat(e)
		s.mergeSignals(q.Signals)
	}
	s.performFollower(s.Follower.Step(follower.PeerSeen{Now: e.Now, Peer: q.From.Peer, Version: q.Config}))
	r := Response{
		From:     s.Self,
		Leader:   heartbeat.Leader,
		Epoch:    heartbeat.Epoch,
		Valid:    heartbeat.Valid,
		Sequence: heartbeat.Sequence,
		Parts:    heartbeat.Parts,
		Quotas:   heartbeat.Quotas,
		Config:   s.Follower.Config.Version,
		Views:    s.newerViews(q.Views),
		Heard:    s.viewVersions(),
		Clock:    s.Clock.Now(s.now),
	}
	if own {
		r.Signals = s.sortedSignals()
	}
	s.emit(Answer{Call: e.Call, Response: r})
}

// heartbeat passes a heartbeat to the granter and returns its answer.
func (s *State) heartbeat(e RequestReceived) (answer granter.SendHeartbeatResponse) {
	effects := s.Granter.Step(granter.HeartbeatReceived{
		Now:   e.Now,
		From:  e.Request.From,
		Call:  e.Call,
		Epoch: e.Request.Epoch,
		Seen:  e.Request.Seen,
		Held:  e.Request.Held,
	})
	others := make([]granter.Effect, 0, len(effects))
	for _, effect := range effects {
		if a, ok := effect.(granter.SendHeartbeatResponse); ok && a.Call == e.Call {
			answer = a
			continue
		}
		others = append(others, effect)
	}
	s.performGranter(others)
	return answer
}

// newerViews returns the views that are newer than those of the peer.
func (s *State) newerViews(versions []ViewVersion) []granter.View {
	has := map[string]ViewVersion{}
	for _, v := range versions {
		has[v.Domain] = v
	}
	var views []granter.View
	for _, v := range sortedValues(s.Views) {
		if isNewer(v, has[v.Domain].Epoch, has[v.Domain].Sequence) {
			views = append(views, v)
		}
	}
	return views
}

func isNewer(v granter.View, epoch, sequence uint64) bool {
	if v.Epoch != epoch {
		return v.Epoch > epoch
	}
	return v.Sequence > sequence
}

// mergeView stores the view if it is newer than the current one.
func (s *State) mergeView(v granter.View) {
	old, ok := s.Views[v.Domain]
	if ok && !isNewer(v, old.Epoch, old.Sequence) {
		return
	}
	s.Views[v.Domain] = v
	s.changed = true
	if v.Domain == s.Self.Domain {
		s.addPeers(v)
	}
}

// addPeers tells the granter the addresses of the other members, so that it finds
// the leader without the platform.
func (s *State) addPeers(v granter.View) {
	var peers []string
	for _, m := range v.Members {
		if m.Name != s.Self.Name {
			peers = append(peers, m.Peer)
		}
	}
	s.performGranter(s.Granter.Step(granter.SeedsChanged{Now: s.now, Peers: peers}))
}

func (s *State) responseReceived(e ResponseReceived) {
	s.now = e.Now
	r := e.Response
	s.Clock.Update(r.Clock)
	s.updateLastHeard(r.From.Domain, r.Heard)
	if s.Gossip.Unreachable[e.To] {
		delete(s.Gossip.Unreachable, e.To)
		s.record(recorder.Event{Kind: recorder.KindRecovered, Peer: r.From.Name, Cause: "answers again"})
	}
	if r.From.Domain == s.Self.Domain {
		s.heartbeatAnswered(e)
		s.mergeSignals(r.Signals)
	}
	for _, v := range r.Views {
		s.mergeView(v)
	}
	s.performFollower(s.Follower.Step(follower.PeerSeen{Now: e.Now, Peer: r.From.Peer, Version: r.Config}))
}

func (s *State) heartbeatAnswered(e ResponseReceived) {
	r := e.Response
	if r.Leader == r.From.Name {
		s.Gossip.LastLeaderResponse = e.Now
	}
	s.performGranter(s.Granter.Step(granter.HeartbeatResponseReceived{
		Sent:     e.Sent,
		Now:      e.Now,
		From:     r.From,
		Leader:   r.Leader,
		Epoch:    r.Epoch,
		Valid:    r.Valid,
		Sequence: r.Sequence,
		Parts:    r.Parts,
		Quotas:   r.Quotas,
	}))
}

func (s *State) sendFailed(e SendFailed) {
	s.now = e.Now
	if !s.Gossip.Unreachable[e.To] {
		s.Gossip.Unreachable[e.To] = true
		s.record(recorder.Event{Kind: recorder.KindLost, Peer: e.To, Cause: "no answer"})
	}
	s.performGranter(s.Granter.Step(granter.HeartbeatFailed{Now: e.Now, To: e.To}))
}

func (s *State) mergeSignals(signals []observer.Signaled) {
	for _, g := range signals {
		s.mergeSignal(g)
	}
}

func compareSignals(a, b observer.Signaled) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Source, b.Source))
}
