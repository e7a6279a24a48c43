package director

import (
	"errors"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"hornbeamstream.example/hornbench/emulator"
	"hornbeamstream.example/hornbench/generator"
)

// drainBound is the time after the first signal from which a leaving upstream
// must get no new work.
const drainBound = 3 * time.Second

// Result is the last line of the demo. Latencies are in microseconds as the
// caller sees them, drain and force in milliseconds.
type Result struct {
	Deploy  string `json:"deploy"`
	Sent    int    `json:"sent"`
	OK      int    `json:"ok"`
	NotRun  int    `json:"notrun"`
	Unknown int    `json:"unknown"`
	// Wrong counts answers that were another's or partial, and those that the
	// ledgers contradict. False counts notrun answers to requests that ran.
	Wrong int `json:"wrong"`
	False int `json:"false"`
	Cut   int `json:"cut"`
	// Twice counts requests of once services that ran more than once.
	Twice int `json:"twice"`
	// Over counts requests above an upstream's slots and seconds above the cap
	// of the shift; Late those that a drained upstream got too late.
	Over int   `json:"over"`
	Late int   `json:"late"`
	P50  int64 `json:"p50"`
	P99  int64 `json:"p99"`
	// Headroom is the mean share of free slots during the load.
	Headroom float64 `json:"headroom"`
	Drain    int64   `json:"drain"`
	Force    int64   `json:"force"`
	// Moved is the largest number of shifted requests in one second, Cap what
	// was allowed.
	Moved int `json:"moved"`
	Cap   int `json:"cap"`
	// Rate is the mean of requests per second, Failed the steps that failed.
	Rate   float64 `json:"rate"`
	Failed int     `json:"failed"`

	from, to time.Time
	requests []generator.Request
	runs     []emulator.Run
	accounts []emulator.Account
	calls    map[string]int
	lookups  string
	findings []string
	steps    []string
}

// result compares the ledgers and sums up.
func (d *Demo) result(requests []generator.Request, from, to time.Time) *Result {
	runs := d.world.Fleet.Ledger.Runs()
	accounts := d.world.Fleet.Accounts()
	e := evidence{
		services: d.deployment.Services, requests: requests, runs: runs,
		upstreams: accounts, stops: d.stops, shift: d.shift,
	}
	f := e.audit()
	r := &Result{
		Deploy: d.deployment.Name, Sent: len(requests),
		Wrong: f.wrong, False: f.false, Cut: f.cut, Twice: f.twice, Over: f.over,
		Moved: f.moved, Force: d.force.Milliseconds(), Failed: len(d.failed),
		Rate: math.Round(float64(len(requests)) / to.Sub(from).Seconds()),
		from: from, to: to, runs: runs, requests: requests, accounts: accounts, calls: d.world.Platform.Calls(),
		findings: f.lines, steps: d.failed,
	}
	asked, failed := d.load.Lookups()
	r.lookups = fmt.Sprintf("%d, not answered %d, used after their expiry %d", asked, failed, expired(requests))
	n := generator.Outcomes(requests)
	r.OK, r.NotRun, r.Unknown = n[generator.OK], n[generator.NotRun], n[generator.Unknown]
	h := generator.Latency(requests, func(generator.Request) bool { return true })
	r.P50, r.P99 = h.ValueAtQuantile(50), h.ValueAtQuantile(99)
	slots := 0
	for _, u := range d.deployment.Upstreams {
		slots += u.Slots
	}
	r.Headroom = math.Round(free(slots, runs, from, to)*1000) / 1000
	if d.shift != nil {
		r.Cap = int(d.shift.cap)
	}
	r.drained(d.drained, runs)
	return r
}

func expired(list []generator.Request) (n int) {
	for _, q := range list {
		if q.Expired {
			n++
		}
	}
	return n
}

// drained computes the time that the drained upstream took to empty.
func (r *Result) drained(d *drained, runs []emulator.Run) {
	if d == nil {
		return
	}
	for _, run := range runs {
		if run.Upstream != d.name || (!d.until.IsZero() && run.Start.After(d.until)) {
			continue
		}
		r.Drain = max(r.Drain, run.End.Sub(d.at).Milliseconds())
		if run.Start.Sub(d.at) > drainBound {
			r.Late++
		}
	}
}

// ErrViolated tells that something that must always hold did not, or that a
// step failed. The printed result names what it was.
var ErrViolated = errors.New("a guarantee was violated or a step failed")

// verdict returns ErrViolated if anything that must be 0 is not.
func (r *Result) verdict() error {
	for _, n := range []int{r.Wrong, r.False, r.Cut, r.Twice, r.Over, r.Late, r.Failed} {
		if n != 0 {
			return ErrViolated
		}
	}
	return nil
}

// print prints the tables, findings and failed steps.
func (r *Result) print(w io.Writer) error {
	fmt.Fprintln(w)
	if err := generator.Table(w, r.requests); err != nil {
		return err
	}
	fmt.Fprintln(w)
	if err := r.headroom(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range [][2]any{
		{"answers that were another's, partial or without a run", r.Wrong},
		{"refused as notrun, but ran", r.False},
		{"cut off by a planned stop", r.Cut},
		{"once requests that ran twice", r.Twice},
		{"above slots or cap", r.Over},
		{"to the drained upstream after " + drainBound.String(), r.Late},
		{"shifted in the busiest second", fmt.Sprintf("%d of at most %d", r.Moved, r.Cap)},
		{"drained upstream empty after", fmt.Sprintf("%d ms", r.Drain)},
		{"longest time until a ticket was in force", fmt.Sprintf("%d ms", r.Force)},
		{"mean share of free slots", r.Headroom},
		{"look-ups", r.lookups},
		{"platform calls", fmt.Sprint(r.calls)},
		{"runs at upstreams", fmt.Sprint(states(r.runs))},
		{"upstreams: most in flight", most(r.accounts)},
	} {
		fmt.Fprintf(t, "%v\t%v\n", line[0], line[1])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, line := range append(r.findings, r.steps...) {
		fmt.Fprintln(w, "!", line)
	}
	return nil
}

// states counts runs by the way in which they ended. Runs that no caller got an
// answer from are lost capacity.
func states(runs []emulator.Run) map[string]int {
	n := map[string]int{}
	for _, r := range runs {
		n[r.State]++
	}
	return n
}

// most tells the largest share of slots in use at any upstream, and connections.
func most(accounts []emulator.Account) string {
	var share float64
	conns, refused := 0, map[string]int{}
	for _, a := range accounts {
		share = max(share, float64(a.Count.Most)/float64(max(1, a.Behavior.Slots)))
		conns = max(conns, a.Count.Conns)
		for reason, n := range a.Count.Refused {
			refused[reason] += n
		}
	}
	return fmt.Sprintf("%.0f%% of the slots, %d connections, refusals %v", share*100, conns, refused)
}
