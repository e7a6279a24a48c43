package granter

import (
	"flag"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed and a small number of cases make the test reproducible and fast.
// The flags -rapid.seed and -rapid.checks override them.
func init() {
	_ = flag.Set("rapid.seed", "7")
	_ = flag.Set("rapid.checks", "12")
	_ = flag.Set("rapid.nofailfile", "true")
}

// fault is a randomly drawn fault that is injected into a cluster.
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

// target returns a node's index relative to the leader's, so that many faults hit
// the leader.
func (c *testCluster) target(i int) int {
	return (max(c.leader(), 0) + i) % len(c.nodes)
}

func (c *testCluster) injectFault(f fault) {
	i, o := c.target(f.Node), c.target(f.Other)
	n := c.nodes[i]
	switch f.Kind {
	case "pause":
		if !n.paused {
			n.paused = true
			c.after(f.Duration, n.resume)
		}
	case "kill":
		c.kill(i)
	case "restart":
		restartNode(c, i)
	case "split":
		n.partition = 1
		c.nodes[o].partition = 1
	case "unlink":
		n.unreachablePeer = c.nodes[o]
	case "isolate":
		n.unreachablePeer, n.platformReachable = c.nodes[o], false
	case "heal":
		for _, n := range c.nodes {
			n.partition, n.unreachablePeer = 0, nil
		}
	case "cut":
		n.platformReachable = false
	case "join":
		n.platformReachable = true
	case "down":
		c.platformDown = true
	case "up":
		c.platformDown = false
	case "plan":
		c.distributeConfig(testConfig.withFewerSlots(f.Other), 3*time.Second)
	case "leave":
		n.deliver(func() Event { return LeaveRequested{Now: n.clock()} })
	case "lost":
		c.writeAnswerLossPercent, c.lateWritePercent = f.Node*25, f.Other*25
	case "slow":
		c.slowMessagePercent = f.Node * 8
	}
}

// withFewerSlots returns the configuration with the slots divided by by+1. The
// invariants are still checked against the full numbers.
func (p Config) withFewerSlots(by int) Config {
	p.Upstreams = slices.Clone(p.Upstreams)
	for i := range p.Upstreams {
		p.Upstreams[i].Slots /= by + 1
	}
	return p
}

// distributeConfig delivers a configuration to every instance within the given
// time.
func (c *testCluster) distributeConfig(p Config, within time.Duration) {
	c.config = p
	for _, n := range c.nodes {
		c.after(time.Duration(c.rng.Int64N(int64(within))), func() {
			n.deliver(func() Event { return ConfigChanged{Now: n.clock(), Config: c.config} })
		})
	}
}

// heal ends all faults and restarts the instances that are dead or leaving.
func (c *testCluster) heal() {
	c.platformDown, c.writeAnswerLossPercent, c.slowMessagePercent, c.messageLossPercent = false, 0, 0, 0
	c.distributeConfig(testConfig, time.Second)
	for i, n := range c.nodes {
		n.partition, n.unreachablePeer, n.platformReachable = 0, nil, true
		if !n.alive || n.state.Self.Leaving {
			restartNode(c, i)
		}
	}
}

// TestInvariantsUnderFaults guards against slots, quotas or a lease with two
// holders, grants that outlive the lease, epochs that decrease, grants kept
// after a pause, and a domain that doesn't recover once the faults end.
func TestInvariantsUnderFaults(t *testing.T) {
	t.Log("rapid seed", flag.Lookup("rapid.seed").Value)
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "instances"))
		c.messageLossPercent = rapid.IntRange(0, 10).Draw(t, "loss")
		c.writeAnswerLossPercent = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "lost")
		c.slowMessagePercent = rapid.SampledFrom([]int{0, 1, 10}).Draw(t, "slow")
		c.run(time.Duration(rapid.IntRange(0, 12000).Draw(t, "start")) * time.Millisecond)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 1, 14).Draw(t, "faults") {
			c.injectFault(f)
			c.run(f.Wait)
		}
		c.heal()
		c.run(45 * time.Second)
		if len(c.violations) > 0 {
			t.Fatal(strings.Join(c.violations, "\n"))
		}
		if c.usableShare() < 0.9 {
			t.Fatalf("only %.2f of the slots are usable; leader %d, lease %+v", c.usableShare(), c.leader(), c.lease)
		}
	})
}
