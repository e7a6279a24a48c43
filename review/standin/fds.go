package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() {
	cases["descriptors-exit"] = func(g *ground) (int, error) { return descriptors(g, true) }
	cases["descriptors-hang"] = func(g *ground) (int, error) { return descriptors(g, false) }
}

// client keeps one connection open, as the pages allow.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	// asked counts the answers on the connection.
	asked int
}

// ask sends a request on the client's connection and returns the status of the whole
// answer.
func (c *client) ask(id string, budget time.Duration) (int, error) {
	_ = c.conn.SetDeadline(time.Now().Add(budget + 50*time.Millisecond))
	head := fmt.Sprintf("GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, budget.Milliseconds())
	if _, err := c.conn.Write([]byte(head)); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	c.asked++
	return resp.StatusCode, nil
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

var requestCount atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a35f68+uint64(requestCount.Add(1))) }

const (
	// usualClients come in usualTime and keep a connection each: 325 a second. In burstTime,
	// burstClients come, 1.69 times as many a second, or calmClients without the burst.
	usualClients, burstClients, calmClients = 2600, 1650, 975
	usualTime, burstTime                    = 8 * time.Second, 3 * time.Second
	// steadyClients send request after request on the connections that they keep.
	steadyClients = 16
	// ownDescriptors are needed for the clients and the servers.
	ownDescriptors = 6000
	budget         = 1200 * time.Millisecond
	// contactTime is contactMs.
	contactTime = 3 * time.Second
)

// crowd is the clients of a case and what they have seen.
type crowd struct {
	ground *ground
	wait   sync.WaitGroup

	mu             sync.Mutex
	clients        []*client
	served, others int
	ids            map[string]bool
	// cut has the requests on kept connections that ended without an answer.
	cut []string
}

// ask sends one request and notes how it ended.
func (w *crowd) ask(c *client) bool {
	id, kept := newID(), c.asked > 0
	w.mu.Lock()
	if w.ids == nil {
		w.ids = map[string]bool{}
	}
	w.ids[id] = true
	w.mu.Unlock()
	status, err := c.ask(id, budget)
	w.ground.record.line("answer", "id", id, "status", status, "error", err)
	w.mu.Lock()
	defer w.mu.Unlock()
	var timeout net.Error
	if err != nil {
		timeout, _ = err.(net.Error)
	}
	switch {
	case status == http.StatusOK:
		w.served++
	case err != nil && kept && (timeout == nil || !timeout.Timeout()):
		w.cut = append(w.cut, id)
	default:
		w.others++
	}
	return status == http.StatusOK
}

// sent reports whether a client has sent a request with the id.
func (w *crowd) sent(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ids[id]
}

// come lets a number of clients connect, one after the other, and send a request each.
func (w *crowd) come(n int, over time.Duration) {
	begin := time.Now()
	for i := range n {
		time.Sleep(time.Until(begin.Add(over * time.Duration(i) / time.Duration(n))))
		w.wait.Go(func() {
			c, err := dialClient(w.ground.node.front())
			if err != nil {
				w.ground.record.line("dial", "error", err)
				return
			}
			w.ask(c)
			w.mu.Lock()
			w.clients = append(w.clients, c)
			w.mu.Unlock()
		})
	}
}

// keepAsking sends request after request on one connection until stop is closed.
func (w *crowd) keepAsking(stop chan struct{}) {
	c, err := dialClient(w.ground.node.front())
	if err != nil {
		return
	}
	defer c.conn.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if !w.ask(c) {
			return
		}
	}
}

func (w *crowd) state(when string) {
	n := w.ground.node
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ground.record.line("state", "when", when, "running", n.running(), "descriptors", n.descriptors(), "memoryMb", n.memory(), "served", w.served, "cut", len(w.cut), "others", w.others)
}

// descriptors lets many users come at once, so that the process runs out of descriptors.
// With lookUps, some of them ask where to connect meanwhile.
func descriptors(g *ground, lookUps bool) (int, error) {
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < ownDescriptors {
		return failed, fmt.Errorf("the stand-ins need %d descriptors and have %d: %w", ownDescriptors, own.Cur, err)
	}
	if err := g.startUsual(200 * time.Millisecond); err != nil {
		return failed, err
	}
	w := &crowd{ground: g}
	stop := make(chan struct{})
	for range steadyClients {
		go w.keepAsking(stop)
	}
	w.come(usualClients, usualTime)
	w.state("usual")
	if lookUps {
		go g.lookUp(stop)
	}
	if g.trouble {
		w.come(burstClients, burstTime)
	} else {
		w.come(calmClients, burstTime)
	}
	w.wait.Wait()
	w.state("after the burst")
	for _, c := range w.clients {
		_ = c.conn.Close()
	}
	time.Sleep(contactTime)
	close(stop)
	time.Sleep(budget)
	w.state("the users have gone")
	lost := 0
	for _, id := range w.cut {
		if g.ran(id) {
			lost++
		}
	}
	g.record.line("check", "rule", "LOST", "passedOnAndCut", lost, "allowed", 3)
	if lost > 3 {
		return broken, nil
	}
	if !g.node.running() {
		return held, nil
	}
	return g.checkNew(w)
}

// checkNew reports whether a process that says that it is ready takes new connections.
func (g *ground) checkNew(w *crowd) (int, error) {
	var good atomic.Int64
	var wait sync.WaitGroup
	ready := true
	for range 10 {
		wait.Go(func() {
			end := time.Now().Add(2 * contactTime)
			for time.Now().Before(end) {
				c, err := dialClient(g.node.front())
				if err != nil {
					g.record.line("dial", "error", err)
					time.Sleep(contactTime / 10)
					continue
				}
				if w.ask(c) {
					good.Add(1)
				}
				_ = c.conn.Close()
				time.Sleep(contactTime / 10)
			}
		})
	}
	for range 6 {
		time.Sleep(contactTime / 3)
		now := g.isReady()
		g.record.line("ready", "answer", now)
		ready = ready && now
	}
	wait.Wait()
	g.record.line("check", "rule", "RECOVER", "clients", 10, "forMs", (2 * contactTime).Milliseconds(), "served", good.Load(), "ready", ready)
	if ready && good.Load() == 0 {
		return broken, nil
	}
	return held, nil
}

// lookUp asks where to connect, as a client does that has no connection, and whether the
// process is ready, as the platform does, once a second each.
func (g *ground) lookUp(stop chan struct{}) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		for _, url := range []string{
			fmt.Sprintf("http://%s:%d/-/resolve?name=jepu9.example&region=sofia&zone=sofia-a", g.node.ip, g.node.ports.directory),
			fmt.Sprintf("http://%s/-/readyz", g.node.ready()),
		} {
			resp, err := c.Get(url)
			status := 0
			if err == nil {
				status = resp.StatusCode
				_ = resp.Body.Close()
			}
			g.record.line("look-up", "url", url, "status", status, "error", err)
		}
	}
}
