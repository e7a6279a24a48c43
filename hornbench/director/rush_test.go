package director

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/hornbench/generator"
)

// Guards against a rush that passes though the once service suffered from it.
func TestRush(t *testing.T) {
	answered := func(due, ms int, outcome generator.Outcome) generator.Request {
		return generator.Request{Service: "once", Due: at(due), End: at(due + ms), Outcome: outcome}
	}
	cold, calm, other := answered(-10, 900, generator.OK), answered(0, 100, generator.OK), answered(2000, 900, generator.NotRun)
	other.Service = "bulk"
	for _, x := range []struct {
		name   string
		result Result
		rush   generator.Request
		want   error
	}{
		{"as calm", Result{}, answered(1000, 149, generator.OK), nil},
		{"slow", Result{}, answered(1000, 152, generator.OK), ErrViolated},
		{"refused", Result{}, answered(1000, 100, generator.NotRun), ErrViolated},
		{"over", Result{Over: 1}, answered(1000, 100, generator.OK), ErrViolated},
		{"wrong", Result{Wrong: 1}, answered(1000, 100, generator.OK), ErrViolated},
		{"twice", Result{Twice: 1}, answered(1000, 100, generator.OK), ErrViolated},
		{"nothing sent", Result{}, other, ErrViolated},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			x.result.requests = []generator.Request{cold, calm, x.rush, other}
			s := x.result.rush("once", at(0), at(1000))
			is.Equal(s.verdict(), x.want)
			is.Equal(s.Calm.P99/1000, int64(100))
		})
	}
}
