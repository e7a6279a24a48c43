package launcher

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"
)

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		err  error
		want int
	}{
		{"planned stop", nil, nil, 0},
		{"failure", nil, errors.New("address in use"), ExitFailure},
		{"settings with problems", nil, cli.Exit("settings: no zone", ExitInvalidSettings), ExitInvalidSettings},
		{"unknown flag", []string{"--unknown"}, nil, ExitFailure},
	} {
		t.Run(c.name, func(t *testing.T) {
			command := &cli.Command{Name: "p", Action: func(context.Context, *cli.Command) error { return c.err }}
			is.New(t).Equal(run(context.Background(), command, append([]string{"p"}, c.args...)), c.want)
		})
	}
}
