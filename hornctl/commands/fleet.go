package commands

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/reporter"
)

const (
	// askTimeout bounds one question to one instance, so that a silent instance
	// doesn't use up the whole command's time.
	askTimeout = 2 * time.Second
	// askLimit is the number of instances that are asked at the same time.
	askLimit = 32
	// pollInterval is the pause between two rounds of questions.
	pollInterval = 200 * time.Millisecond
	maxAnswer    = 64 << 20
)

// fleet is what the instances said about themselves.
type fleet struct {
	// Instances are those that answered, sorted by name.
	Instances []reporter.Status `json:"instances"`
	// Unreachable are the names of those that did not answer, sorted.
	Unreachable []string `json:"unreachable"`
}

// surveyor asks all instances. It remembers their addresses, so that it goes on
// when the instance at the entry address stops.
type surveyor struct {
	addresses []string
}

func newSurveyor(c *cli.Command) (*surveyor, error) {
	entry := c.String("entry")
	if entry == "" {
		return nil, usagef("--entry is missing")
	}
	if _, err := netip.ParseAddrPort(entry); err != nil {
		return nil, usagef("--entry %q is not an ip:port", entry)
	}
	return &surveyor{addresses: []string{entry}}, nil
}

// first returns the status of the first instance that answers.
func (y *surveyor) first(ctx context.Context) (s reporter.Status, err error) {
	for _, address := range y.addresses {
		e := ask(ctx, address, "/status", &s)
		if e == nil {
			return s, nil
		}
		err = cmp.Or(err, e)
	}
	return s, err
}

// survey asks a known instance and then all members that the answers name, until
// there is no new one.
func (y *surveyor) survey(ctx context.Context) (f fleet, err error) {
	first, err := y.first(ctx)
	if err != nil {
		return f, err
	}
	f.Instances = []reporter.Status{first}
	f.Unreachable = []string{}
	seen := map[string]bool{first.Instance.Name: true}
	for fresh := newMembers(seen, first); len(fresh) > 0; {
		answers := askAll(ctx, fresh)
		for i, a := range answers {
			if a == nil {
				f.Unreachable = append(f.Unreachable, fresh[i].Name)
				continue
			}
			f.Instances = append(f.Instances, *a)
		}
		fresh = nil
		for _, s := range f.Instances {
			fresh = append(fresh, newMembers(seen, s)...)
		}
	}
	slices.SortFunc(f.Instances, func(a, b reporter.Status) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	slices.Sort(f.Unreachable)
	y.remember(f)
	return f, nil
}

// remember keeps the entry address first.
func (y *surveyor) remember(f fleet) {
	y.addresses = y.addresses[:1]
	for _, s := range f.Instances {
		if s.Instance.Admin != y.addresses[0] {
			y.addresses = append(y.addresses, s.Instance.Admin)
		}
	}
}

// newMembers returns the members that are not in seen, and adds them to it.
func newMembers(seen map[string]bool, s reporter.Status) (fresh []granter.Member) {
	for _, m := range s.Members {
		if !seen[m.Name] && m.Admin != "" {
			seen[m.Name] = true
			fresh = append(fresh, m)
		}
	}
	return fresh
}

// askAll returns the status of each member, nil for those that don't answer.
func askAll(ctx context.Context, members []granter.Member) []*reporter.Status {
	answers := make([]*reporter.Status, len(members))
	each(len(members), func(i int) {
		var s reporter.Status
		if ask(ctx, members[i].Admin, "/status", &s) == nil {
			answers[i] = &s
		}
	})
	return answers
}

// each calls run for the numbers below n, a bounded number of them at a time.
func each(n int, run func(i int)) {
	var g errgroup.Group
	g.SetLimit(askLimit)
	for i := range n {
		g.Go(func() error {
			run(i)
			return nil
		})
	}
	_ = g.Wait()
}

// clients holds one client for each address, so that following the timeline
// keeps its connections.
var clients sync.Map

func client(address string) *fasthttp.HostClient {
	if c, ok := clients.Load(address); ok {
		return c.(*fasthttp.HostClient)
	}
	c, _ := clients.LoadOrStore(address, &fasthttp.HostClient{
		Addr:                      address,
		DialTimeout:               func(a string, t time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", a, t) },
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxAnswer,
	})
	return c.(*fasthttp.HostClient)
}

// ask reads JSON from an instance's admin address. Its errors match
// errUnreachable.
func ask(ctx context.Context, address, path string, into any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %s: %w", errUnreachable, address, err)
		}
	}()
	deadline := time.Now().Add(askTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := client(address).DoDeadline(request, response, deadline); err != nil {
		client(address).CloseIdleConnections()
		return err
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return fmt.Errorf("status %d", code)
	}
	return json.Unmarshal(response.Body(), into)
}

// pause waits for one poll interval; false means that the time is up.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
