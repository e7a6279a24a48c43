package tracer

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

func TestTrace(t *testing.T) {
	is := is.New(t)
	f, err := os.Open("testdata/instances.log")
	is.NoErr(err)
	defer func() { is.NoErr(f.Close()) }()
	lines, skipped, err := Read(f)
	is.NoErr(err)
	var out strings.Builder
	fmt.Fprintf(&out, "%d lines, %d skipped\n", len(lines), skipped)
	for _, id := range []string{"q1", "q2", "absent"} {
		fmt.Fprintln(&out, "request", id)
		for _, l := range RequestLines(lines, id) {
			fmt.Fprintln(&out, l)
		}
	}
	fmt.Fprintln(&out, "version 7")
	for _, l := range VersionLines(lines, "7") {
		fmt.Fprintln(&out, l)
	}
	if *update {
		is.NoErr(os.WriteFile("testdata/trace.golden", []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/trace.golden")
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

func ExampleRead() {
	lines, skipped, err := Read(strings.NewReader("  1.5 i1 {\"time\":\"2026-01-02T03:04:05Z\",\"msg\":\"request\",\"instance\":\"i1\",\"id\":\"q\"}\nno line\n"))
	fmt.Println(lines[0], skipped, err)
	// Output: 03:04:05.000  i1                    request  id=q 1 <nil>
}
