package connector_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/submitter"
	"hornbeamstream.example/core/submitter/verifier"
)

// platform is a fake that serves a submitter.MemoryStore and a list of instances.
type platform struct {
	store     submitter.MemoryStore
	instances map[string]connector.Instance
	calls     atomic.Int64
	// fault handles a request instead of the platform, unless it is nil.
	fault http.HandlerFunc
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	name, isInstance := strings.CutPrefix(r.URL.Path, "/v1/instances/")
	switch {
	case p.fault != nil:
		p.fault(w, r)
	case isInstance && r.Method == http.MethodPut:
		var i connector.Instance
		_ = json.NewDecoder(r.Body).Decode(&i)
		p.instances[name] = i
	case isInstance:
		if _, ok := p.instances[name]; !ok {
			w.WriteHeader(http.StatusNotFound)
		}
		delete(p.instances, name)
	case r.URL.Path == "/v1/instances":
		_ = json.NewEncoder(w).Encode(slices.Collect(maps.Values(p.instances)))
	default:
		verifier.Handler{Store: &p.store}.ServeHTTP(w, r)
	}
}

func start(t *testing.T, p *platform) *connector.Client {
	t.Helper()
	p.instances = map[string]connector.Instance{}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return connect(t, server.URL)
}

func connect(t *testing.T, base string) *connector.Client {
	t.Helper()
	c, err := connector.New(base)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func TestContract(t *testing.T) {
	verifier.Verify(t, func(t *testing.T) submitter.Store {
		p := &platform{}
		p.store.PageSize = 3
		return start(t, p)
	})
}

// hangUp closes the connection without a response.
func hangUp(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// neverAnswer reads the request, so that the server notices when the client
// disconnects.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

// TestPlatformFaults guards against writes that may have taken effect but are
// reported as failed, against retried calls, and against calls that never end.
func TestPlatformFaults(t *testing.T) {
	tests := []struct {
		name        string
		fault       http.HandlerFunc
		write, read error
	}{
		{"hang up", hangUp, submitter.ErrUnknownOutcome, submitter.ErrUnavailable},
		{"silent", neverAnswer, submitter.ErrUnknownOutcome, submitter.ErrUnavailable},
		{"server error", respond(http.StatusInternalServerError, ""), submitter.ErrUnknownOutcome, submitter.ErrUnavailable},
		{"refused", respond(http.StatusTooManyRequests, ""), submitter.ErrUnavailable, submitter.ErrUnavailable},
		{"empty answer", respond(http.StatusOK, ""), submitter.ErrUnknownOutcome, submitter.ErrUnavailable},
		{"no JSON", respond(http.StatusOK, "<html>"), submitter.ErrUnknownOutcome, submitter.ErrUnavailable},
		{"conflict without object", respond(http.StatusConflict, ""), submitter.ErrConflict, submitter.ErrUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := &platform{fault: tt.fault}
			c := start(t, p)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := c.Create(ctx, "ticket/00000001", []byte(`{}`))
			is.True(errors.Is(err, tt.write))
			is.Equal(p.calls.Load(), int64(1))
			ctx, cancel = context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err = c.Get(ctx, "snapshot")
			is.True(errors.Is(err, tt.read))
			is.Equal(p.calls.Load(), int64(2))
			is.Equal(c.CallCounts()["create"], uint64(1))
			is.Equal(c.CallCounts()["get"], uint64(1))
		})
	}
}

// TestUnreachable guards against a refused connection that is reported as an
// unknown outcome.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	c := connect(t, "http://"+l.Addr().String())
	_, err = c.Update(t.Context(), "snapshot", 1, []byte(`{}`))
	is.True(errors.Is(err, submitter.ErrUnavailable))
	is.True(!errors.Is(err, submitter.ErrUnknownOutcome))
	_, err = connector.New("ftp://127.0.0.1:1")
	is.True(err != nil)
}

// TestResponseWithoutFinalStatus guards against taking for an answer of the platform what is
// no final HTTP response, such as one with the status 000.
func TestResponseWithoutFinalStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/2.0 200 OK", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nO dd: v", "HTTP/1.1 200 OK\r\nOdd : v", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\nOdd: v", "HTTP/1.1 103 X\r\nO dd: v\r\n\r\nHTTP/1.1 200 OK"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			c := start(t, &platform{fault: func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				const body = `{"version":7}`
				_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
				_ = conn.Close()
			}})
			_, err := c.Get(t.Context(), "a/1")
			is.True(errors.Is(err, submitter.ErrUnavailable))
			_, err = c.Create(t.Context(), "a/1", []byte(`1`))
			is.True(errors.Is(err, submitter.ErrUnknownOutcome)) // it may have been written
			is.True(errors.Is(c.Register(t.Context(), connector.Instance{Name: "i"}), submitter.ErrUnknownOutcome))
		})
	}
}

