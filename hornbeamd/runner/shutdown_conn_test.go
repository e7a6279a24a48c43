package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
)

// shutdownUpstream is an upstream of the service s whose runs take a fixed time. It records
// the IDs of the requests that it has run.
type shutdownUpstream struct {
	runTime time.Duration

	mu  sync.Mutex
	ran map[string]bool
}

// ServeHTTP implements http.Handler.
func (u *shutdownUpstream) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Id")
	u.mu.Lock()
	u.ran[id] = true
	u.mu.Unlock()
	_, _ = io.Copy(io.Discard, q.Body)
	time.Sleep(u.runTime)
	w.Header().Set("Id", id)
	fmt.Fprint(w, "ran")
}

func (u *shutdownUpstream) hasRun(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// startShutdownInstance starts an instance with one upstream, which requests for /once/ must
// not reach twice, and waits until it serves.
func startShutdownInstance(t *testing.T, n int, stop, runTime, timeout time.Duration) (*testInstance, *shutdownUpstream) {
	t.Helper()
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	u := &shutdownUpstream{runTime: runTime, ran: map[string]bool{}}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: u}
	go func() { _ = server.Serve(ln) }()
	t.Cleanup(func() { _ = server.Close() })
	m := newMemoryStore()
	m.put(steerer.Upstreams, steerer.Object{Name: "u", Upstream: &steerer.Upstream{ID: "u", Service: "s", Address: ln.Addr().String(), Domain: "d", Slots: 200}})
	m.put(steerer.Configs, steerer.Object{Name: "main", Config: &steerer.Config{
		Version:  1,
		Services: []steerer.Service{{Name: "s", Conns: 250}},
		Routes: []steerer.Route{{
			Name: "once", Host: "h", Prefix: "/once/", Timeout: timeout, Aim: timeout, Attempts: 1,
			Parts: []steerer.WeightedService{{Service: "s", Weight: 1}},
		}},
	}})
	i := startInstance(t, m, n, func(c *Config) { c.Bounds.Stop = stop })
	waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 true 1")
	is.Equal(get(i.cfg.Self.Front, "/once/x"), "200 ran")
	return i, u
}

// TestNoRequestOfSilentConnCutByExit guards against requests that arrive late in a graceful
// shutdown on connections that were silent until then: they were read and sent to an
// upstream, and the process exited before the response. Each one must be answered, or must
// not have run.
func TestNoRequestOfSilentConnCutByExit(t *testing.T) {
	is := is.New(t)
	const (
		stop, runTime, timeout = 6 * time.Second, 150 * time.Millisecond, 700 * time.Millisecond
		instances              = 12
		// step is the time between the requests of two instances, of which the first is
		// sent when the listeners close.
		step = 10 * time.Millisecond
	)
	results := make([]string, instances)
	var group sync.WaitGroup
	for k := range instances {
		i, u := startShutdownInstance(t, 20+k, stop, runTime, timeout)
		group.Go(func() {
			c, err := net.Dial("tcp", i.cfg.Self.Front)
			is.NoErr(err)
			defer func() { _ = c.Close() }()
			i.stop()
			time.Sleep(time.Duration(closeListenerShare*float64(stop)) + time.Duration(k)*step)
			answer := make(chan string, 1)
			go func() { answer <- sendOnce(c, "silent") }()
			results[k] = awaitExit(t, i, u, answer)
		})
	}
	group.Wait()
	t.Log(results)
	for _, result := range results {
		is.True(result != "cut")
	}
}

// awaitExit waits until an instance has shut down and returns the result of the request
// "silent". It is "cut" if the request has run and is not answered then.
func awaitExit(t *testing.T, i *testInstance, u *shutdownUpstream, answer chan string) (result string) {
	t.Helper()
	is := is.New(t)
	// The process exits when Run has returned.
	<-i.done
	is.NoErr(i.err)
	select {
	case result = <-answer:
	case <-time.After(50 * time.Millisecond):
		result = "closed"
	}
	if result == "closed" && u.hasRun("silent") {
		return "cut"
	}
	return result
}

// sendOnce sends a request on c and returns its status, or "closed" if the connection ends
// without a response.
func sendOnce(c net.Conn, id string) string {
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err := fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: 4\r\n\r\nbody", id)
	if err != nil {
		return "closed"
	}
	response, err := io.ReadAll(c)
	status := strings.Fields(string(response))
	if len(status) < 2 || err != nil && len(response) == 0 {
		return "closed"
	}
	return status[1]
}

