package commands

import (
	"context"
	"fmt"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/reporter"
)

func (p *program) workspacesCommand() *cli.Command {
	return &cli.Command{
		Name:      "workspaces",
		Usage:     "show the use of the workspaces' allowances",
		ArgsUsage: " ",
		Description: `Needs --entry. LEVEL and DEMAND are those of all instances as this one knows
them, OWN, PART, ADMITTED and REFUSED its own. BASIS is what it decides by:
plenty  the demand is well within the allowance
scarce  each instance keeps to its part of what is left
stale   nothing was heard of the others for more than a second
alone   nothing is known of the others; it keeps to its part of the rate`,
		Action: p.withTimeout(0, p.workspaces),
	}
}

func (p *program) workspaces(ctx context.Context, c *cli.Command) error {
	fc, err := newFleetClient(c)
	if err != nil {
		return err
	}
	s, err := fc.firstStatus(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(s.Workspaces)
	}
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "WORKSPACE\tRATE\tBURST\tLEVEL\tDEMAND\tOWN\tPART\tADMITTED\tREFUSED\tBASIS\tAGE")
	for _, x := range s.Workspaces {
		fmt.Fprintf(w, "%s\t%g\t%g\t%.0f\t%.1f\t%.1f\t%.3f\t%d\t%d\t%s\t%s\n",
			x.Name, x.Rate, x.Burst, x.Level, x.Demand, x.OwnDemand, x.Part, x.Admitted, x.Refused, x.Basis, formatAge(x))
	}
	return w.Flush()
}

// formatAge returns the age of a workspace's totals.
func formatAge(x reporter.Workspace) string {
	if x.Age < 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", x.Age)
}
