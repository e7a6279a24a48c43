package reducer_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reducer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// recoveryTime bounds the recovery from any single fault: the lease duration, a
// margin, the longest request and 1 s for messages.
const recoveryTime = 12 * time.Second

// totalSlots is the sum of the slots of the upstreams in initialObjects.
const totalSlots = 3 * (6 + 3)

var domains = map[string]int{"a": 2, "b": 1, "c": 2}

func initialObjects() map[string]string {
	objects := map[string]string{
		"region/r":        `{}`,
		"service/lookup":  `{"priority":1,"limit":2000,"body":1000}`,
		"service/posting": `{"once":true,"limit":3000,"body":1000}`,
		"policy/main":     `{"headroom":0.8,"reserve":0.1}`,
	}
	for i, d := range []string{"a", "b", "c"} {
		objects["domain/"+d] = `{"region":"r","instances":2}`
		objects["upstream/lookup-"+d] = fmt.Sprintf(`{"service":"lookup","domain":%q,"address":"127.2.1.%d:8000","slots":6,"conns":330}`, d, i+1)
		objects["upstream/posting-"+d] = fmt.Sprintf(`{"service":"posting","domain":%q,"address":"127.2.2.%d:8000","slots":3,"conns":330}`, d, i+1)
	}
	return objects
}

func newRunningSimulation(seed uint64) *simulation {
	s := newSimulation(seed, domains)
	s.submit(initialObjects())
	s.runFor(recoveryTime)
	return s
}

func (s *simulation) converged() bool {
	for _, n := range s.nodes {
		if n.alive && n.table.Config.Version != uint64(len(s.tickets)) {
			return false
		}
	}
	return true
}

// Guards against a slot that two instances use at once, a configuration version
// that decreases and a deployment that doesn't recover, under random kills,
// pauses, network partitions, message losses, platform outages and tickets.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := newRunningSimulation(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			randomFault(t, s)
			s.runFor(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			is.Equal(s.violation, "") // no invariant is violated
		}
		clearFaults(s)
		s.runFor(2 * recoveryTime)
		is.Equal(s.violation, "") // no invariant is violated after the faults
		is.True(s.converged())    // all instances have the newest version
		if s.usableSlots() < totalSlots*9/10 {
			t.Fatalf("%d of %d slots in use after recovery", s.usableSlots(), totalSlots)
		}
	})
}

func randomFault(t *rapid.T, s *simulation) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"kill", "pause", "partition", "disconnect", "outage", "loss", "ticket", "recovery"}).Draw(t, "fault") {
	case "kill":
		n.alive = false
	case "pause":
		n.paused = n.alive
	case "partition":
		n.partition = rapid.IntRange(0, 1).Draw(t, "group")
	case "disconnect":
		n.platformReachable = false
	case "outage":
		s.platformDown = !s.platformDown
	case "loss":
		s.lossRate = 0.2
	case "ticket":
		s.submit(map[string]string{"weight/lookup/r": `{"shares":{"r":1}}`})
	case "recovery":
		clearFaults(s)
	}
}

func clearFaults(s *simulation) {
	s.platformDown, s.lossRate = false, 0
	for _, n := range s.nodes {
		n.partition, n.platformReachable = 0, true
		switch {
		case !n.alive:
			s.boot(n)
		case n.paused:
			s.resume(n)
		}
	}
}

