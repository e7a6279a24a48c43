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
		Action:      p.act(0, p.status),
	}
}

func (p *program) status(ctx context.Context, c *cli.Command) error {
	y, err := newSurveyor(c)
	if err != nil {
		return err
	}
	f, err := y.survey(ctx)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(f)
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREGION\tVERSION\tLEADER\tEPOCH\tPLATFORM\tSTATE")
	for _, s := range f.Instances {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", s.Instance.Name, s.Instance.Domain, s.Region, s.Version,
			s.Leader, s.Epoch, word(s.PlatformReachable, "reached", "lost"), word(s.Instance.Leaving, "leaving", "live"))
	}
	for _, name := range f.Unreachable {
		fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\tno answer\n", name)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tSERVICE\tSLOTS\tLIMIT\tBUSY\tSTATE")
	for _, u := range upstreams(f) {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", u.Name, u.Service, u.Slots, u.Limit, u.InFlight, word(u.Leaving, "leaving", "ready"))
	}
	return w.Flush()
}

// upstreams adds up what the holders of an upstream's parts say.
func upstreams(f fleet) (list []reporter.Upstream) {
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

func word(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// waitResult is the result of ticket wait.
type waitResult struct {
	Number      uint64   `json:"number"`
	Current     []string `json:"current"`
	Behind      []string `json:"behind"`
	Unreachable []string `json:"unreachable"`
}

func (p *program) wait(ctx context.Context, c *cli.Command) error {
	number, err := ticketNumber(c)
	if err != nil {
		return err
	}
	y, err := newSurveyor(c)
	if err != nil {
		return err
	}
	var last waitResult
	for {
		f, err := y.survey(ctx)
		if err != nil && last.Number == 0 {
			return err
		}
		if err == nil {
			last = progress(number, f)
		}
		if err == nil && len(last.Behind) == 0 {
			return p.printWait(c, last)
		}
		if !pause(ctx) {
			break
		}
	}
	if c.Bool("json") {
		_ = p.printJSON(last)
	}
	return fmt.Errorf("ticket %d is not in force on %s%s", number, strings.Join(last.Behind, ", "), unreachableNote(last))
}

func progress(number uint64, f fleet) waitResult {
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
	p.printf("ticket %d is in force on %d instances%s\n", w.Number, len(w.Current), unreachableNote(w))
	return nil
}

func unreachableNote(w waitResult) string {
	if len(w.Unreachable) == 0 {
		return ""
	}
	return "; no answer from " + strings.Join(w.Unreachable, ", ")
}
