// Package launcher runs the command of a process that serves until it is told
// to stop.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	// Failed is the exit code after a failure.
	ExitFailure = 1
	// Settings is the exit code for settings with problems.
	ExitInvalidSettings = 2
)

// ExitCodes explains the exit codes in a command's help.
const ExitCodesHelp = "Exit codes: 0 planned stop, 1 failure, 2 settings with problems."

// Main runs the command with the process's arguments and ends the process. Its
// context ends with SIGTERM or SIGINT.
func Main(c *cli.Command) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, c, os.Args))
}

// run returns the exit code.
func run(ctx context.Context, c *cli.Command, args []string) int {
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	err := c.Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", c.Name, err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailure
}
