package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"hornbeamstream.example/core/collector"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/hornpb/hornpbconnect"
	"hornbeamstream.example/core/screener"
	"hornbeamstream.example/core/steerer"
)

const (
	// relayTimeout limits a call to another instance.
	relayTimeout = 700 * time.Millisecond
	// relayIdleTimeout is how long the client keeps idle connections to other
	// instances.
	relayIdleTimeout = 20 * time.Second
	// maxChangesBytes limits the response of another instance, which may hold all objects
	// of a kind. maxRelayHeaderBytes limits its header, maxFetchBytes a request.
	maxChangesBytes     = 8 << 20
	maxRelayHeaderBytes = 16 << 10
	maxFetchBytes       = 16 << 10
)

// relay is the client and the server of the Relay service, by which instances get
// changes of the store from each other.
type relay struct {
	runner *Runner
	client *http.Client

	mu       sync.Mutex
	pending  map[uint64]chan steerer.Reply
	lastCall uint64
}

func newRelay(r *Runner) *relay {
	dialer := net.Dialer{Timeout: relayTimeout}
	return &relay{
		runner:  r,
		pending: map[uint64]chan steerer.Reply{},
		client: &http.Client{Timeout: relayTimeout, Transport: collector.LimitTransport(screener.Transport(&http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: relayIdleTimeout, MaxIdleConnsPerHost: 1,
			MaxResponseHeaderBytes: maxRelayHeaderBytes,
		}), maxChangesBytes)},
	}
}

// fetch requests changes from another instance and queues a Fetched event with the
// result.
func (l *relay) fetch(f steerer.Fetch) {
	r := l.runner
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	askedAt := r.now()
	var e steerer.Fetched
	err := errors.New("panic")
	r.recoverer.Do("fetch", func() { e, err = l.requestChanges(ctx, f) })
	if err != nil {
		r.cfg.Log.V(1).Info("changes not fetched", "kind", f.Kind, "from", f.From.Name, "cause", err.Error())
		e = steerer.Fetched{Kind: f.Kind}
	}
	e.Now, e.AskedAt, e.From = r.now(), askedAt, f.From.Name
	r.events <- e
}

func (l *relay) requestChanges(ctx context.Context, f steerer.Fetch) (e steerer.Fetched, err error) {
	client := hornpbconnect.NewRelayClient(l.client, "http://"+f.From.Beacon, connect.WithReadMaxBytes(maxChangesBytes))
	res, err := client.Changes(ctx, connect.NewRequest(&hornpb.ChangesRequest{Kind: string(f.Kind), Era: f.Era, After: f.After}))
	if err != nil {
		return e, err
	}
	e = steerer.Fetched{Kind: f.Kind, Era: res.Msg.GetEra(), Revision: res.Msg.GetRevision(), Whole: res.Msg.GetWhole()}
	now := l.runner.now()
	if ms := res.Msg.GetReturnedMs(); ms > 0 {
		e.StoreRecoveredAt = max(1, now-int64(ms)*int64(time.Millisecond))
	}
	for _, data := range res.Msg.GetObjects() {
		var o steerer.Object
		if err := json.Unmarshal(data, &o); err != nil {
			return e, err
		}
		if o.Upstream != nil && o.Upstream.ColdUntil > 0 {
			// In messages, ColdUntil is the remaining time.
			o.Upstream.ColdUntil += now
		}
		e.Objects = append(e.Objects, o)
	}
	return e, nil
}

// Changes implements hornpbconnect.RelayHandler.
func (l *relay) Changes(ctx context.Context, req *connect.Request[hornpb.ChangesRequest]) (*connect.Response[hornpb.ChangesResponse], error) {
	replies := make(chan steerer.Reply, 1)
	l.mu.Lock()
	l.lastCall++
	id := l.lastCall
	l.pending[id] = replies
	l.mu.Unlock()
	defer l.removeCall(id)
	event := steerer.ChangesRequested{Now: l.runner.now(), RequestID: id, Kind: steerer.Kind(req.Msg.GetKind()), Era: req.Msg.GetEra(), After: req.Msg.GetAfter()}
	select {
	case l.runner.events <- event:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-replies:
		return l.encodeReply(r)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *relay) removeCall(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, call)
}

// reply passes the control goroutine's reply to the pending call.
func (l *relay) reply(r steerer.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.pending[r.RequestID]; c != nil {
		c <- r
	}
}

func (l *relay) encodeReply(r steerer.Reply) (*connect.Response[hornpb.ChangesResponse], error) {
	msg := &hornpb.ChangesResponse{Era: r.Era, Revision: r.Revision, Whole: r.Whole, ReturnedMs: uint32(r.SinceStoreRecovery.Milliseconds())}
	now := l.runner.now()
	for _, o := range r.Objects {
		if o.Upstream != nil {
			u := *o.Upstream
			u.ColdUntil = max(0, u.ColdUntil-now)
			o.Upstream = &u
		}
		data, err := json.Marshal(o)
		if err != nil {
			return nil, err
		}
		msg.Objects = append(msg.Objects, data)
	}
	return connect.NewResponse(msg), nil
}

// serveRelay serves calls of other instances until the context is done.
func (r *Runner) serveRelay(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("changes: %w", err)
		}
	}()
	mux := http.NewServeMux()
	mux.Handle(hornpbconnect.NewRelayHandler(r.relay, connect.WithReadMaxBytes(maxFetchBytes)))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: relayTimeout, IdleTimeout: 2 * relayIdleTimeout}
	ln, err := net.Listen("tcp", r.cfg.Self.Beacon)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
