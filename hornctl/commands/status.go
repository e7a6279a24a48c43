package commands

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/reporter"
)

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:        "status",
		Usage:       "show all instances and upstreams",
		ArgsUsage:   " ",
		Description: "Needs --entry. Instances that don't answer are named.",
		Action:      p.withTimeout(0, p.status),
	}
}

func (p *program) status(ctx context.Context, c *cli.Command) error {
	fc, err := newFleetClient(c)
	if err != nil {
		return err
	}
	f, err := fc.discover(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(f)
	}
	w := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREGION\tVERSION\tLEADER\tEPOCH\tPLATFORM\tSTATE")
	for _, s := range f.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", s.Instance.Name, s.Instance.Domain, s.Region, s.Version,
			s.Leader, s.Epoch, choose(s.PlatformReachable, "reached", "lost"), choose(s.Instance.Leaving, "leaving", "live"))
	}
	for _, name := range f.Unreachable {
		fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\tno answer\n", name)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tSLOTS\tLIMIT\tBUSY\tSTATE")
	for _, u := range sumUpstreams(f) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", u.Name, u.Service, u.Slots, u.Limit, u.InFlight, choose(u.Leaving, "leaving", "ready"))
	}
	return w.Flush()
}

// sumUpstreams returns each upstream with the sum of the slots, limits and busy
// slots that the instances report for their shares of it.
func sumUpstreams(f fleet) (list []reporter.Upstream) {
	sums := map[string]reporter.Upstream{}
	for _, s := range f.Instances {
		for _, u := range s.Upstreams {
			sum := sums[u.Name]
			u.Slots += sum.Slots
			u.Limit += sum.Limit
			u.InFlight += sum.InFlight
			u.Leaving = u.Leaving || sum.Leaving
			sums[u.Name] = u
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sums)) {
		list = append(list, sums[name])
	}
	return list
}

func choose(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// waitResult is the result of ticket wait. Current and Behind have the names of
// the instances that have or have not applied the ticket.
type waitResult struct {
	Number      uint64   `json:"number"`
	Current     []string `json:"current"`
	Behind      []string `json:"behind"`
	Unreachable []string `json:"unreachable"`
}

// waitForTicket polls all instances until those that respond have applied the
// ticket or the time is up.
func (p *program) waitForTicket(ctx context.Context, c *cli.Command) error {
	number, err := ticketNumber(c)
	if err != nil {
		return err
	}
	fc, err := newFleetClient(c)
	if err != nil {
		return err
	}
	var last waitResult
	for {
		f, err := fc.discover(ctx)
		if err != nil && last.Number == 0 {
			return err
		}
		if err == nil {
			last = ticketProgress(number, f)
		}
		if err == nil && len(last.Behind) == 0 {
			return p.printWait(c, last)
		}
		if !waitPollInterval(ctx) {
			break
		}
	}
	if c.Bool("json") {
		_ = p.printJSON(last)
	}
	return fmt.Errorf("ticket %d is not in force on %s%s", number, strings.Join(last.Behind, ", "), unreachableSuffix(last))
}

func ticketProgress(number uint64, f fleet) waitResult {
	w := waitResult{Number: number, Current: []string{}, Behind: []string{}, Unreachable: f.Unreachable}
	for _, s := range f.Instances {
		if s.Version < number {
			w.Behind = append(w.Behind, s.Instance.Name)
			continue
		}
		w.Current = append(w.Current, s.Instance.Name)
	}
	return w
}

func (p *program) printWait(c *cli.Command, w waitResult) error {
	if c.Bool("json") {
		return p.printJSON(w)
	}
	p.printf("ticket %d is in force on %d instances%s\n", w.Number, len(w.Current), unreachableSuffix(w))
	return nil
}

func unreachableSuffix(w waitResult) string {
	if len(w.Unreachable) == 0 {
		return ""
	}
	return "; no answer from " + strings.Join(w.Unreachable, ", ")
}
