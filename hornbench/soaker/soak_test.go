package soaker

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// soakSeed is a soak in CI.
type soakSeed struct {
	seed    uint64
	options Options
	length  time.Duration
}

// seeds are soaked in CI: one of the usual size, and each that ever failed.
var seeds = []soakSeed{
	{4242, Options{Instances: 4, Upstreams: 3, Callers: 8}, 6 * time.Second},
	{510, Options{Instances: 4, Upstreams: 4, Callers: 12, Extended: true}, 8 * time.Second},
	// A refusal with a pause did not come through a link that was cut one way; the
	// audit held the requests that followed against the instance.
	{629, Options{Instances: 5, Upstreams: 4, Callers: 16, Extended: true}, 12 * time.Second},
	// The answer to a watch was lost, and nothing showed that for 26 s.
	{136, Options{Instances: 5, Upstreams: 4, Callers: 16}, 12 * time.Second},
	// Instances did not read the limits that upstreams stated: 322 requests in 4 s where
	// 29 were allowed.
	{8001, Options{Instances: 5, Upstreams: 4, Callers: 16, Extended: true, Limits: true}, 12 * time.Second},
	// All instances waited for watches that the store had taken without an answer, and
	// used a configuration that had been replaced.
	{12202, Options{Instances: 5, Upstreams: 4, Callers: 16, Extended: true, Bursts: true}, 12 * time.Second},
	// The same; requests reached an upstream that had told the store that it leaves.
	{12204, Options{Instances: 5, Upstreams: 4, Callers: 16, Extended: true, Bursts: true}, 12 * time.Second},
}

// workspaceSeeds have workspaces whose keys change, one with an allowance that it exceeds.
var workspaceSeeds = []soakSeed{
	{19001, Options{Instances: 6, Upstreams: 4, Callers: 16, Extended: true, Bursts: true, Workspaces: true}, 12 * time.Second},
}

// pauseSeeds have pauses of instances in which routes move. An answer of the store that had
// waited since before a pause confirmed the configuration of that time: 2 and 3 requests.
var pauseSeeds = []soakSeed{
	{24004, Options{Instances: 5, Upstreams: 4, Callers: 16, Pauses: true}, 12 * time.Second},
}

// TestPauses guards against requests by a configuration from before a pause.
func TestPauses(t *testing.T) { soakSeeds(t, pauseSeeds) }

// TestWorkspaces checks keys and allowances under faults.
func TestWorkspaces(t *testing.T) { soakSeeds(t, workspaceSeeds) }

// TestSeeds runs real processes under faults for some seconds.
func TestSeeds(t *testing.T) { soakSeeds(t, seeds) }

// crashSeeds have requests that crash the upstreams that run them.
var crashSeeds = []soakSeed{
	// 13 and 13 arrivals after the third crash, and 98 of 1762 requests served at the end.
	{16001, Options{Instances: 5, Upstreams: 4, Callers: 16, Extended: true, Limits: true, Bursts: true, Crashes: true}, 12 * time.Second},
}

// popularSeeds have popular requests in progress at upstreams that others crash.
// 265 refusals of one of them: it was in progress at three crashes, and no upstream of its
// service stayed up for long enough to answer it in between.
var popularSeeds = []soakSeed{
	{17052, Options{Instances: 5, Upstreams: 4, Callers: 16, Extended: true, Limits: true, Bursts: true, Crashes: true}, 12 * time.Second},
}

// TestPopularRequests guards against refusing a request that crashes nothing.
func TestPopularRequests(t *testing.T) { soakSeeds(t, popularSeeds) }

// TestCrashingRequests guards against requests that are sent to further upstreams after
// three have crashed when they ran them.
func TestCrashingRequests(t *testing.T) { soakSeeds(t, crashSeeds) }

// garbageSeeds have upstreams and a store that send bytes that are no answer.
var garbageSeeds = []soakSeed{
	// 13 callers got an answer that was none; with malformed headers, 6.
	{21003, Options{Instances: 5, Upstreams: 4, Callers: 16, Garbage: true}, 12 * time.Second},
}

