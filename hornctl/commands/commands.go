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
	// ExitFailed: something else went wrong.
	ExitFailed
	// ExitUsage: the command line, a file or a ticket is not valid.
	ExitUsage
	// ExitRefused: another ticket was first.
	ExitRefused
	// ExitUnreachable: the platform or the instance can't be reached; nothing
	// was written.
	ExitUnreachable
	// ExitUnknown: the answer was lost; the ticket may have been accepted.
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

// errUnreachable marks an instance that does not answer.
var errUnreachable = errors.New("instance is unreachable")

// usageError is a fault of the command line.
type usageError struct{ text string }

func (u usageError) Error() string { return u.text }

func usagef(format string, args ...any) error { return usageError{fmt.Sprintf(format, args...)} }

// program is one run of hornctl.
type program struct {
	out, errOut io.Writer
	now         func() time.Time
	// acted tells that an action ran; errors without one are usage errors.
	acted bool
}

// Run runs one command line and returns its exit code. Results go to out, all
// messages to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	p := &program{out: out, errOut: errOut, now: time.Now}
	err := p.root().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if !p.acted {
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
		Writer:                p.out,
		ErrWriter:             p.errOut,
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
			p.statusCommand(), p.timelineCommand(), p.traceCommand(), p.lossesCommand(),
		},
	}
	group(root)
	quiet(root)
	return root
}

// group makes a command that only has subcommands refuse unknown ones.
func group(c *cli.Command) *cli.Command {
	c.Action = func(_ context.Context, c *cli.Command) error {
		if c.Args().Present() {
			return usagef("%s has no command %q", c.FullName(), c.Args().First())
		}
		return cli.ShowSubcommandHelp(c)
	}
	return c
}

// quiet lets usage errors end in one line instead of the whole help text.
func quiet(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, sub := range c.Commands {
		quiet(sub)
	}
}

// act is like guard and also limits the time of the action.
func (p *program) act(count int, run cli.ActionFunc) cli.ActionFunc {
	return p.guard(count, func(ctx context.Context, c *cli.Command) error {
		ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
		defer cancel()
		return run(ctx, c)
	})
}

// guard checks the number of arguments before an action. A negative count means
// one or more.
func (p *program) guard(count int, run cli.ActionFunc) cli.ActionFunc {
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
		p.acted = true
		return run(ctx, c)
	}
}

// store connects to the platform.
func (p *program) store(c *cli.Command) (*connector.Client, error) {
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

// load connects to the platform and reads the newest configuration. The caller
// closes the client.
func (p *program) load(ctx context.Context, c *cli.Command) (client *connector.Client, s loader.State, err error) {
	client, err = p.store(c)
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

func (p *program) printf(format string, args ...any) { fmt.Fprintf(p.out, format, args...) }

func (p *program) printJSON(v any) error {
	e := json.NewEncoder(p.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
