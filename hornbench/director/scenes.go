package director

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/submitter"
)

// Shift and its cap. At the deployments' sizes, the share calls for more than
// the cap, so that the cap is what limits.
const (
	shiftShare = 0.25
	shiftCap   = 60
	// forceBound is the time within which a ticket must be in force on all
	// reachable instances.
	forceBound = 2 * time.Second
	shiftRamp  = 4 * time.Second
	pauseScene = "pause"
	// pauseTime is longer than a lease, so that the slots of a paused instance
	// are with others when it goes on.
	pauseTime = 6 * time.Second
)

// scene is one step of the demo at a time after the beginning of the load.
type scene struct {
	name string
	at   time.Duration
	run  func(context.Context) error
}

// scenes runs the steps. A step that fails is recorded and the others go on.
func (d *Demo) scenes(ctx context.Context) {
	killed, stopped, paused := d.victims()
	began := time.Now()
	var g sync.WaitGroup
	defer g.Wait()
	for _, s := range []scene{
		{"shift", 2 * time.Second, d.shiftLookups},
		{"drain", 5 * time.Second, d.drainUpstream},
		{"race", 8 * time.Second, d.race},
		{"kill", 10 * time.Second, func(context.Context) error { d.kill(killed); return nil }},
		{"kill", 12 * time.Second, func(context.Context) error { d.world.Platform.Remove(killed.settings.Name); return nil }},
		{"kill", 14 * time.Second, func(context.Context) error { return d.restart(killed) }},
		{"silence", 15 * time.Second, d.silence},
		{"stop", 16 * time.Second, func(context.Context) error {
			g.Go(func() { d.note(d.stopAndRestart(stopped)) })
			return nil
		}},
		{pauseScene, 17 * time.Second, func(context.Context) error { d.pause(paused); return nil }},
		{pauseScene, 17*time.Second + pauseTime, func(context.Context) error { d.resume(paused); return nil }},
		{"outage", 25 * time.Second, func(context.Context) error { d.outage(true); return nil }},
		{"outage", 35 * time.Second, func(context.Context) error { d.outage(false); return nil }},
		{"drain", 35500 * time.Millisecond, d.endDrain},
	} {
		if !d.wants(s.name) {
			continue
		}
		select {
		case <-time.After(s.at - time.Since(began)):
		case <-ctx.Done():
			return
		}
		d.note(s.run(ctx))
	}
}

// wants tells whether a step is asked for. A pause is run only by name: the
// callers of a paused instance wait in vain until their deadlines, which hides
// what the other steps do to latency.
func (d *Demo) wants(scene string) bool {
	if len(d.Scenes) == 0 {
		return scene != pauseScene
	}
	return slices.Contains(d.Scenes, scene)
}

// note records a step that failed.
func (d *Demo) note(err error) {
	if err == nil || errors.Is(err, context.Canceled) {
		return
	}
	d.say("failed: %v", err)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = append(d.failed, err.Error())
}

// victims returns three instances of failure domains that have another one, as
// long as there are so many.
func (d *Demo) victims() (killed, stopped, paused *process) {
	var pairs []*process
	domains := map[string]int{}
	for _, p := range d.fleet.list {
		domains[p.settings.Domain]++
		if domains[p.settings.Domain] == 2 {
			pairs = append(pairs, p)
		}
	}
	for i := 0; len(pairs) < 3; i++ {
		pairs = append(pairs, d.fleet.list[i%len(d.fleet.list)])
	}
	return pairs[0], pairs[1], pairs[2]
}

func (d *Demo) shiftLookups(ctx context.Context) error {
	small, _, _ := d.deployment.roles()
	from, to := d.pair()
	// The cap binds from the start that the ticket names, and every instance
	// knows the ticket by then if it is in force in time.
	start := time.Now().Add(forceBound)
	s := loader.Shift{
		From: from, To: to, Share: shiftShare, MaxRate: shiftCap,
		Start: start, Finish: start.Add(shiftRamp),
	}
	d.mu.Lock()
	d.shift = &move{service: small, from: from, to: to, cap: shiftCap, since: start}
	d.mu.Unlock()
	reason := fmt.Sprintf("shift of %s from %s to %s, at most %d/s", small, from, to, shiftCap)
	return d.submit(ctx, reason, map[string]any{loader.KindShift + "/" + small: s})
}

