package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/hornbench/soaker"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run hornplatform processes under random faults and check what callers see",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "runs", Value: 1, Usage: "number of seeds"},
			&cli.DurationFlag{Name: "time", Value: 12 * time.Second, Usage: "length of the faults of one seed; a calm time follows"},
			&cli.IntFlag{Name: "instances", Value: 5},
			&cli.IntFlag{Name: "upstreams", Value: 4, Usage: "upstreams of each of two services"},
			&cli.IntFlag{Name: "callers", Value: 16},
			&cli.BoolFlag{Name: "extended", Value: true, Usage: "let the store come back from copies, and upstreams leave or pause by their answers"},
			&cli.BoolFlag{Name: "limits", Value: true, Usage: "let upstreams limit the rate of their requests"},
			&cli.BoolFlag{Name: "bursts", Value: true, Usage: "let faults come in bursts, and the store take calls without an answer"},
			&cli.BoolFlag{Name: "crashes", Value: true, Usage: "send requests that crash the upstreams that run them, and let upstreams crash together"},
			&cli.BoolFlag{Name: "workspaces", Value: true, Usage: "give callers keys that change, and one workspace an allowance that it exceeds"},
			&cli.BoolFlag{Name: "pauses", Usage: "pause instances while routes move"},
			&cli.BoolFlag{Name: "stops", Usage: "stop instances, without other faults, while callers send late on connections opened early"},
			&cli.BoolFlag{Name: "garbage", Usage: "let upstreams and the store send bytes that are no answer, some without end"},
			&cli.StringFlag{Name: "binary", Value: "target/hornplatform"},
			&cli.StringFlag{Name: "dir", Usage: "directory for the logs; those of seeds without a violation are removed"},
		},
		Action: func(ctx context.Context, c *cli.Command) (err error) {
			dir := c.String("dir")
			if dir == "" {
				if dir, err = os.MkdirTemp("", "hornsoak-"); err != nil {
					return err
				}
			}
			var broken error
			for n := range c.Int("runs") {
				err := soakOnce(ctx, c, c.Uint64("seed")+uint64(n), dir)
				if ctx.Err() != nil {
					return err
				}
				broken = errors.Join(broken, err)
			}
			return broken
		},
	}
}

func soakOnce(ctx context.Context, c *cli.Command, seed uint64, dir string) error {
	o := soaker.Options{
		Binary: c.String("binary"), Seed: seed, Until: time.Now().Add(c.Duration("time")),
		Instances: c.Int("instances"), Upstreams: c.Int("upstreams"), Callers: c.Int("callers"),
		Extended: c.Bool("extended"), Limits: c.Bool("limits"), Bursts: c.Bool("bursts"), Crashes: c.Bool("crashes"), Workspaces: c.Bool("workspaces"), Pauses: c.Bool("pauses"), Garbage: c.Bool("garbage"), Stops: c.Bool("stops"),
		Dir: filepath.Join(dir, fmt.Sprint("seed-", seed)),
	}
	r, err := soaker.Soak(ctx, o)
	if err != nil {
		return err
	}
	r.Print(c.Writer)
	if err = r.Err(); err == nil {
		err = os.RemoveAll(o.Dir)
	}
	return err
}
