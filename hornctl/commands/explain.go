package commands

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/reporter"
)

// errWouldBeRefused is the result of explain for a request that would be refused.
var errWouldBeRefused = errors.New("the request would be refused")

// maxCandidateRows bounds the printed upstreams that are not weighed.
const maxCandidateRows = 8

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where a request would go now, and why, without sending it",
		ArgsUsage: " ",
		Description: `Needs --entry; the answer is that of this instance. Nothing is sent or counted.
A workspace is named; a key is never needed. Times are in milliseconds. COST is
the expected latency with penalties, COLD the latency if the upstream does not
know the affinity key. The limit on moves between regions is left out.

Exit code 1 means that the request would be refused.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "host", Usage: "`HOST` of the request", Required: true},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the request", Required: true},
			&cli.StringFlag{Name: "key", Usage: "affinity `KEY`, which names the object of the request"},
			&cli.StringFlag{Name: "workspace", Usage: "`NAME` of the workspace on whose behalf it is sent"},
			&cli.BoolFlag{Name: "all", Usage: "print all upstreams of the service"},
		},
		Action: p.withTimeout(0, p.explain),
	}
}

func (p *program) explain(ctx context.Context, c *cli.Command) error {
	fc, err := newFleetClient(c)
	if err != nil {
		return err
	}
	query := url.Values{"host": {c.String("host")}, "path": {c.String("path")}, "key": {c.String("key")}, "workspace": {c.String("workspace")}}
	var x reporter.Explanation
	if err = getJSON(ctx, fc.addresses[0], "/explain?"+query.Encode(), &x); err != nil {
		return err
	}
	if c.Bool("json") {
		err = p.printJSON(x)
	} else {
		err = p.printExplanation(x, c.Bool("all"))
	}
	if err == nil && x.Upstream == "" {
		err = errWouldBeRefused
	}
	return err
}

func (p *program) printExplanation(x reporter.Explanation, all bool) error {
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance\t%s, version %d\n", x.Instance, x.Version)
	fmt.Fprintf(w, "route\t%s\n", orNone(x.Route))
	fmt.Fprintf(w, "service\t%s\n", orNone(x.Service))
	if s := x.Workspace; s != nil {
		fmt.Fprintf(w, "workspace\t%s: %g a second, level %.0f, demand %.1f, %s\n", s.Name, s.Rate, s.Level, s.Demand, s.Basis)
	}
	if x.Upstream != "" {
		fmt.Fprintf(w, "goes to\t%s\n", x.Upstream)
	} else {
		fmt.Fprintf(w, "refused\t%d, %s", x.Status, x.Reason)
		if x.RetryAfter > 0 {
			fmt.Fprintf(w, ", come back after %d ms", x.RetryAfter)
		}
		fmt.Fprintln(w)
	}
	if len(x.Candidates) > 0 {
		fmt.Fprintln(w, "\nUPSTREAM\tDOMAIN\tVERDICT\tCOST\tEXPECTED\tCOLD\tWAIT\tLOAD\tAGE\tSLOWDOWN\tFAILURES\tNOTES")
	}
	left := 0
	for i, k := range x.Candidates {
		if k.Cost == 0 && i >= maxCandidateRows && !all {
			left++
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.1f\t%d\t%.1f\t%.2f\t%s\n",
			k.Name, k.Domain, k.Verdict, k.Cost, k.Expected, k.Cold, k.Wait, k.Load, k.Age, k.Slowdown, k.Failures, notes(k))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if left > 0 {
		p.printf("and %d more that are not weighed (--all)\n", left)
	}
	return nil
}

func orNone(text string) string { return choose(text != "", text, "none") }

// notes returns what else is known of an upstream.
func notes(k reporter.Candidate) string {
	var all []string
	if k.Known {
		all = append(all, "knows the key")
	}
	if k.Warming > 0 {
		all = append(all, fmt.Sprintf("cold for %d ms", k.Warming))
	}
	if k.Pause > 0 {
		all = append(all, fmt.Sprintf("paused for %d ms", k.Pause))
	}
	return strings.Join(all, ", ")
}
