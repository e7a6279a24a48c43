package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["versions"] = versionsCase }

// get sends one safe request on a connection of its own and returns the status of the answer.
func get(address, id string, budget time.Duration) (status int, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(budget))
	if _, err := fmt.Fprintf(c, "GET /lepu270/2f HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\n\r\n", id, budget.Milliseconds()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	return resp.StatusCode, err
}

// ordinary sends a safe request to each process ten times a second until stop is closed. It
// counts those with an answer of 200 and the others.
func (w *world) ordinary(n *node, stop chan struct{}, good, bad *atomic.Int64) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		go func() {
			id := fmt.Sprintf("%s-%d", n.name, i)
			if status, err := get(n.front, id, 1200*time.Millisecond); err != nil || status != http.StatusOK {
				bad.Add(1)
				w.note("request %s: status %d, %v, run by %v", id, status, err, w.runs(id))
				return
			}
			good.Add(1)
		}()
	}
}

const (
	// moreRoutes is two times the dose of big_config on the site sankofa-casts-grown. The
	// desired state has less than valueBytes with them.
	moreRoutes = 2 * 1676
	// stormLength is the length of config_storm on the site zdroj-rounds. The changes are
	// further apart than there. stormPause is the time between two storms.
	stormLength, stormGap, stormPause = 2 * time.Second, 200 * time.Millisecond, 200 * time.Millisecond
	// longest is the longest time of the storms, calm that without any.
	longest, calm = 114 * time.Second, 30 * time.Second
)

// versionsCase changes a desired state of many routes in storms.
func versionsCase(w *world) (broken bool, err error) {
	if err := w.store.listen(); err != nil {
		return false, err
	}
	version := 7
	w.configure(version, "huvo11a", moreRoutes)
	if err := w.startServers("huvo11a", 12, 6, 100*time.Millisecond, 400); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var good, bad atomic.Int64
	for range 2 {
		n, err := w.startNode(184)
		if err != nil {
			return false, err
		}
		go n.keepWithinMemory(stop)
		go w.ordinary(n, stop, &good, &bad)
	}
	w.note("the desired state has %d bytes", len(w.store.spec("config", "main")))
	for start := time.Now(); !w.fault() && time.Since(start) < longest; {
		if !w.trouble {
			time.Sleep(calm)
			break
		}
		for storm := time.Now(); time.Since(storm) < stormLength; time.Sleep(stormGap) {
			version++
			w.configure(version, "huvo11a", moreRoutes)
		}
		w.note("version r%d is written", version)
		time.Sleep(stormPause)
	}
	close(stop)
	w.note("ordinary requests: %d answered 200, %d others", good.Load(), bad.Load())
	return w.fault(), nil
}
