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

const noExpiry = 1<<63 - 1

// received is a request as an upstream received it.
type received struct {
	conn, connRequest int
	id, method        string
	attempt           string
	deadline          int64
	body              int64
}

// upstream is a fake upstream that injects faults. respond writes a response and
// reports whether to keep the connection open.
type upstream struct {
	ln       net.Listener
	respond  func(c net.Conn, a received) bool
	mu       sync.Mutex
	received []received
	conns    []net.Conn
	probes   atomic.Int64
	// silentConns is the number of connections, the oldest first, that discard
	// requests without a response.
	silentConns atomic.Int64
	swallowed   atomic.Int64
}

func newUpstream(t *testing.T, answer func(c net.Conn, a received) bool) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u := &upstream{ln: ln, respond: answer}
	if u.respond == nil {
		u.respond = func(c net.Conn, a received) bool { return reply(c, a.id, "ok") }
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
		if n < int(u.silentConns.Load()) {
			u.swallowed.Add(1)
			_, _ = io.Copy(io.Discard, br)
			return
		}
		if r.URL.Path == "/health" {
			u.probes.Add(1)
			reply(c, "", `{"state":"ready"}`)
			continue
		}
		a := received{conn: n, connRequest: i, id: r.Header.Get("Horn-Id"), method: r.Method, attempt: r.Header.Get("Horn-Attempt"), body: size}
		a.deadline, _ = strconv.ParseInt(r.Header.Get("Horn-Deadline"), 10, 64)
		u.mu.Lock()
		u.received = append(u.received, a)
		u.mu.Unlock()
		if err != nil || !u.respond(c, a) {
			return
		}
	}
}

func (u *upstream) requests() []received {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]received(nil), u.received...)
}

// accepted returns the number of connections accepted so far.
func (u *upstream) accepted() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.conns)
}

// respondTogether returns a handler that responds once n requests have arrived,
// so that n connections are open.
func respondTogether(n int) func(c net.Conn, a received) bool {
	var wg sync.WaitGroup
	var count atomic.Int64
	wg.Add(n)
	return func(c net.Conn, a received) bool {
		if count.Add(1) <= int64(n) {
			wg.Done()
			wg.Wait()
		}
		return reply(c, a.id, "ok")
	}
}

// openIdleConns opens count connections and leaves them idle.
func (n *instance) openIdleConns(t *testing.T, path string, count int) {
	t.Helper()
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() { sendRequest(n.front, "POST", path, "", "Horn-Id", fmt.Sprint("warm", i)) })
	}
	wg.Wait()
	is.New(t).Equal(n.fwd.IdleConns(), count)
}

// millisFromNow returns the time d from now as a header value.
func millisFromNow(d time.Duration) string {
	return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10)
}

func reply(c net.Conn, id, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\nContent-Type: text/x\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	return err == nil
}

