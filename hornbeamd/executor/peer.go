package executor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"hornbeamstream.example/core/collector"
	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/hornpb/hornpbconnect"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/core/screener"
)

// Limits of calls between instances.
const (
	maxMessageBytes     = 4 << 20
	maxIdleConnsPerPeer = 2
	idleTimeout         = 30 * time.Second
	maxHeaderBytes      = 4 << 10
	// minCompressBytes is the smallest response that is compressed. Heartbeat
	// responses are shorter; compressing them takes longer than the rest of the
	// call.
	minCompressBytes = 512
)

// errStopping is returned to peers during shutdown.
var errStopping = errors.New("instance is stopping")

func newPeerClient() *http.Client {
	dialer := net.Dialer{Timeout: peerTimeout}
	return &http.Client{Transport: collector.LimitTransport(screener.Transport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		// Messages are small: compression costs more than it saves.
		DisableCompression: true,
	}), maxMessageBytes)}
}

func (x *Executor) peerClient(address string) hornpbconnect.PeerClient {
	return hornpbconnect.NewPeerClient(x.client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// PeerServer returns the HTTP server for calls from other instances.
func (x *Executor) PeerServer() *http.Server {
	return &http.Server{
		Handler:           peerMux(peerHandler{x}),
		ReadHeaderTimeout: peerTimeout,
		ReadTimeout:       platformTimeout,
		WriteTimeout:      platformTimeout,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func peerMux(h hornpbconnect.PeerHandler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(hornpbconnect.NewPeerHandler(h, connect.WithReadMaxBytes(maxMessageBytes), connect.WithCompressMinBytes(minCompressBytes)))
	return mux
}

func (x *Executor) sendRequest(ctx context.Context, e reducer.Send) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := x.cfg.Clock.Now()
	m, err := x.peerClient(e.To).Exchange(ctx, connect.NewRequest(requestToProto(e.Request)))
	x.cfg.Metrics.CountCall("exchange", err != nil)
	if err != nil {
		x.closeIdle()
		x.post(func(now time.Time) reducer.Event { return reducer.SendFailed{Now: now, To: e.To} })
		return
	}
	r := responseFromProto(m.Msg)
	x.post(func(now time.Time) reducer.Event {
		return reducer.ResponseReceived{Sent: sent, Now: now, To: e.To, Response: r}
	})
}

// closeIdle closes idle connections. It is called after a failed call, because
// pooled connections can be broken while new ones would work.
func (x *Executor) closeIdle() { x.client.CloseIdleConnections() }

func (x *Executor) sendVote(ctx context.Context, e granter.SendVoteRequest) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := x.cfg.Clock.Now()
	m, err := x.peerClient(e.To).Vote(ctx, connect.NewRequest(&hornpb.VoteRequest{
		Domain:    x.cfg.Self.Domain,
		Epoch:     e.Epoch,
		Candidate: x.cfg.Self.Name,
	}))
	x.cfg.Metrics.CountCall("vote", err != nil)
	if err != nil {
		x.closeIdle()
		return
	}
	x.post(func(now time.Time) reducer.Event {
		return reducer.GranterEvent{Now: now, Event: granter.VoteResponseReceived{
			Sent:    sent,
			Now:     now,
			From:    m.Msg.GetVoter(),
			Epoch:   m.Msg.GetEpoch(),
			Granted: m.Msg.GetGranted(),
			Valid:   duration(m.Msg.GetValidMs()),
		}}
	})
}

func (x *Executor) fetchTickets(ctx context.Context, e follower.Fetch) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	m, err := x.peerClient(e.Peer).Fetch(ctx, connect.NewRequest(&hornpb.FetchRequest{After: e.After}))
	x.cfg.Metrics.CountCall("fetch", err != nil)
	fetched := follower.Fetched{Peer: e.Peer, Failed: err != nil}
	if err == nil {
		fetched = fetchedFromProto(e, m.Msg)
	} else {
		x.closeIdle()
	}
	x.post(func(now time.Time) reducer.Event {
		fetched.Now = now
		return reducer.FollowerEvent{Now: now, Event: fetched}
	})
}

func fetchedFromProto(e follower.Fetch, m *hornpb.FetchResponse) follower.Fetched {
	fetched := follower.Fetched{Peer: e.Peer}
	if len(m.GetSnapshot()) > 0 {
		state, err := loader.DecodeState(m.GetSnapshot())
		fetched.Snapshot = &state
		fetched.Failed = err != nil
		return fetched
	}
	for i, raw := range m.GetTickets() {
		fetched.Tickets = append(fetched.Tickets, loader.DecodeTicket(e.After+uint64(i)+1, raw))
	}
	return fetched
}

// call posts the event that make returns for a new call number and waits for
// the effect that answers it.
func (x *Executor) call(ctx context.Context, event func(now time.Time, call uint64) reducer.Event) (reducer.Effect, error) {
	answers := make(chan reducer.Effect, 1)
	x.post(func(now time.Time) reducer.Event {
		x.lastCall++
		x.pendingCalls[x.lastCall] = func(e reducer.Effect) { answers <- e }
		return event(now, x.lastCall)
	})
	select {
	case e := <-answers:
		return e, nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, errStopping)
	}
}

