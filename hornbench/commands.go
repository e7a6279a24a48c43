package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"
	"hornbeamstream.example/hornbench/director"
	"hornbeamstream.example/hornbench/generator"
)

// deployFlags select the deployment and its speed.
func deployFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "deploy", Value: "kasa", Usage: "kasa or kotuku"},
		&cli.StringFlag{Name: "root", Value: ".", Usage: "directory that holds examples/ and bin/"},
		&cli.StringFlag{Name: "scratch", Usage: "directory for a generated deployment when examples/ lacks it"},
		&cli.FloatFlag{Name: "factor", Value: 1, Usage: "multiplies the service times of the upstreams"},
	}
}

// withDeployment opens the deployment for an action. Without --scratch, a
// temporary directory is used and removed afterwards.
func withDeployment(do func(context.Context, *cli.Command, *director.Deployment) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		scratch := c.String("scratch")
		if scratch == "" {
			dir, err := os.MkdirTemp("", "hornbench-")
			if err != nil {
				return err
			}
			defer os.RemoveAll(dir)
			scratch = dir
		}
		d, err := director.Open(c.String("root"), c.String("deploy"), scratch)
		if err != nil {
			return err
		}
		return do(ctx, c, d)
	}
}

func emulateCommand() *cli.Command {
	return &cli.Command{
		Name:  "emulate",
		Usage: "run the platform and the upstreams of a deployment until interrupted",
		Flags: append(deployFlags(), &cli.BoolFlag{Name: "ticket", Usage: "submit the first ticket"}),
		Action: withDeployment(func(ctx context.Context, c *cli.Command, d *director.Deployment) error {
			return director.Emulate(ctx, c.Writer, d, c.Float("factor"), c.Bool("ticket"))
		}),
	}
}

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to the entries of a running deployment",
		Flags: append(
			deployFlags(),
			&cli.FloatFlag{Name: "share", Value: 0.5, Usage: "share of all slots that the load needs"},
			&cli.DurationFlag{Name: "time", Value: 10 * time.Second},
			&cli.StringSliceFlag{Name: "service", Usage: "only these services"},
			&cli.StringSliceFlag{Name: "region", Usage: "only callers of these regions"},
			&cli.StringSliceFlag{Name: "entry", Usage: "first entries to ask, instead of all"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.BoolFlag{Name: "tries", Usage: "print every request that did not end ok"},
		),
		Action: withDeployment(func(ctx context.Context, c *cli.Command, d *director.Deployment) error {
			var flows []generator.Flow
			for _, f := range d.Offer(c.Float("share"), c.Float("factor")) {
				if selected(c.StringSlice("service"), f.Service) && selected(c.StringSlice("region"), f.Region) {
					flows = append(flows, f)
				}
			}
			prefix := "load" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "-"
			l, err := d.NewLoad(flows, prefix, c.Uint64("seed"))
			if err != nil {
				return err
			}
			if list := c.StringSlice("entry"); len(list) > 0 {
				l.Entries = list
			}
			list, err := l.Measure(ctx, c.Duration("time"))
			if err != nil {
				return err
			}
			if c.Bool("tries") {
				printTries(c, list)
			}
			return generator.Table(c.Writer, list)
		}),
	}
}

func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}

func printTries(c *cli.Command, list []generator.Request) {
	for _, r := range list {
		if r.Outcome == generator.OK {
			continue
		}
		fmt.Fprintf(c.Writer, "%s %s\n", r.ID, r.Outcome)
		for _, t := range r.Tries {
			fmt.Fprintf(c.Writer, "  %s %v %s status %d %s\n", t.Entry, t.End.Sub(t.Start).Round(time.Microsecond), t.Outcome, t.Status, t.Cause)
		}
	}
}
