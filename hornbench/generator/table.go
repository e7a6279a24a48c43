package generator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"text/tabwriter"
	"time"
)

// causeLines bounds the printed causes.
const causeLines = 30

var digits = regexp.MustCompile(`[0-9]+`)

// Measure runs the load for a time and returns its requests.
func (l *Load) Measure(ctx context.Context, d time.Duration) ([]Request, error) {
	base, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := l.Prepare(base); err != nil {
		return nil, err
	}
	run, stop := context.WithTimeout(base, d)
	defer stop()
	l.Run(run)
	return l.Ledger.Requests(), nil
}

// Services returns the names of the services in a list of requests, in order.
func Services(list []Request) (names []string) {
	for _, r := range list {
		if !slices.Contains(names, r.Service) {
			names = append(names, r.Service)
		}
	}
	slices.Sort(names)
	return names
}

// Table prints outcomes and latencies by service; latencies in milliseconds.
func Table(w io.Writer, list []Request) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "service\tsent\tok\tnotrun\tunknown\twrong\tcut\ttries\tp50 ms\tp90 ms\tp99 ms\tmax ms\t")
	for _, name := range append(Services(list), "") {
		row(t, name, list)
	}
	return t.Flush()
}

// row prints one service, or the total for an empty name.
func row(w io.Writer, name string, list []Request) {
	part := list
	if name != "" {
		part = slices.DeleteFunc(slices.Clone(list), func(r Request) bool { return r.Service != name })
	} else {
		name = "all"
	}
	tries := 0
	for _, r := range part {
		tries += len(r.Tries)
	}
	n := Outcomes(part)
	h := Latency(part, func(Request) bool { return true })
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", name, len(part),
		n[OK], n[NotRun], n[Unknown], n[Wrong], n[Cut], tries, ms(50), ms(90), ms(99), ms(100))
}

// Causes prints how many tries were not ok, by service, outcome and cause.
func Causes(w io.Writer, list []Request) error {
	n := map[string]int{}
	for _, r := range list {
		for _, t := range r.Tries {
			if t.Outcome != OK {
				n[fmt.Sprintf("%s %s %d %s", r.Service, t.Outcome, t.Status, cut(t.Cause))]++
			}
		}
	}
	keys := slices.SortedFunc(maps.Keys(n), func(a, b string) int { return n[b] - n[a] })
	for _, k := range keys[:min(len(keys), causeLines)] {
		if _, err := fmt.Fprintf(w, "%8d %s\n", n[k], k); err != nil {
			return err
		}
	}
	return nil
}

// cut shortens a cause and removes what differs between connections.
func cut(cause string) string {
	cause = digits.ReplaceAllString(cause, "#")
	return cause[:min(len(cause), 90)]
}
