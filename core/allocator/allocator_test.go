package allocator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// fleet lets instances in three regions share one bound. Messages arrive after messageDelay.
type fleet struct {
	bound   Bound
	shares  []*Share
	ledgers [3]Ledger
	random  *rand.Rand
	now     int64
	// cut has the instances that neither send nor receive messages.
	cut  map[int]bool
	mail []message
	// runs counts the admitted requests of each 100 ms.
	runs      []int
	allowance Allowance
	// granted has what an allocator that knows all arrivals would admit in each step.
	granted []int
	// owedCount and runCount are the numbers of these and of the admitted requests.
	owedCount, runCount int
}

type message struct {
	at    int64
	apply func(now int64)
}

const messageDelay = 21 * time.Millisecond

func newFleet(a Allowance, instances int) *fleet {
	b := a.Bound()
	f := &fleet{allowance: a, bound: b, random: rand.New(rand.NewPCG(7, uint64(instances))), cut: map[int]bool{}, now: int64(time.Second)}
	for range instances {
		s := &Share{}
		s.SetSeed(f.random.Uint64())
		s.Limit(b, instances)
		f.shares = append(f.shares, s)
	}
	for i := range f.ledgers {
		f.ledgers[i].Configure([]Named{{"w", b}})
	}
	return f
}

// collector returns the instance that collects the reports of a region.
func (f *fleet) collector(region int) int {
	for i := region; i < len(f.shares); i += len(f.ledgers) {
		if !f.cut[i] {
			return i
		}
	}
	return region
}

func (f *fleet) send(from, to int, apply func(now int64)) {
	if !f.cut[from] && !f.cut[to] || from == to {
		f.mail = append(f.mail, message{f.now + int64(messageDelay), apply})
	}
}

// exchange lets all instances send their reports, and the collectors sums and totals.
func (f *fleet) exchange() {
	for i, s := range f.shares {
		region, r := i%len(f.ledgers), s.Sample(f.now)
		f.send(i, f.collector(region), func(now int64) {
			f.ledgers[region].Observe(Observation{Source: fmt.Sprint(i), Member: true, Reports: []Report{r}}, now)
		})
	}
	for region := range f.ledgers {
		l := &f.ledgers[region]
		sums := l.Members()
		for other := range f.ledgers {
			if other != region {
				f.send(f.collector(region), f.collector(other), func(now int64) {
					f.ledgers[other].Observe(Observation{Source: fmt.Sprint("region ", region), Reports: sums}, now)
				})
			}
		}
		total := l.Totals(f.now)[0]
		for i := region; i < len(f.shares); i += len(f.ledgers) {
			f.send(f.collector(region), i, func(now int64) {
				s := f.shares[i]
				s.Update(NewGrant(f.bound, s.Use().Demand, total, len(f.shares), now))
			})
		}
	}
}

// run lets requests arrive for some time. Rate is the demand per second of an instance.
func (f *fleet) run(d time.Duration, rate func(instance int) float64) {
	const step = 10 * time.Millisecond
	for end := f.now + int64(d); f.now < end; f.now += int64(step) {
		if f.now%int64(ReportInterval) < int64(step) {
			f.exchange()
		}
		var later []message
		for _, m := range f.mail {
			if m.at <= f.now {
				m.apply(f.now)
			} else {
				later = append(later, m)
			}
		}
		f.mail = later
		admitted, granted := 0, 0
		left := int(f.allowance.Rate*f.allowance.Window + f.allowance.Burst)
		for _, n := range f.granted[max(0, len(f.granted)-window+1):] {
			left -= n
		}
		for i, s := range f.shares {
			for range f.poisson(rate(i) * step.Seconds()) {
				if granted < left {
					granted++
				}
				if _, ok := s.Take(f.now); ok {
					admitted++
				}
			}
		}
		f.runCount += admitted
		f.runs, f.granted = append(f.runs, admitted), append(f.granted, granted)
		f.owedCount += granted
	}
}

func (f *fleet) poisson(mean float64) (n int) {
	for limit, p := math.Exp(-mean), f.random.Float64(); p > limit; p *= f.random.Float64() {
		n++
	}
	return n
}

// window is the number of steps in a window.
const window = 500

// most returns the largest number of admitted requests within five seconds.
func (f *fleet) most() (most int) {
	sum := 0
	for i, n := range f.runs {
		sum += n
		if i >= window {
			sum -= f.runs[i-window]
		}
		most = max(most, sum)
	}
	return most
}

