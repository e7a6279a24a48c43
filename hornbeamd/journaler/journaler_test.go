package journaler

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLoggingNeverBlocks logs to an output that never accepts a line.
func TestLoggingNeverBlocks(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	defer func() { is.NoErr(r.Close()) }()
	j, log := New(w, RateLimits{InfoPerSecond: 200, VerbosePerSecond: 60})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := range 10 * queueLines {
			log.Info("line", "n", n)
		}
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("logging blocks")
	}
	is.True(j.Dropped() > 0)
}

// TestVerboseLinesAreDroppedFirst exceeds the limit of verbose lines. A failure must
// still be logged, and the number of dropped lines reported.
func TestVerboseLinesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	defer func() { is.NoErr(r.Close()) }()
	_, log := New(w, RateLimits{InfoPerSecond: 200, VerbosePerSecond: 60})
	log = log.WithValues("instance", "i1").WithName("n")
	for range 2 * 120 {
		log.V(1).Info("detail")
	}
	log.Info("failure")
	counts := map[string]int{}
	s := bufio.NewScanner(r)
	for s.Scan() {
		var line struct {
			Msg      string `json:"msg"`
			Instance string `json:"instance"`
			Lines    int    `json:"lines"`
		}
		is.NoErr(json.Unmarshal(s.Bytes(), &line))
		counts[line.Msg]++
		if line.Msg == "log lines dropped" {
			is.True(line.Lines > 0)
			break
		}
		is.Equal(line.Instance, "i1")
	}
	is.Equal(counts["failure"], 1)
	is.True(counts["detail"] >= 120 && counts["detail"] < 2*120)
}

// TestFlush guards against the loss of the last lines at the exit of the process, which say
// how it stopped: they were still queued. An output that accepts nothing must not delay it.
func TestFlush(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	defer func() { is.NoErr(r.Close()) }()
	j, log := New(w, RateLimits{InfoPerSecond: 200, VerbosePerSecond: 60})
	log.Info("stopped")
	is.True(!j.Flush(time.Now().Add(20 * time.Millisecond)))
	lines := make(chan string, 1)
	go func() {
		line, err := bufio.NewReader(r).ReadString('\n')
		if err == nil {
			lines <- line
		}
	}()
	is.True(j.Flush(time.Now().Add(time.Minute)))
	is.True(strings.Contains(<-lines, "stopped"))
}
