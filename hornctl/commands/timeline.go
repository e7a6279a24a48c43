package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reporter"
)

const timeLayout = "2006-01-02T15:04:05.000Z"

func (p *program) timelineCommand() *cli.Command {
	return &cli.Command{
		Name:      "timeline",
		Usage:     "show the events of all instances in one order",
		ArgsUsage: " ",
		Description: `Needs --entry. With --json, each line is one event. With --follow, new events
are printed until the command is interrupted; --timeout then bounds each round.`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "ticket", Usage: "only events of ticket `NUMBER`"},
			&cli.StringFlag{Name: "upstream", Usage: "only events of the upstream `NAME`"},
			&cli.StringFlag{Name: "domain", Usage: "only events of the failure domain `NAME`"},
			&cli.DurationFlag{Name: "since", Usage: "only events of the last `TIME`, such as 10m"},
			&cli.BoolFlag{Name: "follow", Usage: "keep printing new events"},
		},
		Action: p.guard(0, p.timeline),
	}
}

func (p *program) timeline(ctx context.Context, c *cli.Command) error {
	y, err := newSurveyor(c)
	if err != nil {
		return err
	}
	seen, noted := map[string]uint64{}, ""
	for first := true; ; first = false {
		round, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		silent, err := p.round(round, c, y, seen, first)
		cancel()
		if err != nil && (first || ctx.Err() != nil) {
			return err
		}
		note := failureText(silent, err)
		if note != "" && note != noted {
			fmt.Fprintf(p.errOut, "hornctl: %s\n", note)
		}
		noted = note
		if !c.Bool("follow") || !pause(ctx) {
			return nil
		}
	}
}

// failureText describes a round in which some or all instances did not answer.
func failureText(silent []string, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case len(silent) > 0:
		return "no answer from " + strings.Join(silent, ", ")
	}
	return ""
}

// round prints the events after those in seen, which has the newest stamp of
// each instance, and returns the instances that did not answer.
func (p *program) round(ctx context.Context, c *cli.Command, y *surveyor, seen map[string]uint64, first bool) (silent []string, err error) {
	f, err := y.survey(ctx)
	if err != nil {
		return nil, err
	}
	rings, missing := fetch(ctx, f.Instances, seen)
	for _, ring := range rings {
		for _, e := range ring {
			seen[e.Instance] = max(seen[e.Instance], e.Stamp)
		}
	}
	match := p.filter(c)
	merged := recorder.Merge(rings...)
	if origin := submitted(merged, c.Uint64("ticket")); first && origin.Version != 0 {
		p.printEvent(c, origin)
	}
	for _, e := range merged {
		if match(e) {
			p.printEvent(c, e)
		}
	}
	silent = append(f.Unreachable, missing...)
	slices.Sort(silent)
	return silent, nil
}

// submitted returns the submission of a ticket, which its first configured event
// tells of, because no instance sees the submission itself.
func submitted(events []recorder.Event, ticket uint64) recorder.Event {
	for _, e := range events {
		if ticket != 0 && e.Kind == recorder.KindConfigured && e.Version == ticket && !e.Since.IsZero() {
			return recorder.Event{
				Stamp:    e.Stamp - 1,
				Wall:     e.Since,
				Instance: e.Peer,
				Kind:     recorder.KindSubmitted,
				Version:  ticket,
				Cause:    e.Cause,
			}
		}
	}
	return recorder.Event{}
}

// fetch reads the rings of the instances.
func fetch(ctx context.Context, instances []reporter.Status, seen map[string]uint64) (rings [][]recorder.Event, missing []string) {
	rings = make([][]recorder.Event, len(instances))
	failed := make([]bool, len(instances))
	each(len(instances), func(i int) {
		m := instances[i].Instance
		path := "/timeline?after=" + strconv.FormatUint(seen[m.Name], 10)
		failed[i] = ask(ctx, m.Admin, path, &rings[i]) != nil
	})
	for i, m := range instances {
		if failed[i] {
			missing = append(missing, m.Instance.Name)
		}
	}
	return rings, missing
}

// filter returns the condition that the flags describe.
func (p *program) filter(c *cli.Command) func(recorder.Event) bool {
	f := recorder.Filter{Version: c.Uint64("ticket"), Upstream: c.String("upstream"), Domain: c.String("domain")}
	if c.IsSet("since") {
		var first recorder.Clock
		f.After = first.Now(p.now().Add(-c.Duration("since"))) - 1
	}
	return func(e recorder.Event) bool {
		return f.Match(e) && (f.Version == 0 || ofTicket(e.Kind))
	}
}

// ofTicket tells whether the version of such an event is a ticket's number.
func ofTicket(k recorder.Kind) bool {
	return k == recorder.KindSubmitted || k == recorder.KindConfigured || k == recorder.KindRejected
}

func (p *program) printEvent(c *cli.Command, e recorder.Event) {
	if c.Bool("json") {
		_ = json.NewEncoder(p.out).Encode(e)
		return
	}
	line := fmt.Sprintf("%s  %-12s %-10s", recorder.WallTime(e.Stamp).UTC().Format(timeLayout), e.Instance, e.Kind)
	if e.Version > 0 {
		line += " " + strconv.FormatUint(e.Version, 10)
	}
	for _, part := range []string{e.Upstream, e.Peer, e.Cause} {
		if part != "" {
			line += "  " + part
		}
	}
	p.printf("%s\n", strings.TrimRight(line, " "))
}