// accepted returns the largest number of requests within five seconds that does no harm.
func (f *fleet) accepted() float64 {
	return (f.allowance.Rate*f.allowance.Window+f.allowance.Burst)*(1+f.allowance.Over) + f.allowance.Slack
}

// TestPatterns plays loads and failures with fleets and allowances of several sizes. The
// golden file has how much of what a bucket that knows all arrivals would admit was admitted,
// and how much of what does no harm was used.
func TestPatterns(t *testing.T) {
	var report strings.Builder
	fmt.Fprintf(&report, "%-34s %9s %6s %8s %8s\n", "pattern", "instances", "rate", "of owed", "of bound")
	for _, instances := range []int{9, 71, 300} {
		for _, rate := range []float64{5, 60, 700} {
			usual := 0.625 * rate / float64(instances)
			even := func(x float64) func(int) float64 { return func(int) float64 { return x * usual } }
			for _, p := range []struct {
				name string
				play func(f *fleet)
			}{
				{"usual load", func(f *fleet) { f.run(20*time.Second, even(1)) }},
				{"all start at once", func(f *fleet) { f.run(10*time.Second, even(1.5)) }},
				{"seven times the usual at once", func(f *fleet) {
					f.run(8*time.Second, even(1))
					f.run(10*time.Second, even(7))
				}},
				{"callers move to a third", func(f *fleet) {
					f.run(8*time.Second, even(1))
					f.run(8*time.Second, func(i int) float64 {
						if i%3 == 0 {
							return 2.4 * usual
						}
						return 0.3 * usual
					})
				}},
				{"a third is cut off, seven times", func(f *fleet) {
					f.run(8*time.Second, even(1))
					for i := range instances / 3 {
						f.cut[i] = true
					}
					f.run(4*time.Second, even(1))
					f.run(8*time.Second, even(7))
					f.cut = map[int]bool{}
					f.run(4*time.Second, even(1))
				}},
				{"collectors end during the rise", func(f *fleet) {
					f.run(8*time.Second, even(1))
					for i := range f.ledgers {
						f.cut[i] = true
					}
					f.run(10*time.Second, func(i int) float64 {
						if f.cut[i] {
							return 0
						}
						return 7 * usual
					})
				}},
			} {
				f := newFleet(Allowance{Rate: rate, Burst: rate, Window: 5, Over: 0.1, Slack: 20}, instances)
				p.play(f)
				fmt.Fprintf(&report, "%-34s %9d %6.0f %8.2f %8.2f\n", p.name, instances, rate, float64(f.runCount)/float64(max(1, f.owedCount)), float64(f.most())/f.accepted())
				if float64(f.most()) > f.accepted() {
					t.Errorf("%s, %d instances, rate %.0f: %d requests in a window, %.0f do no harm", p.name, instances, rate, f.most(), f.accepted())
				}
			}
		}
	}
	compareGolden(t, "patterns", report.String())
}

func compareGolden(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name+".golden")
	if os.Getenv("UPDATE_GOLDEN") != "" {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}

// TestLedgerCountsOnce lets reports be lost, repeated in order and replaced by those of a new
// run of their source. The level never exceeds what the reports leave, and after the last
// reports it is exact.
func TestLedgerCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const burst = 1e6
		l := &Ledger{}
		l.Configure([]Named{{"a", Bound{Burst: burst}}, {"b", Bound{Burst: burst}}})
		type state struct {
			start    uint64
			admitted [2]uint64
			// lost is what was admitted in earlier runs and never reported.
			lost, reported [2]uint64
		}
		sources := map[string]*state{"x": {start: 1}, "y": {start: 1}}
		names := []string{"x", "y"}
		now := int64(1)
		report := func(name string) {
			s := sources[name]
			// In two parts, as from a long list.
			for i := range 2 {
				l.Observe(Observation{Source: name, Member: true, Start: s.start, First: i, Reports: []Report{{Admitted: s.admitted[i]}}}, now)
			}
			s.reported = s.admitted
		}
		for _, name := range names {
			report(name)
		}
		total := [2]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += int64(ReportInterval)
			s := sources[rapid.SampledFrom(names).Draw(t, "source")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				for i := range 2 {
					n := rapid.Uint64Range(0, 50).Draw(t, "admitted")
					s.admitted[i] += n
					total[i] += float64(n)
				}
			case 2:
				for name, other := range sources {
					if other == s {
						report(name)
					}
				}
			case 3:
				for i := range 2 {
					total[i] -= float64(s.admitted[i] - s.reported[i])
				}
				s.start, s.admitted, s.reported = s.start+1, [2]uint64{}, [2]uint64{}
			}
		}
		for _, name := range names {
			report(name)
		}
		for i, left := range l.Totals(now) {
			if math.Abs(left.Level-(burst-total[i])) > 1e-6 {
				t.Fatalf("level %v, want %v", left.Level, burst-total[i])
			}
			if got := l.Members()[i].Admitted; float64(got) != total[i] {
				t.Fatalf("members admitted %d, want %v", got, total[i])
			}
		}
	})
}

