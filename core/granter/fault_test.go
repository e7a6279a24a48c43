package granter

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a domain that never gets a leader, or whose slots stay unused.
func TestStartup(t *testing.T) {
	for n := 1; n <= 5; n++ {
		is := is.New(t)
		w := newCluster(uint64(n), n)
		w.run(2 * time.Second)
		is.True(w.leader() >= 0)
		w.run(13 * time.Second)
		is.True(w.usableShare() >= 0.9)
		w.run(30 * time.Second)
		is.Equal(w.violations, nil)
		is.True(w.usableShare() >= 0.9)
	}
}

// failure is a row of the table of failures in docs/design.md, as far as it
// concerns slots.
type failureCase struct {
	name   string
	n      int
	inject func(w *testCluster, l, o int)
	// least is the share of the slots that must stay usable, most the time in
	// which the share must be back at 90%; 0 means that it must not fall below.
	minShare    float64
	maxRecovery time.Duration
	// stays tells whether the leader must stay, leaves whether it must change.
	leaderStays, leaderChanges bool
}

func restartNode(w *testCluster, i int) {
	w.kill(i)
	w.start(i, w.nodes[i].state.Self.Incarnation+1)
}

func pauseNode(n *node, d time.Duration) {
	n.paused = true
	n.cluster.after(d, n.resume)
}

func requestLeave(n *node) { n.step(LeaveRequested{Now: n.clock()}) }

var failureCases = []failureCase{
	{name: "leader dies", n: 3, inject: func(w *testCluster, l, _ int) { w.kill(l) }, maxRecovery: 10 * time.Second, leaderChanges: true},
	{name: "platform down after an elector restarts", n: 2, inject: func(w *testCluster, _, o int) {
		w.run(300 * time.Millisecond)
		restartNode(w, o)
		w.run(3 * time.Second)
		w.platformDown = true
	}, maxRecovery: 12 * time.Second, leaderStays: true},
	{name: "leader of two dies", n: 2, inject: func(w *testCluster, l, _ int) { w.kill(l) }, maxRecovery: 10 * time.Second, leaderChanges: true},
	{name: "leader and elector of five die", n: 5, inject: func(w *testCluster, l, _ int) {
		w.kill(l)
		w.kill(w.index(w.lease.Electors[1]))
	}, maxRecovery: 15 * time.Second, leaderChanges: true},
	{name: "all electors of five die", n: 5, inject: func(w *testCluster, _, _ int) {
		for _, name := range w.lease.Electors {
			w.kill(w.index(name))
		}
	}, maxRecovery: 20 * time.Second, leaderChanges: true},
	{name: "holder dies", n: 3, inject: func(w *testCluster, _, o int) { w.kill(o) }, maxRecovery: 10 * time.Second, leaderStays: true},
	{name: "leader restarts", n: 3, inject: func(w *testCluster, l, _ int) { restartNode(w, l) }, maxRecovery: 10 * time.Second},
	{name: "only instance restarts", n: 1, inject: func(w *testCluster, l, _ int) { restartNode(w, l) }, maxRecovery: 10 * time.Second},
	{name: "all but one replaced", n: 3, inject: func(w *testCluster, l, o int) {
		restartNode(w, l)
		w.run(time.Second)
		restartNode(w, o)
	}, maxRecovery: 16 * time.Second},
	{name: "platform down", n: 3, inject: func(w *testCluster, _, _ int) { w.platformDown = true }, minShare: 0.9, leaderStays: true},
	{name: "platform down for two", n: 2, inject: func(w *testCluster, _, _ int) { w.platformDown = true }, minShare: 0.9, leaderStays: true},
	{name: "platform down for one", n: 1, inject: func(w *testCluster, _, _ int) { w.platformDown = true }, minShare: 0.9, leaderStays: true},
	{name: "platform down, elector dies", n: 3, inject: func(w *testCluster, _, o int) {
		w.platformDown = true
		w.run(10 * time.Second)
		w.kill(o)
	}, maxRecovery: 10 * time.Second, leaderStays: true},
	{name: "leader cut from platform", n: 3, inject: func(w *testCluster, l, _ int) { w.nodes[l].platformReachable = false }, minShare: 0.9, leaderStays: true},
	{name: "platform loses answers", n: 3, inject: func(w *testCluster, _, _ int) { w.writeAnswerLossPercent = 100 }, minShare: 0.9, leaderStays: true},
	{name: "domain split, platform up", n: 3, inject: func(w *testCluster, l, _ int) { w.nodes[l].partition = 1 }, maxRecovery: 10 * time.Second, leaderStays: true},
	{name: "domain split, platform down", n: 2, inject: func(w *testCluster, l, _ int) {
		w.nodes[l].partition = 1
		w.platformDown = true
		w.run(15 * time.Second)
		for _, n := range w.nodes {
			if len(n.holdings.Reserve) == 0 || n.clock().Before(n.holdings.Deadline) {
				w.violation("%s must serve its reserve and nothing else", n.state.Self.Name)
			}
		}
		w.heal()
	}, maxRecovery: 12 * time.Second},
	{name: "leader paused", n: 3, inject: func(w *testCluster, l, _ int) { pauseNode(w.nodes[l], time.Minute) }, maxRecovery: 10 * time.Second, leaderChanges: true},
	{name: "leader paused and back", n: 3, inject: func(w *testCluster, l, _ int) { pauseNode(w.nodes[l], 8*time.Second) }, maxRecovery: 13 * time.Second},
	{name: "holder paused", n: 3, inject: func(w *testCluster, _, o int) { pauseNode(w.nodes[o], 1500*time.Millisecond) }, maxRecovery: 2 * time.Second, leaderStays: true},
	{name: "leader leaves", n: 3, inject: func(w *testCluster, l, _ int) { requestLeave(w.nodes[l]) }, maxRecovery: 6 * time.Second, leaderChanges: true},
	{name: "holder leaves", n: 3, inject: func(w *testCluster, _, o int) { requestLeave(w.nodes[o]) }, maxRecovery: 6 * time.Second, leaderStays: true},
}

