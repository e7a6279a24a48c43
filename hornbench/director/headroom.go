package director

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"hornbeamstream.example/hornbench/emulator"
)

// free returns the mean share of free slots between two times.
func free(slots int, runs []emulator.Run, from, to time.Time) float64 {
	var busy time.Duration
	for _, r := range runs {
		start, end := r.Start, r.End
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		if end.After(start) {
			busy += end.Sub(start)
		}
	}
	return 1 - busy.Seconds()/(to.Sub(from).Seconds()*float64(slots))
}

// headroom prints the mean share of free slots by region and service, and the
// lowest of a single upstream.
func (r *Result) headroom(w io.Writer) error {
	regions, services := names(r.accounts, func(a emulator.Account) string { return a.Region }), names(r.accounts, func(a emulator.Account) string { return a.Service })
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "free slots\t")
	for _, s := range services {
		fmt.Fprint(t, s, "\tlowest\t")
	}
	fmt.Fprintln(t)
	for _, region := range regions {
		fmt.Fprint(t, region, "\t")
		for _, service := range services {
			mean, lowest := r.freeIn(region, service)
			fmt.Fprintf(t, "%.2f\t%.2f\t", mean, lowest)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// freeIn returns the mean share of free slots of a service in a region, and the
// lowest of its upstreams.
func (r *Result) freeIn(region, service string) (mean, lowest float64) {
	runs := map[string][]emulator.Run{}
	for _, run := range r.runs {
		if run.Region == region && run.Service == service {
			runs[run.Upstream] = append(runs[run.Upstream], run)
		}
	}
	lowest = 1
	slots := 0
	for _, a := range r.accounts {
		if a.Region != region || a.Service != service {
			continue
		}
		share := free(a.Behavior.Slots, runs[a.Name], r.from, r.to)
		mean += share * float64(a.Behavior.Slots)
		slots += a.Behavior.Slots
		lowest = min(lowest, share)
	}
	return mean / float64(max(1, slots)), lowest
}

func names(accounts []emulator.Account, of func(emulator.Account) string) (list []string) {
	for _, a := range accounts {
		if !slices.Contains(list, of(a)) {
			list = append(list, of(a))
		}
	}
	slices.Sort(list)
	return list
}
