// Package journaler provides a structured logger that never blocks its callers.
// Lines above a rate limit, or faster than the output accepts them, are dropped and
// counted.
package journaler

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the number of lines that may wait for the output.
	queueLines = 1024
	// burstDuration gives the burst of the rate limits: the lines of this duration.
	burstDuration = 2 * time.Second
	// reportInterval is the time between two log lines with the number of dropped
	// lines.
	reportInterval = time.Second
)

// Writer is an io.Writer that queues log lines and writes them to an output in the
// background. Use New to create one.
type Writer struct {
	queue   chan entry
	dropped atomic.Uint64
}

// entry is a queued line, or a call of Flush that waits for the lines before it.
type entry struct {
	line    []byte
	flushed chan struct{}
}

// RateLimits are the log lines a second that are written: at level 0, for changes
// and failures, and at higher verbosity, for requests that succeeded.
type RateLimits struct{ InfoPerSecond, VerbosePerSecond int }

// New returns a Writer that writes JSON lines to w, and a logger on top of it.
func New(w io.Writer, b RateLimits) (*Writer, logr.Logger) {
	j := &Writer{queue: make(chan entry, queueLines)}
	inner := slog.NewJSONHandler(j, &slog.HandlerOptions{Level: slog.Level(-1)})
	h := &rateLimitedHandler{
		Handler: inner,
		writer:  j,
		info:    newLimiter(b.InfoPerSecond),
		verbose: newLimiter(b.VerbosePerSecond),
	}
	go j.writeLines(w)
	go j.reportDropped(slog.New(inner))
	return j, logr.FromSlogHandler(h)
}

func newLimiter(lines int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(lines), lines*int(burstDuration/time.Second))
}

// Dropped returns the number of dropped lines.
func (j *Writer) Dropped() uint64 { return j.dropped.Load() }

// Write queues one line, or drops it if the queue is full. It never fails.
func (j *Writer) Write(line []byte) (int, error) {
	select {
	case j.queue <- entry{line: append([]byte(nil), line...)}:
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

// Flush waits until the queued lines have been written, at most until the deadline. It
// reports whether they have.
func (j *Writer) Flush(deadline time.Time) bool {
	timeout := time.After(time.Until(deadline))
	flushed := make(chan struct{})
	select {
	case j.queue <- entry{flushed: flushed}:
	case <-timeout:
		return false
	}
	select {
	case <-flushed:
		return true
	case <-timeout:
		return false
	}
}

func (j *Writer) writeLines(w io.Writer) {
	for e := range j.queue {
		if e.flushed != nil {
			close(e.flushed)
			continue
		}
		if _, err := w.Write(e.line); err != nil {
			j.dropped.Add(1)
		}
	}
}

func (j *Writer) reportDropped(l *slog.Logger) {
	last := uint64(0)
	for range time.Tick(reportInterval) {
		if n := j.dropped.Load(); n != last {
			l.Info("log lines dropped", "lines", n-last)
			last = n
		}
	}
}

// rateLimitedHandler is a slog.Handler that drops lines above a rate limit.
type rateLimitedHandler struct {
	slog.Handler
	writer        *Writer
	info, verbose *rate.Limiter
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	limit := h.info
	if r.Level < slog.LevelInfo {
		limit = h.verbose
	}
	if !limit.Allow() {
		h.writer.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	c.Handler = h.Handler.WithAttrs(attrs)
	return &c
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	c := *h
	c.Handler = h.Handler.WithGroup(name)
	return &c
}
