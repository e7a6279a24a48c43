package emulator

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reasons of documented refusals, the values of Horn-Refused. Nothing ran.
const (
	// RefusedFull means that all slots were in use.
	RefusedFull = "full"
	// RefusedShed means that the upstream sheds load.
	RefusedShed = "shed"
	// RefusedDeadline means that the request's deadline has passed.
	RefusedDeadline = "deadline"
)

// Place says which upstream it is and where it stands.
type Place struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	Region  string `json:"region"`
	Address string `json:"address"`
}

// Count sums up what an upstream has seen.
type Count struct {
	// Runs counts requests that began, Over those that came while all slots
	// were in use, Refused the documented refusals by reason.
	Runs    int            `json:"runs"`
	Over    int            `json:"over"`
	Refused map[string]int `json:"refused"`
	// Most is the largest number of requests in flight, those of Over included.
	Most int `json:"most"`
	// Conns is the largest number of open connections, Opened counts all,
	// Crowded those closed because of the limit.
	Conns   int `json:"conns"`
	Opened  int `json:"opened"`
	Crowded int `json:"crowded"`
	Probes  int `json:"probes"`
}

// Upstream is a stand-in for one server that runs requests of one service.
type Upstream struct {
	Place
	ledger *Ledger

	mu       sync.Mutex
	behavior Behavior
	random   *rand.Rand
	count    Count
	conns    map[*conn]bool
	flights  map[*flight]bool
	// previous is the last request, for answers that belong to another.
	previous string
	health   Health
	healthAt time.Time
	server   *http.Server
	listener net.Listener
}

// flight is one request in a slot.
type flight struct {
	conn *conn
	run  Run
}

// NewUpstream returns an upstream that does not listen yet. Its random numbers
// are seeded with its name.
func NewUpstream(p Place, b Behavior, l *Ledger) *Upstream {
	return &Upstream{
		Place: p, behavior: b, ledger: l,
		random: rand.New(rand.NewPCG(xxhash.Sum64String(p.Name), 1)),
		conns:  map[*conn]bool{}, flights: map[*flight]bool{},
		count: Count{Refused: map[string]int{}},
	}
}

// Behavior returns how the upstream acts now.
func (u *Upstream) Behavior() Behavior {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behavior
}

// Count returns the sums so far.
func (u *Upstream) Count() Count {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.count
	c.Refused = map[string]int{}
	for k, v := range u.count.Refused {
		c.Refused[k] = v
	}
	return c
}

// Change edits the behavior and opens or closes the listener if Down changed.
func (u *Upstream) Change(edit func(*Behavior)) error {
	u.mu.Lock()
	down := u.behavior.Down
	edit(&u.behavior)
	now := u.behavior.Down
	u.mu.Unlock()
	switch {
	case now && !down:
		u.Close()
	case down && !now:
		return u.Listen()
	}
	return nil
}

// Listen serves the upstream's address until Close.
func (u *Upstream) Listen() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("upstream %s: %w", u.Name, err)
		}
	}()
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		return err
	}
	s := &http.Server{
		Handler:     u,
		ConnContext: withConn,
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	u.mu.Lock()
	u.server, u.listener = s, l
	u.mu.Unlock()
	go func() { _ = s.Serve(listener{l, u}) }()
	return nil
}

// Close stops listening and resets all connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	s, l := u.server, u.listener
	u.server, u.listener = nil, nil
	u.mu.Unlock()
	if s != nil {
		// The server closes a listener only once Serve has taken it over.
		_ = l.Close()
		_ = s.Close()
	}
	u.reset()
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	mute(r, c)
	if r.URL.Path == "/health" {
		u.probe(w, r)
		return
	}
	id := r.Header.Get("Horn-Id")
	w.Header().Set("Horn-Id", id)
	f, p, reason := u.begin(r, c, id)
	if p.leaving {
		w.Header().Set("Horn-State", Leaving)
	}
	if reason != "" {
		refuse(w, reason)
		return
	}
	u.work(w, r, f, p)
}

// mute blocks a request on a silent connection until the caller closes it.
func mute(r *http.Request, c *conn) {
	if c == nil || !c.silent.Load() {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Horn-Refused", reason)
	http.Error(w, "refused: "+reason, http.StatusServiceUnavailable)
}

// work runs the request until it is done, its deadline passes or the caller
// closes the connection, and answers.
func (u *Upstream) work(w http.ResponseWriter, r *http.Request, f *flight, p plan) {
	ctx := r.Context()
	if !f.run.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, f.run.Deadline)
		defer cancel()
	}
	request, err := io.ReadAll(r.Body)
	if err != nil {
		u.end(f, Cancelled)
		panic(http.ErrAbortHandler)
	}
	t := time.NewTimer(p.work)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		u.quit(w, r, f, p)
		return
	}
	if f.conn != nil && f.conn.silent.Load() {
		u.end(f, Silent)
		mute(r, f.conn)
	}
	if p.delay > 0 {
		u.end(f, Done)
		pause(r, p.delay)
	}
	id := f.run.ID
	if p.swap {
		id = u.last()
		w.Header().Set("Horn-Id", id)
	}
	u.answer(w, f, p, Answer(u.Service, id, request, p.size))
}

// quit ends a run without an answer: the caller has closed the connection or
// the deadline has passed.
func (u *Upstream) quit(w http.ResponseWriter, r *http.Request, f *flight, p plan) {
	if r.Context().Err() != nil {
		u.end(f, Cancelled)
		panic(http.ErrAbortHandler)
	}
	u.end(f, Expired)
	if p.hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	http.Error(w, "deadline passed", http.StatusGatewayTimeout)
}

// answer sends the body. The slot is free before the last bytes are sent, so
// that a caller that has the whole answer finds the slot free.
func (u *Upstream) answer(w http.ResponseWriter, f *flight, p plan, body []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set("Content-Type", "application/octet-stream")
	if p.cut >= 0 {
		u.cut(w, f, p, body)
		return
	}
	tail := max(0, len(body)-1)
	if len(body) > bulkSize {
		if _, err := w.Write(body[:tail]); err != nil {
			u.end(f, Cancelled)
			panic(http.ErrAbortHandler)
		}
		body = body[tail:]
	}
	u.end(f, Done)
	_, _ = w.Write(body)
}

// bulkSize is the size up to which the HTTP server keeps an answer in its
// buffer until the handler returns.
const bulkSize = 2048

// cut sends a part of the answer and closes or resets the connection.
func (u *Upstream) cut(w http.ResponseWriter, f *flight, p plan, body []byte) {
	n := min(p.cut, len(body)-1)
	state := Truncated
	if p.reset {
		state = Reset
	}
	if n > 0 {
		_, _ = w.Write(body[:n])
		_ = http.NewResponseController(w).Flush()
	}
	u.end(f, state)
	if p.reset && f.conn != nil {
		abort(f.conn.Conn)
	}
	panic(http.ErrAbortHandler)
}

func (u *Upstream) last() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.previous
}
