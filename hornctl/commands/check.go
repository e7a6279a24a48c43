package commands

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"hornbeamstream.example/core/loader"
)

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check YAML files with tickets or settings",
		ArgsUsage: "FILE...",
		Description: `Prints every problem as file:line: key: text. A ticket with base 0 is checked
as the whole configuration. A ticket with a higher base is checked against the
tickets before it on the command line, if they lead to its base, and object by
object otherwise. The files of a platform in its own format are checked by
hornplatform check.`,
		Action: p.withTimeout(-1, p.check),
	}
}

// checker checks files in the order of the command line.
type checker struct {
	// states has the configuration after each checked ticket, by version.
	states map[uint64]loader.State
	// usedIn has the settings file of each name and address.
	usedIn   map[string]string
	problems loader.Problems
}

func (p *program) check(_ context.Context, c *cli.Command) error {
	k := checker{states: map[uint64]loader.State{}, usedIn: map[string]string{}}
	for _, file := range c.Args().Slice() {
		data, err := os.ReadFile(file)
		if err != nil {
			return usagef("%v", err)
		}
		k.checkFile(file, data)
	}
	if c.Bool("json") {
		if err := p.printJSON(append(loader.Problems{}, k.problems...)); err != nil {
			return err
		}
	}
	if len(k.problems) > 0 {
		return k.problems
	}
	if !c.Bool("json") {
		p.printf("no problems in %d file(s)\n", c.Args().Len())
	}
	return nil
}

func (k *checker) checkFile(name string, data []byte) {
	if loader.IsTicket(data) {
		k.checkTicket(name, data)
		return
	}
	if loader.IsTuning(data) {
		_, err := loader.ParseTuning(name, data)
		k.addProblems(err)
		return
	}
	s, err := loader.ParseSettings(name, data)
	k.addProblems(err)
	if err == nil {
		k.checkDuplicates(name, s)
	}
}

func (k *checker) checkTicket(name string, data []byte) {
	t, err := loader.ParseTicket(name, data)
	s, known := k.states[t.Base]
	if err == nil && known {
		t, err = loader.ParseTicketFor(s, name, data)
	}
	k.addProblems(err)
	if err != nil || !known && t.Base != 0 {
		return
	}
	if next, err := s.Apply(t); err == nil {
		if _, ok := k.states[next.Version]; !ok {
			k.states[next.Version] = next
		}
	}
}

// checkDuplicates reports names and addresses that occur in two settings files.
func (k *checker) checkDuplicates(file string, s loader.Settings) {
	values := []struct{ key, value string }{
		{"name", s.Name}, {"front", s.Front}, {"data", s.Data}, {"peer", s.Peer}, {"admin", s.Admin},
	}
	for _, v := range values {
		if other, ok := k.usedIn[v.value]; ok {
			text := fmt.Sprintf("%s is already used in %s", v.value, other)
			k.problems = append(k.problems, loader.Problem{File: file, Line: 1, Key: v.key, Text: text})
		}
		k.usedIn[v.value] = file
	}
}

// addProblems appends the problems in err, if any.
func (k *checker) addProblems(err error) {
	if problems := loader.Problems(nil); errors.As(err, &problems) {
		k.problems = append(k.problems, problems...)
	}
}
