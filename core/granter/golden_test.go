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
var scripts = []struct {
	name string
	n    int
	hurt func(w *world)
}{
	{"single", 1, func(w *world) { w.run(1500 * time.Millisecond) }},
	{"join", 2, func(w *world) { w.run(1500 * time.Millisecond) }},
	{"pause", 1, func(w *world) {
		w.run(500 * time.Millisecond)
		pause(w.nodes[0], 1200*time.Millisecond)
		w.run(2 * time.Second)
	}},
	{"lost", 1, func(w *world) {
		w.run(500 * time.Millisecond)
		w.lost, w.late = 100, 100
		w.run(2 * time.Second)
	}},
	{"leave", 2, func(w *world) {
		w.run(2500 * time.Millisecond)
		leave(w.nodes[w.leader()])
		w.run(time.Second)
	}},
	{"takeover", 2, func(w *world) {
		w.run(2 * time.Second)
		w.kill(w.leader())
		w.run(6 * time.Second)
	}},
}

// Guards against effects that change unnoticed or depend on anything but the
// state and the event, such as the order of a map.
func TestGolden(t *testing.T) {
	for _, s := range scripts {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			var out strings.Builder
			w := newWorld(1, s.n)
			w.script = func(n *node, e Event, effects []Effect) { n.record(&out, e, effects) }
			s.hurt(w)
			is.Equal(w.faults, nil)
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
	fmt.Fprintf(out, "%v %s %s\n", n.w.now.Sub(epoch), n.st.Self.Name, n.text(e))
	for _, f := range effects {
		fmt.Fprintf(out, "\t%s\n", n.text(f))
	}
}

var (
	times = regexp.MustCompile(`\d{4}-\d\d-\d\d [\d:.]+ \+0000 UTC`)
	noise = regexp.MustCompile(`granter\.| ?(Front|Data|Admin):|Domain:d ?`)
)

// text formats an event or effect with times relative to the start.
func (n *node) text(v any) string {
	s := times.ReplaceAllStringFunc(fmt.Sprintf("%T%+v", v, v), func(s string) string {
		at, err := time.Parse("2006-01-02 15:04:05.999999999 -0700 MST", s)
		if err != nil || at.IsZero() {
			return "never"
		}
		return at.Sub(epoch.Add(n.offset)).String()
	})
	return noise.ReplaceAllString(s, "")
}
