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

	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/hornpb/hornpbconnect"
	"hornbeamstream.example/core/steerer"
)

const (
	// changesTime bounds a question to another instance.
	changesTime = 700 * time.Millisecond
	// changesIdle is how long connections between instances are kept.
	changesIdle = 20 * time.Second
)

// relay asks other instances for changes and answers their questions.
type relay struct {
	runner *Runner
	client *http.Client

	mu    sync.Mutex
	calls map[uint64]chan steerer.Reply
	last  uint64
}

func newRelay(r *Runner) *relay {
	dialer := net.Dialer{Timeout: changesTime}
	return &relay{
		runner: r,
		calls:  map[uint64]chan steerer.Reply{},
		client: &http.Client{Timeout: changesTime, Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: changesIdle, MaxIdleConnsPerHost: 1,
		}},
	}
}

// fetch asks another instance and emits Fetched.
func (l *relay) fetch(f steerer.Fetch) {
	r := l.runner
	ctx, cancel := context.WithTimeout(context.Background(), changesTime)
	defer cancel()
	var e steerer.Fetched
	err := errors.New("panic")
	r.guard.Do("fetch", func() { e, err = l.ask(ctx, f) })
	if err != nil {
		r.cfg.Log.V(1).Info("changes not fetched", "kind", f.Kind, "from", f.From.Name, "cause", err.Error())
		e = steerer.Fetched{Kind: f.Kind}
	}
	e.Now, e.From = r.now(), f.From.Name
	r.events <- e
}

func (l *relay) ask(ctx context.Context, f steerer.Fetch) (e steerer.Fetched, err error) {
	client := hornpbconnect.NewRelayClient(l.client, "http://"+f.From.Beacon)
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
			// In a message it is the time that is left.
			o.Upstream.ColdUntil += now
		}
		e.Objects = append(e.Objects, o)
	}
	return e, nil
}

// Changes implements hornpbconnect.RelayHandler.
func (l *relay) Changes(ctx context.Context, q *connect.Request[hornpb.ChangesRequest]) (*connect.Response[hornpb.ChangesResponse], error) {
	answer := make(chan steerer.Reply, 1)
	l.mu.Lock()
	l.last++
	call := l.last
	l.calls[call] = answer
	l.mu.Unlock()
	defer l.forget(call)
	asked := steerer.ChangesRequested{Now: l.runner.now(), RequestID: call, Kind: steerer.Kind(q.Msg.GetKind()), Era: q.Msg.GetEra(), After: q.Msg.GetAfter()}
	select {
	case l.runner.events <- asked:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	select {
	case r := <-answer:
		return l.encode(r)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *relay) forget(call uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.calls, call)
}

// reply hands the control goroutine's answer to the call that waits for it.
func (l *relay) reply(r steerer.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.calls[r.RequestID]; c != nil {
		c <- r
	}
}

func (l *relay) encode(r steerer.Reply) (*connect.Response[hornpb.ChangesResponse], error) {
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

// serveChanges answers other instances until the context ends.
func (r *Runner) serveChanges(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("changes: %w", err)
		}
	}()
	mux := http.NewServeMux()
	mux.Handle(hornpbconnect.NewRelayHandler(r.relay))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: changesTime, IdleTimeout: 2 * changesIdle}
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
