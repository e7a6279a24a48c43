package main

import (
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// server is a sound server of a service.
type server struct {
	id, service string
	world       *world
	slots       chan struct{}
	// work is how long a request runs, answer the length of the bodies.
	work   time.Duration
	answer int
	quiet  bool
}

// startServers starts sound servers of a service and registers them.
func (w *world) startServers(service string, n, slots int, work time.Duration, answer int) error {
	for i := range n {
		u := &server{id: fmt.Sprintf("i-%s-%d", service, i), service: service, world: w, slots: make(chan struct{}, slots), work: work, answer: answer}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go func() { _ = (&http.Server{Handler: u, IdleTimeout: 10 * time.Second}).Serve(ln) }()
		w.register(u.id, service, ln.Addr().String(), slots, 1)
	}
	return nil
}

// register writes the entry of a ready server.
func (w *world) register(id, service, address string, slots, seq int) {
	w.store.put("servers", id, map[string]any{
		"service": service, "address": address, "zone": "sofia-a", "version": "v1", "maxConcurrency": slots,
		"state": "ready", "coldLeftMs": 0, "callSeq": seq, "born": w.began.UnixMilli(),
	})
}

func stampOf(server, id string, body []byte) string {
	return fmt.Sprintf("%s.%08x", server, crc32.ChecksumIEEE(append([]byte(id+" "), body...)))
}

func (u *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Instance-Id", u.id)
	if id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != u.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if id == "" {
		if r.URL.Path != "/healthz" {
			rw.Header().Set("X-Not-Executed", "1")
			rw.WriteHeader(http.StatusBadRequest)
		}
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-time.After(300 * time.Millisecond):
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.world.ran(id, u.id)
	if !u.quiet {
		u.world.note("server %s runs %s: %s %s, body %d bytes", u.id, id, r.Method, r.RequestURI, len(body))
	}
	time.Sleep(u.work)
	answer := make([]byte, u.answer)
	for i := range answer {
		answer[i] = 'a' + byte(i%26)
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	rw.Header().Set("X-Response-Stamp", stampOf(u.id, id, answer))
	rw.Header().Set("Keep-Alive", "timeout=10")
	_, _ = rw.Write(answer)
}

// longPath is the rest of the path prefix of the further routes.
var longPath = strings.Repeat("ny95/", 40)

// configure writes a desired state with a safe and an unsafe route, and more routes.
func (w *world) configure(version int, service string, more int) {
	rows := [][]any{
		{"r-read", "jepu9.example", "/lepu270/", "safe", 1200, 250, 2, service, 2, true, []string{}, nil},
		{"r-post", "jepu9.example", "/xapu221/", "unsafe", 1500, 300, 1, service, 2, true, []string{}, nil},
	}
	for i := range more {
		rows = append(rows, []any{fmt.Sprintf("r-%07d", i), "jepu9.example", fmt.Sprintf("/kawu%d/%s", i, longPath), "safe", 1200 + version%2, 250, 2, service, 2, true, []string{}, nil})
	}
	w.store.put("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "pathPrefix", "kind", "timeoutMs", "latencyTargetMs", "priority", "service", "attempts", "sticky", "homeRegions", "trafficSplit"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls", "coldStartS", "coldPerS"},
			"rows":    [][]any{{service, "/healthz", 330, "h1", false, 3.0, 15.0}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
