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
	"hornbeamstream.example/core/screener"
)

const (
	// requestTimeout limits one request to one instance, so that an unresponsive
	// instance doesn't use up the command's --timeout.
	requestTimeout = 2 * time.Second
	// maxConcurrentRequests limits the requests to instances in flight.
	maxConcurrentRequests = 32
	// pollInterval is the pause between two polls of all instances.
	pollInterval = 200 * time.Millisecond
	// maxResponseBytes limits the response body of one instance.
	maxResponseBytes = 64 << 20
)

// fleet is the status of all instances.
type fleet struct {
	// Instances has the statuses of those that responded, sorted by name.
	Instances []reporter.Status `json:"instances"`
	// Unreachable has the sorted names of those that did not respond.
	Unreachable []string `json:"unreachable"`
}

// fleetClient discovers all instances and fetches their status. It keeps their
// addresses, so that it continues to work if the instance at the entry address
// stops.
type fleetClient struct {
	// addresses has admin addresses, the entry address first.
	addresses []string
}

func newFleetClient(c *cli.Command) (*fleetClient, error) {
	entry := c.String("entry")
	if entry == "" {
		return nil, usagef("--entry is missing")
	}
	if _, err := netip.ParseAddrPort(entry); err != nil {
		return nil, usagef("--entry %q is not an ip:port", entry)
	}
	return &fleetClient{addresses: []string{entry}}, nil
}

// firstStatus returns the status of the first instance that responds.
func (fc *fleetClient) firstStatus(ctx context.Context) (s reporter.Status, err error) {
	for _, address := range fc.addresses {
		e := getJSON(ctx, address, "/status", &s)
		if e == nil {
			return s, nil
		}
		err = cmp.Or(err, e)
	}
	return s, err
}

// discover fetches the status of a known instance, then of all members in the
// responses, until no response has a new member.
func (fc *fleetClient) discover(ctx context.Context) (f fleet, err error) {
	first, err := fc.firstStatus(ctx)
	if err != nil {
		return f, err
	}
	f.Instances = []reporter.Status{first}
	f.Unreachable = []string{}
	seen := map[string]bool{first.Instance.Name: true}
	for unseen := unseenMembers(seen, first); len(unseen) > 0; {
		statuses := getStatuses(ctx, unseen)
		for i, status := range statuses {
			if status == nil {
				f.Unreachable = append(f.Unreachable, unseen[i].Name)
				continue
			}
			f.Instances = append(f.Instances, *status)
		}
		unseen = nil
		for _, s := range f.Instances {
			unseen = append(unseen, unseenMembers(seen, s)...)
		}
	}
	slices.SortFunc(f.Instances, func(a, b reporter.Status) int { return cmp.Compare(a.Instance.Name, b.Instance.Name) })
	slices.Sort(f.Unreachable)
	fc.updateAddresses(f)
	return f, nil
}

// updateAddresses keeps the entry address and replaces the others by the
// addresses of the instances in f.
func (fc *fleetClient) updateAddresses(f fleet) {
	fc.addresses = fc.addresses[:1]
	for _, s := range f.Instances {
		if s.Instance.Admin != fc.addresses[0] {
			fc.addresses = append(fc.addresses, s.Instance.Admin)
		}
	}
}

// unseenMembers returns the members with an admin address that are not in seen,
// and adds them to it.
func unseenMembers(seen map[string]bool, s reporter.Status) (unseen []granter.Member) {
	for _, m := range s.Members {
		if !seen[m.Name] && m.Admin != "" {
			seen[m.Name] = true
			unseen = append(unseen, m)
		}
	}
	return unseen
}

// getStatuses returns the status of each member, nil for those that don't respond.
func getStatuses(ctx context.Context, members []granter.Member) []*reporter.Status {
	statuses := make([]*reporter.Status, len(members))
	forEachConcurrently(len(members), func(i int) {
		var s reporter.Status
		if getJSON(ctx, members[i].Admin, "/status", &s) == nil {
			statuses[i] = &s
		}
	})
	return statuses
}

// forEachConcurrently calls run for 0 to n-1, with at most maxConcurrentRequests
// calls at a time, and waits for all of them.
func forEachConcurrently(n int, run func(i int)) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentRequests)
	for i := range n {
		g.Go(func() error {
			run(i)
			return nil
		})
	}
	_ = g.Wait()
}

// hostClients holds a client for each address, so that timeline --follow reuses
// its connections.
var hostClients sync.Map

func hostClient(address string) *fasthttp.HostClient {
	if c, ok := hostClients.Load(address); ok {
		return c.(*fasthttp.HostClient)
	}
	c, _ := hostClients.LoadOrStore(address, &fasthttp.HostClient{
		Addr:                      address,
		DialTimeout:               func(a string, t time.Duration) (net.Conn, error) { return screener.Dial(net.Dialer{Timeout: t}, a) },
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxResponseBytes,
	})
	return c.(*fasthttp.HostClient)
}

// getJSON fetches a path from an instance's admin address and decodes the JSON
// response into v. Its errors match errUnreachable.
func getJSON(ctx context.Context, address, path string, v any) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %s: %w", errUnreachable, address, err)
		}
	}()
	deadline := time.Now().Add(requestTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	if err := hostClient(address).DoDeadline(request, response, deadline); err != nil {
		hostClient(address).CloseIdleConnections()
		return err
	}
	if code := response.StatusCode(); code != fasthttp.StatusOK {
		return fmt.Errorf("status %d", code)
	}
	return json.Unmarshal(response.Body(), v)
}

// waitPollInterval waits for pollInterval. It returns false if ctx is done first.
func waitPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
