package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answer is what a caller sees of one request.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// kind names the outcome in the words of the fault table.
func (a answer) kind(id string) string {
	var timeout net.Error
	switch {
	case errors.Is(a.err, syscall.ECONNREFUSED):
		return "no connection"
	case errors.Is(a.err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(a.err, io.ErrUnexpectedEOF):
		return "truncated"
	case errors.As(a.err, &timeout) && timeout.Timeout():
		return "silent"
	case a.err != nil:
		return "closed"
	case a.header.Get("Horn-Refused") != "":
		return "refused " + a.header.Get("Horn-Refused")
	case a.status != 200:
		return fmt.Sprintf("status %d", a.status)
	case Verify(a.body, "lookup", id, nil) != nil:
		return "other"
	}
	return "ok"
}

type caller struct {
	address string
	http.Client
}

func newCaller(address string) *caller {
	// One connection that carries one request after another.
	return &caller{address, http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}}
}

func (c *caller) send(ctx context.Context, id string, deadline time.Time) answer {
	r, _ := http.NewRequestWithContext(ctx, "GET", "http://"+c.address+"/x", nil)
	r.Header.Set("Horn-Id", id)
	if !deadline.IsZero() {
		r.Header.Set("Horn-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	}
	a, err := c.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return answer{a.StatusCode, a.Header, b, err}
}

// startUpstream starts an upstream on an address of this process, whose ports no
// other one takes while the upstream is closed.
func startUpstream(t *testing.T, b Behavior) *Upstream {
	ip := fmt.Sprintf("127.77.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	u := NewUpstream(Place{Name: "u", Service: "lookup", Region: "r", Address: address}, b, &Ledger{})
	if err := u.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u
}

// until waits for a condition that another goroutine brings about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timeout: " + what)
		}
	}
}

// Guards against fault switches of upstreams that do nothing or do it to more
// requests than asked for.
func TestUpstreamFaults(t *testing.T) {
	for _, x := range []struct {
		name   string
		change string
		// first is the answer under the fault, second that to the next request.
		first, second string
		runs          string
	}{
		{"none", `{}`, "ok", "ok", "done done"},
		{"bulk", `{"size":300000}`, "ok", "ok", "done done"},
		{"shed", `{"shed":1}`, "refused shed", "ok", "done"},
		{"truncated", `{"truncate":1,"size":300000}`, "truncated", "ok", "truncated done"},
		{"reset after bytes", `{"reset":1,"after":40000,"size":300000}`, "reset", "ok", "reset done"},
		{"reset at once", `{"reset":1}`, "reset", "ok", "reset done"},
		{"another's answer", `{"swap":1}`, "other", "ok", "done done"},
		{"late", `{"late":1,"delay":60000}`, "silent", "ok", "done done"},
		{"hang", `{"hang":true}`, "silent", "silent", "cancelled cancelled"},
		{"down", `{"down":true}`, "no connection", "no connection", ""},
		{"slow", `{"mean":1,"slow":100000}`, "silent", "silent", "cancelled cancelled"},
		{"cold", `{"mean":1,"cold":1,"chill":100000}`, "silent", "ok", "cancelled done"},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			u := startUpstream(t, Behavior{Slots: 1, Size: 500})
			is.NoErr(u.Change(func(b *Behavior) { is.NoErr(json.Unmarshal([]byte(x.change), b)) }))
			c := newCaller(u.Address)
			c.Timeout = 500 * time.Millisecond
			is.Equal(c.send(t.Context(), "a", time.Time{}).kind("a"), x.first)
			until(t, "the slot is free", func() bool { return u.Busy() == 0 })
			is.Equal(c.send(t.Context(), "b", time.Time{}).kind("b"), x.second)
			until(t, "the slot is free", func() bool { return u.Busy() == 0 })
			var states []string
			for _, r := range u.ledger.Runs() {
				states = append(states, r.State)
			}
			is.Equal(strings.Join(states, " "), x.runs)
			is.Equal(u.Count().Over, 0)
		})
	}
}

// Guards against an upstream that runs work after its deadline.
func TestUpstreamDeadline(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Behavior{Slots: 1, Mean: 60_000})
	c := newCaller(u.Address)
	is.Equal(c.send(t.Context(), "a", time.Now().Add(-time.Millisecond)).kind("a"), "refused deadline")
	is.Equal(c.send(t.Context(), "b", time.Now().Add(30*time.Millisecond)).kind("b"), "status 504")
	runs := u.ledger.Runs()
	is.Equal(len(runs), 1)
	is.Equal(runs[0].State, Expired)
	is.Equal(u.Count().Refused, map[string]int{RefusedDeadline: 1})
}

// Guards against missed overload: a request that comes while all slots are in
// use is refused and counted; one that follows a cancellation at once is not.
func TestUpstreamSlots(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Behavior{Slots: 1, Mean: 60_000})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan answer)
	go func() { done <- newCaller(u.Address).send(ctx, "a", time.Time{}) }()
	until(t, "a runs", func() bool { return u.Busy() == 1 })
	is.Equal(newCaller(u.Address).send(t.Context(), "b", time.Time{}).kind("b"), "refused full")
	n := u.Count()
	is.Equal([]int{n.Over, n.Most, n.Runs}, []int{1, 2, 1})

	cancel()
	is.True((<-done).err != nil)
	is.NoErr(u.Change(func(b *Behavior) { b.Mean = 0 }))
	is.Equal(newCaller(u.Address).send(t.Context(), "c", time.Time{}).kind("c"), "ok")
	is.Equal(u.Count().Over, 1)
}