// openCaller opens a connection to an instance and writes the given bytes.
func openCaller(t *testing.T, i *testInstance, bytes string) net.Conn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", i.cfg.Self.Front)
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetDeadline(time.Now().Add(20 * time.Second)))
	_, err = io.WriteString(c, bytes)
	is.NoErr(err)
	return c
}

// request returns a request that must not run twice.
func request(id, body string) string {
	return fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// statuses returns the statuses of all whole responses on a connection until it ends.
func statuses(c net.Conn) (found []int) {
	reader := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return found
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return found
		}
		found = append(found, response.StatusCode)
	}
}

// statusesAtExit returns what statuses returns when an instance has shut down.
func statusesAtExit(t *testing.T, i *testInstance, c net.Conn) []int {
	t.Helper()
	is := is.New(t)
	received := make(chan []int, 1)
	go func() { received <- statuses(c) }()
	<-i.done
	is.NoErr(i.err)
	select {
	case found := <-received:
		return found
	case <-time.After(50 * time.Millisecond):
		t.Error("the connection is open when the process exits")
		return nil
	}
}

// TestIncompleteRequestRefusedAtExit guards against requests of which only a part has arrived
// when the process exits: their connections ended without a response, so that a caller could
// not know that the request has not run. They have to be refused.
func TestIncompleteRequestRefusedAtExit(t *testing.T) {
	whole := request("incomplete", "body")
	for name, part := range map[string]string{"header": whole[:30], "body": whole[:len(whole)-2]} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i, u := startShutdownInstance(t, 40, 3*time.Second, time.Millisecond, 100*time.Millisecond)
			c := openCaller(t, i, part)
			i.stop()
			is.Equal(statusesAtExit(t, i, c), []int{503})
			is.True(!u.hasRun("incomplete"))
		})
	}
}

// TestRequestsReadAheadAnsweredInShutdown guards against requests that have been read behind
// another one when a shutdown begins: the connection closed after the first response.
func TestRequestsReadAheadAnsweredInShutdown(t *testing.T) {
	for name, first := range map[string]string{"after a header": request("first", ""), "after a body": request("first", "body")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i, u := startShutdownInstance(t, 41, 4*time.Second, 600*time.Millisecond, 900*time.Millisecond)
			c := openCaller(t, i, first+request("second", ""))
			time.Sleep(300 * time.Millisecond) // the first one runs, the second one has been read
			i.stop()
			is.Equal(statusesAtExit(t, i, c), []int{200, 200})
			is.True(u.hasRun("second"))
		})
	}
}

// TestShutdownBeforeConfiguration guards against an immediate exit of an instance that is told
// to stop before it has a configuration. It has to refuse the requests that arrive meanwhile.
func TestShutdownBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	m := newMemoryStore()
	m.unavailable = true
	i := startInstance(t, m, 42, func(c *Config) { c.Bounds.Stop = 3 * time.Second })
	waitForResponse(t, i.cfg.DirectoryAddress, "/", "200 false 0")
	c := openCaller(t, i, "")
	i.stop()
	time.Sleep(300 * time.Millisecond)
	_, err := io.WriteString(c, request("early", ""))
	is.NoErr(err)
	is.Equal(statusesAtExit(t, i, c), []int{503})
}

// TestQueuedConnsServedInShutdown guards against connections that the kernel has accepted and
// the process has not when the listener closes: they were reset.
func TestQueuedConnsServedInShutdown(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var callers [5]net.Conn
	for k := range callers {
		callers[k], err = net.Dial("tcp", ln.Addr().String())
		is.NoErr(err)
		is.NoErr(callers[k].SetDeadline(time.Now().Add(20 * time.Second)))
		_, err = io.WriteString(callers[k], request("queued", ""))
		is.NoErr(err)
	}
	closeAfterQueue(ln)
	r := New(Config{Bounds: steerer.Bounds{Stop: time.Second}, Dialect: plainDialect{}, Directory: plainDialect{}, Store: newMemoryStore(), Log: logr.Discard(), Clock: NewClock()})
	r.table.Store(&dispatcher.Table{})
	r.relayer.StartDrain()
	_ = r.relayer.Serve(ln) // ends with the queue
	for _, c := range callers {
		is.Equal(statuses(c), []int{503})
	}
	_, err = net.Dial("tcp", ln.Addr().String())
	is.True(err != nil)
}
