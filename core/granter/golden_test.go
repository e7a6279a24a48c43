package granter

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// goldenRuns are short runs whose events and effects are recorded in testdata.
var goldenRuns = []struct {
	name  string
	n     int
	steps func(c *testCluster)
}{
	{"single", 1, func(c *testCluster) { c.run(1500 * time.Millisecond) }},
	{"join", 2, func(c *testCluster) { c.run(1500 * time.Millisecond) }},
	{"pause", 1, func(c *testCluster) {
		c.run(500 * time.Millisecond)
		pauseNode(c.nodes[0], 1200*time.Millisecond)
		c.run(2 * time.Second)
	}},
	{"lost", 1, func(c *testCluster) {
		c.run(500 * time.Millisecond)
		c.writeAnswerLossPercent, c.lateWritePercent = 100, 100
		c.run(2 * time.Second)
	}},
	{"leave", 2, func(c *testCluster) {
		c.run(2500 * time.Millisecond)
		requestLeave(c.nodes[c.leader()])
		c.run(time.Second)
	}},
	{"takeover", 2, func(c *testCluster) {
		c.run(2 * time.Second)
		c.kill(c.leader())
		c.run(6 * time.Second)
	}},
}

// TestGolden guards against effects that change unnoticed or depend on anything
// but the state and the event, such as map iteration order.
func TestGolden(t *testing.T) {
	for _, run := range goldenRuns {
		t.Run(run.name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			c := newCluster(1, run.n)
			c.onStep = func(n *node, e Event, effects []Effect) { n.recordStep(&out, e, effects) }
			run.steps(c)
			is.Equal(c.violations, nil)
			file := filepath.Join("testdata", run.name+".golden")
			if *update {
				is.NoErr(os.WriteFile(file, []byte(out.String()), 0o600))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(out.String(), string(want))
		})
	}
}

// recordStep writes one step, with times relative to the start. It leaves out ticks
// and in-flight lists without effects.
func (n *node) recordStep(out *strings.Builder, e Event, effects []Effect) {
	switch e.(type) {
	case Tick, InFlightChanged:
		if len(effects) == 0 {
			return
		}
	}
	fmt.Fprintf(out, "%v %s %s\n", n.cluster.now.Sub(startTime), n.state.Self.Name, n.format(e))
	for _, f := range effects {
		fmt.Fprintf(out, "\t%s\n", n.format(f))
	}
}

var (
	timestampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\d [\d:.]+ \+0000 UTC`)
	omittedFields    = regexp.MustCompile(`granter\.| ?(Front|Data|Admin):|Domain:d ?`)
)

// format formats an event or effect with times relative to the start.
func (n *node) format(v any) string {
	s := timestampPattern.ReplaceAllStringFunc(fmt.Sprintf("%T%+v", v, v), func(s string) string {
		at, err := time.Parse("2006-01-02 15:04:05.999999999 -0700 MST", s)
		if err != nil || at.IsZero() {
			return "never"
		}
		return at.Sub(startTime.Add(n.offset)).String()
	})
	return omittedFields.ReplaceAllString(s, "")
}