func (w *testCluster) index(name string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.state.Self.Name == name })
}

// Guards against a wrong holder, a wrong leader and slow recovery after each
// kind of failure.
func TestFailures(t *testing.T) {
	for _, f := range failureCases {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(3) {
				is := is.New(t)
				w := newCluster(seed, f.n)
				w.run(25 * time.Second)
				l := w.leader()
				is.True(w.usableShare() >= 0.9)
				f.inject(w, l, (l+1)%f.n)
				low, outage := w.measureOutage(40 * time.Second)
				t.Logf("seed %d: lowest share %.2f, below 0.9 for %v", seed, low, outage)
				is.Equal(w.violations, nil)
				is.True(low >= f.minShare)
				is.True(outage <= f.maxRecovery)
				is.True(w.usableShare() >= 0.9)
				if f.leaderStays {
					is.Equal(w.leader(), l)
				}
				if f.leaderChanges {
					is.True(w.leader() != l)
				}
			}
		})
	}
}

// watch runs the world and returns the lowest share of usable slots and the time
// until it stayed at 90%.
func (w *testCluster) measureOutage(d time.Duration) (low float64, outage time.Duration) {
	start := w.now
	low = 1
	for w.now.Sub(start) < d && len(w.violations) == 0 {
		w.run(20 * time.Millisecond)
		share := w.usableShare()
		low = min(low, share)
		if share < 0.9 {
			outage = w.now.Sub(start)
		}
	}
	return low, outage
}

// Guards against holders that stop working although only the leader changes.
func TestMembersKeepGrantsAcrossLeaderChange(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(w *testCluster, l int)
		most   time.Duration
	}{
		"leader leaves":   {func(w *testCluster, l int) { requestLeave(w.nodes[l]) }, 0},
		"leader restarts": {func(w *testCluster, l int) { restartNode(w, l) }, 0},
		"leader dies":     {func(w *testCluster, l int) { w.kill(l) }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				w := newCluster(seed, 3)
				w.run(25 * time.Second)
				l := w.leader()
				tt.change(w, l)
				gap := time.Duration(0)
				for range 1000 {
					w.run(10 * time.Millisecond)
					o := w.nodes[(l+1)%3]
					if !o.clock().Before(o.holdings.Deadline) {
						gap += 10 * time.Millisecond
					}
				}
				t.Log("without a grant for", gap)
				is.True(gap <= tt.most)
			}
		})
	}
}
