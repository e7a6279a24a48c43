package accountant

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/hornctl/tracer"
)

var update = flag.Bool("update", false, "write the golden files")

// TestAccount reads a log with one request of each class and some that lost
// nothing or do not count.
func TestAnalyze(t *testing.T) {
	is := is.New(t)
	f, err := os.Open(filepath.Join("testdata", "requests.log"))
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	lines, skipped, err := tracer.Read(f)
	is.NoErr(err)
	is.Equal(skipped, 0)
	a := Analyze(lines)
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests, %d in time\n", a.Requests, a.InTime)
	for _, l := range a.Losses {
		fmt.Fprintf(&out, "%s  %s  %q  %s %s %s  %.1f\n", l.At.Format("05.000"), l.Class, l.Cause, l.Route, l.Upstream, l.Domain, l.Lost)
	}
	total := 0.0
	for _, r := range a.GroupBy(func(l *Loss) string { return l.Route }) {
		fmt.Fprintf(&out, "%s: %d, %.1f\n", r.Name, r.Count, r.Lost)
		total += r.Lost
	}
	is.Equal(fmt.Sprintf("%.6f", total), fmt.Sprintf("%.6f", a.TotalLost())) // the parts add up to what is lost
	file := filepath.Join("testdata", "requests.golden")
	if *update {
		is.NoErr(os.WriteFile(file, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}