// Guards against a failure domain that stops serving under one of the faults
// that the design covers, and against a ticket that takes longer than 2 s to
// reach all instances.
func TestSingleFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *simulation)
		wait  time.Duration
		// slots is the minimum number of usable slots after the wait.
		slots int
	}{
		{"no fault", func(*simulation) {}, time.Second, totalSlots},
		{"platform down for ten minutes", func(s *simulation) { s.platformDown = true }, 10 * time.Minute, totalSlots},
		{"domain a disconnected from the platform", func(s *simulation) { disconnectPlatform(s, "a") }, time.Minute, totalSlots},
		{"domain a partitioned from the others", func(s *simulation) { partitionDomain(s, "a") }, time.Minute, totalSlots},
		{"domain a isolated from both", func(s *simulation) { partitionDomain(s, "a"); disconnectPlatform(s, "a") }, time.Minute, totalSlots},
		{"one of two instances dead", func(s *simulation) { s.nodes[0].alive = false }, 10 * time.Second, totalSlots * 9 / 10},
		{"one of two instances paused", func(s *simulation) { s.nodes[1].paused = true }, 10 * time.Second, totalSlots * 9 / 10},
		{"domain a partitioned internally", func(s *simulation) { s.nodes[0].partition = 1 }, 10 * time.Second, totalSlots * 9 / 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRunningSimulation(11)
			tt.fault(s)
			s.runFor(tt.wait)
			is.Equal(s.violation, "")            // no invariant is violated
			is.True(s.usableSlots() >= tt.slots) // enough slots are in use
			clearFaults(s)
			s.runFor(recoveryTime)
			s.submit(map[string]string{"weight/lookup/r": `{"shares":{"r":1}}`})
			s.runFor(2 * time.Second)
			is.Equal(s.violation, "") // no invariant is violated after the fault
			is.True(s.converged())    // all instances have the newest version within 2 s
		})
	}
}

func partitionDomain(s *simulation, domain string) {
	for _, n := range s.nodes {
		if n.self.Domain == domain {
			n.partition = 1
		}
	}
}

func disconnectPlatform(s *simulation, domain string) {
	for _, n := range s.nodes {
		if n.self.Domain == domain {
			n.platformReachable = false
		}
	}
}

// Guards against a configuration that is lost when all instances but one are
// replaced while the platform is down.
func TestConfigurationSurvivesReplacement(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(3)
	s.platformDown = true
	for _, n := range s.nodes[1:] {
		n.alive = false
	}
	s.runFor(5 * time.Second)
	for _, n := range s.nodes[1:] {
		s.boot(n)
	}
	s.runFor(5 * time.Second)
	is.True(s.converged()) // the remaining instance passed its version on
	is.Equal(s.violation, "")
}

// Guards against lookups that still return the instances of an unreachable
// failure domain, and against marking a domain as lost that other members still
// hear from.
func TestLostDomainLeavesLookups(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(7)
	for _, loss := range []float64{0, 0.2} {
		s.lossRate = loss
		s.runFor(time.Minute)
		for _, n := range s.nodes {
			is.Equal(len(n.table.Lost), 0) // members hear through their leader, and message loss alone loses no domain
		}
	}
	partitionDomain(s, "a")
	s.runFor(15 * time.Second)
	is.Equal(s.nodes[0].table.Lost, []string{"b", "c"})
	is.Equal(s.nodes[4].table.Lost, []string{"a"})
	clearFaults(s)
	s.runFor(5 * time.Second)
	for _, n := range s.nodes {
		is.Equal(len(n.table.Lost), 0)
	}
}

// Guards against an upstream that gets requests more than 3 s after the
// platform's list marked it as leaving, while its health checks report ready.
func TestListMarksUpstreamLeaving(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(15)
	s.listedUpstreams = []string{"lookup-a"}
	s.leavingUpstreams = s.listedUpstreams
	s.runFor(3 * time.Second)
	for _, n := range s.nodes[:2] {
		is.True(n.state.Verdicts["lookup-a"].Leaving) // on the leader and on the member
	}
}

// Guards against a number of probes that grows with the members of a domain. In
// 10 s, each of the 6 upstreams gets one probe a second from the holder of its
// parts, and two probes in all from the other member of its domain, if any.
func TestProbeCount(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(13)
	s.probes = 0
	s.runFor(10 * time.Second)
	is.True(s.probes >= 6*9)
	is.True(s.probes <= 6*11+4*2)
}

