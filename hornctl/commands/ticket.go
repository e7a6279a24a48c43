package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/submitter"
)

const (
	// defaultLast is the number of tickets that list shows by default.
	defaultLast = 20
	// maxNamed is the largest number of objects that a line names.
	maxNamed = 8
)

func (p *program) ticketCommand() *cli.Command {
	return group(&cli.Command{
		Name:  "ticket",
		Usage: "submit and follow numbered changes",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit the ticket in a file", ArgsUsage: "FILE",
				Description: `The file has the keys base, author, reason and objects. Base is the version
that the ticket was written against; if another ticket was accepted since, the
ticket is refused and the objects that changed are listed (exit code 3). After
exit code 5, submit the same file again with the --nonce that was printed.`,
				Flags:  []cli.Flag{&cli.StringFlag{Name: "nonce", Usage: "`NONCE` of an earlier attempt whose answer was lost"}},
				Action: p.act(1, p.submit),
			},
			{
				Name: "list", Usage: "list the newest tickets", ArgsUsage: " ",
				Flags:  []cli.Flag{&cli.UintFlag{Name: "last", Usage: "`COUNT` of tickets", Value: defaultLast}},
				Action: p.act(0, p.list),
			},
			{
				Name: "show", Usage: "show one ticket", ArgsUsage: "NUMBER",
				Action: p.act(1, p.show),
			},
			{
				Name: "wait", Usage: "wait until a ticket is in force on all reachable instances", ArgsUsage: "NUMBER",
				Description: `Needs --entry. Instances that don't answer are named; they don't fail the
command. Instances that still have an older version at the end of --timeout do.`,
				Action: p.act(1, p.wait),
			},
		},
	})
}

func (p *program) submit(ctx context.Context, c *cli.Command) error {
	file := c.Args().First()
	data, err := os.ReadFile(file)
	if err != nil {
		return usagef("%v", err)
	}
	t, err := loader.ParseTicket(file, data)
	if err != nil {
		return err
	}
	store, s, err := p.load(ctx, c)
	if err != nil {
		return err
	}
	defer store.Close()
	if s.Version <= t.Base {
		// Finds the same problems as Submit, with their lines.
		if t, err = loader.ParseTicketFor(s, file, data); err != nil {
			return err
		}
	}
	t.Nonce = c.String("nonce")
	return p.send(ctx, c, store, t)
}

// send submits a ticket and prints the result.
func (p *program) send(ctx context.Context, c *cli.Command, store submitter.Store, t loader.Ticket) error {
	r, err := submitter.Submit(ctx, store, t)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(r.Ticket)
	}
	p.printf("ticket %d accepted: %s\n", r.Ticket.Number, summary(keysOf(r.Ticket)))
	return nil
}

// summary names a few objects and counts more of them.
func summary(keys []string) string {
	if len(keys) > maxNamed {
		return fmt.Sprintf("%d objects", len(keys))
	}
	return strings.Join(keys, ", ")
}

func keysOf(t loader.Ticket) []string { return slices.Sorted(maps.Keys(t.Objects)) }

func (p *program) list(ctx context.Context, c *cli.Command) error {
	store, s, err := p.load(ctx, c)
	if err != nil {
		return err
	}
	defer store.Close()
	last := min(uint64(c.Uint("last")), s.Version)
	tickets, err := submitter.ListTickets(ctx, store, s.Version-last)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(append([]loader.Ticket{}, tickets...))
	}
	w := tabwriter.NewWriter(p.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NUMBER\tTIME\tAUTHOR\tOBJECTS\tREASON")
	for _, t := range tickets {
		fmt.Fprintf(w, "%d\t%s\t%s\t%d\t%s\n", t.Number, t.Time.UTC().Format(time.RFC3339), t.Author, len(t.Objects), t.Reason)
	}
	return w.Flush()
}

func (p *program) show(ctx context.Context, c *cli.Command) error {
	number, err := ticketNumber(c)
	if err != nil {
		return err
	}
	store, err := p.store(c)
	if err != nil {
		return err
	}
	defer store.Close()
	t, err := submitter.GetTicket(ctx, store, number)
	if errors.Is(err, submitter.ErrNotFound) {
		return fmt.Errorf("ticket %d does not exist", number)
	}
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return p.printJSON(t)
	}
	p.printf("ticket:  %d\nbase:    %d\nauthor:  %s\nreason:  %s\ntime:    %s\nnonce:   %s\nobjects:\n",
		t.Number, t.Base, t.Author, t.Reason, t.Time.UTC().Format(time.RFC3339), t.Nonce)
	for _, key := range keysOf(t) {
		p.printf("  %s: %s\n", key, compact(t.Objects[key]))
	}
	return nil
}

func compact(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "null"
	}
	return string(raw)
}

func ticketNumber(c *cli.Command) (uint64, error) {
	number, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil || number == 0 {
		return 0, usagef("%q is not a ticket number", c.Args().First())
	}
	return number, nil
}
