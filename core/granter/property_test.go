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

var faultKinds = []string{
	"pause", "pause", "kill", "restart", "restart", "split", "heal", "cut", "cut", "join", "unlink", "isolate", "isolate",
	"down", "up", "leave", "lost", "slow", "plan",
}

func drawFault(t *rapid.T) fault {
	return fault{
		Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
		Node:     rapid.IntRange(0, 4).Draw(t, "node"),
		Other:    rapid.IntRange(0, 4).Draw(t, "other"),
		Duration: time.Duration(rapid.IntRange(200, 9000).Draw(t, "for")) * time.Millisecond,
		Wait:     time.Duration(rapid.IntRange(0, 8000).Draw(t, "then")) * time.Millisecond,
	}
}

// target returns the leader's index for 0, so that many faults hit it.
func (w *testCluster) target(i int) int {
	return (max(w.leader(), 0) + i) % len(w.nodes)
}

func (w *testCluster) injectFault(f fault) {
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
		restartNode(w, i)
	case "split":
		n.partition = 1
		w.nodes[o].partition = 1
	case "unlink":
		n.unreachablePeer = w.nodes[o]
	case "isolate":
		n.unreachablePeer, n.platformReachable = w.nodes[o], false
	case "heal":
		for _, n := range w.nodes {
			n.partition, n.unreachablePeer = 0, nil
		}
	case "cut":
		n.platformReachable = false
	case "join":
		n.platformReachable = true
	case "down":
		w.platformDown = true
	case "up":
		w.platformDown = false
	case "plan":
		w.distributeConfig(testConfig.withFewerSlots(f.Other), 3*time.Second)
	case "leave":
		n.deliver(func() Event { return LeaveRequested{Now: n.clock()} })
	case "lost":
		w.writeAnswerLossPercent, w.lateWritePercent = f.Node*25, f.Other*25
	case "slow":
		w.slowMessagePercent = f.Node * 8
	}
}

// shrunk returns the plan with fewer slots. The checks keep to the full ones.
func (p Config) withFewerSlots(by int) Config {
	p.Upstreams = slices.Clone(p.Upstreams)
	for i := range p.Upstreams {
		p.Upstreams[i].Slots /= by + 1
	}
	return p
}

// plan brings a configuration to every instance within the given time.
func (w *testCluster) distributeConfig(p Config, within time.Duration) {
	w.config = p
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(within))), func() {
			n.deliver(func() Event { return ConfigChanged{Now: n.clock(), Config: w.config} })
		})
	}
}

// heal ends all disturbances; instances that are dead or leaving start anew.
func (w *testCluster) heal() {
	w.platformDown, w.writeAnswerLossPercent, w.slowMessagePercent, w.messageLossPercent = false, 0, 0, 0
	w.distributeConfig(testConfig, time.Second)
	for i, n := range w.nodes {
		n.partition, n.unreachablePeer, n.platformReachable = 0, nil, true
		if !n.alive || n.state.Self.Leaving {
			restartNode(w, i)
		}
	}
}

// Guards against slots, quotas or a lease in two hands, against grants that
// outlive the lease, epochs that fall, grants kept over a pause, and against a
// domain that doesn't recover once the disturbances end.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Log("rapid seed", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "instances"))
		w.messageLossPercent = rapid.IntRange(0, 10).Draw(t, "loss")
		w.writeAnswerLossPercent = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "lost")
		w.slowMessagePercent = rapid.SampledFrom([]int{0, 1, 10}).Draw(t, "slow")
		w.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "start")) * time.Millisecond)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 14).Draw(t, "faults") {
			w.injectFault(f)
			w.run(f.Wait)
		}
		w.heal()
		w.run(45 * time.Second)
		if len(w.violations) > 0 {
			t.Fatal(strings.Join(w.violations, "\n"))
		}
		if w.usableShare() < 0.9 {
			t.Fatalf("only %.2f of the slots are usable; leader %d, lease %+v", w.usableShare(), w.leader(), w.lease)
		}
	})
}
