package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
	"hornbeamstream.example/hornbeamd/server"
)

const far = 1<<63 - 1

// arrival is one request as an upstream saw it.
type arrival struct {
	conn, onConn int
	id, method   string
	attempt      string
	deadline     int64
	body         int64
}

// upstream is a stand-in that injects faults. Answer writes what it likes and
// tells whether the connection goes on.
type upstream struct {
	ln     net.Listener
	answer func(c net.Conn, a arrival) bool
	mu     sync.Mutex
	seen   []arrival
	conns  []net.Conn
	probes atomic.Int64
	// deaf makes established connections swallow requests; new ones work.
	deaf      atomic.Int64
	swallowed atomic.Int64
}

func newUpstream(t *testing.T, answer func(c net.Conn, a arrival) bool) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u := &upstream{ln: ln, answer: answer}
	if u.answer == nil {
		u.answer = func(c net.Conn, a arrival) bool { return reply(c, a.id, "ok") }
	}
	go u.accept()
	t.Cleanup(u.close)
	return u
}

func (u *upstream) close() {
	_ = u.ln.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

func (u *upstream) accept() {
	for n := 0; ; n++ {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, c)
		u.mu.Unlock()
		go u.serve(c, n)
	}
}

func (u *upstream) serve(c net.Conn, n int) {
	defer c.Close()
	br := bufio.NewReader(c)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, r.Body)
		if n < int(u.deaf.Load()) {
			u.swallowed.Add(1)
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if r.URL.Path == "/health" {
			u.probes.Add(1)
			reply(c, "", `{"state":"ready"}`)
			continue
		}
		a := arrival{conn: n, onConn: i, id: r.Header.Get("Horn-Id"), method: r.Method, attempt: r.Header.Get("Horn-Attempt"), body: size}
		a.deadline, _ = strconv.ParseInt(r.Header.Get("Horn-Deadline"), 10, 64)
		u.mu.Lock()
		u.seen = append(u.seen, a)
		u.mu.Unlock()
		if err != nil || !u.answer(c, a) {
			return
		}
	}
}

func (u *upstream) arrivals() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.seen...)
}

// open returns the number of connections accepted so far.
func (u *upstream) open() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// together returns an answer that is given when n requests have arrived, so that
// n connections are open.
func together(n int) func(c net.Conn, a arrival) bool {
	var wg sync.WaitGroup
	var count atomic.Int64
	wg.Add(n)
	return func(c net.Conn, a arrival) bool {
		if count.Add(1) <= int64(n) {
			wg.Done()
			wg.Wait()
		}
		return reply(c, a.id, "ok")
	}
}

// warm leaves count idle connections behind.
func (n *node) warm(t *testing.T, path string, count int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { call(n.front, "POST", path, "", "Horn-Id", fmt.Sprint("warm", i)) })
	}
	wg.Wait()
	is.New(t).Equal(n.fwd.IdleConns(), count)
}

// at is a time from now as a header value.
func at(d time.Duration) string { return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10) }

