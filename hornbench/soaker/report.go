package soaker

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"
)

// Report is what a soak has seen.
type Report struct {
	Seed     uint64
	Requests int
	// Outcomes counts requests by status, 0 for no answer.
	Outcomes map[int]int
	// Calls is the number of calls to the store.
	Calls int
	// Faults lists the faults with their times, Violations the broken promises.
	Faults     []string
	Violations []string
	// SlowestStop is the longest planned stop.
	SlowestStop time.Duration
	Logs        string
}

const (
	// drainTime is how long a leaving upstream may get requests, applyTime how
	// long a configuration may take to be in force.
	drainTime = 2500 * time.Millisecond
	applyTime = 2500 * time.Millisecond
	// recovered is the share of requests that are served after the last fault.
	recovered = 0.9
)

// Err returns an error if a promise was broken.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %d times, first: %s", errViolated, len(r.Violations), r.Violations[0])
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d requests, by status %v, %d calls to the store, slowest planned stop %.1f s, %d violations\n",
		r.Seed, r.Requests, r.Outcomes, r.Calls, r.SlowestStop.Seconds(), len(r.Violations))
	if len(r.Violations) == 0 {
		return
	}
	for _, v := range r.Violations[:min(len(r.Violations), 20)] {
		fmt.Fprintln(w, "  violated:", v)
	}
	for _, f := range r.Faults {
		fmt.Fprintln(w, "  fault:", f)
	}
	fmt.Fprintln(w, "  logs:", r.Logs)
}

func (w *World) report() Report {
	r := Report{Seed: w.options.Seed, Outcomes: map[int]int{}, Calls: w.store.Calls(), Logs: w.logs()}
	all := w.journal.All()
	end := time.Now()
	served, asked := 0, 0
	known := map[string]bool{}
	for _, s := range all {
		known[s.ID] = true
		r.Requests++
		r.Outcomes[s.Status]++
		r.Violations = append(r.Violations, w.judge(&s)...)
		allowed := s.Status != http.StatusTooManyRequests && s.Status != http.StatusUnauthorized
		if !isCrashing(s.URI) && allowed && s.Start.After(end.Add(recoverTime-calmTime)) {
			asked++
			if s.Status == http.StatusOK {
				served++
			}
		}
	}
	if float64(served) < recovered*float64(asked) || asked == 0 {
		r.Violations = append(r.Violations, fmt.Sprintf("recovery: %d of %d requests served after the last fault", served, asked))
	}
	sent := map[string]*Sent{}
	for i := range all {
		sent[all[i].ID] = &all[i]
	}
	r.Violations = append(r.Violations, w.drains(sent)...)
	r.Violations = append(r.Violations, w.answersHeard(sent)...)
	r.Violations = append(r.Violations, w.evacuationsKept(sent)...)
	r.Violations = append(r.Violations, w.crashesContained(sent)...)
	r.Violations = append(r.Violations, w.allowanceKept(all)...)
	r.Violations = append(r.Violations, w.pausesNoticed(all)...)
	r.Violations = append(r.Violations, w.stopsCutNothing(all)...)
	for _, i := range w.instances {
		r.SlowestStop = max(r.SlowestStop, i.slowest)
	}
	r.Faults = w.faults
	sort.Strings(r.Violations)
	return r
}

// judge checks the promises that concern one request.
func (w *World) judge(s *Sent) (broken []string) {
	runs := w.ledger.Runs(s.ID)
	say := func(format string, args ...any) {
		broken = append(broken, fmt.Sprintf("%s: %s %s at %.2f s, status %d: %s", s.ID, s.Method, s.URI,
			s.Start.Sub(w.began).Seconds(), s.Status, fmt.Sprintf(format, args...)))
	}
	if s.Once && len(runs) > 1 {
		say("twice: it ran %d times", len(runs))
	}
	refused := s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests ||
		s.Status == http.StatusRequestTimeout || s.Status == http.StatusMisdirectedRequest
	if s.Once && refused && len(runs) > 0 {
		say("refused, but it ran at %s", runs[0].Upstream)
	}
	if s.Status == http.StatusNotFound {
		say("denied, though its route was always there")
	}
	if s.Status != 0 && (s.Status < 200 || s.Status > 599) {
		say("this is no final status")
	}
	if s.Status == http.StatusOK && (s.Answer != answerBody(s.ID) || s.Stamp != stamp(s.ID, s.Answer) || s.Echo != s.ID) {
		say("mixed: another answer than the upstream's")
	}
	for _, text := range w.judgeIdentity(s, runs) {
		say("%s", text)
	}
	for _, run := range runs {
		if run.Method != s.Method || run.URI != s.URI || run.Body != s.Body {
			say("changed on its way: %s %s %q", run.Method, run.URI, run.Body)
		}
		if bad := w.wrongService(s, run); bad != "" {
			say("%s", bad)
		}
	}
	return broken
}

