package granter

import (
	"slices"
	"time"
)

// send runs a function at the receiver, after a delay, unless the message is lost.
func (w *world) send(from, to *node, run func()) {
	w.after(w.delay(), func() {
		if from.group == to.group && from.cut != to && to.cut != from && to.alive && !w.percent(w.loss) {
			run()
		}
	})
}

func (w *world) delay() time.Duration {
	if w.percent(w.slow) {
		return time.Duration(w.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(1+w.rng.IntN(10)) * time.Millisecond
}

func (w *world) answer(n *node, id uint64, f Effect) {
	reply := w.calls[id]
	delete(w.calls, id)
	reply(n, f)
}

func (n *node) request(to string, e func(*node, uint64) Event, reply func(*node, Effect) Event) {
	i := slices.IndexFunc(n.w.nodes, func(o *node) bool { return o.st.Self.Peer == to })
	if i < 0 {
		return
	}
	n.w.lastID++
	id, peer := n.w.lastID, n.w.nodes[i]
	n.w.calls[id] = func(by *node, f Effect) {
		n.w.send(by, n, func() { n.deliver(func() Event { return reply(by, f) }) })
	}
	n.w.send(n, peer, func() { peer.deliver(func() Event { return e(peer, id) }) })
}

func (n *node) heartbeat(f SendHeartbeat) {
	sent, self := n.clock(), n.st.Self
	n.request(f.To, func(to *node, id uint64) Event {
		return HeartbeatReceived{Now: to.clock(), From: self, Call: id, Epoch: f.Epoch, Seen: f.Seen, Held: f.Held}
	}, func(by *node, f Effect) Event {
		a := f.(SendHeartbeatResponse)
		return HeartbeatResponseReceived{
			Sent: sent, Now: n.clock(), From: by.st.Self, Leader: a.Leader, Epoch: a.Epoch,
			Valid: a.Valid, Sequence: a.Sequence, Parts: a.Parts, Quotas: a.Quotas,
		}
	})
}

func (n *node) vote(f SendVoteRequest) {
	sent := n.clock()
	n.request(f.To, func(to *node, id uint64) Event {
		return VoteRequestReceived{Now: to.clock(), Call: id, Candidate: n.st.Self.Name, Epoch: f.Epoch}
	}, func(by *node, f Effect) Event {
		a := f.(SendVoteResponse)
		return VoteResponseReceived{
			Sent: sent, Now: n.clock(), From: by.st.Self.Name, Epoch: a.Epoch, Granted: a.Granted, Valid: a.Valid,
		}
	})
}

func (n *node) read() {
	asked := n.clock()
	n.w.after(n.w.delay(), func() {
		if n.w.down || !n.platform {
			return
		}
		version, lease := n.w.version, n.w.lease
		n.w.after(n.w.delay(), func() {
			n.deliver(func() Event { return LeaseRead{Sent: asked, Now: n.clock(), Version: version, Lease: lease} })
		})
	})
}

func (n *node) list() {
	if n.w.down || !n.platform {
		return
	}
	var names []string
	for _, o := range n.w.nodes {
		t, ok := n.w.absent[o.st.Self.Name]
		if (!ok || n.w.now.Before(t)) && !n.w.now.Before(n.w.named[o.st.Self.Name]) {
			names = append(names, o.st.Self.Name)
		}
	}
	n.w.after(n.w.delay(), func() {
		n.deliver(func() Event { return InstancesListed{Now: n.clock(), Names: names} })
	})
}

func (n *node) write(f WriteLease) {
	asked := n.clock()
	end := func(d time.Duration, r WriteResult, version uint64) {
		n.w.after(d, func() {
			n.deliver(func() Event {
				return WriteCompleted{Sent: asked, Now: n.clock(), Nonce: f.Lease.Nonce, Result: r, Version: version}
			})
		})
	}
	if n.w.percent(n.w.lost) {
		// The answer is lost; the write is lost too, or takes effect, perhaps late.
		end(100*time.Millisecond, WriteUnknown, 0)
		if n.w.percent(n.w.late) {
			n.w.after(time.Duration(n.w.rng.IntN(3000))*time.Millisecond, func() { n.w.update(f) })
		}
		return
	}
	n.w.after(n.w.delay(), func() {
		switch {
		case n.w.down || !n.platform:
			end(time.Second, WriteFailed, 0)
		case n.w.update(f):
			end(n.w.delay(), WriteDone, n.w.version)
		default:
			end(n.w.delay(), WriteConflict, 0)
		}
	})
}

func (w *world) update(f WriteLease) bool {
	if f.Version != w.version || w.down {
		return false
	}
	if f.Lease.Epoch < w.lease.Epoch {
		w.fault("lease epoch fell from %d to %d", w.lease.Epoch, f.Lease.Epoch)
	}
	w.version++
	w.lease = f.Lease
	return true
}
