package quarantiner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportTime is how long an instance reports what it has observed.
	reportTime = 3 * time.Second
	// maxReportedCrashes bounds the crashes in one report.
	maxReportedCrashes = Threshold + 1
)

// Report is what an instance knows of a request that it has observed itself. Short JSON
// names keep it small.
type Report struct {
	Digest Digest `json:"d"`
	// Crashes has the first separate crashes since the last answer, and the last one.
	Crashes []ReportedCrash `json:"c,omitempty"`
	// Answered reports whether an upstream has answered the request. AnswerAge is the
	// time in milliseconds since then.
	Answered  bool  `json:"f,omitempty"`
	AnswerAge int64 `json:"a,omitempty"`
}

// ReportedCrash is a crash in a report.
type ReportedCrash struct {
	Upstream uint32 `json:"u"`
	// Age is the time in milliseconds from the crash to the report.
	Age int64 `json:"a"`
}

// Reports returns reports of what this instance has observed recently, latest first, at
// most the given number.
func (l *List) Reports(now int64, most int) (all []Report) {
	var recent []Digest
	for d, r := range l.records {
		if seenAt := r.seenAt(); seenAt != 0 && now-seenAt < int64(reportTime) {
			recent = append(recent, d)
		}
	}
	slices.SortFunc(recent, func(a, b Digest) int {
		return cmp.Or(cmp.Compare(l.records[b].seenAt(), l.records[a].seenAt()), cmp.Compare(a, b))
	})
	for _, d := range recent {
		if p := l.records[d].report(now, d); len(all) < most && !p.empty() {
			all = append(all, p)
		}
	}
	return all
}

// seenAt returns when this instance last observed something itself, or 0 for never.
func (r *record) seenAt() int64 { return max(r.crashSeenAt, r.answerSeenAt) }

func (r *record) report(now int64, d Digest) Report {
	p := Report{Digest: d}
	separate := r.separate()
	if over := len(separate) - maxReportedCrashes; over > 0 {
		separate = slices.Delete(separate, Threshold, Threshold+over)
	}
	for _, i := range separate {
		c := r.crashes[i]
		p.Crashes = append(p.Crashes, ReportedCrash{c.Upstream, (now - c.At) / int64(time.Millisecond)})
	}
	if r.answerSeenAt != 0 && now-r.answerSeenAt < int64(reportTime) {
		// Answers that other instances have seen are not reported: with each report, the
		// time of an answer shifts by the time that the report takes to arrive.
		p.Answered, p.AnswerAge = true, (now-r.answerSeenAt)/int64(time.Millisecond)
	}
	return p
}

// empty reports whether the report says nothing.
func (p *Report) empty() bool { return !p.Answered && len(p.Crashes) == 0 }

// Merge adds reports of another instance. It returns the changes of quarantines, and
// reports whether anything has changed.
func (l *List) Merge(now int64, reports []Report) (all []Change, changed bool) {
	for _, p := range reports {
		if p.Digest == 0 || p.empty() {
			continue
		}
		c, ok := l.update(now, p.Digest, func(r *record) bool { return r.merge(now, p) })
		all, changed = append(all, c...), changed || ok
	}
	return all, changed
}

func (r *record) merge(now int64, p Report) (changed bool) {
	// Ages are from another process; an absurd one must not overflow.
	at := func(age int64) int64 {
		return now - int64(min(max(time.Duration(age), 0), retention/time.Millisecond)*time.Millisecond)
	}
	if p.Answered {
		changed = r.answer(at(p.AnswerAge))
	}
	for _, c := range p.Crashes[:min(len(p.Crashes), maxReportedCrashes)] {
		changed = r.add(Crash{c.Upstream, at(c.Age)}) || changed
	}
	return changed
}
