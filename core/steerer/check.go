package steerer

import (
	"errors"
	"fmt"
	"strings"
)

// Check reports every problem of a configuration, each with the name of its
// route or service. A configuration with problems is not taken over.
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
		if err := r.check(services); err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", r.Name, err))
		}
	}
	return errors.Join(problems...)
}

func (r *Route) check(services map[string]bool) error {
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
