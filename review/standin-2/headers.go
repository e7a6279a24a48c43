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
	// usualRate is the number of requests a second on the site kasa-klub, burstFactor and
	// burstLength are the dose of burst in its troubles. Only one machine takes them.
	usualRate, burstFactor = 636, 1.7
	burstLength            = 3 * time.Second
	// bursts is the number of bursts at each process at most.
	bursts = 3
	// headerFields is the number of header fields of 5 bytes in a request, whose header then
	// stays inside maxHeaderBytes.
	headerFields = 3100
)

// burst sends what clients send in a burst: each opens a connection, sends one safe request and
// keeps the connection until the end of the burst.
func (w *world) burst(n *node, round int) {
	fields := ""
	if w.trouble {
		fields = strings.Repeat("a:1\r\n", headerFields)
	}
	var wg sync.WaitGroup
	var clients, bytes, header atomic.Int64
	start := time.Now()
	over := start.Add(burstLength)
	for time.Now().Before(over) {
		if due := int64(time.Since(start).Seconds() * usualRate * burstFactor); clients.Load() >= due {
			time.Sleep(time.Millisecond)
			continue
		}
		i := clients.Add(1)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := net.DialTimeout("tcp", n.front, time.Second)
			if err != nil {
				return
			}
			defer c.Close()
			request := fmt.Sprintf("GET /lepu270/%d HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s-%d-%d\r\nX-Deadline-Ms: 1200\r\n%s\r\n", i, n.name, round, i, fields)
			header.Store(int64(len(request)))
			if _, err := io.WriteString(c, request); err != nil {
				return
			}
			_ = c.SetReadDeadline(over)
			got, _ := io.Copy(io.Discard, c)
			bytes.Add(got)
		}()
	}
	wg.Wait()
	w.note("burst %d at %s is over: %d clients in %.2f s, one request each, with headers of %d bytes; %d bytes of answers",
		round, n.name, clients.Load(), time.Since(start).Seconds(), header.Load(), bytes.Load())
}

// headersCase sends bursts of requests with many header fields.
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
	for round := 0; round < bursts && !w.allEnded(1); round++ {
		for _, n := range w.nodes {
			time.Sleep(time.Second)
			if err := n.awaitReady(10 * time.Second); err != nil {
				return false, err
			}
			w.burst(n, round)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	w.keepers.Wait()
	return w.cutTooMany(), nil
}