// TestGarbage guards against taking such bytes for answers.
func TestGarbage(t *testing.T) { soakSeeds(t, garbageSeeds) }

// stopSeeds have planned stops, and callers that send late on connections opened early.
var stopSeeds = []soakSeed{
	// Requests that had been sent on were cut by the exit of their instance.
	{26002, Options{Instances: 5, Upstreams: 4, Callers: 16, Stops: true}, 8 * time.Second},
}

// TestStops guards against requests that are cut by planned stops.
func TestStops(t *testing.T) { soakSeeds(t, stopSeeds) }

func soakSeeds(t *testing.T, seeds []soakSeed) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "hornplatform")
	out, err := exec.Command("go", "build", "-o", binary, "hornbeamstream.example/platform").CombinedOutput()
	is.NoErr(err)
	is.Equal(string(out), "")
	for _, s := range seeds {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			is := is.New(t)
			o := s.options
			o.Binary, o.Seed, o.Until, o.Dir = binary, s.seed, time.Now().Add(s.length), t.TempDir()
			r, err := Soak(context.Background(), o)
			is.NoErr(err)
			is.NoErr(r.Err())
			is.True(r.Outcomes[http.StatusOK] > 0)
		})
	}
}

// TestJudge shows each broken promise to the checks.
func TestJudge(t *testing.T) {
	began := time.Now()
	front := &Instance{IP: "i", proxy: &Proxy{}}
	good := func() Sent {
		body := answerBody("q")
		return Sent{
			ID: "q", Instance: front.Front(), Method: "POST", URI: "/once/q", Body: "b", Once: true, Start: began.Add(time.Minute), End: began.Add(time.Minute),
			Status: 200, Answer: body, Stamp: stamp("q", body), Echo: "q",
		}
	}
	run := Run{Upstream: "alpha-1", Service: "alpha", Method: "POST", URI: "/once/q", Body: "b", At: began.Add(time.Minute)}
	tests := []struct {
		name string
		edit func(s *Sent, runs *[]Run)
		want string
	}{
		{"as promised", func(*Sent, *[]Run) {}, ""},
		{"safe request twice", func(s *Sent, runs *[]Run) { s.Once, *runs = false, append(*runs, run) }, ""},
		{"twice", func(_ *Sent, runs *[]Run) { *runs = append(*runs, run) }, "twice"},
		{"refused and run", func(s *Sent, _ *[]Run) { s.Status = 503 }, "refused"},
		{"refused and not run", func(s *Sent, runs *[]Run) { s.Status, *runs = 503, nil }, ""},
		{"failed and run", func(s *Sent, _ *[]Run) { s.Status = 502 }, ""},
		{"other body", func(s *Sent, _ *[]Run) { s.Answer = answerBody("p") }, "mixed"},
		{"cut body", func(s *Sent, _ *[]Run) { s.Answer = s.Answer[1:] }, "mixed"},
		{"unsigned", func(s *Sent, _ *[]Run) { s.Stamp = "" }, "mixed"},
		{"other request", func(s *Sent, _ *[]Run) { s.Echo = "p" }, "mixed"},
		{"unknown route", func(s *Sent, runs *[]Run) { s.Status, *runs = 404, nil }, "denied"},
		{"changed path", func(_ *Sent, runs *[]Run) { (*runs)[0].URI = "/once/x" }, "changed"},
		{"changed body", func(_ *Sent, runs *[]Run) { (*runs)[0].Body = "" }, "changed"},
		{"wrong service", func(_ *Sent, runs *[]Run) { (*runs)[0].Service = "beta" }, "route"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, runs := good(), []Run{run}
			tt.edit(&s, &runs)
			w := &World{ledger: &Ledger{runs: map[string][]Run{"q": runs}}, moves: []move{{began, "alpha"}}, began: began, instances: []*Instance{front}}
			text := strings.Join(w.judge(&s), "; ")
			is.True(strings.Contains(text, tt.want))
			is.Equal(text == "", tt.want == "")
		})
	}
}

