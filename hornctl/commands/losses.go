package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/hornctl/accountant"
)

// lossNames are the ways to add losses up.
var lossNames = map[string]func(*accountant.Loss) string{
	"class":    func(l *accountant.Loss) string { return string(l.Class) },
	"cause":    func(l *accountant.Loss) string { return string(l.Class) + ": " + l.Cause },
	"route":    func(l *accountant.Loss) string { return l.Route },
	"second":   func(l *accountant.Loss) string { return l.At.UTC().Format("15:04:05") },
	"domain":   func(l *accountant.Loss) string { return l.Domain },
	"upstream": func(l *accountant.Loss) string { return l.Upstream },
	"instance": func(l *accountant.Loss) string { return l.Instance },
}

func (p *program) lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "show where requests lost their worth, from log files",
		ArgsUsage: "FILE...",
		Description: `Reads the logs of any number of instances from files; - is standard
input. A late answer loses 0.8 of a request, a refusal or a failure all of it.
Each request that lost any has one class; the parts add up to the whole.`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "by", Value: []string{"class", "route"}, Usage: "add up by `NAME`: class, cause, route, second, domain, upstream or instance"},
			&cli.IntFlag{Name: "rows", Value: 20, Usage: "show at most `N` rows of each"},
		},
		Action: p.guard(-1, p.losses),
	}
}

func (p *program) losses(_ context.Context, c *cli.Command) (err error) {
	names := c.StringSlice("by")
	for _, n := range names {
		if lossNames[n] == nil {
			return usagef("losses cannot be added up by %q", n)
		}
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	a := accountant.Analyze(lines)
	if a.Requests == 0 {
		return fmt.Errorf("none of %d log lines is about a request with an aim", len(lines))
	}
	if c.Bool("json") {
		return json.NewEncoder(p.out).Encode(a)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "REQUESTS\tIN TIME\tLOST\n%d\t%d\t%.1f\n", a.Requests, a.InTime, a.TotalLost())
	for _, n := range names {
		fmt.Fprintf(w, "\nBY %s\tREQUESTS\tLOST\tSHARE\n", n)
		rows := a.GroupBy(lossNames[n])
		for _, r := range rows[:min(len(rows), c.Int("rows"))] {
			fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f%%\n", r.Name, r.Count, r.Lost, 100*r.Lost/float64(a.Requests))
		}
	}
	return w.Flush()
}
