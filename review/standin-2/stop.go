package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	// stopMachines machines are stopped and started in turn, one each stopGap, in stopRounds
	// rounds.
	stopMachines, stopRounds, stopGap = 24, 2, time.Second
	// grace is graceS.
	grace = 6 * time.Second
	// clientsPerSecond new connections come to a machine each second. A client sends its
	// request up to longestPause after it has opened the connection, which is less than
	// headerTimeoutMs.
	clientsPerSecond = 2
	longestPause     = time.Second
	// What is left of the client's time budget is between these.
	shortestBudget, longestBudget = 450 * time.Millisecond, 800 * time.Millisecond
)

// post sends an unsafe request on an open connection and returns the status of the answer.
func post(c net.Conn, id string, budget time.Duration) (status int, err error) {
	const body = "amount=17"
	_ = c.SetDeadline(time.Now().Add(budget))
	if _, err = fmt.Fprintf(c, "POST /xapu221/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		id, budget.Milliseconds(), len(body), body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// client opens a connection to a machine and sends an unsafe request after a pause. It reports
// whether a server ran the request and the connection ended without an answer before the
// client's time budget, at least 50 ms of it.
func (w *world) client(n *node, id string, stopped time.Time) (lost bool) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	time.Sleep(time.Duration(rand.Int64N(int64(longestPause))))
	budget := shortestBudget + time.Duration(rand.Int64N(int64(longestBudget-shortestBudget)))
	sent := time.Now()
	status, err := post(c, id, budget)
	took := time.Since(sent)
	runs := w.runs(id)
	lost = err != nil && len(runs) > 0 && took < budget-50*time.Millisecond
	outcome := "answered"
	switch {
	case lost:
		outcome = "LOST"
	case err != nil:
		outcome = "not answered"
	}
	w.note("%s %s: sent %.3f s after the SIGTERM with %d ms left, status %d (%v) after %d ms, run by %v",
		outcome, id, sent.Sub(stopped).Seconds(), budget.Milliseconds(), status, err, took.Milliseconds(), runs)
	return lost
}

// stopCase stops machines by SIGTERM while clients open connections and send their requests.
func stopCase(w *world) (broken bool, err error) {
	if err := w.store.listen(); err != nil {
		return false, err
	}
	w.configure(7, "huvo11a", 0)
	if err := w.startServers("huvo11a", 12, 50, 150*time.Millisecond, 400); err != nil {
		return false, err
	}
	for range stopMachines {
		if _, err := w.startNode(284); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	var lost atomic.Int64
	var wg sync.WaitGroup
	for round := range stopRounds {
		for _, n := range w.nodes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				lost.Add(w.stopOnce(n, round))
			}()
			time.Sleep(stopGap)
		}
	}
	wg.Wait()
	w.note("%d unsafe requests were run and lost", lost.Load())
	return lost.Load() > 0, nil
}

// stopOnce stops a machine while clients come to it, and starts it again. It returns the number
// of lost requests.
func (w *world) stopOnce(n *node, round int) (lost int64) {
	stopped := time.Now()
	if w.trouble {
		if err := n.terminate(); err != nil {
			w.note("%v", err)
		}
	}
	var clients sync.WaitGroup
	var count atomic.Int64
	for i := 0; time.Since(stopped) < grace; i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() / clientsPerSecond * float64(time.Second)))
		clients.Add(1)
		go func() {
			defer clients.Done()
			if w.client(n, fmt.Sprintf("%s-%d-%d", n.name, round, i), stopped) {
				count.Add(1)
			}
		}()
	}
	clients.Wait()
	if !n.running() {
		if err := n.start(); err != nil {
			w.note("%v", err)
		}
	}
	return count.Load()
}