// TestStopsCutNothing shows the check requests that ended in several ways after they ran, or
// without a run.
func TestStopsCutNothing(t *testing.T) {
	began := time.Now()
	ran := []Run{{Upstream: "alpha-1"}}
	for _, tt := range []struct {
		name   string
		status int
		took   time.Duration
		runs   []Run
		want   int
	}{
		{"answered", 200, 100 * time.Millisecond, ran, 0},
		{"cut", 0, 100 * time.Millisecond, ran, 1},
		{"caller gave up", 0, 500 * time.Millisecond, ran, 0},
		{"closed unread", 0, 100 * time.Millisecond, nil, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := &World{options: Options{Stops: true}, ledger: &Ledger{runs: map[string][]Run{"q": tt.runs}}}
			s := Sent{ID: "q", Status: tt.status, Start: began, End: began.Add(tt.took), Deadline: began.Add(500 * time.Millisecond)}
			is.Equal(len(w.stopsCutNothing([]Sent{s})), tt.want)
		})
	}
}

// TestDrains finds a request that reached an upstream long after it had told that it
// leaves, unless the time bounds did not hold for the instance that sent it. Faults of
// other instances make no difference.
func TestDrains(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	during := func(from, to float64) []span { return []span{{at(from), at(to)}} }
	tests := []struct {
		name                            string
		store, instance, contact, other []span
		link                            []span
		// start is when the caller sends the request, which takes transit to arrive.
		start, transit float64
		want           int
	}{
		{name: "late", start: 10, want: 1},
		{name: "in time", start: 2},
		{name: "store disturbed when it was told", store: during(-2, -1), start: 10},
		{name: "store disturbed before", store: during(8, 9), start: 10},
		{name: "store disturbed long before", store: during(5, 6), start: 10, want: 1},
		{name: "instance paused before", instance: during(8, 9), start: 10},
		{name: "instance paused long before", instance: during(5, 6), start: 10, want: 1},
		{name: "instance cut off before", contact: during(8, 9), start: 10},
		{name: "another instance paused", other: during(8, 9), start: 10, want: 1},
		{name: "link to the upstream disturbed", link: during(8, 9), start: 10, want: 1},
		{name: "late on the way", start: 2, transit: 1, want: 1},
		{name: "held up on the way", link: during(2, 2.9), start: 2, transit: 1},
		{name: "held up for long", link: during(1, 2), start: 2, transit: 8, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &Upstream{ID: "u", Domain: "a-1", left: began, proxy: &Proxy{disturbed: tt.link}, arrivals: []arrival{{"q", at(tt.start + tt.transit + 0.1)}}}
			i := &Instance{IP: "i", proxy: &Proxy{disturbed: tt.contact}, disturbed: tt.instance}
			other := &Instance{IP: "j", proxy: &Proxy{}, disturbed: tt.other}
			w := &World{left: []*Upstream{u}, instances: []*Instance{i, other}, disturbed: tt.store}
			sent := map[string]*Sent{"q": {ID: "q", Instance: i.Front(), Start: at(tt.start)}}
			is.Equal(len(w.drains(sent)), tt.want)
		})
	}
}

