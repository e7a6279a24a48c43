package executor

import (
	"math"
	"time"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/reducer"
)

// convert applies f to each element of list and returns the results.
func convert[A, B any](list []A, f func(A) B) []B {
	results := make([]B, 0, len(list))
	for _, a := range list {
		results = append(results, f(a))
	}
	return results
}

func requestToProto(q reducer.Request) *hornpb.ExchangeRequest {
	return &hornpb.ExchangeRequest{
		From:      memberToProto(q.From),
		Epoch:     q.Epoch,
		Seen:      q.Seen,
		Held:      convert(q.Held, partToProto),
		Config:    q.Config,
		Views:     convert(q.Views, versionToProto),
		Upstreams: convert(q.Signals, signalToProto),
		Clock:     q.Clock,
	}
}

func requestFromProto(m *hornpb.ExchangeRequest) reducer.Request {
	return reducer.Request{
		From:    memberFromProto(m.GetFrom()),
		Epoch:   m.GetEpoch(),
		Seen:    m.GetSeen(),
		Held:    convert(m.GetHeld(), partFromProto),
		Config:  m.GetConfig(),
		Views:   convert(m.GetViews(), versionFromProto),
		Signals: convert(m.GetUpstreams(), signalFromProto),
		Clock:   m.GetClock(),
	}
}

func responseToProto(r reducer.Response) *hornpb.ExchangeResponse {
	return &hornpb.ExchangeResponse{
		From: memberToProto(r.From),
		Grant: &hornpb.Grant{
			Sequence: r.Sequence,
			ValidMs:  millis(r.Valid),
			Parts:    convert(r.Parts, partToProto),
			Quotas:   convert(r.Quotas, quotaToProto),
		},
		Leader:    r.Leader,
		Epoch:     r.Epoch,
		Config:    r.Config,
		Views:     convert(r.Views, viewToProto),
		Clock:     r.Clock,
		Upstreams: convert(r.Signals, signalToProto),
		Heard:     convert(r.Heard, versionToProto),
	}
}

func responseFromProto(m *hornpb.ExchangeResponse) reducer.Response {
	g := m.GetGrant()
	return reducer.Response{
		From:     memberFromProto(m.GetFrom()),
		Leader:   m.GetLeader(),
		Epoch:    m.GetEpoch(),
		Valid:    duration(g.GetValidMs()),
		Sequence: g.GetSequence(),
		Parts:    convert(g.GetParts(), partFromProto),
		Quotas:   convert(g.GetQuotas(), quotaFromProto),
		Config:   m.GetConfig(),
		Views:    convert(m.GetViews(), viewFromProto),
		Signals:  convert(m.GetUpstreams(), signalFromProto),
		Heard:    convert(m.GetHeard(), versionFromProto),
		Clock:    m.GetClock(),
	}
}

func versionToProto(v reducer.ViewVersion) *hornpb.ViewVersion {
	return &hornpb.ViewVersion{
		Domain:   v.Domain,
		Epoch:    v.Epoch,
		Sequence: v.Sequence,
		AgeMs:    millis(v.Age),
	}
}

func versionFromProto(m *hornpb.ViewVersion) reducer.ViewVersion {
	return reducer.ViewVersion{
		Domain:   m.GetDomain(),
		Epoch:    m.GetEpoch(),
		Sequence: m.GetSequence(),
		Age:      duration(m.GetAgeMs()),
	}
}

func quotaToProto(q granter.Quota) *hornpb.Quota {
	return &hornpb.Quota{Name: q.Name, Rate: q.Rate}
}

func quotaFromProto(m *hornpb.Quota) granter.Quota {
	return granter.Quota{Name: m.GetName(), Rate: m.GetRate()}
}

func viewToProto(v granter.View) *hornpb.View {
	return &hornpb.View{
		Domain:   v.Domain,
		Epoch:    v.Epoch,
		Sequence: v.Sequence,
		Leader:   v.Leader,
		Members:  convert(v.Members, memberToProto),
		Holdings: convert(v.Holdings, holdingToProto),
	}
}

func viewFromProto(m *hornpb.View) granter.View {
	return granter.View{
		Domain:   m.GetDomain(),
		Epoch:    m.GetEpoch(),
		Sequence: m.GetSequence(),
		Leader:   m.GetLeader(),
		Members:  convert(m.GetMembers(), memberFromProto),
		Holdings: convert(m.GetHoldings(), holdingFromProto),
	}
}

func holdingToProto(h granter.Holding) *hornpb.Holding {
	return &hornpb.Holding{Part: partToProto(h.Part), Holder: h.Holder}
}

func holdingFromProto(m *hornpb.Holding) granter.Holding {
	return granter.Holding{Part: partFromProto(m.GetPart()), Holder: m.GetHolder()}
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

func signalToProto(g observer.Signaled) *hornpb.UpstreamState {
	return &hornpb.UpstreamState{
		Upstream: g.Upstream,
		Leaving:  g.Leaving,
		AtMs:     g.At.UnixMilli(),
		Source:   uint32(g.Source),
	}
}

func signalFromProto(m *hornpb.UpstreamState) observer.Signaled {
	return observer.Signaled{
		At:       time.UnixMilli(m.GetAtMs()),
		Upstream: m.GetUpstream(),
		Source:   observer.Source(m.GetSource()),
		Leaving:  m.GetLeaving(),
	}
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
