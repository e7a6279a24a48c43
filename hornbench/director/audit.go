package director

import (
	"fmt"
	"slices"
	"time"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/hornbench/emulator"
	"hornbeamstream.example/hornbench/generator"
)

// maxFindings bounds the printed findings.
const maxFindings = 20

// stop is the time during which an entry was being stopped in a planned way.
type stop struct {
	entry    string
	from, to time.Time
}

// move is a capped shift that starts at a time.
type move struct {
	service  string
	from, to string
	cap      float64
	since    time.Time
}

// evidence is what an audit compares.
type evidence struct {
	services  map[string]loader.Service
	requests  []generator.Request
	runs      []emulator.Run
	upstreams []emulator.Account
	stops     []stop
	shift     *move
}

// findings counts violations of what must always hold.
type findings struct {
	wrong, cut, twice, over, false int
	// moved is the largest number of shifted requests in one second.
	moved int
	lines []string
}

func (f *findings) add(counter *int, format string, args ...any) {
	*counter++
	if len(f.lines) < maxFindings {
		f.lines = append(f.lines, fmt.Sprintf(format, args...))
	}
}

// audit compares the ledgers of callers and upstreams line by line.
func (e *evidence) audit() (f findings) {
	runs := map[string][]emulator.Run{}
	for _, r := range e.runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	known := make(map[string]*generator.Request, len(e.requests))
	for i := range e.requests {
		q := &e.requests[i]
		known[q.ID] = q
		e.judge(q, runs[q.ID], &f)
	}
	for id, list := range runs {
		if known[id] == nil {
			f.add(&f.wrong, "%s ran at %s but no caller sent it", id, list[0].Upstream)
		}
		if s := list[0].Service; e.services[s].Once && len(list) > 1 {
			f.add(&f.twice, "%s ran %d times, at %s and %s", id, len(list), list[0].Upstream, list[1].Upstream)
		}
	}
	e.capacity(&f, known)
	return f
}

// judge compares one request with its runs. It turns the outcome of requests
// that a planned stop cut off into Cut.
func (e *evidence) judge(q *generator.Request, runs []emulator.Run, f *findings) {
	for _, t := range q.Tries {
		if t.Outcome == generator.NotRun {
			e.refused(q, t, runs, f)
		}
		if t.Closed && e.stopping(t) {
			q.Outcome = generator.Cut
			f.add(&f.cut, "%s was cut off by the planned stop of %s: %s", q.ID, t.Entry, t.Cause)
		}
	}
	switch q.Outcome {
	case generator.Wrong:
		f.add(&f.wrong, "%s got a wrong answer: %s", q.ID, q.Tries[len(q.Tries)-1].Cause)
	case generator.OK:
		if !finished(runs) {
			f.add(&f.wrong, "%s is ok at the caller, but no upstream finished it", q.ID)
		}
	case generator.NotRun:
		if len(runs) > 0 && runs[0].Start.After(q.End) {
			f.add(&f.false, "%s ran at %s after its final answer notrun", q.ID, runs[0].Upstream)
		}
	}
}

// refused checks that nothing ran before a notrun answer arrived.
func (e *evidence) refused(q *generator.Request, t generator.Try, runs []emulator.Run, f *findings) {
	for _, r := range runs {
		if r.Start.Before(t.End) {
			f.add(&f.false, "%s was answered notrun by %s but had begun at %s %v earlier (%s)",
				q.ID, t.Entry, r.Upstream, t.End.Sub(r.Start).Round(time.Millisecond), r.State)
			return
		}
	}
}

func (e *evidence) stopping(t generator.Try) bool {
	for _, s := range e.stops {
		if s.entry == t.Entry && t.End.After(s.from) && t.Start.Before(s.to) {
			return true
		}
	}
	return false
}

func finished(runs []emulator.Run) bool {
	for _, r := range runs {
		if r.State == emulator.Done {
			return true
		}
	}
	return false
}

// capacity counts what exceeded slots and the shift's cap. A region's slots are
// those of its upstreams, so they are exceeded only if an upstream's are.
func (e *evidence) capacity(f *findings, known map[string]*generator.Request) {
	for _, u := range e.upstreams {
		if n := u.Count.Over; n > 0 {
			f.over += n
			f.lines = append(f.lines, fmt.Sprintf("%s got %d requests while all its %d slots were in use", u.Name, n, u.Behavior.Slots))
		}
	}
	if e.shift == nil {
		return
	}
	for _, w := range windows(e.shifted(known)) {
		f.moved = max(f.moved, w.runs)
		if float64(w.runs) > e.shift.cap {
			f.add(&f.over, "%d requests were shifted within a second from %s, the cap is %g",
				w.runs, w.from.Format("15:04:05.000"), e.shift.cap)
		}
	}
}

// window is a second that begins with a run.
type window struct {
	from time.Time
	runs int
}

// windows returns the seconds that begin with each run and the number of runs
// that begin in them. Any second at all holds at most as many as one of these.
func windows(runs []emulator.Run) (list []window) {
	slices.SortFunc(runs, func(a, b emulator.Run) int { return a.Start.Compare(b.Start) })
	last := 0
	for i, r := range runs {
		for last < len(runs) && runs[last].Start.Sub(r.Start) < time.Second {
			last++
		}
		list = append(list, window{r.Start, last - i})
	}
	return list
}

// shifted returns the runs that crossed from the shift's source to its target
// since it started, whatever the reason.
func (e *evidence) shifted(known map[string]*generator.Request) (list []emulator.Run) {
	for _, r := range e.runs {
		q := known[r.ID]
		if q != nil && r.Service == e.shift.service && r.Region == e.shift.to &&
			q.Region == e.shift.from && r.Start.After(e.shift.since) {
			list = append(list, r)
		}
	}
	return list
}
