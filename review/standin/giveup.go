package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["give-up"] = giveUp }

const (
	// pipelinedRequests are sent at once on a connection.
	pipelinedRequests = 8
	// connsPerSecond is the rate of such connections: 64 downloads a second.
	connsPerSecond = 8
	// leaveShare of the clients leave within leaveTime, half the objective of the route, for
	// leavePeriod. That comes leavePeriods times, with leavePause between.
	leaveShare   = 0.3
	leaveTime    = 100 * time.Millisecond
	leavePeriod  = 4 * time.Second
	leavePeriods = 6
	leavePause   = 2 * time.Second
	// calmTime passes after the last client has left.
	calmTime = 10 * time.Second
	// downloadBytes is the length of the longest answers.
	downloadBytes  = 540_000
	downloadBudget = time.Second
	// downloadWork is the work of a server that has handled the object before.
	downloadWork = 80 * time.Millisecond
)

// tally counts the requests of one kind whose clients stayed, and those served.
type tally struct {
	mu           sync.Mutex
	sent, served int
}

func (t *tally) add(served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if served {
		t.served++
	}
}

// downloads opens connections with pipelined downloads for a span of time. A share of the
// clients leaves early.
func (g *ground) downloads(over time.Duration, leaving float64, t *tally) {
	var wait sync.WaitGroup
	begin := time.Now()
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(i) * time.Second / connsPerSecond)
		if at.Sub(begin) >= over {
			break
		}
		time.Sleep(time.Until(at))
		leaves := rand.Float64() < leaving
		wait.Go(func() { g.pipeline(leaves, t) })
	}
	wait.Wait()
}

// pipeline sends downloads at once on one connection and reads the answers in turn.
func (g *ground) pipeline(leaves bool, t *tally) {
	c, err := dialClient(g.node.front())
	if err != nil {
		g.record.line("dial", "error", err)
		return
	}
	defer c.conn.Close()
	var out bytes.Buffer
	var ids []string
	for range pipelinedRequests {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&out, "GET /fiti832/ti23/%s HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, id, downloadBudget.Milliseconds())
	}
	_ = c.conn.SetDeadline(time.Now().Add(downloadBudget + 100*time.Millisecond))
	if _, err := c.conn.Write(out.Bytes()); err != nil {
		g.record.line("send", "error", err)
		return
	}
	if leaves {
		time.Sleep(rand.N(leaveTime))
		g.record.line("leaves", "ids", ids)
		return
	}
	for _, id := range ids {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodGet})
		status, length := 0, int64(0)
		if err == nil {
			status = resp.StatusCode
			length, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
		g.record.line("answer", "kind", "download", "id", id, "status", status, "bytes", length, "error", err)
		t.add(err == nil && status == http.StatusOK)
		if err != nil {
			return
		}
	}
}

// reads sends small requests, one after the other, until stop is closed.
func (g *ground) reads(stop chan struct{}, t func() *tally) {
	w := &crowd{ground: g}
	for {
		c, err := dialClient(g.node.front())
		if err != nil {
			g.record.line("dial", "error", err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ok := true; ok; {
			select {
			case <-stop:
				_ = c.conn.Close()
				return
			default:
			}
			ok = w.ask(c)
			t().add(ok)
		}
		_ = c.conn.Close()
	}
}

// giveUp lets a share of the clients leave that have sent several downloads at once.
func giveUp(g *ground) (int, error) {
	routes := [][]any{
		{"r-1", "jepu9.example", "/lepu270/", "safe", 1200, 250, 2, "huvo11a", 2, true, []string{}, nil},
		{"r-3", "jepu9.example", "/fiti832/ti23/", "download", 1000, 200, 2, "gowu98c", 2, true, []string{}, nil},
	}
	services := [][]any{
		{"huvo11a", "/healthz", 330, "h1", false, 3.0, 15.0},
		{"gowu98c", "/healthz", 330, "h1", false, 3.0, 15.0},
	}
	if err := g.startStore(config(usualLimits(), routes, services)); err != nil {
		return failed, err
	}
	for i := range 12 {
		for _, u := range []*server{
			{id: fmt.Sprintf("i-read-%d", i), service: "huvo11a", work: 50 * time.Millisecond, answerBytes: 5000},
			{id: fmt.Sprintf("i-download-%d", i), service: "gowu98c", work: downloadWork, spread: 0.15, answerBytes: downloadBytes},
		} {
			u.zone, u.healthPath, u.slots, u.record = "sofia-a", "/healthz", 12, g.record
			if err := u.start(g.store); err != nil {
				return failed, err
			}
			g.servers = append(g.servers, u)
		}
	}
	if err := g.startNode(limits{memoryMb: 284, maxFds: 4100}); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	reads, downloads := &tally{}, &tally{}
	stop := make(chan struct{})
	for range 4 {
		go g.reads(stop, func() *tally {
			mu.Lock()
			defer mu.Unlock()
			return reads
		})
	}
	phase := func(name string, over time.Duration, leaving float64) (reached, all *tally) {
		mu.Lock()
		reads, downloads = &tally{}, &tally{}
		r, d := reads, downloads
		mu.Unlock()
		g.downloads(over, leaving, d)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.record.line("state", "phase", name, "downloads", d.sent, "served", d.served, "reads", r.sent, "served", r.served, "memoryMb", g.node.memory())
		return d, &tally{sent: d.sent + r.sent, served: d.served + r.served}
	}
	phase("usual", 4*time.Second, 0)
	for range leavePeriods {
		if g.trouble {
			phase("clients leave", leavePeriod, leaveShare)
		} else {
			phase("clients stay", leavePeriod, 0)
		}
		phase("pause", leavePause, 0)
	}
	time.Sleep(calmTime)
	d, all := phase("after", 10*time.Second, 0)
	close(stop)
	time.Sleep(budget)
	kind, mean := float64(d.served)/float64(d.sent), float64(all.served)/float64(all.sent)
	g.record.line("check", "rule", "Starved", "downloadsServed", kind, "allServed", mean)
	if kind < mean/4 {
		return broken, nil
	}
	return held, nil
}
