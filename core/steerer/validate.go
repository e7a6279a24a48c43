package steerer

import (
	"errors"
	"fmt"
	"strings"
)

// Validate returns all problems of a configuration, joined, each with the name of
// its route or service. An invalid configuration is not applied.
func (c *Config) Validate() error {
	var problems []error
	services := map[string]bool{}
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			problems = append(problems, fmt.Errorf("service %q is unnamed or named twice", s.Name))
		}
		services[s.Name] = true
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return errors.Join(append(problems, c.validateWorkspaces()...)...)
}

// validateWorkspaces returns the problems of the workspaces. None of them names a key.
func (c *Config) validateWorkspaces() (problems []error) {
	names, holders := map[string]bool{}, map[string]string{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		report := func(format string, args ...any) {
			problems = append(problems, fmt.Errorf("workspace %q: "+format, append([]any{w.Name}, args...)...))
		}
		if w.Name == "" || names[w.Name] {
			report("it is unnamed or named twice")
		}
		names[w.Name] = true
		if w.Rate < 0 || w.Burst < 0 {
			report("the allowance is negative")
		}
		for n, key := range w.Keys {
			switch holder, held := holders[key]; {
			case key == "":
				report("key %d is empty", n+1)
			case held:
				report("key %d belongs to workspace %q too", n+1, holder)
			}
			holders[key] = w.Name
		}
	}
	return problems
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("no timeout")
	case r.Attempts < 1:
		return errors.New("no attempts")
	}
	total := 0.0
	for _, p := range r.Parts {
		if !services[p.Service] {
			return fmt.Errorf("unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("service %q has a negative weight", p.Service)
		}
		total += p.Weight
	}
	if total <= 0 {
		return errors.New("no weight")
	}
	return nil
}