// answer delivers an effect to the call that waits for it, if any.
func (x *Executor) answer(call uint64, e reducer.Effect) {
	if deliver, ok := x.pendingCalls[call]; ok {
		delete(x.pendingCalls, call)
		deliver(e)
	}
}

// peerHandler implements hornpbconnect.PeerHandler.
type peerHandler struct{ x *Executor }

// Exchange handles a heartbeat or a gossip request.
func (h peerHandler) Exchange(ctx context.Context, q *connect.Request[hornpb.ExchangeRequest]) (*connect.Response[hornpb.ExchangeResponse], error) {
	e, err := h.x.call(ctx, func(now time.Time, call uint64) reducer.Event {
		return reducer.RequestReceived{Now: now, Call: call, Request: requestFromProto(q.Msg)}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(responseToProto(e.(reducer.Answer).Response)), nil
}

// Vote handles a candidate's vote request.
func (h peerHandler) Vote(ctx context.Context, q *connect.Request[hornpb.VoteRequest]) (*connect.Response[hornpb.VoteResponse], error) {
	if q.Msg.GetDomain() != h.x.cfg.Self.Domain {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("vote for another failure domain"))
	}
	e, err := h.x.call(ctx, func(now time.Time, call uint64) reducer.Event {
		return reducer.GranterEvent{Now: now, Event: granter.VoteRequestReceived{
			Now:       now,
			Call:      call,
			Candidate: q.Msg.GetCandidate(),
			Epoch:     q.Msg.GetEpoch(),
		}}
	})
	if err != nil {
		return nil, err
	}
	a := e.(reducer.GranterEffect).Effect.(granter.SendVoteResponse)
	return connect.NewResponse(&hornpb.VoteResponse{
		Granted: a.Granted,
		Epoch:   a.Epoch,
		ValidMs: millis(a.Valid),
		Voter:   h.x.cfg.Self.Name,
	}), nil
}

// Fetch returns the tickets after a version, or a snapshot if the history no
// longer holds them all.
func (h peerHandler) Fetch(ctx context.Context, q *connect.Request[hornpb.FetchRequest]) (_ *connect.Response[hornpb.FetchResponse], err error) {
	var tickets []loader.Ticket
	var complete bool
	var state loader.State
	err = h.x.inspect(ctx, func(s *reducer.State) {
		tickets, complete = s.Follower.TicketsAfter(q.Msg.GetAfter())
		state = s.Follower.Config
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	m := &hornpb.FetchResponse{}
	if !complete {
		m.Snapshot, err = loader.EncodeState(state)
		return connect.NewResponse(m), err
	}
	for _, t := range tickets {
		raw, err := loader.EncodeTicket(t)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		m.Tickets = append(m.Tickets, raw)
	}
	return connect.NewResponse(m), nil
}

// Outcome returns what this instance knows about a request id.
func (h peerHandler) Outcome(_ context.Context, q *connect.Request[hornpb.OutcomeRequest]) (*connect.Response[hornpb.OutcomeResponse], error) {
	return connect.NewResponse(h.x.traffic.Outcome(q.Msg)), nil
}