// Guards against overload that is counted although the caller has closed the
// connection of the other request: the handler of that one may end later.
func TestUpstreamSweep(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	here, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	there, err := l.Accept()
	is.NoErr(err)
	defer there.Close()
	u := NewUpstream(Place{Name: "u"}, Behavior{Slots: 1}, &Ledger{})
	r, err := http.NewRequest("GET", "/", nil)
	is.NoErr(err)
	_, _, reason := u.begin(r, &conn{Conn: there, owner: u}, "a")
	is.Equal(reason, "")
	_, _, reason = u.begin(r, nil, "b")
	is.Equal(reason, RefusedFull)
	is.NoErr(here.Close())
	until(t, "the close arrives", func() bool { open, _ := Open(there); return !open })
	_, _, reason = u.begin(r, nil, "c")
	is.Equal(reason, "")
	is.Equal(u.Count().Over, 1)
	is.Equal(u.ledger.Runs()[0].State, Cancelled)
}

// Guards against silent connections that answer again, and against an upstream
// on which new connections are silent too.
func TestUpstreamSilence(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Behavior{Slots: 2})
	c := newCaller(u.Address)
	is.Equal(c.send(t.Context(), "a", time.Time{}).kind("a"), "ok")
	is.Equal(u.Silence(5), 1)
	c.Timeout = 100 * time.Millisecond
	is.Equal(c.send(t.Context(), "b", time.Time{}).kind("b"), "silent")
	is.Equal(newCaller(u.Address).send(t.Context(), "c", time.Time{}).kind("c"), "ok")
	is.Equal(len(u.ledger.Runs()), 2)
}

// Guards against a connection limit that is not kept.
func TestUpstreamConns(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Behavior{Slots: 5, Conns: 1, Open: 1})
	first := newCaller(u.Address)
	is.Equal(first.send(t.Context(), "a", time.Time{}).kind("a"), "ok")
	is.True(newCaller(u.Address).send(t.Context(), "b", time.Time{}).err != nil)
	is.Equal(u.Count().Crowded, 1)
	first.CloseIdleConnections()
	is.Equal(newCaller(u.Address).send(t.Context(), "c", time.Time{}).kind("c"), "ok")
}

// Guards against health answers that cannot lag or lie.
func TestUpstreamHealth(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Behavior{Slots: 4, Cold: 1})
	now := time.Now()
	is.Equal(u.report(now), Health{State: Cold, Slots: 4})
	is.NoErr(u.Change(func(b *Behavior) { b.Leaving, b.Lag = true, 1000 }))
	is.Equal(u.report(now.Add(900*time.Millisecond)).State, Cold)
	is.Equal(u.report(now.Add(time.Second)).State, Leaving)
	is.NoErr(u.Change(func(b *Behavior) { b.Lie = &Health{State: Ready, Slots: 99} }))
	is.Equal(u.report(now.Add(time.Second)), Health{State: Ready, Slots: 99})
	is.Equal(newCaller(u.Address).send(t.Context(), "a", time.Time{}).header.Get("Horn-State"), Leaving)
}

// Guards against checks that accept a partial answer or another's.
func TestVerify(t *testing.T) {
	is := is.New(t)
	body := Answer("lookup", "id", []byte("q"), 400)
	is.Equal(len(body), 400)
	is.NoErr(Verify(body, "lookup", "id", []byte("q")))
	is.NoErr(Verify(Answer("lookup", "id", nil, 0), "lookup", "id", nil))
	for name, b := range map[string][]byte{
		"empty": nil, "truncated": body[:399], "longer": append(bytes.Clone(body), 'x'),
		"changed": bytes.Replace(body, []byte("."), []byte(","), 1),
		"service": Answer("posting", "id", []byte("q"), 400),
		"id":      Answer("lookup", "other", []byte("q"), 400),
		"request": Answer("lookup", "id", []byte("r"), 400),
		"joined":  append(bytes.Clone(body[:200]), Answer("lookup", "id2", []byte("q"), 400)[200:]...),
	} {
		if Verify(b, "lookup", "id", []byte("q")) == nil {
			t.Errorf("%s was accepted", name)
		}
	}
}

// Guards against orders that miss their upstreams or lose fields.
func TestFleetControl(t *testing.T) {
	is := is.New(t)
	f := &Fleet{}
	f.Add(Place{Name: "lookup-a-1"}, Behavior{Slots: 3})
	f.Add(Place{Name: "posting-a-1"}, Behavior{Slots: 3})
	n, err := f.Control(Order{Name: "lookup-*", Set: json.RawMessage(`{"leaving":true}`)})
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(f.Match("lookup-a-1")[0].Behavior(), Behavior{Slots: 3, Leaving: true})
	is.Equal(f.Match("posting-a-1")[0].Behavior(), Behavior{Slots: 3})
	_, err = f.Control(Order{Name: "*", Set: json.RawMessage(`{"slots":"x"}`)})
	is.True(err != nil)
}

// TestCloseRefusesAtOnce closes upstreams whose server may not have taken over
// its listener yet.
func TestCloseRefusesAtOnce(t *testing.T) {
	is := is.New(t)
	u := startUpstream(t, Behavior{Slots: 1})
	for range 300 {
		u.Close()
		_, err := net.Dial("tcp", u.Address)
		is.True(errors.Is(err, syscall.ECONNREFUSED)) // closed upstreams refuse connections
		is.NoErr(u.Listen())
	}
}
