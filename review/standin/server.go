package main

import (
	"cmp"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a service.
type server struct {
	id, service, address, zone, healthPath string
	work                                   time.Duration
	slots                                  int
	born                                   int64
	// spread is the relative spread of the work, answerBytes the length of the answers, 400
	// if it is 0.
	spread      float64
	answerBytes int
	record      *record
	free        chan struct{}
	listener    net.Listener
	http        *http.Server

	mu   sync.Mutex
	runs map[string]int
}

// start listens and registers the server.
func (u *server) start(s *store) error {
	if err := u.listen(); err != nil {
		return err
	}
	u.register(s)
	return nil
}

// listen serves at the server's address. An empty one selects a free one.
func (u *server) listen() error {
	if u.address == "" {
		u.address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.address, u.listener = ln.Addr().String(), ln
	u.free, u.runs, u.born = make(chan struct{}, u.slots), map[string]int{}, time.Now().UnixMilli()
	u.http = &http.Server{Handler: u}
	go func() { _ = u.http.Serve(ln) }()
	return nil
}

// register writes the server's entry.
func (u *server) register(s *store) {
	s.put("servers", u.id, map[string]any{
		"service": u.service, "address": u.address, "zone": u.zone, "version": "v1", "maxConcurrency": u.slots,
		"state": "ready", "coldLeftMs": 0, "callSeq": 1, "born": u.born,
	})
}

// ids returns the ids of the requests that the server has run.
func (u *server) ids() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Sorted(maps.Keys(u.runs))
}

// crash ends the server without a word to the store.
func (u *server) crash() { _ = u.http.Close() }

func (u *server) ran(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

func stamp(server, id string, body []byte) string {
	return fmt.Sprintf("%s.%08x", server, crc32.ChecksumIEEE([]byte(id+"\n"+string(body))))
}

func (u *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Id", u.id)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case u.free <- struct{}{}:
		defer func() { <-u.free }()
	case <-time.After(200 * time.Millisecond):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == u.healthPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	u.runs[id]++
	u.mu.Unlock()
	u.record.line("run", "server", u.id, "service", u.service, "id", id, "method", r.Method, "path", r.RequestURI, "bytes", len(body))
	time.Sleep(time.Duration(float64(u.work) * (1 + u.spread*rand.NormFloat64())))
	answer := []byte(strings.Repeat("x", cmp.Or(u.answerBytes, 400)))
	w.Header().Set("X-Response-Stamp", stamp(u.id, id, answer))
	_, _ = w.Write(answer)
}
