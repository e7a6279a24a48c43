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

// settle is the recovery time after any single fault: a lease, a margin, the longest request and a second for messages.
const settle = 12 * time.Second

// totalSlots is the sum over the upstreams of firstTicket.
const totalSlots = 3 * (6 + 3)

var domains = map[string]int{"a": 2, "b": 1, "c": 2}

func firstTicket() map[string]string {
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

func running(seed uint64) *world {
	w := newWorld(seed, domains)
	w.submit(firstTicket())
	w.runFor(settle)
	return w
}

func (w *world) inForce() bool {
	for _, n := range w.nodes {
		if n.alive && n.table.Config.Version != uint64(len(w.tickets)) {
			return false
		}
	}
	return true
}

// Guards against a slot that two instances use, a configuration version that
// decreases and a deployment that doesn't recover, under random kills, pauses,
// partitions, message losses, platform outages and tickets.
func TestPromisesUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := running(rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			randomFault(t, w)
			w.runFor(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			is.Equal(w.fault, "") // an invariant is violated
		}
		heal(w)
		w.runFor(2 * settle)
		is.Equal(w.fault, "") // an invariant is violated after the faults
		is.True(w.inForce())  // all instances have the newest version
		if w.held() < totalSlots*9/10 {
			t.Fatalf("%d of %d slots in use after recovery", w.held(), totalSlots)
		}
	})
}

func randomFault(t *rapid.T, w *world) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"kill", "pause", "cut", "platform", "down", "loss", "ticket", "heal"}).Draw(t, "fault") {
	case "kill":
		n.alive = false
	case "pause":
		n.paused = n.alive
	case "cut":
		n.group = rapid.IntRange(0, 1).Draw(t, "group")
	case "platform":
		n.platform = false
	case "down":
		w.down = !w.down
	case "loss":
		w.loss = 0.2
	case "ticket":
		w.submit(map[string]string{"weight/lookup/r": `{"shares":{"r":1}}`})
	case "heal":
		heal(w)
	}
}

func heal(w *world) {
	w.down, w.loss = false, 0
	for _, n := range w.nodes {
		n.group, n.platform = 0, true
		switch {
		case !n.alive:
			w.boot(n)
		case n.paused:
			w.resume(n)
		}
	}
}

// Guards against a domain that stops serving in the failures of the design's
// table, and against a ticket that takes longer than 2 s to be in force.
func TestFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(w *world)
		wait  time.Duration
		// slots is the least number of usable slots after the wait.
		slots int
	}{
		{"no fault", func(*world) {}, time.Second, totalSlots},
		{"platform down for ten minutes", func(w *world) { w.down = true }, 10 * time.Minute, totalSlots},
		{"domain a cut from the platform", func(w *world) { cutPlatform(w, "a") }, time.Minute, totalSlots},
		{"domain a cut from the others", func(w *world) { cut(w, "a") }, time.Minute, totalSlots},
		{"domain a cut from both", func(w *world) { cut(w, "a"); cutPlatform(w, "a") }, time.Minute, totalSlots},
		{"one of two instances dead", func(w *world) { w.nodes[0].alive = false }, 10 * time.Second, totalSlots * 9 / 10},
		{"one of two instances paused", func(w *world) { w.nodes[1].paused = true }, 10 * time.Second, totalSlots * 9 / 10},
		{"domain a split in two", func(w *world) { w.nodes[0].group = 1 }, 10 * time.Second, totalSlots * 9 / 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := running(11)
			tt.fault(w)
			w.runFor(tt.wait)
			is.Equal(w.fault, "")         // no invariant is violated
			is.True(w.held() >= tt.slots) // enough slots are in use
			heal(w)
			w.runFor(settle)
			w.submit(map[string]string{"weight/lookup/r": `{"shares":{"r":1}}`})
			w.runFor(2 * time.Second)
			is.Equal(w.fault, "") // no invariant is violated after the fault
			is.True(w.inForce())  // in force everywhere within 2 s
		})
	}
}

func cut(w *world, domain string) {
	for _, n := range w.nodes {
		if n.self.Domain == domain {
			n.group = 1
		}
	}
}

func cutPlatform(w *world, domain string) {
	for _, n := range w.nodes {
		if n.self.Domain == domain {
			n.platform = false
		}
	}
}

// Guards against a configuration that is lost when all instances but one are
// replaced while the platform is down.
func TestConfigurationSurvivesReplacement(t *testing.T) {
	is := is.New(t)
	w := running(3)
	w.down = true
	for _, n := range w.nodes[1:] {
		n.alive = false
	}
	w.runFor(5 * time.Second)
	for _, n := range w.nodes[1:] {
		w.boot(n)
	}
	w.runFor(5 * time.Second)
	is.True(w.inForce()) // the one gave its version to the others
	is.Equal(w.fault, "")
}

