package generator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// maxInFlight bounds the requests in flight of one load.
const maxInFlight = 20_000

// Flow is the requests of one service from callers of one region.
type Flow struct {
	Service string
	Region  string
	// Rate is in requests per second.
	Rate float64
	// Limit is the time from the due time to Horn-Deadline.
	Limit time.Duration
	// Body is the size of request bodies; 0 sends GET.
	Body int
}

// fill sets method, address and body, and returns the body.
func (f Flow) fill(q *fasthttp.Request, entry, id string) []byte {
	q.SetRequestURI("http://" + entry + "/s/" + f.Service + "/" + id)
	if f.Body == 0 {
		return nil
	}
	q.Header.SetMethod(fasthttp.MethodPost)
	body := make([]byte, f.Body)
	for i := range body {
		body[i] = id[i%len(id)]
	}
	q.SetBody(body)
	return body
}

// Load is open-loop load: requests begin at random times with a given mean
// rate, however long the answers take.
type Load struct {
	Flows []Flow
	// Sources maps a region to the source addresses of its callers. Without
	// any, the region's callers use the system's choice of address.
	Sources map[string][]string
	// Entries are asked for the first look-up.
	Entries []string
	// Block sets ?block= in look-ups to the source address.
	Block bool
	Seed  uint64
	// Prefix begins all request ids.
	Prefix string
	Ledger *Ledger

	// Dropped counts requests that were due while too many were in flight.
	Dropped atomic.Int64
	flying  atomic.Int64
	callers map[string][]*caller
}

// Prepare makes the callers' first look-ups; they are refreshed until the
// context ends.
func (l *Load) Prepare(ctx context.Context) error {
	l.callers = map[string][]*caller{}
	for _, f := range l.Flows {
		if l.callers[f.Region] != nil {
			continue
		}
		for _, source := range l.sources(f.Region) {
			c := l.caller(f.Region, source)
			if err := c.lookup.refresh(ctx); err != nil {
				return fmt.Errorf("caller %s: %w", source, err)
			}
			go c.lookup.follow(ctx)
			l.callers[f.Region] = append(l.callers[f.Region], c)
		}
	}
	return nil
}

// Lookups returns how many look-ups the callers made and how many of them were
// not answered.
func (l *Load) Lookups() (asked, failed int) {
	for _, list := range l.callers {
		for _, c := range list {
			c.lookup.mu.Lock()
			asked += c.lookup.asked
			failed += c.lookup.failed
			c.lookup.mu.Unlock()
		}
	}
	return asked, failed
}

func (l *Load) sources(region string) []string {
	if list := l.Sources[region]; len(list) > 0 {
		return list
	}
	return []string{""}
}

func (l *Load) caller(region, source string) *caller {
	w := newWire(source)
	c := &caller{region: region, wire: w, ledger: l.Ledger}
	c.lookup = &lookup{wire: w, bootup: l.Entries}
	if l.Block {
		c.lookup.block = source
	}
	return c
}

// Run sends until the context ends and returns when all requests have their
// outcome. Requests in flight at the end are not cancelled.
func (l *Load) Run(ctx context.Context) {
	var g sync.WaitGroup
	for i, f := range l.Flows {
		g.Go(func() { l.flow(ctx, f, uint64(i), &g) })
	}
	g.Wait()
	for _, list := range l.callers {
		for _, c := range list {
			c.wire.close()
		}
	}
}

func (l *Load) flow(ctx context.Context, f Flow, stream uint64, g *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(l.Seed, stream))
	callers := l.callers[f.Region]
	rest := context.WithoutCancel(ctx)
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / f.Rate * float64(time.Second)))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		if l.flying.Load() >= maxInFlight {
			l.Dropped.Add(1)
			continue
		}
		l.flying.Add(1)
		id := fmt.Sprintf("%s%s-%s-%d", l.Prefix, f.Service, f.Region, n)
		c, at := callers[random.IntN(len(callers))], due
		g.Go(func() {
			defer l.flying.Add(-1)
			c.do(rest, f, id, at)
		})
	}
}