// rounded returns totals with levels of one decimal.
func rounded(all []Total) []Total {
	for i := range all {
		all[i].Level = math.Round(all[i].Level*10) / 10
	}
	return all
}

// TestLedgerAcrossConfigurations changes the list of workspaces while a collector keeps a
// ledger, and lets another collector take over.
func TestLedgerAcrossConfigurations(t *testing.T) {
	is := is.New(t)
	now := int64(time.Second)
	bound := Bound{Rate: 10, Burst: 100}
	l := &Ledger{}
	l.Configure([]Named{{"a", bound}, {"b", bound}})
	observe := func(admitted uint64) {
		l.Observe(Observation{Source: "x", Member: true, Reports: []Report{{admitted, 4}, {2 * admitted, 6}}}, now)
	}
	observe(1000)
	observe(1030)
	l.Configure([]Named{{"b", bound}, {"new", bound}, {"a", bound}})
	// What x admitted within 0.8 s before its first report counts too.
	is.Equal(rounded(l.Totals(now)), []Total{{35.2, 6}, {100, 0}, {66.8, 4}})
	next := &Ledger{}
	next.Configure(l.bounds)
	next.Start(l.Totals(now), now)
	is.Equal(next.Totals(now), l.Totals(now))
	next.Observe(Observation{Source: "x", Member: true, Reports: []Report{{5000, 6}, {}, {3000, 4}}}, now)
	is.Equal(rounded(next.Totals(now)), []Total{{30.4, 6}, {100, 0}, {63.6, 4}}) // the demand counts once
	now += int64(2 * time.Second)
	is.Equal(rounded(next.Totals(now))[0].Level, 30.4) // silent, so it is assumed to use up its part of the rate, which is all
	is.Equal(next.Clone().Totals(now), next.Totals(now))
}

// TestCodec sends reports and totals and cuts the data off.
func TestCodec(t *testing.T) {
	is := is.New(t)
	reports := []Report{{}, {123456, 7.5}, {1, 0.0625}}
	data := AppendReports(nil, reports)
	got, err := ParseReports(data)
	is.NoErr(err)
	is.Equal(got, reports)
	_, err = ParseReports(data[:len(data)-1])
	is.True(err != nil)
	totals := []Total{{-12.5, 3}, {700, 0}}
	data = AppendTotals(nil, totals)
	back, err := ParseTotals(data)
	is.NoErr(err)
	is.Equal(back, totals)
	_, err = ParseTotals(data[:1])
	is.True(err != nil)
}

// TestShareReturns takes admissions back whose requests have not run.
func TestShareReturns(t *testing.T) {
	is := is.New(t)
	s := &Share{}
	now := int64(time.Minute)
	s.Update(NewGrant(Bound{Rate: 10, Burst: 10}, 10, Total{Level: 3, Demand: 10}, 1, now))
	for range 3 {
		_, ok := s.Take(now)
		is.True(ok)
	}
	refusal, ok := s.Take(now)
	is.True(!ok)
	is.Equal(refusal.Basis, Scarce)
	is.True(refusal.RetryAfter > 0)
	s.Return(now)
	_, ok = s.Take(now)
	is.True(ok)
	is.Equal(s.Sample(now).Admitted, uint64(3))
	s.Charge(now)
	is.Equal(s.Use().Admitted, uint64(4))
}

// Example limits a bound of one instance.
func Example() {
	var s Share
	b := Bound{Rate: 2, Burst: 4}
	now := int64(time.Hour)
	s.Update(NewGrant(b, 1, Total{Level: 2, Demand: 1}, 1, now))
	for range 3 {
		_, ok := s.Take(now)
		fmt.Println(ok)
	}
	// Output:
	// true
	// true
	// true
}