// pair returns the regions of the shift: sofia to varna, akl to wlg.
func (d *Demo) pair() (from, to string) {
	for _, p := range [][2]string{{"sofia", "varna"}, {"akl", "wlg"}} {
		if slices.Contains(d.deployment.Regions, p[0]) && slices.Contains(d.deployment.Regions, p[1]) {
			return p[0], p[1]
		}
	}
	return d.deployment.Regions[0], d.deployment.Regions[1]
}

func (d *Demo) drainUpstream(ctx context.Context) error {
	small, _, _ := d.deployment.roles()
	from, _ := d.pair()
	name := ""
	for n, u := range d.deployment.Upstreams {
		if u.Service == small && d.deployment.Domains[u.Domain].Region == from && (name == "" || n < name) {
			name = n
		}
	}
	d.mu.Lock()
	d.drained = &drained{name: name, at: time.Now()}
	d.mu.Unlock()
	return d.submit(ctx, "drain of "+name, map[string]any{loader.KindDrain + "/upstream/" + name: loader.Drain{Reason: "demo"}})
}

// endDrain takes the drain back; the ticket also shows that configuration moves
// again after the outage.
func (d *Demo) endDrain(ctx context.Context) error {
	if d.drained == nil {
		return nil
	}
	d.drained.until = time.Now()
	return d.submit(ctx, "end of the drain", map[string]any{loader.KindDrain + "/upstream/" + d.drained.name: nil})
}

// race lets two operators submit the same ticket number at the same time.
func (d *Demo) race(ctx context.Context) error {
	number := d.version + 1
	var g sync.WaitGroup
	began := time.Now()
	errs := make([]error, 2)
	for i, headroom := range []float64{0.4, 0.6} {
		t, err := ticket(d.version, fmt.Sprintf("operator%d", i+1), "race", map[string]any{
			loader.KindPolicy + "/main": loader.Policy{Headroom: headroom, Reserve: 0.1},
		})
		if err != nil {
			return err
		}
		g.Go(func() { errs[i] = d.deployment.submit(ctx, t) })
	}
	g.Wait()
	winner := slices.Index(errs, nil) + 1
	var refused *submitter.StaleBaseError
	if winner == 0 || !errors.As(errs[2-winner], &refused) {
		return fmt.Errorf("race for ticket %d: %w", number, errors.Join(errs...))
	}
	d.say("two operators wrote ticket %d, operator%d won, the other was refused", number, winner)
	return d.watchForce(ctx, number, began, "policy by the winner")
}

func (d *Demo) restart(p *process) error {
	if err := d.fleet.start(p); err != nil {
		return err
	}
	d.say("%s restarted", p.settings.Name)
	return nil
}

func (d *Demo) stopAndRestart(p *process) error {
	err := d.quit(p)
	if errors.Is(err, errStays) {
		p.signal(syscall.SIGKILL)
		_ = p.wait(endTimeout)
	}
	return errors.Join(err, d.restart(p))
}

// pause stops a process as a scheduler or a hypervisor would, without its
// knowledge and with requests in flight.
func (d *Demo) pause(p *process) {
	p.signal(syscall.SIGSTOP)
	d.say("%s paused (SIGSTOP) for %v", p.settings.Name, pauseTime)
}

func (d *Demo) resume(p *process) {
	p.signal(syscall.SIGCONT)
	d.say("%s goes on (SIGCONT)", p.settings.Name)
}

// silence makes one established connection silent for good.
func (d *Demo) silence(context.Context) error {
	small, _, _ := d.deployment.roles()
	for _, u := range d.world.Fleet.Match(small + "-*") {
		if d.drained != nil && u.Name == d.drained.name {
			continue
		}
		if u.Silence(1) == 1 {
			d.say("one connection at %s went silent", u.Name)
			return nil
		}
	}
	return errors.New("no connection to silence")
}

func (d *Demo) outage(down bool) {
	f := d.world.Platform.Faults()
	f.Down = down
	d.world.Platform.Set(f)
	if down {
		d.say("platform down for 10 s")
		return
	}
	d.say("platform up again")
}
