package commands

import (
	"context"
	"encoding/json"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/loader"
)

// changeFlags are the flags of commands that write a ticket by themselves.
func changeFlags(flags ...cli.Flag) []cli.Flag {
	return append(flags,
		&cli.StringFlag{Name: "author", Usage: "`NAME` in the ticket", Sources: cli.EnvVars("HORNCTL_AUTHOR", "USER"), Value: "operator"},
		&cli.StringFlag{Name: "reason", Usage: "`SENTENCE` in the ticket"},
	)
}

func (p *program) drainCommand() *cli.Command {
	c := &cli.Command{
		Name:  "drain",
		Usage: "take an upstream, a failure domain or a region out of use",
		Description: `Writes a ticket against the current version. With --undo, the ticket removes
the drain. If another ticket is accepted at the same moment, this one is refused
(exit code 3) and the command can be given again.`,
	}
	for _, kind := range []string{loader.KindUpstream, loader.KindDomain, loader.KindRegion} {
		c.Commands = append(c.Commands, &cli.Command{
			Name: kind, Usage: "drain one " + kind, ArgsUsage: "NAME",
			Flags: changeFlags(
				&cli.BoolFlag{Name: "undo", Usage: "end the drain"},
				&cli.TimestampFlag{Name: "until", Usage: "`TIME` (RFC 3339) at which the drain ends by itself", Config: rfc3339},
			),
			Action: p.act(1, func(ctx context.Context, c *cli.Command) error { return p.drain(ctx, c, kind) }),
		})
	}
	return group(c)
}

var rfc3339 = cli.TimestampConfig{Layouts: []string{time.RFC3339}}

func (p *program) drain(ctx context.Context, c *cli.Command, kind string) error {
	name := c.Args().First()
	key := loader.KindDrain + "/" + kind + "/" + name
	return p.change(ctx, c, key, func(s loader.State) (any, string, error) {
		if _, ok := s.Object(kind + "/" + name); !ok {
			return nil, "", usagef("%s/%s does not exist", kind, name)
		}
		if c.Bool("undo") {
			return nil, "end of the drain of " + kind + " " + name, nil
		}
		drain := loader.Drain{Reason: c.String("reason"), Until: c.Timestamp("until")}
		return drain, "drain of " + kind + " " + name, nil
	})
}

func (p *program) shiftCommand() *cli.Command {
	return &cli.Command{
		Name:      "shift",
		Usage:     "move a share of a service's requests to another region",
		ArgsUsage: "SERVICE",
		Description: `Writes a ticket against the current version. The share rises linearly from
--start to --finish; the moved requests never exceed --cap. With --undo, the
ticket removes the shift.`,
		Flags: changeFlags(
			&cli.StringFlag{Name: "from", Usage: "source `REGION`"},
			&cli.StringFlag{Name: "to", Usage: "target `REGION`"},
			&cli.FloatFlag{Name: "share", Usage: "`SHARE` of the requests, above 0 and at most 1"},
			&cli.FloatFlag{Name: "cap", Usage: "moved requests per second over all instances"},
			&cli.TimestampFlag{Name: "start", Usage: "`TIME` (RFC 3339) at which the share starts to rise (default: now)", Config: rfc3339},
			&cli.TimestampFlag{Name: "finish", Usage: "`TIME` (RFC 3339) at which the whole share is moved", Config: rfc3339},
			&cli.BoolFlag{Name: "undo", Usage: "end the shift"},
		),
		Action: p.act(1, p.shift),
	}
}

func (p *program) shift(ctx context.Context, c *cli.Command) error {
	service := c.Args().First()
	return p.change(ctx, c, loader.KindShift+"/"+service, func(loader.State) (any, string, error) {
		if c.Bool("undo") {
			return nil, "end of the shift of " + service, nil
		}
		for _, name := range []string{"from", "to", "share", "cap", "finish"} {
			if !c.IsSet(name) {
				return nil, "", usagef("--%s is missing", name)
			}
		}
		h := loader.Shift{
			From: c.String("from"), To: c.String("to"), Share: c.Float("share"), MaxRate: c.Float("cap"),
			Start: c.Timestamp("start"), Finish: c.Timestamp("finish"),
		}
		if h.Start.IsZero() {
			h.Start = p.now().UTC().Truncate(time.Second)
		}
		return h, "shift of " + service + " from " + h.From + " to " + h.To, nil
	})
}

// change submits a ticket that sets one object, or removes it when build returns
// nil, against the current version. The second result of build is the reason if
// none is given.
func (p *program) change(ctx context.Context, c *cli.Command, key string, build func(loader.State) (any, string, error)) error {
	store, s, err := p.load(ctx, c)
	if err != nil {
		return err
	}
	defer store.Close()
	value, reason, err := build(s)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if c.String("reason") != "" {
		reason = c.String("reason")
	}
	return p.send(ctx, c, store, loader.Ticket{
		Base: s.Version, Author: c.String("author"), Reason: reason,
		Objects: map[string]json.RawMessage{key: raw},
	})
}
