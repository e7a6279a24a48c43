package commands

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/hornctl/tracer"
)

func (p *program) traceCommand() *cli.Command {
	return &cli.Command{
		Name:      "trace",
		Usage:     "show the way of a request, or of a version into force, from log files",
		ArgsUsage: "FILE...",
		Description: `Reads the logs of any number of instances from files; - is standard
input.
Before the lines of a request come the last ones of its instance that say what
was believed then. With --json, each line is one log line as it was written.`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "the request's `ID`"},
			&cli.StringFlag{Name: "version", Usage: "the configuration's `NUMBER`"},
		},
		Action: p.guard(-1, p.trace),
	}
}

func (p *program) trace(_ context.Context, c *cli.Command) (err error) {
	id, version := c.String("id"), c.String("version")
	if (id == "") == (version == "") {
		return usagef("either --id or --version is needed")
	}
	lines, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	found := tracer.VersionLines(lines, version)
	if id != "" {
		found = tracer.RequestLines(lines, id)
	}
	if len(found) == 0 {
		return fmt.Errorf("none of %d log lines is about it; lines beyond the bound on their rate are dropped and counted", len(lines))
	}
	for _, l := range found {
		if c.Bool("json") {
			fmt.Fprintf(p.out, "%s\n", l.Raw)
		} else {
			fmt.Fprintln(p.out, l)
		}
	}
	return nil
}

func readLogs(files []string) (lines []tracer.Line, err error) {
	for _, name := range files {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string) (lines []tracer.Line, err error) {
	if name == "-" {
		lines, _, err = tracer.Read(os.Stdin)
		return lines, err
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, usagef("%v", err)
	}
	defer func() {
		if cerr := f.Close(); err == nil {
			err = cerr
		}
	}()
	lines, _, err = tracer.Read(f)
	return lines, err
}
