package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["bodies"] = bodies }

const (
	// bodyBytes is the length of a posting, five eighths of maxBodyBytes.
	bodyBytes = 40 << 20
	// usualPostings come in each span of burstTime, one after the other. In the burst, 1.6
	// times as many come, in groups at the same moment.
	usualPostings = 5
	// watchInterval is how often the platform looks at the memory of the process.
	watchInterval = 5 * time.Millisecond
)

var burstGroups = []int{4, 4}

// bodies lets many users post long bodies at once.
func bodies(g *ground) (int, error) {
	if err := g.startUsual(200 * time.Millisecond); err != nil {
		return failed, err
	}
	w := &crowd{ground: g}
	stop := make(chan struct{})
	for range steadyClients {
		go w.keepAsking(stop)
	}
	var peak atomic.Int64
	go g.limitMemory(stop, &peak)
	body := strings.Repeat("x", bodyBytes)
	for range 2 * usualPostings {
		g.post(body)
		time.Sleep(burstTime / usualPostings)
	}
	g.record.line("state", "when", "usual", "peakMb", peak.Load())
	if g.trouble {
		for _, n := range burstGroups {
			var wait sync.WaitGroup
			for range n {
				wait.Go(func() { g.post(body) })
			}
			wait.Wait()
			time.Sleep(burstTime / time.Duration(len(burstGroups)))
		}
	}
	time.Sleep(time.Second)
	close(stop)
	time.Sleep(budget)
	w.state("end")
	g.record.line("state", "when", "end", "peakMb", peak.Load(), "memoryMb", 284)
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
	return held, nil
}

// limitMemory kills the process once it exceeds its memory, as the platform does.
func (g *ground) limitMemory(stop chan struct{}, peak *atomic.Int64) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		mb := int64(g.node.memory())
		peak.Store(max(peak.Load(), mb))
		if mb > 284 {
			g.record.line("platform", "kills", g.node.name, "memoryMb", mb, "allowed", 284)
			_ = g.node.process.Signal(syscall.SIGKILL)
			return
		}
	}
}

// post sends one posting on a connection of its own.
func (g *ground) post(body string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.node.front()+"/xapu221/1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	id := newID()
	req.Host = "jepu9.example"
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "1500")
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	begin := time.Now()
	resp, err := c.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	g.record.line("posting", "id", id, "bytes", len(body), "status", status, "tookMs", time.Since(begin).Milliseconds(), "error", fmt.Sprint(err))
}
