package executor

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/hornbeamd/forwarder"
)

// departedRetention is how long a member that left the views is kept as a
// witness that can't answer. It covers the retention time of request ids.
const departedRetention = 2 * time.Minute

// witnesses holds the instances that may know about a request id. It is
// immutable.
type witnesses struct {
	members map[incarnation]witness
	domains map[string][]string
}

// incarnation identifies one process lifetime of a member.
type incarnation struct {
	name   string
	number uint64
}

// witness is an instance that is or was a member.
type witness struct {
	member granter.Member
	// departedAt is the time at which this incarnation left the views; zero
	// while it is a member.
	departedAt time.Time
}

// update returns the witnesses after a change of the views. Departed members
// are kept for departedRetention, because they may have run a request.
func (w *witnesses) update(p reducer.Publish, self string, now time.Time) *witnesses {
	n := &witnesses{members: map[incarnation]witness{}, domains: serviceDomains(p.Config)}
	for _, v := range p.Views {
		for _, m := range v.Members {
			if m.Name != self {
				n.members[incarnation{m.Name, m.Incarnation}] = witness{member: m}
			}
		}
	}
	for key, old := range w.members {
		if _, ok := n.members[key]; ok {
			continue
		}
		if old.departedAt.IsZero() {
			old.departedAt = now
		}
		if now.Before(old.departedAt.Add(departedRetention)) {
			n.members[key] = old
		}
	}
	return n
}

// serviceDomains returns, by service, the failure domains that have upstreams
// of the service.
func serviceDomains(config loader.State) map[string][]string {
	domains := map[string][]string{}
	seen := map[[2]string]bool{}
	for _, u := range config.Upstreams {
		k := [2]string{u.Service, u.Domain}
		if !seen[k] {
			seen[k] = true
			domains[u.Service] = append(domains[u.Service], u.Domain)
		}
	}
	return domains
}

// candidates returns the instances that may know about a request to service
// that was first sent at time sent. Incarnations that had departed by then are
// left out.
func (w *witnesses) candidates(service string, sent time.Time) []witness {
	holds := map[string]bool{}
	for _, d := range w.domains[service] {
		holds[d] = true
	}
	var list []witness
	for _, m := range w.members {
		if holds[m.member.Domain] && (m.departedAt.IsZero() || m.departedAt.After(sent)) {
			list = append(list, m)
		}
	}
	return list
}

// QueryPeers implements forwarder.PeerQuerier. It queries the instances
// concurrently and returns FATE_UNKNOWN for those that have departed or don't
// reply.
func (x *Executor) QueryPeers(ctx context.Context, service, id string, sent int64) []forwarder.RequestRecord {
	list := x.witness.Load().candidates(service, time.UnixMilli(sent))
	accounts := make([]forwarder.RequestRecord, len(list))
	var wg sync.WaitGroup
	for i, w := range list {
		accounts[i] = forwarder.RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
		if !w.departedAt.IsZero() {
			continue
		}
		wg.Go(func() { accounts[i] = x.askOutcome(ctx, w.member.Peer, service, id, sent) })
	}
	wg.Wait()
	return accounts
}

func (x *Executor) askOutcome(ctx context.Context, address, service, id string, sent int64) forwarder.RequestRecord {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m, err := x.peerClient(address).Outcome(ctx, connect.NewRequest(&hornpb.OutcomeRequest{
		Service: service,
		Id:      id,
		Fence:   true,
		Sent:    sent,
	}))
	x.cfg.Metrics.CountCall("outcome", err != nil)
	if err != nil {
		return forwarder.RequestRecord{Fate: hornpb.Fate_FATE_UNKNOWN}
	}
	return forwarder.RequestRecord{
		Fate:        m.Msg.GetFate(),
		StatusCode:  int(m.Msg.GetStatus()),
		ContentType: m.Msg.GetType(),
		Body:        m.Msg.GetBody(),
		HasResponse: m.Msg.GetKept(),
	}
}
