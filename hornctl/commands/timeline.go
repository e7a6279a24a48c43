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
		Action: p.withArguments(0, p.timeline),
	}
}

func (p *program) timeline(ctx context.Context, c *cli.Command) error {
	fc, err := newFleetClient(c)
	if err != nil {
		return err
	}
	lastStamps, lastWarning := map[string]uint64{}, ""
	for first := true; ; first = false {
		pollCtx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		unreachable, err := p.printNewEvents(pollCtx, c, fc, lastStamps, first)
		cancel()
		if err != nil && (first || ctx.Err() != nil) {
			return err
		}
		warning := pollWarning(unreachable, err)
		if warning != "" && warning != lastWarning {
			fmt.Fprintf(p.stderr, "hornctl: %s\n", warning)
		}
		lastWarning = warning
		if !c.Bool("follow") || !waitPollInterval(ctx) {
			return nil
		}
	}
}

// pollWarning returns the warning for a poll in which some or all instances did
// not respond, or "".
func pollWarning(unreachable []string, err error) string {
	switch {
	case err != nil:
		return err.Error()
	case len(unreachable) > 0:
		return "no answer from " + strings.Join(unreachable, ", ")
	}
	return ""
}

// printNewEvents polls all instances, prints the matching events after
// lastStamps, which has the latest stamp received from each instance, and updates
// it. It returns the names of the instances that did not respond.
func (p *program) printNewEvents(ctx context.Context, c *cli.Command, fc *fleetClient, lastStamps map[string]uint64, first bool) (unreachable []string, err error) {
	f, err := fc.discover(ctx)
	if err != nil {
		return nil, err
	}
	rings, failed := fetchEvents(ctx, f.Instances, lastStamps)
	for _, ring := range rings {
		for _, e := range ring {
			lastStamps[e.Instance] = max(lastStamps[e.Instance], e.Stamp)
		}
	}
	match := p.eventFilter(c)
	merged := recorder.Merge(rings...)
	if submission := submissionEvent(merged, c.Uint64("ticket")); first && submission.Version != 0 {
		p.printEvent(c, submission)
	}
	for _, e := range merged {
		if match(e) {
			p.printEvent(c, e)
		}
	}
	unreachable = append(f.Unreachable, failed...)
	slices.Sort(unreachable)
	return unreachable, nil
}

// submissionEvent returns the submission of a ticket, derived from its first
// configured event, because no instance records the submission itself. It
// returns the zero event if there is none.
func submissionEvent(events []recorder.Event, ticket uint64) recorder.Event {
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

// fetchEvents fetches the events after lastStamps from the event ring of each
// instance. It returns the names of the instances that did not respond.
func fetchEvents(ctx context.Context, instances []reporter.Status, lastStamps map[string]uint64) (rings [][]recorder.Event, unreachable []string) {
	rings = make([][]recorder.Event, len(instances))
	failed := make([]bool, len(instances))
	forEachConcurrently(len(instances), func(i int) {
		m := instances[i].Instance
		path := "/timeline?after=" + strconv.FormatUint(lastStamps[m.Name], 10)
		failed[i] = getJSON(ctx, m.Admin, path, &rings[i]) != nil
	})
	for i, m := range instances {
		if failed[i] {
			unreachable = append(unreachable, m.Instance.Name)
		}
	}
	return rings, unreachable
}

// eventFilter returns a function that reports whether an event matches the flags.
func (p *program) eventFilter(c *cli.Command) func(recorder.Event) bool {
	f := recorder.Filter{Version: c.Uint64("ticket"), Upstream: c.String("upstream"), Domain: c.String("domain")}
	if c.IsSet("since") {
		var clock recorder.Clock
		f.After = clock.Now(p.now().Add(-c.Duration("since"))) - 1
	}
	return func(e recorder.Event) bool {
		return f.Match(e) && (f.Version == 0 || isTicketEvent(e.Kind))
	}
}

// isTicketEvent reports whether the version of an event of kind k is a ticket
// number.
func isTicketEvent(k recorder.Kind) bool {
	return k == recorder.KindSubmitted || k == recorder.KindConfigured || k == recorder.KindRejected
}

func (p *program) printEvent(c *cli.Command, e recorder.Event) {
	if c.Bool("json") {
		_ = json.NewEncoder(p.stdout).Encode(e)
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
