// Package journaler writes structured log lines without ever blocking whoever
// logs: lines beyond a rate, or beyond what the output takes, are dropped and
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
	// queueSize bounds the lines that wait for the output.
	queueSize = 1024
	// burstTime is how much of a second's lines may come at once.
	burstTime = 2 * time.Second
	// reportTime is the time between two lines that tell the number of dropped
	// lines.
	reportTime = time.Second
)

// Journal is a log. Open makes one.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// Bounds are the lines a second for changes and failures, and for what went
// well.
type RateLimits struct{ InfoPerSecond, VerbosePerSecond int }

// Open returns a journal that writes JSON lines to w, and a logger for it.
func New(w io.Writer, b RateLimits) (*Writer, logr.Logger) {
	j := &Writer{lines: make(chan []byte, queueSize)}
	inner := slog.NewJSONHandler(j, &slog.HandlerOptions{Level: slog.Level(-1)})
	h := &handler{
		Handler: inner,
		journal: j,
		main:    limiter(b.InfoPerSecond),
		detail:  limiter(b.VerbosePerSecond),
	}
	go j.drain(w)
	go j.report(slog.New(inner))
	return j, logr.FromSlogHandler(h)
}

func limiter(lines int) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(lines), lines*int(burstTime/time.Second))
}

// Dropped is the number of lines that were dropped.
func (j *Writer) Dropped() uint64 { return j.dropped.Load() }

// Write queues one line.
func (j *Writer) Write(line []byte) (int, error) {
	select {
	case j.lines <- append([]byte(nil), line...):
	default:
		j.dropped.Add(1)
	}
	return len(line), nil
}

func (j *Writer) drain(w io.Writer) {
	for line := range j.lines {
		if _, err := w.Write(line); err != nil {
			j.dropped.Add(1)
		}
	}
}

func (j *Writer) report(l *slog.Logger) {
	last := uint64(0)
	for range time.Tick(reportTime) {
		if n := j.dropped.Load(); n != last {
			l.Info("log lines dropped", "lines", n-last)
			last = n
		}
	}
}

// handler bounds the rate of the lines.
type handler struct {
	slog.Handler
	journal      *Writer
	main, detail *rate.Limiter
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	limit := h.main
	if r.Level < slog.LevelInfo {
		limit = h.detail
	}
	if !limit.Allow() {
		h.journal.dropped.Add(1)
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	c := *h
	c.Handler = h.Handler.WithAttrs(attrs)
	return &c
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	c := *h
	c.Handler = h.Handler.WithGroup(name)
	return &c
}
