// Command hornbeamd is the daemon that runs on every entry instance. It answers
// look-ups, takes and forwards requests, and takes its part in control.
package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/hornbeamd/launcher"
)

func main() { launcher.Main(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:                  "hornbeamd",
		Usage:                 "steer requests to upstreams that can take them",
		Description:           launcher.ExitCodesHelp + "\nSIGTERM starts a planned stop: callers learn to use other instances, requests in flight end, slots are handed over.",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Required: true, Usage: "settings `FILE` in YAML"},
			&cli.BoolFlag{Name: "hedge", Usage: "send a second try of slow requests that may be repeated"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := readSettings(c.String("settings"))
			if err != nil {
				return cli.Exit(err.Error(), launcher.ExitInvalidSettings)
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