// wrongService checks that a request ran where some configuration that may have
// been in force has sent it.
func (w *World) wrongService(s *Sent, run Run) string {
	last := -1
	for n, m := range w.moves {
		if m.at.Add(applyTime).Before(s.Start) {
			last = n
		}
	}
	if last < 0 || !w.inContact(w.fronts()[s.Instance], s.Start, run.At) {
		return ""
	}
	for _, m := range w.moves[last:] {
		if m.service == run.Service {
			return ""
		}
	}
	return "route: it ran at " + run.Service + ", which no configuration in force names"
}

const (
	// pauseSlack is the time for requests under way when an upstream asks for a
	// pause, pauseMost how many it bears after that.
	pauseSlack = 500 * time.Millisecond
	pauseMost  = 2
	// evacTime is how long a domain may get requests after its evacuation.
	evacTime = 5 * time.Second
)

// answersHeard checks that each instance leaves upstreams that have told it so, and
// gives those that have asked it for a pause some rest, and that all of them keep to
// the limits that upstreams state.
func (w *World) answersHeard(sent map[string]*Sent) (broken []string) {
	fronts := w.fronts()
	for _, u := range w.all {
		u.mu.Lock()
		broken = append(broken, u.leftAlone(sent, fronts)...)
		broken = append(broken, u.rested(sent, fronts)...)
		broken = append(broken, u.limitsKept(sent, fronts)...)
		u.mu.Unlock()
	}
	return broken
}

// leftAlone checks the instances that have passed on an answer which says that the
// upstream leaves. The upstream is locked.
func (u *Upstream) leftAlone(sent map[string]*Sent, fronts map[string]*Instance) (broken []string) {
	told := map[string]time.Time{}
	for id := range u.said {
		s := sent[id]
		if s == nil || s.Status != http.StatusOK {
			continue
		}
		if first, ok := told[s.Instance]; !ok || s.End.Before(first) {
			told[s.Instance] = s.End
		}
	}
	for _, a := range u.arrivals {
		s := sent[a.id]
		if s == nil {
			continue
		}
		first, ok := told[s.Instance]
		if ok && s.Start.After(first.Add(drainTime)) && fronts[s.Instance].undisturbed(first, s.Start) {
			broken = append(broken, fmt.Sprintf("%s: reached %s from %s %.1f s after an answer had said that it leaves", a.id, u.ID, s.Instance, a.at.Sub(first).Seconds()))
		}
	}
	return broken
}

// rested checks the instances that have been asked for a pause. The upstream is
// locked.
func (u *Upstream) rested(sent map[string]*Sent, fronts map[string]*Instance) (broken []string) {
	for id, p := range u.asked {
		s := sent[id]
		if s == nil || !u.proxy.passed(p.from, p.from.Add(pauseSlack)) {
			// The instance may not have got the answer.
			continue
		}
		n := 0
		for _, a := range u.arrivals {
			if o := sent[a.id]; o != nil && o.Instance == s.Instance && a.at.After(p.from.Add(pauseSlack)) && a.at.Before(p.until) {
				n++
			}
		}
		if n > pauseMost && fronts[s.Instance].undisturbed(p.from, p.until) {
			broken = append(broken, fmt.Sprintf("%s: %d requests reached %s from %s in a pause of %.1f s", id, n, u.ID, s.Instance, p.until.Sub(p.from).Seconds()))
		}
	}
	return broken
}

// evacuationsKept checks that evacuated domains get nothing, also while the store
// does not have their evacuation.
func (w *World) evacuationsKept(sent map[string]*Sent) (broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.evacuations {
		end := e.to
		if end.IsZero() {
			end = time.Now()
		}
		for _, u := range w.all {
			if u.Domain != e.domain {
				continue
			}
			for _, late := range w.lateArrivals(u, sent, e.from.Add(evacTime)) {
				if late.at.Before(end) {
					broken = append(broken, fmt.Sprintf("%s: reached %s %.1f s after %s was evacuated", late.id, u.ID, late.at.Sub(e.from).Seconds(), e.domain))
				}
			}
		}
	}
	return broken
}

// drains checks that upstreams that have told the store that they leave get nothing
// new. The store was not disturbed when it was told.
func (w *World) drains(sent map[string]*Sent) (broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.left {
		left := u.Left()
		if !w.storeStable(left, left.Add(time.Millisecond)) {
			continue
		}
		for _, late := range w.lateArrivals(u, sent, left.Add(drainTime)) {
			broken = append(broken, fmt.Sprintf("%s: reached %s %.1f s after it had told that it leaves", late.id, u.ID, late.at.Sub(left).Seconds()))
		}
	}
	return broken
}

// lateArrivals returns the requests that reached an upstream after a time from instances
// for which time bounds held. One that callers had sent before does not count if the
// link to the upstream may have held it up.
func (w *World) lateArrivals(u *Upstream, sent map[string]*Sent, after time.Time) (late []arrival) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, a := range u.arrivals {
		s := sent[a.id]
		if s == nil || !a.at.After(after) || !w.inContact(w.fronts()[s.Instance], s.Start, a.at) {
			continue
		}
		if s.Start.After(after) || u.proxy.passed(a.at.Add(-contactTime), a.at) {
			late = append(late, a)
		}
	}
	return late
}