// Guards against a drain that stays in effect after its end time.
func TestDrainExpires(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(9)
	until := s.now.Add(10 * time.Second)
	s.submit(map[string]string{"drain/upstream/lookup-a": fmt.Sprintf(`{"until":%q}`, until.Format(time.RFC3339))})
	leaving := func() bool { return s.nodes[0].state.Verdicts["lookup-a"].Leaving }
	s.runFor(5 * time.Second)
	is.True(leaving())
	s.runFor(6 * time.Second)
	is.True(!leaving())
	// A leaving signal after the end isn't attributed to the drain's ticket.
	for _, n := range s.nodes {
		s.step(n, reducer.ObserverEvent{Now: s.now, Event: observer.Signaled{
			At: s.now, Now: s.now, Upstream: "lookup-a", Source: observer.FromUpstream, Leaving: true,
		}})
	}
	versions := map[uint64]int{}
	for _, n := range s.nodes {
		for _, e := range n.events {
			if e.Kind == recorder.KindDrainStarted {
				versions[e.Version]++
			}
		}
	}
	is.True(versions[2] > 0)
	is.Equal(versions[0], versions[2])
}

// Guards against an upstream that stays unused after the platform's list has
// cleared its leaving mark, and against a mark that is cleared without a signal
// or by one that may be older than the mark.
func TestListClearsLeaving(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(11)
	n := s.nodes[0]
	leaving := func(names, marked []string) bool {
		s.runFor(time.Second)
		s.step(n, reducer.ListSeen{Now: s.now, Names: names, Leaving: marked})
		return n.state.Verdicts["lookup-a"].Leaving
	}
	listed := []string{"a-1", "a-2", "lookup-a"}
	is.True(!leaving(listed, nil))
	is.Equal(len(n.state.Signals), 0)
	is.True(leaving(listed, []string{"lookup-a"}))
	is.True(leaving(listed, []string{"lookup-a"}))
	is.True(leaving([]string{"a-1", "a-2"}, nil)) // absence from the list doesn't clear the mark
	is.True(leaving(listed, nil))                 // the list may lag
	s.runFor(26 * time.Second)
	is.True(leaving(listed, nil))
	s.runFor(time.Second)
	is.True(!leaving(listed, nil))
}

// Guards against a merged timeline that doesn't show a drain in order, from the
// ticket to the idle upstream, across processes whose clocks differ.
func TestTimelineFollowsDrain(t *testing.T) {
	is := is.New(t)
	s := newRunningSimulation(5)
	s.submit(map[string]string{"drain/upstream/lookup-a": `{"reason":"maintenance"}`})
	s.runFor(3 * time.Second)
	var rings [][]recorder.Event
	for _, n := range s.nodes {
		rings = append(rings, n.events)
	}
	var lines []string
	for _, e := range recorder.Merge(rings...) {
		if (recorder.Filter{Version: 2}).Match(e) {
			lines = append(lines, fmt.Sprintf("%s %s %s", e.Kind, e.Upstream, e.Instance))
		}
	}
	got := strings.Join(lines, "\n") + "\n"
	compareGolden(t, "drain.golden", got)
	is.Equal(s.violation, "")
}

// Guards against unintended changes of the effects of a fixed event sequence.
func TestEffectsGolden(t *testing.T) {
	s := newSimulation(1, map[string]int{"a": 1})
	n := s.nodes[0]
	var out strings.Builder
	write := func(event reducer.Event) {
		fmt.Fprintf(&out, "event %T\n", event)
		for _, e := range n.state.Step(event) {
			text, err := json.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "  effect %T %s\n", e, text)
		}
	}
	write(reducer.Tick{Now: start.Add(tickInterval)})
	write(reducer.ListSeen{Now: start.Add(2 * tickInterval), Names: []string{"a-1"}})
	write(reducer.LeaveAsked{Now: start.Add(3 * tickInterval)})
	write(reducer.SendFailed{Now: start.Add(4 * tickInterval), To: "b-1"})
	compareGolden(t, "script.golden", out.String())
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name)
	if *update {
		is.NoErr(os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(got, string(want))
}
