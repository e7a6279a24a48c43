package runner

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestShutdownSchedule shows the phases of shutdowns of several lengths, from one that is too
// short for any of them. No phase begins before the one that it follows.
func TestShutdownSchedule(t *testing.T) {
	var text strings.Builder
	start := time.Unix(0, 0)
	for _, timeout := range []time.Duration{0, time.Second, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
		s := newShutdownSchedule(start, timeout)
		fmt.Fprintf(&text, "%-4s closeIdle %-6s closeListener %-6s endReads %-6s exit %s\n", timeout,
			s.closeIdle.Sub(start), s.closeListener.Sub(start), s.endReads.Sub(start), s.exit.Sub(start))
	}
	golden(t, "shutdown-schedule", text.String())
}