// Guards against look-ups that go on naming the instances of a failure domain
// that nobody hears from, and against losing one of which others still hear.
func TestLostDomainLeavesLookups(t *testing.T) {
	is := is.New(t)
	w := running(7)
	for _, loss := range []float64{0, 0.2} {
		w.loss = loss
		w.runFor(time.Minute)
		for _, n := range w.nodes {
			is.Equal(len(n.table.Lost), 0) // members hear through their leader, and losses alone lose no domain
		}
	}
	cut(w, "a")
	w.runFor(15 * time.Second)
	is.Equal(w.nodes[0].table.Lost, []string{"b", "c"})
	is.Equal(w.nodes[4].table.Lost, []string{"a"})
	heal(w)
	w.runFor(5 * time.Second)
	for _, n := range w.nodes {
		is.Equal(len(n.table.Lost), 0)
	}
}

// Guards against an upstream that gets work more than 3 s after the platform's
// list has marked it as leaving, while its own health reports say ready.
func TestListedUpstreamLeavesInTime(t *testing.T) {
	is := is.New(t)
	w := running(15)
	w.listed = []string{"lookup-a"}
	w.leaving = w.listed
	w.runFor(3 * time.Second)
	for _, n := range w.nodes[:2] {
		is.True(n.state.Verdicts["lookup-a"].Leaving) // on the leader and on the member
	}
}

// Guards against probes that grow with the members of a domain: 10 s at one
// probe a second for each of 6 upstreams, and two looks by the other member.
func TestHoldersProbe(t *testing.T) {
	is := is.New(t)
	w := running(13)
	w.probes = 0
	w.runFor(10 * time.Second)
	is.True(w.probes >= 6*9)
	is.True(w.probes <= 6*11+4*2)
}

// Guards against a drain that goes on after the time at which it ends by itself.
func TestDrainEndsByItself(t *testing.T) {
	is := is.New(t)
	w := running(9)
	until := w.now.Add(10 * time.Second)
	w.submit(map[string]string{"drain/upstream/lookup-a": fmt.Sprintf(`{"until":%q}`, until.Format(time.RFC3339))})
	leaving := func() bool { return w.nodes[0].state.Verdicts["lookup-a"].Leaving }
	w.runFor(5 * time.Second)
	is.True(leaving())
	w.runFor(6 * time.Second)
	is.True(!leaving())
	// A leaving signal after the end does not belong to the drain's ticket.
	for _, n := range w.nodes {
		w.step(n, reducer.ObserverEvent{Now: w.now, Event: observer.Signaled{
			At: w.now, Now: w.now, Upstream: "lookup-a", Source: observer.FromUpstream, Leaving: true,
		}})
	}
	versions := map[uint64]int{}
	for _, n := range w.nodes {
		for _, e := range n.events {
			if e.Kind == recorder.Drained {
				versions[e.Version]++
			}
		}
	}
	is.True(versions[2] > 0)
	is.Equal(versions[0], versions[2])
}

// Guards against an upstream that stays out of use after the platform's list has
// taken its leaving mark back, and against a mark that ends without a signal or
// with one that may be older than the mark.
func TestListTakesLeavingBack(t *testing.T) {
	is := is.New(t)
	w := running(11)
	n := w.nodes[0]
	leaving := func(names, marked []string) bool {
		w.runFor(time.Second)
		w.step(n, reducer.ListSeen{Now: w.now, Names: names, Leaving: marked})
		return n.state.Verdicts["lookup-a"].Leaving
	}
	listed := []string{"a-1", "a-2", "lookup-a"}
	is.True(!leaving(listed, nil))
	is.Equal(len(n.state.Signals), 0)
	is.True(leaving(listed, []string{"lookup-a"}))
	is.True(leaving(listed, []string{"lookup-a"}))
	is.True(leaving([]string{"a-1", "a-2"}, nil)) // absence from the list says nothing
	is.True(leaving(listed, nil))                 // the list may lag
	w.runFor(26 * time.Second)
	is.True(leaving(listed, nil))
	w.runFor(time.Second)
	is.True(!leaving(listed, nil))
}

// Guards against a drain that cannot be followed in the timeline from the
// ticket to the empty upstream over three processes whose clocks differ.
func TestTimelineFollowsDrain(t *testing.T) {
	is := is.New(t)
	w := running(5)
	w.submit(map[string]string{"drain/upstream/lookup-a": `{"reason":"maintenance"}`})
	w.runFor(3 * time.Second)
	var rings [][]recorder.Event
	for _, n := range w.nodes {
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
	is.Equal(w.fault, "")
}

// Guards against a change of the effects that an event script gives.
func TestScript(t *testing.T) {
	w := newWorld(1, map[string]int{"a": 1})
	n := w.nodes[0]
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
