package runner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// TestHeartbeat guards against pauses that go unseen because they come in a row. Each case
// lists the gaps between the beats of the control loop, in milliseconds.
func TestHeartbeat(t *testing.T) {
	text := ""
	for _, c := range []struct {
		name string
		gaps []int64
	}{
		{"regular ticks", []int64{100, 100, 200, 100}},
		{"one short pause", []int64{100, 1400, 100, 100}},
		{"one long pause", []int64{100, 5000, 100, 100}},
		{"short pauses in a row", []int64{100, 800, 100, 800, 100, 100}},
		{"short pauses far apart", []int64{100, 800, 100, 100, 100, 100, 100, 100, 100, 100, 800, 100}},
		{"gaps of a busy machine", []int64{400, 400, 400, 400, 400, 400}},
	} {
		h := heartbeat{beatAt: 1}
		text += c.name + "\n"
		for _, gap := range c.gaps {
			now := h.beatAt + gap*int64(time.Millisecond)
			valid := h.valid(now)
			paused := h.beat(now)
			text += fmt.Sprintf("  after %d ms: table valid %t, paused %t", gap, valid, paused)
			if paused {
				text += fmt.Sprintf(", then valid %t", h.valid(now))
				h.renew()
			}
			text += fmt.Sprintf(", valid for %d ms\n", (h.validUntil.Load()-now)/int64(time.Millisecond))
		}
	}
	golden(t, "heartbeat", text)
}

// golden compares text with a golden file. It writes the file first if -update is set.
func golden(t *testing.T, name, text string) {
	t.Helper()
	is := is.New(t)
	file := filepath.Join("testdata", name+".golden")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(file, []byte(text), 0o644))
	}
	want, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(text, string(want))
}
