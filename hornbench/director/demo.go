package director

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"hornbeamstream.example/hornbench/generator"
)

// Times and sizes of the demo. All of it ends within a minute.
const (
	demoLimit    = 58 * time.Second
	readyTimeout = 12 * time.Second
	grantTimeout = 8 * time.Second
	forceTimeout = 8 * time.Second
	stopTimeout  = 14 * time.Second
	loadTime     = 38 * time.Second
	demoSeed     = 20
	// listLag is the age of the platform's instance list.
	listLag = time.Second
)

// Options of the demo.
type Options struct {
	// Binary is the path of hornbeamd, Logs the directory for its output.
	Binary string
	Logs   string
	// Procs bounds the threads of each instance; 0 stands for 3.
	Procs int
	// Factor multiplies service times, Share is the load as a share of slots.
	Factor float64
	Share  float64
	// Scenes are the names of the steps to run; none stands for all.
	Scenes []string
	// Causes prints how often tries failed for which cause.
	Causes bool
}

// Demo is one run of the demo.
type Demo struct {
	Options
	deployment *Deployment
	out        io.Writer
	began      time.Time
	world      *World
	fleet      *fleet
	load       *generator.Load

	mu      sync.Mutex
	version uint64
	force   time.Duration
	stops   []stop
	shift   *move
	drained *drained
	// restarted counts the instances that a rolling restart has renewed.
	restarted int
	// failed are the steps that did not do what they should.
	failed []string
}

// drained is the upstream that the demo drains.
type drained struct {
	name string
	// at is the time of the ticket, until that of its end or zero.
	at, until time.Time
}

// NewDemo returns a demo of a deployment that reports to out.
func NewDemo(d *Deployment, o Options, out io.Writer) *Demo {
	if o.Procs == 0 {
		o.Procs = demoProcs
	}
	return &Demo{Options: o, deployment: d, out: out}
}

// plan is what a run does under load.
type plan struct {
	// limit bounds the whole run, load the time of the load.
	limit, load time.Duration
	steps       func(context.Context)
	// whole ends the load when the steps have ended, and not before.
	whole bool
}

// Run runs the demo and prints its result. Everything that it started has ended
// when it returns. The error tells of violations and of steps that failed.
func (d *Demo) Run(ctx context.Context) error {
	return d.run(ctx, plan{limit: demoLimit, load: loadTime, steps: d.scenes}, func(r *Result) any { return r })
}

// run runs a plan. line makes the last line of the output from the result.
func (d *Demo) run(ctx context.Context, p plan, line func(*Result) any) (err error) {
	ctx, cancel := context.WithTimeout(ctx, p.limit)
	defer cancel()
	d.began = time.Now()
	if err := d.start(ctx); err != nil {
		return d.fail(ctx, err)
	}
	from := time.Now()
	requests, err := d.drive(ctx, p)
	to := time.Now()
	if err != nil {
		return d.fail(ctx, err)
	}
	d.settle(ctx)
	d.stop()
	r := d.result(requests, from, to)
	if d.Causes {
		if err := generator.Causes(d.out, requests); err != nil {
			return err
		}
	}
	if err := r.print(d.out); err != nil {
		return err
	}
	if err := json.NewEncoder(d.out).Encode(line(r)); err != nil {
		return err
	}
	return r.verdict()
}

// say prints a line of progress.
func (d *Demo) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.out, "%5.1fs  %s\n", time.Since(d.began).Seconds(), fmt.Sprintf(format, args...))
}

// start brings everything up to the first configuration in force.
func (d *Demo) start(ctx context.Context) (err error) {
	if d.world, err = NewWorld(d.deployment, d.Factor); err != nil {
		return err
	}
	f := d.world.Platform.Faults()
	f.Lag = listLag.Milliseconds()
	d.world.Platform.Set(f)
	d.fleet = newFleet(d.deployment, d.Options)
	if err := d.fleet.startAll(); err != nil {
		return err
	}
	d.say("%s: platform, %d upstreams and %d instances started", d.deployment.Name, len(d.deployment.Upstreams), len(d.fleet.list))
	if err := d.deployment.first(ctx); err != nil {
		return err
	}
	submitted := time.Now()
	if err := d.fleet.inForce(ctx, 1, readyTimeout); err != nil {
		return fmt.Errorf("first ticket: %w", err)
	}
	d.version = 1
	d.say("ticket 1 in force on all instances after %v", time.Since(submitted).Round(time.Millisecond))
	total := 0
	for name := range d.deployment.Services {
		total += d.deployment.Slots(name)
	}
	d.say("%d of %d slots held", d.fleet.filled(ctx, total, grantTimeout), total)
	return nil
}

