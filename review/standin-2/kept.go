package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// keptClients is the number of clients that keep a connection to each machine, mostCut
	// that of their requests that a machine may cut.
	keptClients, mostCut = 16, 3
	// budget is the time budget of their requests.
	budget = 1200 * time.Millisecond
)

// startKept starts ordinary clients that keep a connection to a machine and send one safe
// request after the other on it until stop is closed.
func (n *node) startKept(stop chan struct{}) {
	for i := range keptClients {
		go func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				n.keep(fmt.Sprintf("%s-kept%d-%d", n.name, i, k), stop)
			}
		}()
	}
}

// keep opens a connection and uses it until it ends.
func (n *node) keep(name string, stop chan struct{}) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("%s-%d", name, k)
		sent := time.Now()
		_ = c.SetDeadline(sent.Add(budget))
		status, closes, err := getOn(c, r, id)
		took := time.Since(sent)
		switch runs := n.world.runs(id); {
		case err == nil:
			n.answered.Add(1)
			if status != http.StatusOK {
				n.world.note("kept %s: answer %d after %d ms", id, status, took.Milliseconds())
				time.Sleep(50 * time.Millisecond)
			}
		case k > 0 && len(runs) > 0 && took < budget-50*time.Millisecond:
			n.cut.Add(1)
			n.world.note("CUT %s: the connection ends without a whole answer after %d ms (%v), run by %v", id, took.Milliseconds(), err, runs)
		default:
			n.world.note("kept %s: not answered after %d ms (%v), run by %v", id, took.Milliseconds(), err, runs)
		}
		if err != nil || closes {
			return
		}
	}
}

// getOn sends a safe request on a connection and reads the answer.
func getOn(c net.Conn, r *bufio.Reader, id string) (status int, closes bool, err error) {
	if _, err = fmt.Fprintf(c, "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", id, budget.Milliseconds()); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Close, err
}

// cutTooMany reports whether a machine has cut too many requests on kept connections.
func (w *world) cutTooMany() (broken bool) {
	for _, n := range w.nodes {
		w.note("machine %s: its process ended by itself %d times; of the requests on kept connections %d were answered and %d were passed on and cut, %d may be",
			n.name, n.ends.Load(), n.answered.Load(), n.cut.Load(), mostCut)
		broken = broken || n.cut.Load() > mostCut
	}
	return broken
}
