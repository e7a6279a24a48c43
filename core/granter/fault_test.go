package granter

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartup guards against a domain that gets no leader within 2 s of its start
// or whose slots stay unused.
func TestStartup(t *testing.T) {
	for n := 1; n <= 5; n++ {
		is := is.New(t)
		c := newCluster(uint64(n), n)
		c.run(2 * time.Second)
		is.True(c.leader() >= 0)
		c.run(13 * time.Second)
		is.True(c.usableShare() >= 0.9)
		c.run(30 * time.Second)
		is.Equal(c.violations, nil)
		is.True(c.usableShare() >= 0.9)
	}
}

// failureCase is a row of the table of failures in docs/design.md, as far as it
// concerns slots.
type failureCase struct {
	name   string
	n      int
	inject func(c *testCluster, leader, other int)
	// minShare is the share of the slots that must stay usable, maxRecovery the
	// time within which the share must be back at 90%; 0 means that it must not
	// fall below 90%.
	minShare    float64
	maxRecovery time.Duration
	// leaderStays and leaderChanges tell that the leader must stay or change.
	leaderStays, leaderChanges bool
}

func restartNode(c *testCluster, i int) {
	c.kill(i)
	c.start(i, c.nodes[i].state.Self.Incarnation+1)
}

func pauseNode(n *node, d time.Duration) {
	n.paused = true
	n.cluster.after(d, n.resume)
}

func requestLeave(n *node) { n.step(LeaveRequested{Now: n.clock()}) }

var failureCases = []failureCase{
	{name: "leader dies", n: 3, inject: func(c *testCluster, leader, _ int) { c.kill(leader) }, maxRecovery: 10 * time.Second, leaderChanges: true},
	{name: "platform down after an elector restarts", n: 2, inject: func(c *testCluster, _, other int) {
		c.run(300 * time.Millisecond)
		restartNode(c, other)
		c.run(3 * time.Second)
		c.platformDown = true
	}, maxRecovery: 12 * time.Second, leaderStays: true},
	{name: "leader of two dies", n: 2, inject: func(c *testCluster, leader, _ int) { c.kill(leader) }, maxRecovery: 10 * time.Second, leaderChanges: true},
	{name: "leader and elector of five die", n: 5, inject: func(c *testCluster, leader, _ int) {
		c.kill(leader)
		c.kill(c.index(c.lease.Electors[1]))
	}, maxRecovery: 15 * time.Second, leaderChanges: true},
	{name: "all electors of five die", n: 5, inject: func(c *testCluster, _, _ int) {
		for _, name := range c.lease.Electors {
			c.kill(c.index(name))
		}
	}, maxRecovery: 20 * time.Second, leaderChanges: true},
	{name: "holder dies", n: 3, inject: func(c *testCluster, _, other int) { c.kill(other) }, maxRecovery: 10 * time.Second, leaderStays: true},
	{name: "leader restarts", n: 3, inject: func(c *testCluster, leader, _ int) { restartNode(c, leader) }, maxRecovery: 10 * time.Second},
	{name: "only instance restarts", n: 1, inject: func(c *testCluster, leader, _ int) { restartNode(c, leader) }, maxRecovery: 10 * time.Second},
	{name: "all but one replaced", n: 3, inject: func(c *testCluster, leader, other int) {
		restartNode(c, leader)
		c.run(time.Second)
		restartNode(c, other)
	}, maxRecovery: 16 * time.Second},
	{name: "platform down", n: 3, inject: func(c *testCluster, _, _ int) { c.platformDown = true }, minShare: 0.9, leaderStays: true},
	{name: "platform down for two", n: 2, inject: func(c *testCluster, _, _ int) { c.platformDown = true }, minShare: 0.9, leaderStays: true},
	{name: "platform down for one", n: 1, inject: func(c *testCluster, _, _ int) { c.platformDown = true }, minShare: 0.9, leaderStays: true},
	{name: "platform down, elector dies", n: 3, inject: func(c *testCluster, _, other int) {
		c.platformDown = true
		c.run(10 * time.Second)
		c.kill(other)
	}, maxRecovery: 10 * time.Second, leaderStays: true},
	{name: "leader cut from platform", n: 3, inject: func(c *testCluster, leader, _ int) { c.nodes[leader].platformReachable = false }, minShare: 0.9, leaderStays: true},
	{name: "platform loses answers", n: 3, inject: func(c *testCluster, _, _ int) { c.writeAnswerLossPercent = 100 }, minShare: 0.9, leaderStays: true},
	{name: "domain split, platform up", n: 3, inject: func(c *testCluster, leader, _ int) { c.nodes[leader].partition = 1 }, maxRecovery: 10 * time.Second, leaderStays: true},
	{name: "domain split, platform down", n: 2, inject: func(c *testCluster, leader, _ int) {
		c.nodes[leader].partition = 1
		c.platformDown = true
		c.run(15 * time.Second)
		for _, n := range c.nodes {
			if len(n.holdings.Reserve) == 0 || n.clock().Before(n.holdings.Deadline) {
				c.violation("%s must use its reserve and nothing else", n.state.Self.Name)
			}
		}
		c.heal()
	}, maxRecovery: 12 * time.Second},
	{name: "leader paused", n: 3, inject: func(c *testCluster, leader, _ int) { pauseNode(c.nodes[leader], time.Minute) }, maxRecovery: 10 * time.Second, leaderChanges: true},
	{name: "leader paused and back", n: 3, inject: func(c *testCluster, leader, _ int) { pauseNode(c.nodes[leader], 8*time.Second) }, maxRecovery: 13 * time.Second},
	{name: "holder paused", n: 3, inject: func(c *testCluster, _, other int) { pauseNode(c.nodes[other], 1500*time.Millisecond) }, maxRecovery: 2 * time.Second, leaderStays: true},
	{name: "leader leaves", n: 3, inject: func(c *testCluster, leader, _ int) { requestLeave(c.nodes[leader]) }, maxRecovery: 6 * time.Second, leaderChanges: true},
	{name: "holder leaves", n: 3, inject: func(c *testCluster, _, other int) { requestLeave(c.nodes[other]) }, maxRecovery: 6 * time.Second, leaderStays: true},
}

