package observer

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Property tests run with the same values every time.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func watching(slots int) *State {
	s := New(start)
	s.Step(SpecsChanged{Now: start, Specs: []Spec{{Upstream: "u", Slots: slots}}})
	return s
}

func ready(sent, now float64, state string) Probed {
	return Probed{Sent: at(sent), Now: at(now), Health: Health{Upstream: "u", State: state}}
}

func signal(when, now float64, from Source, leaving bool) Signaled {
	return Signaled{At: at(when), Now: at(now), Upstream: "u", Source: from, Leaving: leaving}
}

func batch(now float64, x Sample) Sampled {
	x.Upstream = "u"
	return Sampled{Now: at(now), Samples: []Sample{x}}
}

func drained(now float64, d bool) SpecsChanged {
	return SpecsChanged{Now: at(now), Specs: []Spec{{Upstream: "u", Slots: 8, Drained: d}}}
}

func TestLeavingSignals(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []Event
		want   bool
	}{
		{"ticket", []Event{drained(1, true)}, true},
		{"ticket removed", []Event{drained(1, true), drained(2, false)}, false},
		{"platform", []Event{signal(1, 1, FromPlatform, true)}, true},
		{"platform, newer ready", []Event{signal(1, 1, FromPlatform, true), signal(2, 2, FromPlatform, false)}, false},
		{"platform, stale ready", []Event{signal(2, 2, FromPlatform, true), signal(1, 3, FromPlatform, false)}, true},
		{"platform, ready at the same time", []Event{signal(2, 2, FromPlatform, true), signal(2, 3, FromPlatform, false)}, true},
		{"platform, leaving repeated", []Event{
			signal(1, 1, FromPlatform, true), signal(3, 3, FromPlatform, true), signal(2, 4, FromPlatform, false),
		}, true},
		{"late leaving", []Event{signal(3, 3, FromPlatform, false), signal(1, 4, FromPlatform, true)}, false},
		{"ready of another source", []Event{signal(1, 1, FromPlatform, true), ready(2, 2, "ready")}, true},
		{"two sources, one ready", []Event{
			signal(1, 1, FromPlatform, true), ready(1, 1, "leaving"), ready(2, 2, "ready"),
		}, true},
		{"health", []Event{ready(1, 1, "leaving")}, true},
		{"health, ready sent before", []Event{ready(1, 2, "leaving"), ready(1.5, 3, "ready")}, true},
		{"health, ready again", []Event{ready(1, 1, "leaving"), ready(2, 2, "ready")}, false},
		{"answer", []Event{batch(1, Sample{OK: 1, Leaving: true})}, true},
		{"answer, lying health", []Event{batch(1, Sample{OK: 1, Leaving: true}), ready(2, 2, "ready"), ready(3, 3, "ready")}, true},
		{"answer, health agreed", []Event{
			batch(1, Sample{OK: 1, Leaving: true}), ready(2, 2, "leaving"), ready(3, 3, "ready"),
		}, false},
		{"answer, restarted cold", []Event{batch(1, Sample{OK: 1, Leaving: true}), ready(2, 2, "cold")}, false},
		{"answer, hold ended", []Event{batch(1, Sample{OK: 1, Leaving: true}), ready(31, 31, "ready")}, false},
		{"answer, second hold is longer", []Event{
			batch(1, Sample{OK: 1, Leaving: true}), ready(31, 31, "ready"),
			batch(32, Sample{OK: 1, Leaving: true}), ready(70, 70, "ready"),
		}, true},
		{"two refusals", []Event{batch(1, Sample{Refused: 2})}, false},
		{"refusals in a run", []Event{batch(1, Sample{Refused: 2}), batch(2, Sample{Refused: 1, OK: 9})}, true},
		{"refusals far apart", []Event{batch(1, Sample{Refused: 2}), batch(4, Sample{Refused: 1})}, false},
		{"accepted in between", []Event{batch(1, Sample{Refused: 2}), ready(1.1, 1.2, "ready"), batch(1.3, Sample{Refused: 2})}, false},
		{"accepted before the last refusal", []Event{batch(1, Sample{Refused: 2}), ready(0.9, 1.2, "ready"), batch(1.3, Sample{Refused: 1})}, true},
		{"accepted before", []Event{batch(1, Sample{Refused: 3}), ready(0.9, 1.2, "ready")}, true},
		{"accepted again", []Event{batch(1, Sample{Refused: 3}), ready(2, 2, "ready")}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := watching(8)
			for _, e := range c.events {
				s.Step(e)
			}
			v := s.all["u"].published
			is.Equal(v.Leaving, c.want)
			is.Equal(v.Limit == 0, c.want)
		})
	}
}

