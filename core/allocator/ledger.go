package allocator

import (
	"slices"
	"time"
)

// Named is a bound with the name of what it limits.
type Named struct {
	Name string
	Bound
}

// Ledger keeps a token bucket for each of a list of bounds at a collector. Its zero value is
// ready to use.
type Ledger struct {
	bounds []Named
	levels []float64
	// admitted counts the requests that members have admitted, or are assumed to have
	// admitted.
	admitted []float64
	at       int64
	sources  map[string]*source
}

// unheard is the name of the source that stands for all that a new collector has not heard
// of yet.
const unheard = "(unheard)"

// source is an instance, or another region, that reports to a collector.
type source struct {
	// start identifies the run of the source. member reports whether it is an instance.
	start   uint64
	member  bool
	heardAt int64
	// silent reports whether it is assumed to admit its part of the rate.
	silent bool
	uses   []sourceUse
}

// sourceUse is the use of one bound by a source.
type sourceUse struct {
	Report
	// known reports whether there has been a report.
	known bool
	// assumed is the number of requests that are assumed to have been admitted since the
	// last report.
	assumed float64
	// part is the source's part of the demand when it fell silent. It keeps to that,
	// however much the demand rises.
	part float64
}

// Configure sets the bounds. What is known of bounds with the same names is kept. Levels of
// others are full.
func (l *Ledger) Configure(bounds []Named) {
	old := make(map[string]int, len(l.bounds))
	for i, b := range l.bounds {
		old[b.Name] = i
	}
	levels, admitted := l.levels, l.admitted
	l.levels, l.admitted = make([]float64, len(bounds)), make([]float64, len(bounds))
	for i, b := range bounds {
		l.levels[i] = b.Burst
		if k, ok := old[b.Name]; ok {
			l.levels[i], l.admitted[i] = min(levels[k], b.Burst), admitted[k]
		}
	}
	for _, s := range l.sources {
		uses := make([]sourceUse, len(bounds))
		for i, b := range bounds {
			if k, ok := old[b.Name]; ok {
				uses[i] = s.uses[k]
			}
		}
		s.uses = uses
	}
	l.bounds = bounds
}

// Start takes over what another collector has told. The demand is assumed to go on until the
// sources report themselves.
func (l *Ledger) Start(totals []Total, now int64) {
	if len(totals) != len(l.bounds) {
		return
	}
	s := &source{heardAt: now, uses: make([]sourceUse, len(l.bounds))}
	for i, t := range totals {
		l.levels[i] = min(t.Level, l.bounds[i].Burst)
		s.uses[i].Demand = t.Demand
	}
	l.sources = map[string]*source{unheard: s}
}

// Observation is what a source says of its use of the bounds from First on.
type Observation struct {
	// Source is the name of an instance, or of a region if Member is not set.
	Source string
	Member bool
	// Start identifies the run of the source. Its counts begin with 0.
	Start   uint64
	First   int
	Reports []Report
}

// Observe records the reports of a source.
func (l *Ledger) Observe(o Observation, now int64) {
	l.advance(now)
	if o.First < 0 || o.First+len(o.Reports) > len(l.bounds) {
		return
	}
	s := l.sources[o.Source]
	if s == nil {
		s = &source{start: o.Start, member: o.Member, uses: make([]sourceUse, len(l.bounds))}
		if l.sources == nil {
			l.sources = map[string]*source{}
		}
		l.sources[o.Source] = s
	}
	if s.start != o.Start {
		s.start = o.Start
		for i := range s.uses {
			s.uses[i].Admitted = 0
		}
	}
	s.heardAt, s.silent = now, false
	for k, r := range o.Reports {
		u := &s.uses[o.First+k]
		if u.known {
			l.use(o.First+k, float64(r.Admitted)-float64(u.Admitted)-u.assumed, s.member)
		} else {
			l.meet(o.First+k, r, s.member)
		}
		*u = sourceUse{Report: r, known: true}
	}
}

// meet records the first report of a source. What it admitted long ago is contained in the
// level that this collector started with, or makes no difference any more; what it admitted
// within the delay of reports may not be.
func (l *Ledger) meet(i int, r Report, member bool) {
	l.use(i, min(float64(r.Admitted), min(r.Demand, l.bounds[i].Rate)*reportDelay.Seconds()), member)
	if before := l.sources[unheard]; before != nil {
		left := &before.uses[i].Demand
		*left = max(0, *left-r.Demand)
	}
}

// use records that a source has used tokens.
func (l *Ledger) use(i int, n float64, member bool) {
	l.levels[i] -= n
	if member {
		l.admitted[i] += n
	}
}

// advance adds the tokens of the time since the last call, and takes away those that silent
// sources are assumed to use.
func (l *Ledger) advance(now int64) {
	took := time.Duration(now - l.at).Seconds()
	if l.at == 0 || took <= 0 {
		l.at = max(l.at, now)
		return
	}
	l.at = now
	demands := l.demands()
	for name, s := range l.sources {
		switch silence := now - s.heardAt; {
		case silence >= int64(forgetTime):
			delete(l.sources, name)
		case silence >= int64(silenceTime):
			if !s.silent {
				s.fallSilent(demands)
			}
			l.assume(s, took)
		}
	}
	for i, b := range l.bounds {
		// A level that is too low because of a source that has ended recovers in time.
		lowest := -(b.Burst + b.Rate*forgetTime.Seconds()/10 + b.Slack)
		l.levels[i] = min(max(l.levels[i], lowest)+took*b.Rate, b.Burst)
	}
}

// fallSilent keeps the source's parts of the demands.
func (s *source) fallSilent(demands []float64) {
	s.silent = true
	for i := range s.uses {
		u := &s.uses[i]
		u.part = 0
		if u.Demand > 0 {
			u.part = u.Demand / demands[i]
		}
	}
}

// assume records that a silent source uses up its part of the rate for the given seconds.
func (l *Ledger) assume(s *source, took float64) {
	for i := range s.uses {
		u := &s.uses[i]
		n := took * u.part * l.bounds[i].Rate
		u.assumed += n
		l.use(i, n, s.member)
	}
}

// demands returns the demand of all sources for each bound.
func (l *Ledger) demands() []float64 {
	all := make([]float64, len(l.bounds))
	for _, s := range l.sources {
		for i := range s.uses {
			all[i] += s.uses[i].Demand
		}
	}
	return all
}

// Forget removes a source.
func (l *Ledger) Forget(source string) { delete(l.sources, source) }

// Clone returns a copy that is unaffected by later calls.
func (l *Ledger) Clone() *Ledger {
	if l == nil {
		return nil
	}
	c := *l
	c.levels, c.admitted = slices.Clone(l.levels), slices.Clone(l.admitted)
	c.sources = make(map[string]*source, len(l.sources))
	for name, s := range l.sources {
		copied := *s
		copied.uses = slices.Clone(s.uses)
		c.sources[name] = &copied
	}
	return &c
}

// Totals returns the use of each bound by all sources.
func (l *Ledger) Totals(now int64) []Total {
	l.advance(now)
	all := make([]Total, len(l.bounds))
	for i, demand := range l.demands() {
		all[i] = Total{Level: l.levels[i], Demand: demand}
	}
	return all
}

// Members returns the use of each bound by the members of this collector.
func (l *Ledger) Members() []Report {
	all := make([]Report, len(l.bounds))
	for i := range all {
		all[i].Admitted = uint64(max(0, l.admitted[i]))
	}
	for _, s := range l.sources {
		if !s.member {
			continue
		}
		for i := range s.uses {
			all[i].Demand += s.uses[i].Demand
		}
	}
	return all
}
