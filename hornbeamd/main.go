// Command hornbeamd is the daemon that runs on every entry instance. It answers
// look-ups, takes and forwards requests, and takes its part in control.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/loader"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "hornbeamd:", err)
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:                  "hornbeamd",
		Usage:                 "steer requests to upstreams that can take them",
		Description:           "Exit codes: 0 planned stop, 1 failure, 2 settings with problems.\nSIGTERM starts a planned stop: callers learn to use other instances, requests in flight end, slots are handed over.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "settings `FILE` in YAML"},
			&cli.BoolFlag{Name: "hedge", Usage: "send a second try of slow requests that may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := readSettings(c.String("settings"))
			if err != nil {
				return cli.Exit(err.Error(), exitSettings)
			}
			return run(ctx, settings, c.Bool("hedge"))
		},
	}
}

func readSettings(file string) (s loader.Settings, err error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	return loader.ParseSettings(file, data)
}