// Guards against an upstream that closes its port and still gets work after
// three seconds, when no traffic but only probes can see it.
func TestRefusedProbesMarkLeavingInTime(t *testing.T) {
	is := is.New(t)
	s := watching(8)
	first := time.Time{}
	for now := start; ; now = now.Add(100 * time.Millisecond) {
		is.True(now.Before(at(5)))
		for _, e := range s.Step(Tick{Now: now}) {
			if _, ok := e.(Probe); ok {
				if first.IsZero() {
					first = now
				}
				s.Step(Probed{Sent: now, Now: now, Health: Health{Upstream: "u", Refused: true}})
			}
		}
		if s.all["u"].published.Leaving {
			is.True(now.Sub(first) <= time.Second)
			return
		}
	}
}

func TestProbesAreBounded(t *testing.T) {
	for probers, want := range map[int]int{1: 10, 10: 2, 60: 1} {
		is := is.New(t)
		s := New(start)
		s.Step(SpecsChanged{Now: start, Specs: []Spec{{Upstream: "u", Slots: 8, Probers: probers}}})
		n := 0
		for i := range 100 {
			for _, e := range s.Step(Tick{Now: at(float64(i) / 10)}) {
				if _, ok := e.(Probe); ok {
					n++
					s.Step(ready(float64(i)/10, float64(i)/10, "ready"))
				}
			}
		}
		is.Equal(n, want)
	}
}

// Guards against verdicts above the slots, a limit of 0 without a leaving mark,
// and a mark that does not follow the newest signal of its source.
func TestVerdictsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 6
		s := watching(slots)
		now := 0.0
		newest := map[Source]Signaled{}
		for range 80 {
			now += rapid.Float64Range(0, 0.7).Draw(t, "gap")
			var e Event
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				e = Tick{Now: at(now)}
			case 1:
				e = batch(now, Sample{
					OK: rapid.IntRange(0, 50).Draw(t, "ok"), Shed: rapid.IntRange(0, 3).Draw(t, "shed"),
					Failed:  rapid.IntRange(0, 3).Draw(t, "failed"),
					Latency: time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond,
				})
			case 2:
				e = Probed{Sent: at(now), Now: at(now), Health: Health{
					Upstream: "u", State: rapid.SampledFrom([]string{"ready", "cold", ""}).Draw(t, "state"),
					Load: rapid.Float64Range(0, 3).Draw(t, "load"), Slots: rapid.IntRange(0, 9).Draw(t, "slots"),
				}}
			case 3:
				x := signal(now-float64(rapid.IntRange(0, 3).Draw(t, "age")), now,
					rapid.SampledFrom([]Source{FromConfig, FromPlatform}).Draw(t, "source"), rapid.Bool().Draw(t, "leaving"))
				old := newest[x.Source]
				if x.At.After(old.At) || x.At.Equal(old.At) && x.Leaving {
					newest[x.Source] = x
				}
				e = x
			}
			s.Step(e)
			v := s.all["u"].published
			leaving := newest[FromConfig].Leaving || newest[FromPlatform].Leaving
			if v.Leaving != leaving || v.Leaving != (v.Limit == 0) || v.Limit > slots {
				t.Fatalf("verdict %+v, leaving %v", v, leaving)
			}
		}
	})
}

// scenario is an upstream that answers as many requests as it may get.
type scenario struct {
	name  string
	slots int
	until float64
	// at returns the answers of one 200 ms batch and the health report.
	at func(now float64, limit int) (Sample, Health)
}

var steady = Health{Upstream: "u", State: "ready", Load: 0.4}

