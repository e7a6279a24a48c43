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

// TestAnalyze reads a log with requests of each class and some that have no loss
// or don't count.
func TestAnalyze(t *testing.T) {
	is := is.New(t)
	f, err := os.Open(filepath.Join("testdata", "requests.log"))
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	lines, skipped, err := tracer.Read(f)
	is.NoErr(err)
	is.Equal(skipped, 0)
	report := Analyze(lines)
	var out strings.Builder
	fmt.Fprintf(&out, "%d requests, %d in time\n", report.Requests, report.InTime)
	for _, l := range report.Losses {
		fmt.Fprintf(&out, "%s  %s  %q  %s %s %s  %.1f\n", l.At.Format("05.000"), l.Class, l.Cause, l.Route, l.Upstream, l.Domain, l.Lost)
	}
	total := 0.0
	for _, g := range report.GroupBy(func(l *Loss) string { return l.Route }) {
		fmt.Fprintf(&out, "%s: %d, %.1f\n", g.Name, g.Count, g.Lost)
		total += g.Lost
	}
	is.Equal(fmt.Sprintf("%.6f", total), fmt.Sprintf("%.6f", report.TotalLost())) // the groups add up to the total
	file := filepath.Join("testdata", "requests.golden")
	if *update {
		is.NoErr(os.WriteFile(file, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}
