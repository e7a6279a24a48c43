package director

import (
	"context"
	"fmt"
	"sync"
	"time"

	"hornbeamstream.example/core/reporter"
)

const (
	// rollingLimit bounds a whole rolling restart, rollingLoad its load.
	rollingLimit = 150 * time.Second
	rollingLoad  = 120 * time.Second
	// rollingWidth is the number of instances that are restarted at a time.
	rollingWidth = 2
	// slotsTimeout is how long the slots of a restarted instance's failure
	// domain may take to be held again.
	slotsTimeout = 20 * time.Second
)

// RollingResult is the last line of a rolling restart. Slowest is the longest
// planned stop in milliseconds.
type RollingResult struct {
	*Result
	Restarted int   `json:"restarted"`
	Slowest   int64 `json:"slowest"`
}

// Rolling starts the deployment, restarts all instances under load and prints
// the result. The error tells of violations and of restarts that failed.
func (d *Demo) Rolling(ctx context.Context) error {
	return d.run(ctx, plan{limit: rollingLimit, load: rollingLoad, steps: d.roll, whole: true}, func(r *Result) any {
		return RollingResult{Result: r, Restarted: d.restarted, Slowest: slowest(d.stops)}
	})
}

func slowest(stops []stop) (ms int64) {
	for _, s := range stops {
		ms = max(ms, s.to.Sub(s.from).Milliseconds())
	}
	return ms
}

// roll restarts all instances, at most rollingWidth at a time.
func (d *Demo) roll(ctx context.Context) {
	q := newQueue(d.fleet.list)
	var g sync.WaitGroup
	for range rollingWidth {
		g.Go(func() {
			for p := q.next(); p != nil; p = q.next() {
				d.renew(ctx, p)
				q.done(p)
			}
		})
	}
	g.Wait()
	if all := len(d.fleet.list); d.restarted < all {
		d.note(fmt.Errorf("%d of %d instances restarted", d.restarted, all))
	}
}

// renew restarts one instance and waits until its failure domain is whole.
func (d *Demo) renew(ctx context.Context, p *process) {
	if ctx.Err() != nil {
		return
	}
	err := d.stopAndRestart(p)
	if err == nil {
		err = d.rejoined(ctx, p)
	}
	if err != nil {
		d.note(fmt.Errorf("restart of %s: %w", p.settings.Name, err))
		return
	}
	d.mu.Lock()
	d.restarted++
	d.mu.Unlock()
}

// rejoined waits until an instance has the newest configuration and all slots
// of its failure domain are held.
func (d *Demo) rejoined(ctx context.Context, p *process) error {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, slotsTimeout)
	defer cancel()
	if err := p.await(ctx, func(s reporter.Status) bool { return s.Version >= d.version }); err != nil {
		return err
	}
	domain := p.settings.Domain
	total := d.deployment.domainSlots(domain)
	for {
		held := d.fleet.slotsOf(ctx, domain).held
		if held >= total {
			break
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%d of %d slots of %s held: %w", held, total, domain, ctx.Err())
		}
	}
	d.say("%s at version %d, all %d slots of %s held after %v", p.settings.Name, d.version, total, domain, time.Since(began).Round(time.Millisecond))
	return nil
}

// domainSlots returns the slots of all upstreams of a failure domain.
func (d *Deployment) domainSlots(domain string) (n int) {
	for _, u := range d.Upstreams {
		if u.Domain == domain {
			n += u.Slots
		}
	}
	return n
}

// queue hands out instances such that those being restarted at the same time
// are in different failure domains, and at most one of them is alone in its own:
// a second failure domain without any instance would take more slots out of
// service than the load leaves free.
type queue struct {
	mu      sync.Mutex
	changed *sync.Cond
	waiting []*process
	// size is the number of instances of each failure domain.
	size map[string]int
	busy map[string]bool
}

func newQueue(list []*process) *queue {
	q := &queue{size: map[string]int{}, busy: map[string]bool{}}
	q.changed = sync.NewCond(&q.mu)
	for _, p := range list {
		q.waiting = append(q.waiting, p)
		q.size[p.settings.Domain]++
	}
	return q
}

// next returns an instance that may be restarted now, and nil when none waits.
func (q *queue) next() *process {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		for i, p := range q.waiting {
			if q.allowed(p.settings.Domain) {
				q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
				q.busy[p.settings.Domain] = true
				return p
			}
		}
		q.changed.Wait()
	}
	return nil
}

func (q *queue) allowed(domain string) bool {
	for other := range q.busy {
		if other == domain || q.size[other] == 1 && q.size[domain] == 1 {
			return false
		}
	}
	return true
}

// done makes room for the next instance.
func (q *queue) done(p *process) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.busy, p.settings.Domain)
	q.changed.Broadcast()
}