// drive runs load and steps, and returns the requests.
func (d *Demo) drive(ctx context.Context, p plan) ([]generator.Request, error) {
	l, err := d.deployment.NewLoad(d.deployment.Offer(d.Share, d.Factor), "", demoSeed)
	if err != nil {
		return nil, err
	}
	d.load = l
	base, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := l.Prepare(base); err != nil {
		return nil, err
	}
	d.say("load at %.0f%% of all slots begins", d.Share*100)
	var g sync.WaitGroup
	run, stop := context.WithTimeout(base, p.load)
	defer stop()
	g.Go(func() {
		p.steps(base)
		if p.whole {
			stop()
		}
	})
	g.Go(func() { d.pulse(base) })
	l.Run(run)
	d.say("load ended, %d requests", len(l.Ledger.Requests()))
	cancel()
	g.Wait()
	return l.Ledger.Requests(), ctx.Err()
}

// pulseInterval is the time between two lines about the load.
const pulseInterval = 4 * time.Second

// pulse prints how the load fares.
func (d *Demo) pulse(ctx context.Context) {
	t := time.NewTicker(pulseInterval)
	defer t.Stop()
	seen := 0
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		list := d.load.Ledger.Requests()[seen:]
		seen += len(list)
		n := generator.Outcomes(list)
		h := generator.Latency(list, func(generator.Request) bool { return true })
		v := d.fleet.slots(ctx)
		d.say("%.0f/s: ok %d, notrun %d, unknown %d, wrong %d; p50 %.0f ms, p99 %.0f ms; slots held %d, admitted %d, busy %d",
			float64(len(list))/pulseInterval.Seconds(), n[generator.OK], n[generator.NotRun], n[generator.Unknown], n[generator.Wrong],
			float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
			v.held, v.limit, v.busy)
	}
}

// settle waits until the upstreams have ended all runs, so that the ledger is
// complete.
func (d *Demo) settle(ctx context.Context) {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(pollInterval) {
		busy := 0
		for _, u := range d.world.Fleet.Match("*") {
			busy += u.Busy()
		}
		if busy == 0 {
			return
		}
	}
}

func (d *Demo) stop() {
	if d.fleet != nil {
		d.fleet.stopAll()
	}
	if d.world != nil {
		d.world.Close()
	}
	http.DefaultClient.CloseIdleConnections()
}

// fail stops everything and adds the logs to the error, unless the demo was
// interrupted.
func (d *Demo) fail(ctx context.Context, err error) error {
	interrupted := ctx.Err() != nil
	d.stop()
	if interrupted {
		return err
	}
	return errors.Join(err, d.tails())
}

// tailBytes is how much of each log is shown after a failed start.
const tailBytes = 600

// tails returns the ends of the logs of instances that failed.
func (d *Demo) tails() error {
	var list []error
	if d.fleet == nil {
		return nil
	}
	for _, p := range d.fleet.list {
		b, err := os.ReadFile(d.fleet.log(p))
		if err != nil || len(b) == 0 {
			continue
		}
		list = append(list, fmt.Errorf("log of %s: %s", p.settings.Name, b[max(0, len(b)-tailBytes):]))
		if len(list) == 2 {
			break
		}
	}
	return errors.Join(list...)
}

// submit writes the next ticket and waits until it is in force.
func (d *Demo) submit(ctx context.Context, reason string, objects map[string]any) error {
	t, err := ticket(d.version, "demo", reason, objects)
	if err != nil {
		return err
	}
	began := time.Now()
	if err := d.deployment.submit(ctx, t); err != nil {
		return err
	}
	return d.watchForce(ctx, d.version+1, began, reason)
}

func (d *Demo) watchForce(ctx context.Context, number uint64, began time.Time, reason string) error {
	d.version = number
	err := d.fleet.inForce(ctx, number, forceTimeout)
	took := time.Since(began)
	d.mu.Lock()
	d.force = max(d.force, took)
	d.mu.Unlock()
	if err != nil {
		return fmt.Errorf("ticket %d: %w", number, err)
	}
	d.say("ticket %d (%s) in force on all reachable instances after %v", number, reason, took.Round(time.Millisecond))
	return nil
}

// kill ends an instance without notice. The platform notices later.
func (d *Demo) kill(p *process) {
	p.signal(syscall.SIGKILL)
	_ = p.wait(endTimeout)
	d.say("%s killed", p.settings.Name)
}

// quit stops an instance in the planned way and waits for its exit.
func (d *Demo) quit(p *process) error {
	s := stop{entry: p.settings.Front, from: time.Now()}
	d.say("%s asked to stop (SIGTERM)", p.settings.Name)
	p.signal(syscall.SIGTERM)
	err := p.wait(stopTimeout)
	s.to = time.Now()
	d.mu.Lock()
	d.stops = append(d.stops, s)
	d.mu.Unlock()
	if err != nil {
		return fmt.Errorf("planned stop of %s: %w", p.settings.Name, err)
	}
	d.say("%s exited with 0 after %v", p.settings.Name, s.to.Sub(s.from).Round(time.Millisecond))
	return nil
}

// Small returns the service that is neither bulk nor once.
func (d *Deployment) Small() string {
	small, _, _ := d.roles()
	return small
}

// roles sorts the services by their part in the demo.
func (d *Deployment) roles() (small, once, bulk string) {
	for name, s := range d.Services {
		switch {
		case s.Bulk:
			bulk = name
		case s.Once:
			once = name
		default:
			small = name
		}
	}
	return small, once, bulk
}
