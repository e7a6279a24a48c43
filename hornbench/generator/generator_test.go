package generator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"hornbeamstream.example/hornbench/emulator"
)

// entry is a stand-in for an instance's front address.
type entry struct {
	*httptest.Server
	mu   sync.Mutex
	list []string
	// attempts holds the Horn-Attempt of every request.
	attempts []string
	answer   func(w http.ResponseWriter, r *http.Request, request []byte)
}

func newEntry(t *testing.T) *entry {
	e := &entry{}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.Close)
	e.list = []string{e.address()}
	return e
}

func (e *entry) address() string { return e.Listener.Addr().String() }

func (e *entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.URL.Path == "/v1/lookup" {
		list := fmt.Sprintf("%q", e.list)
		if len(e.list) == 2 {
			list = fmt.Sprintf("[%q,%q]", e.list[0], e.list[1])
		}
		fmt.Fprintf(w, `{"entries":%s,"until":%d}`, list, time.Now().Add(5*time.Second).UnixMilli())
		return
	}
	e.attempts = append(e.attempts, r.Header.Get("Horn-Attempt"))
	request, _ := io.ReadAll(r.Body)
	w.Header().Set("Horn-Id", r.Header.Get("Horn-Id"))
	w.Header().Set("Horn-Outcome", "ran")
	e.answer(w, r, request)
}

func right(w http.ResponseWriter, r *http.Request, request []byte) {
	_, _ = w.Write(emulator.Answer("posting", r.Header.Get("Horn-Id"), request, 700))
}

func notrun(after time.Duration) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, _ *http.Request, _ []byte) {
		w.Header().Set("Horn-Outcome", "notrun")
		w.Header().Set("Horn-Retry", fmt.Sprint(time.Now().Add(after).UnixMilli()))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against callers that take a partial answer or another's for their own,
// repeat what may have run, give up what may be repeated, or mark a send after a
// refusal as a repeat, which makes the system ask all instances about it.
func TestOutcomes(t *testing.T) {
	for _, x := range []struct {
		name    string
		answer  func(http.ResponseWriter, *http.Request, []byte)
		outcome Outcome
		tries   int
	}{
		{"right", right, OK, 1},
		{"another's", func(w http.ResponseWriter, _ *http.Request, q []byte) {
			_, _ = w.Write(emulator.Answer("posting", "other", q, 700))
		}, Wrong, 1},
		{"another's header", func(w http.ResponseWriter, r *http.Request, q []byte) {
			w.Header().Set("Horn-Id", "other")
			right(w, r, q)
		}, Wrong, 1},
		{"partial in whole framing", func(w http.ResponseWriter, r *http.Request, q []byte) {
			_, _ = w.Write(emulator.Answer("posting", r.Header.Get("Horn-Id"), q, 700)[:600])
		}, Wrong, 1},
		{"truncated", func(w http.ResponseWriter, r *http.Request, q []byte) {
			w.Header().Set("Content-Length", "700")
			_, _ = w.Write(emulator.Answer("posting", r.Header.Get("Horn-Id"), q, 700)[:600])
		}, Unknown, 1},
		{"closed", func(http.ResponseWriter, *http.Request, []byte) { panic(http.ErrAbortHandler) }, Unknown, 1},
		{"unknown", func(w http.ResponseWriter, _ *http.Request, _ []byte) {
			w.Header().Set("Horn-Outcome", "unknown")
			w.WriteHeader(http.StatusGatewayTimeout)
		}, Unknown, 1},
		{"notrun, retry in time", notrun(time.Millisecond), NotRun, maxTries},
		{"notrun, retry too late", notrun(time.Hour), NotRun, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			e := newEntry(t)
			e.answer = x.answer
			l := &Load{Flows: []Flow{{Service: "posting", Region: "r", Body: 10, Limit: 10 * time.Second}}, Entries: []string{e.address()}, Ledger: &Ledger{}}
			is.NoErr(l.Prepare(t.Context()))
			l.callers["r"][0].do(t.Context(), l.Flows[0], "id", time.Now())
			e.Close()
			r := l.Ledger.Requests()[0]
			is.Equal(r.Outcome, x.outcome)
			is.Equal(len(r.Tries), x.tries)
			for _, a := range e.attempts {
				is.Equal(a, "1")
			}
			is.Equal(len(e.attempts), x.tries)
		})
	}
}

// Guards against a retry through the same entry and against a first send that
// counts as a repeat after a refused connection.
func TestNextEntry(t *testing.T) {
	is := is.New(t)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(gone.Close())
	e := newEntry(t)
	e.answer = right
	e.list = []string{gone.Addr().String(), e.address()}
	l := &Load{Flows: []Flow{{Service: "posting", Region: "r", Limit: 10 * time.Second}}, Entries: []string{e.address()}, Ledger: &Ledger{}}
	is.NoErr(l.Prepare(t.Context()))
	l.callers["r"][0].do(t.Context(), l.Flows[0], "id", time.Now())
	e.Close()
	r := l.Ledger.Requests()[0]
	is.Equal(r.Outcome, OK)
	is.Equal(len(r.Tries), 2)
	is.True(r.Tries[0].Unsent)
	is.Equal(r.Tries[0].Outcome, NotRun)
	is.Equal(e.attempts, []string{"1"})
}

// Guards against load that waits for answers and so hides their lateness.
func TestOpenLoop(t *testing.T) {
	is := is.New(t)
	e := newEntry(t)
	e.answer = right
	l := &Load{Flows: []Flow{{Service: "posting", Region: "r", Rate: 2000, Limit: 10 * time.Second}}, Entries: []string{e.address()}, Ledger: &Ledger{}, Seed: 7}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	is.NoErr(l.Prepare(ctx))
	e.mu.Lock() // nothing is answered
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	for end := time.Now().Add(10 * time.Second); l.flying.Load() < 100; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("requests wait for answers")
		}
	}
	cancel()
	e.mu.Unlock()
	<-done
	list := l.Ledger.Requests()
	is.Equal(Outcomes(list)[OK], len(list))
	is.Equal(int(Latency(list, func(Request) bool { return true }).TotalCount()), len(list))
}