func (c *testCluster) index(name string) int {
	return slices.IndexFunc(c.nodes, func(n *node) bool { return n.state.Self.Name == name })
}

// TestFailures guards against two holders of a part, a wrong leader and slow
// recovery after each kind of failure.
func TestFailures(t *testing.T) {
	for _, f := range failureCases {
		t.Run(f.name, func(t *testing.T) {
			for seed := range uint64(3) {
				is := is.New(t)
				c := newCluster(seed, f.n)
				c.run(25 * time.Second)
				l := c.leader()
				is.True(c.usableShare() >= 0.9)
				f.inject(c, l, (l+1)%f.n)
				low, outage := c.measureOutage(40 * time.Second)
				t.Logf("seed %d: lowest share %.2f, below 0.9 for %v", seed, low, outage)
				is.Equal(c.violations, nil)
				is.True(low >= f.minShare)
				is.True(outage <= f.maxRecovery)
				is.True(c.usableShare() >= 0.9)
				if f.leaderStays {
					is.Equal(c.leader(), l)
				}
				if f.leaderChanges {
					is.True(c.leader() != l)
				}
			}
		})
	}
}

// measureOutage runs the cluster and returns the lowest share of usable slots and
// the time after which the share stayed at 90%.
func (c *testCluster) measureOutage(d time.Duration) (low float64, outage time.Duration) {
	start := c.now
	low = 1
	for c.now.Sub(start) < d && len(c.violations) == 0 {
		c.run(20 * time.Millisecond)
		share := c.usableShare()
		low = min(low, share)
		if share < 0.9 {
			outage = c.now.Sub(start)
		}
	}
	return low, outage
}

// TestMembersKeepGrantsAcrossLeaderChange guards against members that are without
// a grant for longer than necessary although only the leader changes.
func TestMembersKeepGrantsAcrossLeaderChange(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(c *testCluster, l int)
		most   time.Duration
	}{
		"leader leaves":   {func(c *testCluster, l int) { requestLeave(c.nodes[l]) }, 0},
		"leader restarts": {func(c *testCluster, l int) { restartNode(c, l) }, 0},
		"leader dies":     {func(c *testCluster, l int) { c.kill(l) }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(5) {
				c := newCluster(seed, 3)
				c.run(25 * time.Second)
				l := c.leader()
				tt.change(c, l)
				gap := time.Duration(0)
				for range 1000 {
					c.run(10 * time.Millisecond)
					o := c.nodes[(l+1)%3]
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
