package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reporter"
	"hornbeamstream.example/core/submitter"
	"hornbeamstream.example/core/submitter/verifier"
)

// stampCounterBits is the width of the counter below the milliseconds of a stamp.
const stampCounterBits = 16

var update = flag.Bool("update", false, "rewrite golden files")

// masks replace the parts of the output that differ between runs.
var masks = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`\b[A-Z2-7]{26}\b`), "NONCE"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z( {2,}op)`), "TIME$2"},
	{regexp.MustCompile(`("?time"?: +"?)\d{4}[^"\n]*`), "${1}TIME"},
}

// step is one command line with its expected exit code.
type step struct {
	commandLine string
	exitCode    int
}

// compareTranscript runs command lines and compares their output and exit codes
// with a golden file.
func compareTranscript(t *testing.T, file, flags string, steps []step) {
	t.Helper()
	var output bytes.Buffer
	for _, s := range steps {
		var out, errOut bytes.Buffer
		args := append([]string{"hornctl"}, strings.Fields(flags+" "+s.commandLine)...)
		code := Run(t.Context(), args, &out, &errOut)
		if code != s.exitCode {
			t.Errorf("%s: exit code %d, want %d: %s", s.commandLine, code, s.exitCode, &errOut)
		}
		fmt.Fprintf(&output, "$ hornctl %s\n%s%s(%d)\n", s.commandLine, &out, &errOut, code)
	}
	got := output.String()
	for _, m := range masks {
		got = m.pattern.ReplaceAllString(got, m.text)
	}
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	is.New(t).Equal(got, string(want))
}

func startServer(t *testing.T, h http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

const exampleDir = "../../examples/kasa/"

// TestTickets guards against wrong output and exit codes of the commands that
// write tickets.
func TestTickets(t *testing.T) {
	t.Setenv("HORNCTL_AUTHOR", "operations")
	platform := startServer(t, verifier.Handler{Store: &submitter.MemoryStore{PageSize: 2}})
	compareTranscript(t, "tickets.golden", "--platform http://"+platform, []step{
		{"drain region sofia", ExitUsage},
		{"ticket submit " + exampleDir + "drain.yaml", ExitUsage},
		{"ticket submit " + exampleDir + "ticket.yaml", ExitOK},
		{"ticket submit testdata/reference.yaml", ExitUsage},
		{"ticket submit " + exampleDir + "shift.yaml", ExitOK},
		{"ticket submit " + exampleDir + "drain.yaml", ExitRefused},
		{"drain upstream lookup-sofia-a-1 --until 2027-01-31T12:00:00Z", ExitOK},
		{"drain upstream lookup-sofia-a-1 --undo --json", ExitOK},
		{"drain upstream lookup-sofia-a-1 --undo", ExitUsage},
		{"drain domain burgas-a", ExitUsage},
		{"drain rack seven", ExitUsage},
		{"shift lookup --from sofia --to varna --share 0.5 --cap 50 --start 2027-01-31T08:00:00Z --finish 2027-01-31T09:00:00Z", ExitOK},
		{"shift lookup --from sofia --to sofia --share 2 --cap 50 --finish 2020-01-31T09:00:00Z --start 2021-01-31T08:00:00Z", ExitUsage},
		{"shift lookup --from sofia", ExitUsage},
		{"shift lookup --undo", ExitOK},
		{"ticket list --last 3", ExitOK},
		{"ticket show 5", ExitOK},
		{"ticket show 9", ExitFailed},
		{"ticket show x", ExitUsage},
	})
}

func TestCheck(t *testing.T) {
	compareTranscript(t, "check.golden", "", []step{
		{"check " + exampleDir + "ticket.yaml " + exampleDir + "shift.yaml " + exampleDir + "settings/sofia-a-1.yaml", ExitOK},
		{"check " + exampleDir + "ticket.yaml testdata/reference.yaml", ExitUsage},
		{"check " + exampleDir + "settings/sofia-a-1.yaml " + exampleDir + "settings/sofia-a-1.yaml --json", ExitUsage},
		{"check ../../deploy/hornplatform.yaml", ExitOK},
		{"check testdata/tuning.yaml", ExitUsage},
		{"check missing.yaml", ExitUsage},
		{"check", ExitUsage},
	})
}

func TestTrace(t *testing.T) {
	const log = "../tracer/testdata/instances.log"
	compareTranscript(t, "trace.golden", "", []step{
		{"trace --id q1 " + log, ExitOK},
		{"trace --id q1 --json " + log, ExitOK},
		{"trace --version 7 " + log, ExitOK},
		{"trace --id absent " + log, ExitFailed},
		{"trace " + log, ExitUsage},
		{"trace --id q1 --version 7 " + log, ExitUsage},
		{"trace --id q1", ExitUsage},
		{"trace --id q1 missing.log", ExitUsage},
	})
}

func TestHelp(t *testing.T) {
	steps := []step{{"--help", ExitOK}, {"bogus", ExitUsage}, {"--bogus", ExitUsage}, {"status --timeout 0s", ExitUsage}}
	for _, name := range []string{"check", "ticket", "ticket submit", "ticket list", "ticket show", "ticket wait", "drain", "drain upstream", "shift", "status", "timeline", "trace", "completion"} {
		steps = append(steps, step{name + " --help", ExitOK})
	}
	t.Setenv("USER", "")
	compareTranscript(t, "help.golden", "", steps)
}

// TestPlatformFaults guards against commands that hang, print more than one line
// or return a wrong exit code when the platform is down or drops responses.
func TestPlatformFaults(t *testing.T) {
	hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	store := &submitter.MemoryStore{}
	lossy := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/objects/ticket/") {
			panic(http.ErrAbortHandler)
		}
		verifier.Handler{Store: store}.ServeHTTP(w, r)
	})
	tests := []struct {
		name, platform string
		code           int
	}{
		{"refused", "127.0.0.1:1", ExitUnreachable},
		{"silent", startServer(t, hang), ExitUnreachable},
		{"answers lost", startServer(t, lossy), ExitUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			start := time.Now()
			args := []string{"hornctl", "--timeout", "300ms", "--platform", "http://" + tt.platform, "ticket", "submit", exampleDir + "ticket.yaml"}
			is.Equal(Run(t.Context(), args, &out, &errOut), tt.code)
			is.Equal(out.String(), "")
			is.Equal(strings.Count(errOut.String(), "\n"), 1)
			is.True(time.Since(start) < 5*time.Second)
		})
	}
}

// fakeInstance serves the admin API of an instance.
type fakeInstance struct {
	status reporter.Status
	events []recorder.Event
	// oneEventPerResponse limits each timeline response to one new event.
	oneEventPerResponse bool
}

func (i *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/status" {
		_ = json.NewEncoder(w).Encode(i.status)
		return
	}
	if r.URL.Path == "/explain" {
		_ = json.NewEncoder(w).Encode(fakeExplanation(r.URL.Query()))
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	fresh := slices.DeleteFunc(slices.Clone(i.events), func(e recorder.Event) bool { return e.Stamp <= after })
	if i.oneEventPerResponse {
		fresh = fresh[:min(1, len(fresh))]
	}
	_ = json.NewEncoder(w).Encode(fresh)
}

// startFakeFleet starts two instances; their member lists also have a third one
// that does not respond.
func startFakeFleet(t *testing.T, oneEventPerResponse bool, versions ...uint64) (entry string) {
	t.Helper()
	names := []string{"sofia-a-1", "sofia-b-1"}
	instances := make([]*fakeInstance, len(names))
	members := []granter.Member{{Name: "varna-a-1", Domain: "varna-a", Admin: "127.0.0.1:1"}}
	const base = 1_700_000_000_000 << stampCounterBits
	for i, name := range names {
		instances[i] = &fakeInstance{oneEventPerResponse: oneEventPerResponse}
		domain := strings.TrimSuffix(name, "-1")
		m := granter.Member{Name: name, Domain: domain, Admin: startServer(t, instances[i]), Leaving: i == 1}
		members = append(members, m)
		instances[i].status = reporter.Status{
			Instance: m, Region: "sofia", Version: versions[i], Leader: name, Epoch: 3, PlatformReachable: i == 0,
			Upstreams: []reporter.Upstream{{Name: "lookup-1", Service: "lookup", Slots: 3, Limit: 2, InFlight: 1}},
		}
		instances[i].events = []recorder.Event{
			{Stamp: base + uint64(i), Instance: name, Domain: domain, Kind: recorder.KindConfigured, Version: 7},
			{Stamp: base + 1<<stampCounterBits, Instance: name, Domain: domain, Kind: recorder.KindElected, Version: 7, Cause: "lease expired"},
			{Stamp: base + 2<<stampCounterBits - uint64(i), Instance: name, Domain: domain, Kind: recorder.KindLimitChanged, Upstream: "lookup-1", Cause: "slow"},
		}
	}
	for _, i := range instances {
		i.status.Members = members
	}
	instances[0].status.Workspaces = []reporter.Workspace{
		{Name: "choir", Rate: 40, Burst: 60, Level: 55, Demand: 24.5, OwnDemand: 0.25, Part: 0.0102, Admitted: 1200, Basis: "plenty", Age: 130},
		{Name: "rowing-club", Rate: 5, Burst: 5, Level: -2, Demand: 31, OwnDemand: 0.5, Part: 0.0161, Admitted: 90, Refused: 400, Basis: "scarce", Age: 130},
		{Name: "chess", Rate: 2, Burst: 4, Part: 0.0141, Basis: "alone", Age: -1},
	}
	return instances[0].status.Instance.Admin
}

// TestFleet guards against wrong merging and filtering of statuses and events,
// and against unresponsive instances that are not reported.
func TestFleet(t *testing.T) {
	compareTranscript(t, "fleet.golden", "--timeout 600ms --entry "+startFakeFleet(t, false, 7, 6), []step{
		{"status", ExitOK},
		{"workspaces", ExitOK},
		{"workspaces --json", ExitOK},
		{"ticket wait 6", ExitOK},
		{"ticket wait 6 --json", ExitOK},
		{"ticket wait 7", ExitFailed},
		{"timeline", ExitOK},
		{"timeline --ticket 7", ExitOK},
		{"timeline --domain sofia-b --upstream lookup-1 --json", ExitOK},
		{"timeline --since 1ms", ExitOK},
		{"--entry 127.0.0.1:1 status", ExitUnreachable},
		{"--entry somewhere status", ExitUsage},
		{"status now", ExitUsage},
	})
}

// TestResponseWithoutFinalStatus guards against taking for an instance's answer what is no
// final HTTP response.
func TestResponseWithoutFinalStatus(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 OK", "HTTP/1.1 200 OK\r\nO dd: v", "HTTP/1.1 200 OK\r\nOdd : v"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			address := startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				_, _ = fmt.Fprintf(conn, "%s\r\nContent-Length: 2\r\n\r\n{}", line)
				_ = conn.Close()
			}))
			is.True(errors.Is(getJSON(t.Context(), address, "/status", &reporter.Status{}), errUnreachable))
		})
	}
}

// cancelingWriter calls cancel when the given number of lines has been written.
type cancelingWriter struct {
	remaining atomic.Int64
	cancel    func()
}

func (s *cancelingWriter) Write(b []byte) (int, error) {
	if s.remaining.Add(-int64(bytes.Count(b, []byte("\n")))) == 0 {
		s.cancel()
	}
	return len(b), nil
}

// fakeExplanation explains requests of the workspace choir; others are refused.
func fakeExplanation(q url.Values) reporter.Explanation {
	x := reporter.Explanation{Instance: "sofia-a-1", Version: 7, Route: "r-1"}
	if q.Get("workspace") != "choir" {
		x.Status, x.Reason = 401, "unknown workspace, or none named"
		return x
	}
	x.Service, x.Upstream = "lookup", "lookup-2"
	x.Workspace = &reporter.Workspace{Name: "choir", Rate: 40, Level: 55, Demand: 24.5, Basis: "plenty"}
	x.Candidates = []reporter.Candidate{
		{Name: "lookup-2", Domain: "sofia-a", Verdict: "chosen", Cost: 140, Expected: 120, Cold: 300, Wait: 20, Load: 3.2, Age: 250, Slowdown: 1.1, Known: true},
		{Name: "lookup-1", Domain: "sofia-b", Verdict: "costs more", Cost: 2310, Expected: 310, Cold: 310, Load: 1, Age: 4000, Slowdown: 1, Failures: 0.25, Warming: 900},
	}
	for i := range 9 {
		x.Candidates = append(x.Candidates, reporter.Candidate{Name: fmt.Sprint("lookup-", 3+i), Domain: "sofia-b", Verdict: "not for this key"})
	}
	x.Candidates[2].Verdict, x.Candidates[2].Pause = "paused", 1500
	return x
}

// TestExplain prints explanations.
func TestExplain(t *testing.T) {
	compareTranscript(t, "explain.golden", "--timeout 600ms --entry "+startFakeFleet(t, false, 7, 6), []step{
		{"explain --host h --path /p/ --key 17 --workspace choir", ExitOK},
		{"explain --host h --path /p/ --workspace choir --all", ExitOK},
		{"explain --host h --path /p/", ExitFailed},
		{"explain --host h --path /p/ --json", ExitFailed},
		{"explain --host h", ExitUsage},
		{"--entry 127.0.0.1:1 explain --host h --path /p/", ExitUnreachable},
	})
}

// TestTimelineFollow guards against events that are lost or repeated between
// polls, and against a --follow that ends at --timeout.
func TestTimelineFollow(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	out := &cancelingWriter{cancel: cancel}
	out.remaining.Store(6)
	args := []string{"hornctl", "--timeout", "150ms", "--entry", startFakeFleet(t, true, 7, 7), "timeline", "--follow"}
	is.Equal(Run(ctx, args, out, io.Discard), ExitOK)
	is.Equal(out.remaining.Load(), int64(0))
}

// TestLosses groups the losses of a log by several keys.
func TestLosses(t *testing.T) {
	const log = "../accountant/testdata/requests.log"
	compareTranscript(t, "losses.golden", "", []step{
		{"losses " + log, ExitOK},
		{"losses --by cause --by domain --rows 2 " + log, ExitOK},
		{"losses --by colour " + log, ExitUsage},
		{"losses ../tracer/testdata/instances.log", ExitFailed},
		{"losses", ExitUsage},
	})
}
