package granter

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed and a small number of cases keep the test repeatable and quick;
// -rapid.seed and -rapid.checks replace them.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "12")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fault is one drawn disturbance of a world.
type fault struct {
	Kind     string
	Node     int
	Other    int
	Duration time.Duration
	Wait     time.Duration
}

var kinds = []string{
	"pause", "pause", "kill", "restart", "restart", "split", "heal", "cut", "cut", "join", "unlink", "isolate", "isolate",
	"down", "up", "leave", "lost", "slow", "plan",
}

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
		Node:     rapid.IntRange(0, 4).Draw(t, "node"),
		Other:    rapid.IntRange(0, 4).Draw(t, "other"),
		Duration: time.Duration(rapid.IntRange(200, 9000).Draw(t, "for")) * time.Millisecond,
		Wait:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "then")) * time.Millisecond,
	}
}

// target returns the leader's index for 0, so that many faults hit it.
func (w *world) target(i int) int {
	return (max(w.leader(), 0) + i) % len(w.nodes)
}

func (w *world) apply(f fault) {
	i, o := w.target(f.Node), w.target(f.Other)
	n := w.nodes[i]
	switch f.Kind {
	case "pause":
		if !n.paused {
			n.paused = true
			w.after(f.Duration, n.resume)
		}
	case "kill":
		w.kill(i)
	case "restart":
		replace(w, i)
	case "split":
		n.group = 1
		w.nodes[o].group = 1
	case "unlink":
		n.cut = w.nodes[o]
	case "isolate":
		n.cut, n.platform = w.nodes[o], false
	case "heal":
		for _, n := range w.nodes {
			n.group, n.cut = 0, nil
		}
	case "cut":
		n.platform = false
	case "join":
		n.platform = true
	case "down":
		w.down = true
	case "up":
		w.down = false
	case "plan":
		w.plan(plan.shrunk(f.Other), 3*time.Second)
	case "leave":
		n.deliver(func() Event { return LeaveRequested{Now: n.clock()} })
	case "lost":
		w.lost, w.late = f.Node*25, f.Other*25
	case "slow":
		w.slow = f.Node * 8
	}
}

// shrunk returns the plan with fewer slots. The checks keep to the full ones.
func (p Config) shrunk(by int) Config {
	p.Upstreams = slices.Clone(p.Upstreams)
	for i := range p.Upstreams {
		p.Upstreams[i].Slots /= by + 1
	}
	return p
}

// plan brings a configuration to every instance within the given time.
func (w *world) plan(p Config, within time.Duration) {
	w.current = p
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(within))), func() {
			n.deliver(func() Event { return ConfigChanged{Now: n.clock(), Config: w.current} })
		})
	}
}

// heal ends all disturbances; instances that are dead or leaving start anew.
func (w *world) heal() {
	w.down, w.lost, w.slow, w.loss = false, 0, 0, 0
	w.plan(plan, time.Second)
	for i, n := range w.nodes {
		n.group, n.cut, n.platform = 0, nil, true
		if !n.alive || n.st.Self.Leaving {
			replace(w, i)
		}
	}
}

// Guards against slots, quotas or a lease in two hands, against grants that
// outlive the lease, epochs that fall, grants kept over a pause, and against a
// domain that doesn't recover once the disturbances end.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Log("rapid seed", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "instances"))
		w.loss = rapid.IntRange(0, 10).Draw(t, "loss")
		w.lost = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "lost")
		w.slow = rapid.SampledFrom([]int{0, 1, 10}).Draw(t, "slow")
		w.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "start")) * time.Millisecond)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 14).Draw(t, "faults") {
			w.apply(f)
			w.run(f.Wait)
		}
		w.heal()
		w.run(45 * time.Second)
		if len(w.faults) > 0 {
			t.Fatal(strings.Join(w.faults, "\n"))
		}
		if w.share() < 0.9 {
			t.Fatalf("only %.2f of the slots are usable; leader %d, lease %+v", w.share(), w.leader(), w.lease)
		}
	})
}