// TestAnswersHeard shows the checks an instance that goes on to use an upstream
// which has told it that it leaves, or has asked it for a pause.
func TestAnswersHeard(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	sent := func(id string, start float64, instance string) Sent {
		return Sent{ID: id, Instance: instance, Start: at(start), End: at(start + 0.1), Status: http.StatusOK}
	}
	tests := []struct {
		name string
		all  []Sent
		// link has a time in which the upstream's link was disturbed.
		link []span
		want int
	}{
		{"left in time", []Sent{sent("q1", 0, "i:1"), sent("q2", 2, "i:1")}, nil, 0},
		{"not left", []Sent{sent("q1", 0, "i:1"), sent("q2", 3, "i:1")}, nil, 1},
		{"another instance does not know", []Sent{sent("q1", 0, "i:1"), sent("q2", 3, "j:1")}, nil, 0},
		{"two in a pause", []Sent{sent("p1", 0, "i:1"), sent("p2", 1, "i:1"), sent("p3", 2, "i:1")}, nil, 0},
		{"three in a pause", []Sent{sent("p1", 0, "i:1"), sent("p2", 1, "i:1"), sent("p3", 2, "i:1"), sent("p4", 3, "i:1")}, nil, 1},
		{"under way at the pause", []Sent{sent("p1", 0, "i:1"), sent("p2", 0.3, "i:1"), sent("p3", 0.4, "i:1"), sent("p4", 0.45, "i:1")}, nil, 0},
		{"the answer did not come", []Sent{sent("p1", 0, "i:1"), sent("p2", 1, "i:1"), sent("p3", 2, "i:1"), sent("p4", 3, "i:1")}, []span{{at(-1), at(0.2)}}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := &Upstream{ID: "u", proxy: &Proxy{disturbed: tt.link}, said: map[string]bool{"q1": true}, asked: map[string]pause{"p1": {at(0), at(5)}}}
			for _, s := range tt.all {
				u.arrivals = append(u.arrivals, arrival{s.ID, s.Start})
			}
			fronts := []*Instance{{IP: "i"}, {IP: "j"}}
			sent := map[string]*Sent{}
			for i := range tt.all {
				// Callers name instances by their addresses.
				tt.all[i].Instance = map[string]string{"i:1": fronts[0].Front(), "j:1": fronts[1].Front()}[tt.all[i].Instance]
				sent[tt.all[i].ID] = &tt.all[i]
			}
			w := &World{all: []*Upstream{u}, instances: fronts}
			is.Equal(len(w.answersHeard(sent)), tt.want)
		})
	}
}

// TestEvacuationsKept finds a request that reached a domain long after it had been
// evacuated.
func TestEvacuationsKept(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	at := func(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }
	i := &Instance{IP: "i", proxy: &Proxy{}}
	w := &World{
		all:         []*Upstream{{ID: "u", Domain: "a-1", proxy: &Proxy{}, arrivals: []arrival{{"q", at(8)}}}},
		evacuations: []evacuation{{"a-1", span{began, at(10)}}},
		instances:   []*Instance{i},
	}
	sent := map[string]*Sent{"q": {ID: "q", Instance: i.Front(), Start: at(8)}}
	is.Equal(len(w.evacuationsKept(sent)), 1)
	w.evacuations[0].to = at(7)
	is.Equal(len(w.evacuationsKept(sent)), 0)
}

// TestRestore takes the store back to its copy: what was written since is gone, and
// its revisions are given out again.
func TestRestore(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	is.NoErr(s.Put("servers", "a", 1))
	s.Save()
	saved := s.revision
	is.NoErr(s.Put("servers", "b", 1))
	is.NoErr(s.Put("servers", "a", 2))
	s.Restore()
	is.Equal(s.Names("servers"), []string{"a"})
	is.Equal(string(s.objects["servers"]["a"].Spec), "1")
	is.Equal(s.Era(), 2)
	_, _, _, gone := s.since("servers", saved+1)
	is.True(gone) // a revision that it does not have
	is.NoErr(s.Put("servers", "c", 1))
	is.Equal(s.revision, saved+1)
	events, _, _, gone := s.since("servers", saved)
	is.True(!gone)
	is.Equal(len(events), 1)
}

// TestProxyModes sends bytes through a proxy in each of its modes.
func TestProxyModes(t *testing.T) {
	for mode, want := range map[proxyMode]string{
		proxyPass: "hello", proxyDelay: "hello", proxySilent: "timeout", proxyDeaf: "timeout", proxyReset: "reset",
	} {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = ln.Close() }()
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					_, _ = fmt.Fprint(c, "hello")
				}
			}()
			p, err := startProxy("127.0.0.1:0", ln.Addr().String())
			is.NoErr(err)
			defer p.Close()
			p.SetMode(mode)
			wait := 30 * time.Second
			if want == "timeout" {
				wait = 500 * time.Millisecond
			}
			is.Equal(receive(p.Address(), wait), want)
		})
	}
}

// receive returns what comes back on a new connection within some time. A reset
// may already end the opening of the connection.
func receive(address string, wait time.Duration) string {
	c, err := net.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return "reset"
	}
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(wait))
	buf := make([]byte, 5)
	n, err := io.ReadFull(c, buf)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case err != nil:
		return err.Error()
	}
	return string(buf[:n])
}
