package granter

import (
	"slices"
	"time"
)

// send runs a function at the receiver after a delay, unless the message is lost.
func (c *testCluster) send(from, to *node, run func()) {
	c.after(c.delay(), func() {
		if from.partition == to.partition && from.unreachablePeer != to && to.unreachablePeer != from && to.alive && !c.percent(c.messageLossPercent) {
			run()
		}
	})
}

func (c *testCluster) delay() time.Duration {
	if c.percent(c.slowMessagePercent) {
		return time.Duration(c.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(1+c.rng.IntN(10)) * time.Millisecond
}

func (c *testCluster) respond(n *node, id uint64, f Effect) {
	reply := c.pendingReplies[id]
	delete(c.pendingReplies, id)
	reply(n, f)
}

func (n *node) request(to string, e func(*node, uint64) Event, reply func(*node, Effect) Event) {
	i := slices.IndexFunc(n.cluster.nodes, func(o *node) bool { return o.state.Self.Peer == to })
	if i < 0 {
		return
	}
	n.cluster.lastCall++
	id, peer := n.cluster.lastCall, n.cluster.nodes[i]
	n.cluster.pendingReplies[id] = func(by *node, f Effect) {
		n.cluster.send(by, n, func() { n.deliver(func() Event { return reply(by, f) }) })
	}
	n.cluster.send(n, peer, func() { peer.deliver(func() Event { return e(peer, id) }) })
}

func (n *node) sendHeartbeat(f SendHeartbeat) {
	sent, self := n.clock(), n.state.Self
	n.request(f.To, func(to *node, id uint64) Event {
		return HeartbeatReceived{Now: to.clock(), From: self, Call: id, Epoch: f.Epoch, Seen: f.Seen, Held: f.Held}
	}, func(by *node, f Effect) Event {
		a := f.(SendHeartbeatResponse)
		return HeartbeatResponseReceived{
			Sent: sent, Now: n.clock(), From: by.state.Self, Leader: a.Leader, Epoch: a.Epoch,
			Valid: a.Valid, Sequence: a.Sequence, Parts: a.Parts, Quotas: a.Quotas,
		}
	})
}

func (n *node) sendVoteRequest(f SendVoteRequest) {
	sent := n.clock()
	n.request(f.To, func(to *node, id uint64) Event {
		return VoteRequestReceived{Now: to.clock(), Call: id, Candidate: n.state.Self.Name, Epoch: f.Epoch}
	}, func(by *node, f Effect) Event {
		a := f.(SendVoteResponse)
		return VoteResponseReceived{
			Sent: sent, Now: n.clock(), From: by.state.Self.Name, Epoch: a.Epoch, Granted: a.Granted, Valid: a.Valid,
		}
	})
}

func (n *node) readLease() {
	asked := n.clock()
	n.cluster.after(n.cluster.delay(), func() {
		if n.cluster.platformDown || !n.platformReachable {
			return
		}
		version, lease := n.cluster.version, n.cluster.lease
		n.cluster.after(n.cluster.delay(), func() {
			n.deliver(func() Event { return LeaseRead{Sent: asked, Now: n.clock(), Version: version, Lease: lease} })
		})
	})
}

func (n *node) listInstances() {
	if n.cluster.platformDown || !n.platformReachable {
		return
	}
	var names []string
	for _, o := range n.cluster.nodes {
		t, ok := n.cluster.unlistedFrom[o.state.Self.Name]
		if (!ok || n.cluster.now.Before(t)) && !n.cluster.now.Before(n.cluster.listedFrom[o.state.Self.Name]) {
			names = append(names, o.state.Self.Name)
		}
	}
	n.cluster.after(n.cluster.delay(), func() {
		n.deliver(func() Event { return InstancesListed{Now: n.clock(), Names: names} })
	})
}

func (n *node) writeLease(f WriteLease) {
	asked := n.clock()
	end := func(d time.Duration, r WriteResult, version uint64) {
		n.cluster.after(d, func() {
			n.deliver(func() Event {
				return WriteCompleted{Sent: asked, Now: n.clock(), Nonce: f.Lease.Nonce, Result: r, Version: version}
			})
		})
	}
	if n.cluster.percent(n.cluster.writeAnswerLossPercent) {
		// The answer is lost. The write is lost too or takes effect, possibly late.
		end(100*time.Millisecond, WriteUnknown, 0)
		if n.cluster.percent(n.cluster.lateWritePercent) {
			n.cluster.after(time.Duration(n.cluster.rng.IntN(3000))*time.Millisecond, func() { n.cluster.applyWrite(f) })
		}
		return
	}
	n.cluster.after(n.cluster.delay(), func() {
		switch {
		case n.cluster.platformDown || !n.platformReachable:
			end(time.Second, WriteFailed, 0)
		case n.cluster.applyWrite(f):
			end(n.cluster.delay(), WriteDone, n.cluster.version)
		default:
			end(n.cluster.delay(), WriteConflict, 0)
		}
	})
}

func (c *testCluster) applyWrite(f WriteLease) bool {
	if f.Version != c.version || c.platformDown {
		return false
	}
	if f.Lease.Epoch < c.lease.Epoch {
		c.violation("lease epoch decreased from %d to %d", c.lease.Epoch, f.Lease.Epoch)
	}
	c.version++
	c.lease = f.Lease
	return true
}
