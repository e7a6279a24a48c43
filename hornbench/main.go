// Command hornbench starts stand-ins, load and the demo. It is the test tool of
// the system and the only program that starts processes.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"hornbeamstream.example/hornbench/director"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := app().Run(ctx, os.Args)
	switch {
	case err == nil:
		return
	case !errors.Is(err, director.ErrViolated):
		// The last line of the demo stays its result.
		fmt.Fprintln(os.Stderr, "hornbench:", err)
	}
	os.Exit(1)
}

func app() *cli.Command {
	return &cli.Command{
		Name:     "hornbench",
		Usage:    "stand-ins, load and demo of hornbeamstream on the loopback addresses",
		Commands: []*cli.Command{demoCommand(), rollingCommand(), rushCommand(), emulateCommand(), loadCommand(), forwardCommand(), costCommand(), soakCommand()},
	}
}