// TestResetDuringWrite guards against taking the part of a response without a length for a
// whole one if the platform resets the connection while the call is being written.
func TestResetDuringWrite(t *testing.T) {
	const writes = 20
	is := is.New(t)
	c := start(t, &platform{fault: func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		is.NoErr(err)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}})
	value := []byte(`"` + strings.Repeat("x", 4<<20) + `"`)
	for range writes {
		_, err := c.Create(t.Context(), "a/1", value)
		is.True(errors.Is(err, submitter.ErrUnknownOutcome)) // it may have been written
	}
}

// TestUnendingResponse guards against keeping what the platform sends without end. Small
// responses pass while a large one is being received.
func TestUnendingResponse(t *testing.T) {
	const limit = 1 << 20
	for name, head := range map[string]string{
		"until close": "HTTP/1.1 200 OK\r\n\r\n",
		"announced":   "HTTP/1.1 200 OK\r\nContent-Length: 4000000000000\r\n\r\n",
		"one chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7fffffffff\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			held := make(chan struct{})
			release := make(chan struct{})
			c := start(t, &platform{fault: func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/objects/large" {
					_, _ = io.WriteString(w, `{"key":"small"}`)
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, head+strings.Repeat("x", limit/2))
				close(held)
				<-release
				for err == nil {
					_, err = io.WriteString(conn, strings.Repeat("x", 32<<10))
				}
			}})
			c.MaxResponseBytes = limit
			done := make(chan error, 1)
			go func() {
				_, err := c.Get(t.Context(), "large")
				done <- err
			}()
			<-held
			_, err := c.Get(t.Context(), "small")
			is.NoErr(err)
			close(release)
			err = <-done
			is.True(errors.Is(err, submitter.ErrUnavailable))
			is.True(errors.Is(err, connector.ErrResponseTooLarge))
			_, err = c.Get(t.Context(), "small")
			is.NoErr(err)
		})
	}
}

// TestBodyTimeout guards against waiting for the rest of a body beyond the deadline.
func TestBodyTimeout(t *testing.T) {
	is := is.New(t)
	c := start(t, &platform{fault: func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "9")
		_, _ = io.WriteString(w, "{")
		_ = http.NewResponseController(w).Flush()
		neverAnswer(w, r)
	}})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := c.Get(ctx, "a/1")
	is.True(errors.Is(err, submitter.ErrUnavailable))
	is.True(strings.Contains(err.Error(), "no answer in time"))
}

// TestClosedIdleConnection guards against an idle connection that the platform
// has closed and that makes all further calls fail.
func TestClosedIdleConnection(t *testing.T) {
	is := is.New(t)
	p := &platform{instances: map[string]connector.Instance{}}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	c := connect(t, server.URL)
	_, err := c.Create(t.Context(), "a/1", []byte(`1`))
	is.NoErr(err)
	server.CloseClientConnections()
	if _, err := c.Get(t.Context(), "a/1"); err != nil {
		is.True(errors.Is(err, submitter.ErrUnavailable))
	}
	_, err = c.Get(t.Context(), "a/1")
	is.NoErr(err)
}

// TestCancelWatch guards against a shutdown that waits for the end of a watch.
func TestCancelWatch(t *testing.T) {
	is := is.New(t)
	arrived := make(chan struct{})
	c := start(t, &platform{fault: func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		neverAnswer(w, r)
	}})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	until := time.Now().Add(2 * time.Second)
	go func() {
		_, err := c.Watch(ctx, "ticket/", 0, until)
		done <- err
	}()
	<-arrived
	cancel()
	is.True(errors.Is(<-done, submitter.ErrUnavailable))
	is.True(time.Now().Before(until))
}

func TestInstances(t *testing.T) {
	is := is.New(t)
	c := start(t, &platform{})
	i := connector.Instance{Name: "sofia-a-1", Address: "127.1.1.1:7003", Domain: "sofia-a", State: connector.StateLive}
	is.NoErr(c.Register(t.Context(), i))
	list, err := c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(list, []connector.Instance{i})
	is.NoErr(c.Remove(t.Context(), i.Name))
	is.NoErr(c.Remove(t.Context(), i.Name))
	list, err = c.Instances(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 0)
}