func refuse(c net.Conn, id string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 No\r\nHorn-Id: %s\r\nHorn-Refused: full\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

// instance is an instance with both of its servers.
type instance struct {
	name         string
	table        atomic.Pointer[router.Table]
	fwd          *forwarder.Forwarder
	front, data  string
	answered     sync.Map // by outcome and reason
	retried      atomic.Int64
	others       []*instance
	unresponsive atomic.Bool
}

func (n *instance) Table() *router.Table         { return n.table.Load() }
func (n *instance) HomeRegion(netip.Addr) string { return "north" }
func (n *instance) AppendAnswer(dst []byte, _ netip.Addr, until int64) []byte {
	return fmt.Appendf(dst, `{"entries":[%q],"until":%d}`, n.front, until)
}
func (n *instance) CountRetry(string) { n.retried.Add(1) }

func (n *instance) CountDecision(string, forwarder.Decision) {}
func (n *instance) ObserveRequest(_ string, o forwarder.Outcome, r router.Reason, _ time.Duration) {
	v, _ := n.answered.LoadOrStore(o.String()+string(r), new(atomic.Int64))
	v.(*atomic.Int64).Add(1)
}

func (n *instance) count(key string) int64 {
	v, _ := n.answered.LoadOrStore(key, new(atomic.Int64))
	return v.(*atomic.Int64).Load()
}

// QueryPeers calls the other instances directly instead of over RPC.
func (n *instance) QueryPeers(_ context.Context, service, id string, sent int64) []forwarder.RequestRecord {
	var list []forwarder.RequestRecord
	for _, w := range n.others {
		if w.unresponsive.Load() {
			list = append(list, forwarder.RequestRecord{Fate: 5})
			continue
		}
		list = append(list, w.fwd.LookupRequest(service, id, true, sent))
	}
	return list
}

func newInstance(t testing.TB, name string, services ...*router.Service) *instance {
	t.Helper()
	n := &instance{name: name}
	n.setServices(services...)
	n.fwd = forwarder.New(forwarder.Config{Tables: n, Metrics: n, PeerQuerier: n})
	t.Cleanup(n.fwd.Close)
	n.front = n.serve(t, false)
	n.data = n.serve(t, true)
	return n
}

func (n *instance) serve(t testing.TB, hops bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := server.New(server.Config{Tables: n, Handler: n.fwd, Resolver: n, Hops: hops})
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func (n *instance) setServices(services ...*router.Service) {
	table := router.Build(router.Input{Config: &loader.State{Version: 1}, Self: n.name, Previous: n.table.Load()})
	table.Services = map[string]*router.Service{}
	for _, s := range services {
		table.Services[s.Name] = s
	}
	n.table.Store(table)
}

// peer returns the router.Peer by which another instance reaches n.
func (n *instance) peer(service string) *router.Peer {
	p := &router.Peer{Name: n.name, Address: n.data, Path: new(limiter.CircuitBreaker), Credits: map[string]*limiter.Credit{service: new(limiter.Credit)}}
	p.Credits[service].Update(100, 1)
	return p
}

// newProxyInstance returns an instance that has no slots of a service and only
// forwards to the given peers.
func newProxyInstance(t testing.TB, name string, once bool, peers ...*instance) *instance {
	s := newService(name, once)
	for _, p := range peers {
		s.Peers = append(s.Peers, p.peer(name))
	}
	return newInstance(t, "via", s)
}

// newHedgingInstance returns an instance with hedged requests enabled.
func newHedgingInstance(t testing.TB, s *router.Service) *instance {
	n := newInstance(t, "a", s)
	n.fwd = forwarder.New(forwarder.Config{Tables: n, Metrics: n, Hedge: true})
	t.Cleanup(n.fwd.Close)
	n.front = n.serve(t, false)
	return n
}

// waitSlotsFree waits until no slot of a service is taken.
func waitSlotsFree(t *testing.T, s *router.Service) {
	t.Helper()
	waitFor(t, "slots given back", func() bool {
		busy := 0
		for i := range s.Targets {
			busy += s.Targets[i].Gate.InFlight()
		}
		return busy == 0
	})
}

func newService(name string, once bool, ups ...*upstream) *router.Service {
	s := &router.Service{Name: name, AtMostOnce: once, Timeout: int64(2 * time.Second), MaxBodyBytes: 64 << 20, RetryBudget: new(limiter.RetryBudget)}
	for i, u := range ups {
		gate := new(limiter.Semaphore)
		gate.Set(max(8-7*i, 1), noExpiry) // the first one is preferred by free slots
		s.Targets = append(s.Targets, router.Target{
			Upstream: name + strconv.Itoa(i), Address: u.ln.Addr().String(), MaxConns: 16, Gate: gate, Path: new(limiter.CircuitBreaker),
		})
	}
	return s
}

// addRetries adds n retries to a service's retry budget.
func addRetries(s *router.Service, n int) *router.Service {
	for range 10 * n {
		s.RetryBudget.Deposit()
	}
	return s
}

// response is what a caller received. err is set if it was not a complete
// response.
type response struct {
	status  int
	outcome string
	reason  string
	id      string
	body    string
	header  http.Header
	err     error
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// sendRequest sends a request. headers are name and value pairs.
func sendRequest(addr, method, path, body string, headers ...string) response {
	return sendBody(addr, method, path, strings.NewReader(body), headers...)
}

func sendBody(addr, method, path string, body io.Reader, headers ...string) response {
	r, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return response{err: err}
	}
	if s, ok := body.(*sizedReader); ok {
		r.ContentLength = s.size
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	h := resp.Header
	return response{resp.StatusCode, h.Get("Horn-Outcome"), h.Get("Horn-Reason"), h.Get("Horn-Id"), string(b), h, err}
}

// waitFor waits up to 10 s for a condition.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
