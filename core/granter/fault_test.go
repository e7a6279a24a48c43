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
		w := newWorld(uint64(n), n)
		w.run(2 * time.Second)
		is.True(w.leader() >= 0)
		w.run(13 * time.Second)
		is.True(w.share() >= 0.9)
		w.run(30 * time.Second)
		is.Equal(w.faults, nil)
		is.True(w.share() >= 0.9)
	}
}

// failure is a row of the table of failures in docs/design.md, as far as it
// concerns slots.
type failure struct {
	name string
	n    int
	hurt func(w *world, l, o int)
	// least is the share of the slots that must stay usable, most the time in
	// which the share must be back at 90%; 0 means that it must not fall below.
	least float64
	most  time.Duration
	// stays tells whether the leader must stay, leaves whether it must change.
	stays, leaves bool
}

func replace(w *world, i int) {
	w.kill(i)
	w.start(i, w.nodes[i].st.Self.Incarnation+1)
}

func pause(n *node, d time.Duration) {
	n.paused = true
	n.w.after(d, n.resume)
}

func leave(n *node) { n.step(LeaveRequested{Now: n.clock()}) }

var failures = []failure{
	{name: "leader dies", n: 3, hurt: func(w *world, l, _ int) { w.kill(l) }, most: 10 * time.Second, leaves: true},
	{name: "platform down after an elector restarts", n: 2, hurt: func(w *world, _, o int) {
		w.run(300 * time.Millisecond)
		replace(w, o)
		w.run(3 * time.Second)
		w.down = true
	}, most: 12 * time.Second, stays: true},
	{name: "leader of two dies", n: 2, hurt: func(w *world, l, _ int) { w.kill(l) }, most: 10 * time.Second, leaves: true},
	{name: "leader and elector of five die", n: 5, hurt: func(w *world, l, _ int) {
		w.kill(l)
		w.kill(w.index(w.lease.Electors[1]))
	}, most: 15 * time.Second, leaves: true},
	{name: "all electors of five die", n: 5, hurt: func(w *world, _, _ int) {
		for _, name := range w.lease.Electors {
			w.kill(w.index(name))
		}
	}, most: 20 * time.Second, leaves: true},
	{name: "holder dies", n: 3, hurt: func(w *world, _, o int) { w.kill(o) }, most: 10 * time.Second, stays: true},
	{name: "leader restarts", n: 3, hurt: func(w *world, l, _ int) { replace(w, l) }, most: 10 * time.Second},
	{name: "only instance restarts", n: 1, hurt: func(w *world, l, _ int) { replace(w, l) }, most: 10 * time.Second},
	{name: "all but one replaced", n: 3, hurt: func(w *world, l, o int) {
		replace(w, l)
		w.run(time.Second)
		replace(w, o)
	}, most: 16 * time.Second},
	{name: "platform down", n: 3, hurt: func(w *world, _, _ int) { w.down = true }, least: 0.9, stays: true},
	{name: "platform down for two", n: 2, hurt: func(w *world, _, _ int) { w.down = true }, least: 0.9, stays: true},
	{name: "platform down for one", n: 1, hurt: func(w *world, _, _ int) { w.down = true }, least: 0.9, stays: true},
	{name: "platform down, elector dies", n: 3, hurt: func(w *world, _, o int) {
		w.down = true
		w.run(10 * time.Second)
		w.kill(o)
	}, most: 10 * time.Second, stays: true},
	{name: "leader cut from platform", n: 3, hurt: func(w *world, l, _ int) { w.nodes[l].platform = false }, least: 0.9, stays: true},
	{name: "platform loses answers", n: 3, hurt: func(w *world, _, _ int) { w.lost = 100 }, least: 0.9, stays: true},
	{name: "domain split, platform up", n: 3, hurt: func(w *world, l, _ int) { w.nodes[l].group = 1 }, most: 10 * time.Second, stays: true},
	{name: "domain split, platform down", n: 2, hurt: func(w *world, l, _ int) {
		w.nodes[l].group = 1
		w.down = true
		w.run(15 * time.Second)
		for _, n := range w.nodes {
			if len(n.uses.Reserve) == 0 || n.clock().Before(n.uses.Deadline) {
				w.fault("%s must serve its reserve and nothing else", n.st.Self.Name)
			}
		}
		w.heal()
	}, most: 12 * time.Second},
	{name: "leader paused", n: 3, hurt: func(w *world, l, _ int) { pause(w.nodes[l], time.Minute) }, most: 10 * time.Second, leaves: true},
	{name: "leader paused and back", n: 3, hurt: func(w *world, l, _ int) { pause(w.nodes[l], 8*time.Second) }, most: 13 * time.Second},
	{name: "holder paused", n: 3, hurt: func(w *world, _, o int) { pause(w.nodes[o], 1500*time.Millisecond) }, most: 2 * time.Second, stays: true},
	{name: "leader leaves", n: 3, hurt: func(w *world, l, _ int) { leave(w.nodes[l]) }, most: 6 * time.Second, leaves: true},
	{name: "holder leaves", n: 3, hurt: func(w *world, _, o int) { leave(w.nodes[o]) }, most: 6 * time.Second, stays: true},
}

func (w *world) index(name string) int {
	return slices.IndexFunc(w.nodes, func(n *node) bool { return n.st.Self.Name == name })
}

// Guards against a wrong holder, a wrong leader and slow recovery after each
// kind of failure.
func TestFailures(t *testing.T) {
	for _, f := range failures {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(3) {
				is := is.New(t)
				w := newWorld(seed, f.n)
				w.run(25 * time.Second)
				l := w.leader()
				is.True(w.share() >= 0.9)
				f.hurt(w, l, (l+1)%f.n)
				low, outage := w.watch(40 * time.Second)
				t.Logf("seed %d: lowest share %.2f, below 0.9 for %v", seed, low, outage)
				is.Equal(w.faults, nil)
				is.True(low >= f.least)
				is.True(outage <= f.most)
				is.True(w.share() >= 0.9)
				if f.stays {
					is.Equal(w.leader(), l)
				}
				if f.leaves {
					is.True(w.leader() != l)
				}
			}
		})
	}
}

// watch runs the world and returns the lowest share of usable slots and the time
// until it stayed at 90%.
func (w *world) watch(d time.Duration) (low float64, outage time.Duration) {
	start := w.now
	low = 1
	for w.now.Sub(start) < d && len(w.faults) == 0 {
		w.run(20 * time.Millisecond)
		share := w.share()
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
		change func(w *world, l int)
		most   time.Duration
	}{
		"leader leaves":   {func(w *world, l int) { leave(w.nodes[l]) }, 0},
		"leader restarts": {func(w *world, l int) { replace(w, l) }, 0},
		"leader dies":     {func(w *world, l int) { w.kill(l) }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				w := newWorld(seed, 3)
				w.run(25 * time.Second)
				l := w.leader()
				tt.change(w, l)
				gap := time.Duration(0)
				for range 1000 {
					w.run(10 * time.Millisecond)
					o := w.nodes[(l+1)%3]
					if !o.clock().Before(o.uses.Deadline) {
						gap += 10 * time.Millisecond
					}
				}
				t.Log("without a grant for", gap)
				is.True(gap <= tt.most)
			}
		})
	}
}