func reply(c net.Conn, id, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\nContent-Type: text/x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

func refuse(c net.Conn, id string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 No\r\nHorn-Id: %s\r\nHorn-Refused: full\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

// node is an instance with both of its servers.
type node struct {
	name        string
	table       atomic.Pointer[router.Table]
	fwd         *forwarder.Forwarder
	front, data string
	answered    sync.Map // by outcome and reason
	retried     atomic.Int64
	witnesses   []*node
	mute        atomic.Bool
}

func (n *node) Table() *router.Table         { return n.table.Load() }
func (n *node) HomeRegion(netip.Addr) string { return "north" }
func (n *node) AppendAnswer(dst []byte, _ netip.Addr, until int64) []byte {
	return fmt.Appendf(dst, `{"entries":[%q],"until":%d}`, n.front, until)
}
func (n *node) CountRetry(string) { n.retried.Add(1) }

func (n *node) CountDecision(string, forwarder.Decision) {}
func (n *node) ObserveRequest(_ string, o forwarder.Outcome, r router.Reason, _ time.Duration) {
	v, _ := n.answered.LoadOrStore(o.String()+string(r), new(atomic.Int64))
	v.(*atomic.Int64).Add(1)
}

func (n *node) count(key string) int64 {
	v, _ := n.answered.LoadOrStore(key, new(atomic.Int64))
	return v.(*atomic.Int64).Load()
}

// Ask asks the other nodes directly, as the control calls would.
func (n *node) QueryPeers(_ context.Context, service, id string, sent int64) []forwarder.RequestRecord {
	var list []forwarder.RequestRecord
	for _, w := range n.witnesses {
		if w.mute.Load() {
			list = append(list, forwarder.RequestRecord{Fate: 5})
			continue
		}
		list = append(list, w.fwd.LookupRequest(service, id, true, sent))
	}
	return list
}

func newNode(t testing.TB, name string, services ...*router.Service) *node {
	t.Helper()
	n := &node{name: name}
	n.set(services...)
	n.fwd = forwarder.New(forwarder.Config{Tables: n, Metrics: n, PeerQuerier: n})
	t.Cleanup(n.fwd.Close)
	n.front = n.serve(t, false)
	n.data = n.serve(t, true)
	return n
}

func (n *node) serve(t testing.TB, hops bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := server.New(server.Config{Tables: n, Handler: n.fwd, Resolver: n, Hops: hops})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func (n *node) set(services ...*router.Service) {
	table := router.Build(router.Input{Config: &loader.State{Version: 1}, Self: n.name, Previous: n.table.Load()})
	table.Services = map[string]*router.Service{}
	for _, s := range services {
		table.Services[s.Name] = s
	}
	n.table.Store(table)
}

// peer describes n to another node.
func (n *node) peer(service string) *router.Peer {
	p := &router.Peer{Name: n.name, Address: n.data, Path: new(limiter.CircuitBreaker), Credits: map[string]*limiter.Credit{service: new(limiter.Credit)}}
	p.Credits[service].Update(100, 1)
	return p
}

// via returns an instance that has no slots of a service but the given peers.
func via(t testing.TB, name string, once bool, peers ...*node) *node {
	s := service(name, once)
	for _, p := range peers {
		s.Peers = append(s.Peers, p.peer(name))
	}
	return newNode(t, "via", s)
}

// hedging returns an instance that sends second tries.
func hedging(t testing.TB, s *router.Service) *node {
	n := newNode(t, "a", s)
	n.fwd = forwarder.New(forwarder.Config{Tables: n, Metrics: n, Hedge: true})
	t.Cleanup(n.fwd.Close)
	n.front = n.serve(t, false)
	return n
}

// idle waits until no slot of a service is taken.
func idle(t *testing.T, s *router.Service) {
	t.Helper()
	until(t, "slots given back", func() bool {
		busy := 0
		for i := range s.Targets {
			busy += s.Targets[i].Gate.InFlight()
		}
		return busy == 0
	})
}

func service(name string, once bool, ups ...*upstream) *router.Service {
	s := &router.Service{Name: name, AtMostOnce: once, Timeout: int64(2 * time.Second), MaxBodyBytes: 64 << 20, RetryBudget: new(limiter.RetryBudget)}
	for i, u := range ups {
		gate := new(limiter.Semaphore)
		gate.Set(max(8-7*i, 1), far) // the first one is preferred by free slots
		s.Targets = append(s.Targets, router.Target{
			Upstream: name + strconv.Itoa(i), Address: u.ln.Addr().String(), MaxConns: 16, Gate: gate, Path: new(limiter.CircuitBreaker),
		})
	}
	return s
}

// earn gives a service's budget room for n retries.
func earn(s *router.Service, n int) *router.Service {
	for range 10 * n {
		s.RetryBudget.Deposit()
	}
	return s
}

// answer is what a caller got. Err is set when it was no whole answer.
type answer struct {
	status  int
	outcome string
	reason  string
	id      string
	body    string
	header  http.Header
	err     error
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request with headers given as pairs.
func call(addr, method, path, body string, headers ...string) answer {
	return send(addr, method, path, strings.NewReader(body), headers...)
}

func send(addr, method, path string, body io.Reader, headers ...string) answer {
	r, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return answer{err: err}
	}
	if s, ok := body.(*sized); ok {
		r.ContentLength = s.size
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	h := resp.Header
	return answer{resp.StatusCode, h.Get("Horn-Outcome"), h.Get("Horn-Reason"), h.Get("Horn-Id"), string(b), h, err}
}

// until waits for a condition with a generous bound.
func until(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("never happened: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