func serve(limit, ms int) Sample {
	return Sample{OK: limit * 200 / ms, Latency: time.Duration(ms) * time.Millisecond}
}

var scenarios = []scenario{
	{"first", 8, 6, func(_ float64, limit int) (Sample, Health) { return serve(limit, 20), steady }},
	{"cold", 8, 8, func(now float64, limit int) (Sample, Health) {
		h, ms := steady, 20
		if now < 4 {
			h.State, ms = "cold", 60
		}
		return serve(limit, ms), h
	}},
	{"slow", 8, 30, func(now float64, limit int) (Sample, Health) {
		if now > 8 && now < 18 {
			return serve(limit, 200), steady
		}
		return serve(limit, 20), steady
	}},
	{"shed", 8, 30, func(now float64, limit int) (Sample, Health) {
		x := serve(min(limit, 4), 20)
		if now > 8 && now < 18 && limit > 4 {
			x.Shed = limit - 4
		}
		return x, steady
	}},
	{"overload", 8, 20, func(now float64, limit int) (Sample, Health) {
		h := steady
		// The report then stays the same, so that it is ignored.
		if now > 8 {
			h.Load = 2
		}
		return serve(limit, 20), h
	}},
	{"dead", 8, 30, func(now float64, limit int) (Sample, Health) {
		if now > 8 && now < 18 {
			return Sample{Failed: limit}, Health{Upstream: "u"}
		}
		return serve(limit, 20), steady
	}},
	{"leaving", 8, 20, func(now float64, limit int) (Sample, Health) {
		h := steady
		if now > 8 && now < 12 {
			h.State = "leaving"
		}
		return serve(limit, 20), h
	}},
}

// TestScenarios compares the verdicts over time with the golden files.
func TestScenarios(t *testing.T) {
	for _, c := range scenarios {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var log strings.Builder
			s := watching(c.slots)
			limit := s.all["u"].published.Limit
			run := func(now float64, e Event) (probes int) {
				for _, effect := range s.Step(e) {
					v, ok := effect.(Verdict)
					if !ok {
						probes++
						continue
					}
					limit = v.Limit
					fmt.Fprintf(&log, "%5.1f s limit %d leaving %v latency %v: %s\n", now, v.Limit, v.Leaving, v.Latency, v.Cause)
				}
				return probes
			}
			for i := range int(c.until * 10) {
				now := float64(i) / 10
				x, h := c.at(now, limit)
				for range run(now, Tick{Now: at(now)}) {
					run(now, Probed{Sent: at(now), Now: at(now), Health: h})
				}
				if i%2 == 0 {
					run(now, batch(now, x))
				}
			}
			path := filepath.Join("testdata", c.name+".golden")
			if *update {
				is.NoErr(os.WriteFile(path, []byte(log.String()), 0o644))
			}
			want, err := os.ReadFile(path)
			is.NoErr(err)
			is.Equal(log.String(), string(want))
		})
	}
}

// Guards against a cut of all upstreams when the requests of a service have
// become heavier, and against none when one of them is slow.
func TestSiblingsDistinguishSlowUpstreamFromHeavyRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		others int
		from   int
		want   int
	}{{"one slow", 20, 100, 2}, {"all heavier", 200, 100, 8}, {"one slow from the start", 20, 0, 2}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := New(start)
			names := []string{"a", "b", "c"}
			var specs []Spec
			for _, n := range names {
				specs = append(specs, Spec{Upstream: n, Service: "lookup", Slots: 8})
			}
			s.Step(SpecsChanged{Now: start, Specs: specs})
			for i := range 200 {
				e := Sampled{Now: at(float64(i) / 5)}
				for _, n := range names {
					x := serve(s.all[n].published.Limit, 20)
					if i >= c.from {
						x.Latency = time.Duration(c.others) * time.Millisecond
						if n == "a" {
							x.Latency = 200 * time.Millisecond
						}
					}
					x.Upstream = n
					e.Samples = append(e.Samples, x)
				}
				s.Step(e)
			}
			is.Equal(s.all["a"].published.Limit, c.want)
		})
	}
}
