// Package commands implements the commands of hornctl.
package commands

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/submitter"
)

// Exit codes of hornctl.
const (
	ExitOK = iota
	// ExitFailed means any other error.
	ExitFailed
	// ExitUsage means that the command line, a file or a ticket is not valid.
	ExitUsage
	// ExitRefused means that another ticket was accepted first.
	ExitRefused
	// ExitUnreachable means that the platform or the instance can't be reached;
	// nothing was written.
	ExitUnreachable
	// ExitUnknown means that the response was lost; the ticket may have been
	// accepted.
	ExitUnknown
)

const description = `Tickets go to the platform (--platform). Status and timeline come from the
instances; --entry is the admin address of any one of them, which names the
others.

Exit codes:
  0  done
  1  failed
  2  the command line, a file or a ticket is not valid; nothing was written
  3  refused: another ticket was first; nothing was written
  4  the platform or the instance can't be reached; nothing was written
  5  unknown: the answer was lost; the message tells how to find out`

const defaultTimeout = 10 * time.Second

// errUnreachable matches errors of requests to an instance.
var errUnreachable = errors.New("instance is unreachable")

// usageError is an error in the command line.
type usageError struct{ text string }

func (u usageError) Error() string { return u.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// program holds the state of one invocation of hornctl.
type program struct {
	stdout, stderr io.Writer
	now            func() time.Time
	// actionStarted reports whether an action ran. Errors before that are usage
	// errors.
	actionStarted bool
}

// Run runs one command line and returns its exit code. It writes results to out
// and errors and warnings to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	p := &program{stdout: out, stderr: errOut, now: time.Now}
	err := p.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if !p.actionStarted {
		code = ExitUsage
		err = fmt.Errorf("%w (see hornctl --help)", err)
	}
	if u := (*submitter.UnknownOutcomeError)(nil); errors.As(err, &u) {
		err = fmt.Errorf("%w (hornctl ticket show %d tells)", err, u.Number)
	}
	text := strings.TrimSpace(err.Error())
	if problems := loader.Problems(nil); errors.As(err, &problems) {
		text = problems.Error()
	} else {
		text = "hornctl: " + strings.ReplaceAll(text, "\n", "; ")
	}
	fmt.Fprintln(errOut, text)
	return code
}

func exitCode(err error) int {
	switch {
	case errors.As(err, new(usageError)), errors.As(err, new(loader.Problems)), errors.As(err, new(*loader.GapError)):
		return ExitUsage
	case errors.As(err, new(*submitter.StaleBaseError)):
		return ExitRefused
	case errors.Is(err, submitter.ErrUnknownOutcome):
		return ExitUnknown
	case errors.Is(err, submitter.ErrUnavailable), errors.Is(err, errUnreachable):
		return ExitUnreachable
	}
	return ExitFailed
}

func (p *program) root() *cli.Command {
	root := &cli.Command{
		Name:                  "hornctl",
		Usage:                 "operate hornbeamstream",
		Description:           description,
		Writer:                p.stdout,
		ErrWriter:             p.stderr,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.Usage = "print the completion script of a shell"
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "base `URL` of the platform", Sources: cli.EnvVars("HORNCTL_PLATFORM")},
			&cli.StringFlag{Name: "entry", Usage: "admin `ADDRESS` (ip:port) of any instance", Sources: cli.EnvVars("HORNCTL_ENTRY")},
			&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` that the command may take", Value: defaultTimeout},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Commands: []*cli.Command{
			p.checkCommand(), p.ticketCommand(), p.drainCommand(), p.shiftCommand(),
			p.statusCommand(), p.workspacesCommand(), p.explainCommand(), p.timelineCommand(), p.traceCommand(), p.lossesCommand(),
		},
	}
	rejectUnknownSubcommands(root)
	returnUsageErrors(root)
	return root
}

// rejectUnknownSubcommands makes a command that only has subcommands return a
// usage error for unknown ones.
func rejectUnknownSubcommands(c *cli.Command) *cli.Command {
	c.Action = func(_ context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return usagef("%s has no command %q", c.FullName(), c.Args().First())
		}
		return cli.ShowSubcommandHelp(c)
	}
	return c
}

// returnUsageErrors makes c and its subcommands return usage errors, so that they
// print one line instead of the help text.
func returnUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range c.Commands {
		returnUsageErrors(sub)
	}
}

// withTimeout is like withArguments and also limits the action to --timeout.
func (p *program) withTimeout(count int, run cli.ActionFunc) cli.ActionFunc {
	return p.withArguments(count, func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		return run(ctx, c)
	})
}

// withArguments wraps an action with checks of the number of arguments and of
// --timeout. A negative count means one or more.
func (p *program) withArguments(count int, run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		n := c.Args().Len()
		if count > 0 && n != count || count < 0 && n == 0 {
			return usagef("%s needs %s", c.FullName(), c.ArgsUsage)
		}
		if count == 0 && n > 0 {
			return usagef("%s takes no argument", c.FullName())
		}
		if c.Duration("timeout") <= 0 {
			return usagef("--timeout must be above 0")
		}
		p.actionStarted = true
		return run(ctx, c)
	}
}

// connect returns a client of the platform.
func (p *program) connect(c *cli.Command) (*connector.Client, error) {
	base := c.String("platform")
	if base == "" {
		return nil, usagef("--platform is missing")
	}
	client, err := connector.New(base)
	if err != nil {
		return nil, usagef("%v", err)
	}
	return client, nil
}

// loadState connects to the platform and reads the latest configuration. The
// caller must close the client.
func (p *program) loadState(ctx context.Context, c *cli.Command) (client *connector.Client, s loader.State, err error) {
	client, err = p.connect(c)
	if err != nil {
		return nil, s, err
	}
	s, _, err = submitter.Load(ctx, client)
	if err != nil {
		client.Close()
		return nil, s, err
	}
	return client, s, nil
}

func (p *program) printf(format string, args ...any) { fmt.Fprintf(p.stdout, format, args...) }

func (p *program) printJSON(v any) error {
	e := json.NewEncoder(p.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
