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

// scripts are short runs whose events and effects are kept in testdata.
var goldenRuns = []struct {
	name string
	n    int
	hurt func(w *testCluster)
}{
	{"single", 1, func(w *testCluster) { w.run(1500 * time.Millisecond) }},
	{"join", 2, func(w *testCluster) { w.run(1500 * time.Millisecond) }},
	{"pause", 1, func(w *testCluster) {
		w.run(500 * time.Millisecond)
		pauseNode(w.nodes[0], 1200*time.Millisecond)
		w.run(2 * time.Second)
	}},
	{"lost", 1, func(w *testCluster) {
		w.run(500 * time.Millisecond)
		w.writeAnswerLossPercent, w.lateWritePercent = 100, 100
		w.run(2 * time.Second)
	}},
	{"leave", 2, func(w *testCluster) {
		w.run(2500 * time.Millisecond)
		requestLeave(w.nodes[w.leader()])
		w.run(time.Second)
	}},
	{"takeover", 2, func(w *testCluster) {
		w.run(2 * time.Second)
		w.kill(w.leader())
		w.run(6 * time.Second)
	}},
}

// Guards against effects that change unnoticed or depend on anything but the
// state and the event, such as the order of a map.
func TestGolden(t *testing.T) {
	for _, s := range goldenRuns {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			w := newCluster(1, s.n)
			w.onStep = func(n *node, e Event, effects []Effect) { n.record(&out, e, effects) }
			s.hurt(w)
			is.Equal(w.violations, nil)
			file := filepath.Join("testdata", s.name+".golden")
			if *update {
				is.NoErr(os.WriteFile(file, []byte(out.String()), 0o600))
			}
			want, err := os.ReadFile(file)
			is.NoErr(err)
			is.Equal(out.String(), string(want))
		})
	}
}

// record writes one step, with times relative to the start. Steps without effects
// that only report the time are left out.
func (n *node) record(out *strings.Builder, e Event, effects []Effect) {
	switch e.(type) {
	case Tick, InFlightChanged:
		if len(effects) == 0 {
			return
		}
	}
	fmt.Fprintf(out, "%v %s %s\n", n.cluster.now.Sub(startTime), n.state.Self.Name, n.formatTimes(e))
	for _, f := range effects {
		fmt.Fprintf(out, "\t%s\n", n.formatTimes(f))
	}
}

var (
	timestampPattern = regexp.MustCompile(`\d{4}-\d\d-\d\d [\d:.]+ \+0000 UTC`)
	omittedFields    = regexp.MustCompile(`granter\.| ?(Front|Data|Admin):|Domain:d ?`)
)

// text formats an event or effect with times relative to the start.
func (n *node) formatTimes(v any) string {
	s := timestampPattern.ReplaceAllStringFunc(fmt.Sprintf("%T%+v", v, v), func(s string) string {
		at, err := time.Parse("2006-01-02 15:04:05.999999999 -0700 MST", s)
		if err != nil || at.IsZero() {
			return "never"
		}
		return at.Sub(startTime.Add(n.offset)).String()
	})
	return omittedFields.ReplaceAllString(s, "")
}
