package executor

import (
	"math"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/reducer"
)

func requestToProto(q reducer.Request) *hornpb.ExchangeRequest {
	m := &hornpb.ExchangeRequest{
		From:      memberToProto(q.From),
		Epoch:     q.Epoch,
		Seen:      q.Seen,
		Held:      partsToProto(q.Held),
		Config:    q.Config,
		Upstreams: signalsToProto(q.Signals),
		Clock:     q.Clock,
	}
	m.Views = versionsToProto(q.Views)
	return m
}

func requestFromProto(m *hornpb.ExchangeRequest) reducer.Request {
	q := reducer.Request{
		From:    memberFromProto(m.GetFrom()),
		Epoch:   m.GetEpoch(),
		Seen:    m.GetSeen(),
		Held:    partsFromProto(m.GetHeld()),
		Config:  m.GetConfig(),
		Signals: signalsFromProto(m.GetUpstreams()),
		Clock:   m.GetClock(),
	}
	q.Views = versionsFromProto(m.GetViews())
	return q
}

func versionsToProto(versions []reducer.ViewVersion) []*hornpb.ViewVersion {
	messages := make([]*hornpb.ViewVersion, 0, len(versions))
	for _, v := range versions {
		messages = append(messages, &hornpb.ViewVersion{
			Domain:   v.Domain,
			Epoch:    v.Epoch,
			Sequence: v.Sequence,
			AgeMs:    millis(v.Age),
		})
	}
	return messages
}

func versionsFromProto(messages []*hornpb.ViewVersion) []reducer.ViewVersion {
	versions := make([]reducer.ViewVersion, 0, len(messages))
	for _, m := range messages {
		versions = append(versions, reducer.ViewVersion{
			Domain:   m.GetDomain(),
			Epoch:    m.GetEpoch(),
			Sequence: m.GetSequence(),
			Age:      duration(m.GetAgeMs()),
		})
	}
	return versions
}

func responseToProto(r reducer.Response) *hornpb.ExchangeResponse {
	m := &hornpb.ExchangeResponse{
		From: memberToProto(r.From),
		Grant: &hornpb.Grant{
			Epoch:    r.Epoch,
			Sequence: r.Sequence,
			ValidMs:  millis(r.Valid),
			Parts:    partsToProto(r.Parts),
		},
		Leader:    r.Leader,
		Epoch:     r.Epoch,
		Config:    r.Config,
		Clock:     r.Clock,
		Upstreams: signalsToProto(r.Signals),
		Heard:     versionsToProto(r.Heard),
	}
	for _, q := range r.Quotas {
		m.Grant.Quotas = append(m.Grant.Quotas, &hornpb.Quota{Name: q.Name, Rate: q.Rate})
	}
	for _, v := range r.Views {
		m.Views = append(m.Views, viewToProto(v))
	}
	return m
}

func responseFromProto(m *hornpb.ExchangeResponse) reducer.Response {
	g := m.GetGrant()
	r := reducer.Response{
		From:     memberFromProto(m.GetFrom()),
		Leader:   m.GetLeader(),
		Epoch:    m.GetEpoch(),
		Valid:    duration(g.GetValidMs()),
		Sequence: g.GetSequence(),
		Parts:    partsFromProto(g.GetParts()),
		Config:   m.GetConfig(),
		Signals:  signalsFromProto(m.GetUpstreams()),
		Heard:    versionsFromProto(m.GetHeard()),
		Clock:    m.GetClock(),
	}
	for _, q := range g.GetQuotas() {
		r.Quotas = append(r.Quotas, granter.Quota{Name: q.GetName(), Rate: q.GetRate()})
	}
	for _, v := range m.GetViews() {
		r.Views = append(r.Views, viewFromProto(v))
	}
	return r
}

func viewToProto(v granter.View) *hornpb.View {
	m := &hornpb.View{Domain: v.Domain, Epoch: v.Epoch, Sequence: v.Sequence, Leader: v.Leader}
	for _, member := range v.Members {
		m.Members = append(m.Members, memberToProto(member))
	}
	for _, h := range v.Holdings {
		m.Holdings = append(m.Holdings, &hornpb.Holding{Part: partToProto(h.Part), Holder: h.Holder})
	}
	return m
}

func viewFromProto(m *hornpb.View) granter.View {
	v := granter.View{Domain: m.GetDomain(), Epoch: m.GetEpoch(), Sequence: m.GetSequence(), Leader: m.GetLeader()}
	for _, member := range m.GetMembers() {
		v.Members = append(v.Members, memberFromProto(member))
	}
	for _, h := range m.GetHoldings() {
		v.Holdings = append(v.Holdings, granter.Holding{Part: partFromProto(h.GetPart()), Holder: h.GetHolder()})
	}
	return v
}

func memberToProto(m granter.Member) *hornpb.Member {
	return &hornpb.Member{
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Front:       m.Front,
		Peer:        m.Peer,
		Data:        m.Data,
		Admin:       m.Admin,
		Domain:      m.Domain,
		Leaving:     m.Leaving,
	}
}

func memberFromProto(m *hornpb.Member) granter.Member {
	return granter.Member{
		Name:        m.GetName(),
		Incarnation: m.GetIncarnation(),
		Front:       m.GetFront(),
		Peer:        m.GetPeer(),
		Data:        m.GetData(),
		Admin:       m.GetAdmin(),
		Domain:      m.GetDomain(),
		Leaving:     m.GetLeaving(),
	}
}

func partToProto(p granter.Part) *hornpb.Part {
	return &hornpb.Part{Upstream: p.Upstream, Index: uint32(p.Index), Slots: uint32(p.Slots)}
}

func partFromProto(m *hornpb.Part) granter.Part {
	return granter.Part{Upstream: m.GetUpstream(), Index: int(m.GetIndex()), Slots: int(m.GetSlots())}
}

func partsToProto(parts []granter.Part) []*hornpb.Part {
	messages := make([]*hornpb.Part, 0, len(parts))
	for _, p := range parts {
		messages = append(messages, partToProto(p))
	}
	return messages
}

func partsFromProto(messages []*hornpb.Part) []granter.Part {
	parts := make([]granter.Part, 0, len(messages))
	for _, m := range messages {
		parts = append(parts, partFromProto(m))
	}
	return parts
}

func signalsToProto(signals []observer.Signaled) []*hornpb.UpstreamState {
	messages := make([]*hornpb.UpstreamState, 0, len(signals))
	for _, g := range signals {
		messages = append(messages, &hornpb.UpstreamState{
			Upstream: g.Upstream,
			Leaving:  g.Leaving,
			AtMs:     g.At.UnixMilli(),
			Source:   uint32(g.Source),
		})
	}
	return messages
}

func signalsFromProto(messages []*hornpb.UpstreamState) []observer.Signaled {
	signals := make([]observer.Signaled, 0, len(messages))
	for _, m := range messages {
		signals = append(signals, observer.Signaled{
			At:       time.UnixMilli(m.GetAtMs()),
			Upstream: m.GetUpstream(),
			Source:   observer.Source(m.GetSource()),
			Leaving:  m.GetLeaving(),
		})
	}
	return signals
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
