package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
	"hornbeamstream.example/hornbench/director"
)

// processFlags concern the instances that a command starts.
func processFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "binary", Usage: "path of hornbeamd (default: bin/hornbeamd under root)"},
		&cli.StringFlag{Name: "logs", Usage: "directory for the logs of the instances (default: a temporary one)"},
	}
}

// processes returns the binary and a directory for logs, which remove deletes
// if it is temporary.
func processes(c *cli.Command) (binary, logs string, remove func(), err error) {
	binary, logs = c.String("binary"), c.String("logs")
	if binary == "" {
		binary = filepath.Join(c.String("root"), "bin", "hornbeamd")
	}
	if _, err := os.Stat(binary); err != nil {
		return "", "", nil, fmt.Errorf("hornbeamd is not built: %w", err)
	}
	if logs != "" {
		return binary, logs, func() {}, os.MkdirAll(logs, 0o755)
	}
	logs, err = os.MkdirTemp("", "hornbench-logs-")
	return binary, logs, func() { _ = os.RemoveAll(logs) }, err
}

// runFlags concern the commands that run a whole deployment under load.
func runFlags() []cli.Flag {
	return append(
		append(deployFlags(), processFlags()...),
		&cli.BoolFlag{Name: "causes", Usage: "count the causes of tries that were not ok"},
	)
}

func shareFlag() cli.Flag {
	return &cli.FloatFlag{Name: "share", Value: 0.7, Usage: "share of all slots that the load needs"}
}

// withDemo prepares a run of the deployment with the instances' binary.
func withDemo(run func(*director.Demo, context.Context) error) cli.ActionFunc {
	return withDeployment(func(ctx context.Context, c *cli.Command, d *director.Deployment) error {
		binary, logs, remove, err := processes(c)
		if err != nil {
			return err
		}
		defer remove()
		o := director.Options{Binary: binary, Logs: logs, Factor: c.Float("factor"), Share: c.Float("share"), Scenes: c.StringSlice("scene"), Causes: c.Bool("causes")}
		return run(director.NewDemo(d, o, c.Writer), ctx)
	})
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a deployment under load and faults for less than a minute",
		Flags: append(
			runFlags(), shareFlag(),
			&cli.StringSliceFlag{Name: "scene", Usage: "only these steps: shift, drain, race, kill, silence, stop, pause, outage; without it all but pause"},
		),
		Action: withDemo((*director.Demo).Run),
	}
}

func rollingCommand() *cli.Command {
	return &cli.Command{
		Name:   "rolling",
		Usage:  "restart all instances of a deployment under load",
		Flags:  append(runFlags(), shareFlag()),
		Action: withDemo((*director.Demo).Rolling),
	}
}

func rushCommand() *cli.Command {
	return &cli.Command{
		Name:   "rush",
		Usage:  "compare the once service before and during a rush on the bulk service",
		Flags:  runFlags(),
		Action: withDemo((*director.Demo).Rush),
	}
}

func forwardCommand() *cli.Command {
	return &cli.Command{
		Name:  "forward",
		Usage: "forward plain HTTP to upstreams in turn, without any decision",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7700"},
			&cli.StringSliceFlag{Name: "upstream", Required: true, Usage: "ip:port, repeatable"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return director.Forward(ctx, c.String("listen"), c.StringSlice("upstream"))
		},
	}
}

func costCommand() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "compare an instance with the bare forwarder, alternating in one run",
		Flags: append(
			append(deployFlags(), processFlags()...),
			&cli.StringFlag{Name: "front", Usage: "front address of a running instance; without it, everything is started"},
			&cli.StringFlag{Name: "service", Usage: "service to ask (default: the small one)"},
			&cli.StringSliceFlag{Name: "upstream", Usage: "upstreams of the bare forwarder (default: those of the entry's failure domain)"},
			&cli.IntFlag{Name: "conns", Value: 8, Usage: "connections, each with one request at a time"},
			&cli.IntFlag{Name: "rounds", Value: 3},
			&cli.IntFlag{Name: "procs", Value: 1, Usage: "threads of the forwarder and of each instance started"},
			&cli.DurationFlag{Name: "time", Value: 2 * time.Second, Usage: "time of one measurement"},
		),
		Action: withDeployment(func(ctx context.Context, c *cli.Command, d *director.Deployment) error {
			cost := director.Cost{
				Front: c.String("front"), Service: c.String("service"), Upstreams: c.StringSlice("upstream"),
				Conns: c.Int("conns"), Rounds: c.Int("rounds"), Procs: c.Int("procs"), Time: c.Duration("time"),
			}
			if cost.Front == "" {
				binary, logs, remove, err := processes(c)
				if err != nil {
					return err
				}
				defer remove()
				cost.Binary, cost.Logs = binary, logs
			}
			if cost.Service == "" {
				cost.Service = d.Small()
			}
			return cost.Run(ctx, d, c.Writer)
		}),
	}
}
