package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["headers"] = headersCase }

const (
	// crowdSize is the number of clients that come at once, crowdRequests that of the safe
	// requests that each sends before the first is answered.
	crowdSize, crowdRequests = 300, 8
	// crowds is the number of crowds at each process at most.
	crowds = 5
	// headerFields is the number of header fields of 5 bytes in a request, whose header then
	// stays inside maxHeaderBytes.
	headerFields = 3100
)

// crowd sends what a crowd of clients sends at once and waits until all have left.
func (w *world) crowd(n *node, round int) {
	fields := ""
	if w.trouble {
		fields = strings.Repeat("a:1\r\n", headerFields)
	}
	var wg sync.WaitGroup
	var bytes, headers atomic.Int64
	for i := range crowdSize {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			for k := range crowdRequests {
				request := fmt.Sprintf("GET /lepu270/%d HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s-%d-%d-%d\r\nX-Deadline-Ms: 1200\r\n%s\r\n", i, n.name, round, i, k, fields)
				headers.Store(max(headers.Load(), int64(len(request))))
				if _, err := io.WriteString(c, request); err != nil {
					return
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(1200 * time.Millisecond))
			got, _ := io.Copy(io.Discard, c)
			bytes.Add(got)
		}()
	}
	wg.Wait()
	w.note("crowd %d at %s has left: %d clients, %d requests each, with headers of %d bytes; %d bytes of answers",
		round, n.name, crowdSize, crowdRequests, headers.Load(), bytes.Load())
}

// headersCase sends crowds of requests with many header fields.
func headersCase(w *world) (broken bool, err error) {
	if err := w.store.listen(); err != nil {
		return false, err
	}
	w.configure(7, "huvo11a", 0)
	if err := w.startServers("huvo11a", 12, 50, 240*time.Millisecond, 5000); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	for range 2 {
		n, err := w.startNode(284)
		if err != nil {
			return false, err
		}
		w.keepers.Go(func() { n.keepWithinMemory(stop) })
		n.startKept(stop)
	}
	for round := 0; round < crowds && !w.allEnded(3); round++ {
		for _, n := range w.nodes {
			time.Sleep(time.Second)
			if err := n.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			w.crowd(n, round)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	w.keepers.Wait()
	return w.cutTooMany(), nil
}
