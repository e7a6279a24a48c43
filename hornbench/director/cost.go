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
	speeds  []generator.Speed
}

// Run measures and prints the speeds and their ratio.
func (c Cost) Run(ctx context.Context, d *Deployment, out io.Writer) error {
	if c.Front == "" {
		stop, err := c.startAll(ctx, d)
		defer stop()
		if err != nil {
			return err
		}
		c.Front = d.Settings[0].Front
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
	sides := []*side{{name: "bare forwarder", address: listen}, {name: "instance", address: c.Front}}
	c.measure(ctx, sides)
	return compare(out, sides)
}

// startAll starts stand-ins and instances and returns how to stop them.
func (c Cost) startAll(ctx context.Context, d *Deployment) (stop func(), err error) {
	demo := NewDemo(d, Options{Binary: c.Binary, Logs: c.Logs, Procs: c.Procs}, io.Discard)
	if err := demo.start(ctx); err != nil {
		return demo.stop, errors.Join(err, demo.tails())
	}
	return demo.stop, nil
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
	ctx, cancel := context.WithTimeout(ctx, endPatience)
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
			speed := generator.Closed{
				Address: s.address, Service: c.Service, Conns: c.Conns, Limit: 2 * time.Second,
				Prefix: "cost" + strconv.FormatInt(time.Now().UnixMicro(), 36) + "-",
			}.Run(ctx, c.Time)
			if round > 0 {
				s.speeds = append(s.speeds, speed)
			}
		}
	}
}

func compare(out io.Writer, sides []*side) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\trequests/s\tp50 us\tp99 us\tbad\t")
	for _, s := range sides {
		for _, v := range s.speeds {
			fmt.Fprintf(t, "%s\t%.0f\t%d\t%d\t%d\t\n", s.name, v.Rate, v.P50.Microseconds(), v.P99.Microseconds(), v.Bad)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range sides {
		if i := slices.IndexFunc(s.speeds, func(v generator.Speed) bool { return v.Bad > 0 }); i >= 0 {
			fmt.Fprintf(out, "! %s: %s\n", s.name, s.speeds[i].Cause)
		}
	}
	bare, instance := sides[0], sides[1]
	ratio := func(of func(generator.Speed) float64) float64 {
		return median(instance.speeds, of) / median(bare.speeds, of)
	}
	_, err := fmt.Fprintf(out, "instance / bare forwarder, medians: requests/s %.2f, p50 %.2f, p99 %.2f\n",
		ratio(func(v generator.Speed) float64 { return v.Rate }),
		ratio(func(v generator.Speed) float64 { return float64(v.P50) }),
		ratio(func(v generator.Speed) float64 { return float64(v.P99) }))
	return err
}

func median(list []generator.Speed, of func(generator.Speed) float64) float64 {
	if len(list) == 0 {
		return 0
	}
	values := make([]float64, len(list))
	for i, v := range list {
		values[i] = of(v)
	}
	slices.Sort(values)
	return values[len(values)/2]
}
