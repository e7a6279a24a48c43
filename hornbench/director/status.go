package director

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hornbeamstream.example/core/reporter"
)

const (
	pollInterval  = 20 * time.Millisecond
	statusTimeout = time.Second
)

var statusClient = &http.Client{Timeout: statusTimeout}

// status asks an instance for its account.
func (p *process) status(ctx context.Context) (s reporter.Status, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.Admin+"/status", nil)
	if err != nil {
		return s, err
	}
	a, err := statusClient.Do(r)
	if err != nil {
		return s, err
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return s, fmt.Errorf("status of %s: %s", p.settings.Name, a.Status)
	}
	return s, json.NewDecoder(a.Body).Decode(&s)
}

// await polls an instance until a condition holds or the context ends. It ends
// without error when the instance is no longer reachable by intent.
func (p *process) await(ctx context.Context, ok func(reporter.Status) bool) error {
	var last error
	for {
		if running, leaving := p.state(); leaving {
			return nil
		} else if !running {
			return fmt.Errorf("%s has exited", p.settings.Name)
		}
		s, err := p.status(ctx)
		if err == nil && ok(s) {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("%s is at version %d", p.settings.Name, s.Version)
		}
		if ctx.Err() == nil {
			last = err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errors.Join(ctx.Err(), last)
		}
	}
}

// inForce waits until all reachable instances have a configuration version.
func (f *fleet) inForce(ctx context.Context, version uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var g sync.WaitGroup
	errs := make([]error, len(f.list))
	for i, p := range f.list {
		if p.reachable() {
			g.Go(func() {
				errs[i] = p.await(ctx, func(s reporter.Status) bool { return s.Version >= version })
			})
		}
	}
	g.Wait()
	return errors.Join(errs...)
}

// slots sums up the slots of all upstreams as the instances report them.
type slots struct {
	// held are granted, limit is what the instances admit now, busy is in use.
	held, limit, busy int
}

// slots asks all instances that run.
func (f *fleet) slots(ctx context.Context) slots { return f.slotsOf(ctx, "") }

// slotsOf asks the instances that run in a failure domain, or all when it is
// empty.
func (f *fleet) slotsOf(ctx context.Context, domain string) (n slots) {
	for _, p := range f.list {
		if running, _ := p.state(); !running || domain != "" && p.settings.Domain != domain {
			continue
		}
		s, err := p.status(ctx)
		if err != nil {
			continue
		}
		for _, u := range s.Upstreams {
			n.held += u.Slots
			n.limit += u.Limit
			n.busy += u.InFlight
		}
	}
	return n
}

// filled waits until all slots are held or the time is over, and returns how
// many are.
func (f *fleet) filled(ctx context.Context, total int, timeout time.Duration) int {
	end := time.Now().Add(timeout)
	for {
		n := f.slots(ctx).held
		if n >= total || time.Now().After(end) || ctx.Err() != nil {
			return n
		}
		time.Sleep(pollInterval)
	}
}
