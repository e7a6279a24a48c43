package director

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"syscall"
	"text/tabwriter"
	"time"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/hornbench/generator"
)

// Cost compares an instance with the bare forwarder in one run.
type Cost struct {
	// Front is the instance's address for callers. Without it, the stand-ins
	// and all instances of the deployment are started, with service times 0.
	Front   string
	Binary  string
	Logs    string
	Service string
	// Upstreams are those of the bare forwarder; without any, it gets those of
	// the entry's failure domain.
	Upstreams []string
	Conns     int
	Rounds    int
	// Procs bounds the threads of the forwarder and of the instances, so that
	// they and not the load are what limits the rate.
	Procs int
	// Time is that of one measurement.
	Time time.Duration
}

// side is one of the two ways that are compared.
type side struct {
	name    string
	address string
	// pid is 0 for an instance that was not started here.
	pid    int
	speeds []speed
}

// speed is one measurement. CPU is the process's CPU time for one request, which
// depends less than the rate on what else the machine does; 0 if unknown.
type speed struct {
	generator.Speed
	cpu time.Duration
}

// Run measures and prints the speeds and their ratio.
func (c Cost) Run(ctx context.Context, d *Deployment, out io.Writer) error {
	pid := 0
	if c.Front == "" {
		demo, err := c.startAll(ctx, d)
		defer demo.stop()
		if err != nil {
			return err
		}
		c.Front = d.Settings[0].Front
		pid = demo.fleet.list[0].cmd.Process.Pid
	}
	if len(c.Upstreams) == 0 {
		c.Upstreams = d.neighbours(c.Front, c.Service)
	}
	listen := d.beside(forwardPort)
	forwarder, err := startForwarder(listen, c.Upstreams, c.Procs)
	if err != nil {
		return err
	}
	defer func() {
		_ = forwarder.Process.Signal(syscall.SIGTERM)
		_ = forwarder.Wait()
	}()
	if err := dialable(ctx, listen); err != nil {
		return err
	}
	sides := []*side{
		{name: "bare forwarder", address: listen, pid: forwarder.Process.Pid},
		{name: "instance", address: c.Front, pid: pid},
	}
	c.measure(ctx, sides)
	return compare(out, sides)
}

// startAll starts stand-ins and instances, which the caller stops.
func (c Cost) startAll(ctx context.Context, d *Deployment) (*Demo, error) {
	demo := NewDemo(d, Options{Binary: c.Binary, Logs: c.Logs, Procs: c.Procs}, io.Discard)
	if err := demo.start(ctx); err != nil {
		return demo, errors.Join(err, demo.tails())
	}
	return demo, nil
}

// neighbours returns the addresses of a service's upstreams in the failure
// domain of an entry.
func (d *Deployment) neighbours(front, service string) (list []string) {
	i := slices.IndexFunc(d.Settings, func(s loader.Settings) bool { return s.Front == front })
	for _, u := range d.Upstreams {
		if u.Service == service && (i < 0 || u.Domain == d.Settings[i].Domain) {
			list = append(list, u.Address)
		}
	}
	slices.Sort(list)
	return list
}

func startForwarder(listen string, upstreams []string, procs int) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	args := []string{"forward", "--listen", listen}
	for _, u := range upstreams {
		args = append(args, "--upstream", u)
	}
	c := exec.Command(self, args...)
	c.Stderr = os.Stderr
	c.Env = environment(procs)
	return c, newStarter().start(c)
}

// dialable waits until something listens at an address.
func dialable(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for {
		c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err == nil {
			return c.Close()
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// measure alternates between the sides, so that both meet the same machine. The
// first round warms up and is not counted.
func (c Cost) measure(ctx context.Context, sides []*side) {
	for round := 0; round <= c.Rounds && ctx.Err() == nil; round++ {
		for _, s := range sides {
			v := c.once(ctx, s)
			if round > 0 {
				s.speeds = append(s.speeds, v)
			}
		}
	}
}

// once measures one side for the given time.
func (c Cost) once(ctx context.Context, s *side) speed {
	before, err := cpuTime(s.pid)
	v := speed{Speed: generator.Closed{
		Address: s.address, Service: c.Service, Conns: c.Conns, Limit: 2 * time.Second,
		Prefix: "cost" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-",
	}.Run(ctx, c.Time)}
	after, err2 := cpuTime(s.pid)
	if n := v.Rate * c.Time.Seconds(); err == nil && err2 == nil && n >= 1 {
		v.cpu = time.Duration(float64(after-before) / n)
	}
	return v
}

func compare(out io.Writer, sides []*side) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\trequests/s\tp50 us\tp99 us\tCPU us\tbad\t")
	for _, s := range sides {
		for _, v := range s.speeds {
			fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%.1f\t%d\t\n", s.name, v.Rate, v.P50.Microseconds(), v.P99.Microseconds(), float64(v.cpu)/float64(time.Microsecond), v.Bad)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range sides {
		if i := slices.IndexFunc(s.speeds, func(v speed) bool { return v.Bad > 0 }); i >= 0 {
			fmt.Fprintf(out, "! %s: %s\n", s.name, s.speeds[i].Cause)
		}
	}
	ratio := func(of func(speed) float64) float64 {
		return ratio(sides[1].speeds, sides[0].speeds, of)
	}
	_, err := fmt.Fprintf(out, "instance / bare forwarder, medians of the rounds: requests/s %.2f, p50 %.2f, p99 %.2f, CPU %.2f\n",
		ratio(func(v speed) float64 { return v.Rate }),
		ratio(func(v speed) float64 { return float64(v.P50) }),
		ratio(func(v speed) float64 { return float64(v.P99) }),
		ratio(func(v speed) float64 { return float64(v.cpu) }))
	return err
}

// ratio returns the median of the ratios of rounds. What else the machine does
// changes between rounds more than within one.
func ratio(a, b []speed, of func(speed) float64) float64 {
	var values []float64
	for i := range min(len(a), len(b)) {
		if of(b[i]) > 0 {
			values = append(values, of(a[i])/of(b[i]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}
