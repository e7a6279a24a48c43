package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// longestSilence bounds how long a late caller keeps a connection before it sends its
	// request on it.
	longestSilence = 3 * time.Second
	// The time budget of a late caller's request lies between these.
	shortestBudget, longestBudget = 300 * time.Millisecond, 800 * time.Millisecond
	// lateCallers is the number of late callers for each instance.
	lateCallers = 8
	// lateWork is how long an upstream works on such a request. It is so long that a late
	// request can outlast its instance.
	lateWork = 150 * time.Millisecond
	// shortGrace is the length of a planned stop in seconds, longGrace that if the soak has
	// nothing else: the requests of late callers have to fit in before the exit.
	shortGrace, longGrace = 3, 6
	// budgetSlack is the end of a time budget in which the caller itself may have closed the
	// connection.
	budgetSlack = 50 * time.Millisecond
)

// stopFaults are all that there are if the soak has planned stops. They break no connection
// and no answer of an upstream, so that no request may be cut.
var stopFaults = []fault{
	{"instances stopped together, with a hangup", false, func(ctx context.Context, w *World, d time.Duration) {
		first, count := w.number(len(w.instances)), 1+w.number(len(w.instances)-1)
		var stops sync.WaitGroup
		for n := range count {
			i := w.instances[(first+n)%len(w.instances)]
			stops.Go(func() {
				i.signal(syscall.SIGHUP)
				i.Terminate()
				sleep(ctx, d/4)
				w.note(i.Start())
			})
		}
		stops.Wait()
	}},
	{"configuration moves", false, func(_ context.Context, w *World, _ time.Duration) {
		w.configure(services[w.number(len(services))])
	}},
}

func (w *World) grace() int {
	if w.options.Stops {
		return longGrace
	}
	return shortGrace
}

// latePrefix begins the names of late callers.
const latePrefix = "late"

// lateCaller opens connections to an instance early and sends requests on them late.
type lateCaller struct {
	name     string
	instance *Instance
	journal  *Journal
	random   *rand.Rand
}

// run sends requests until done is closed.
func (c *lateCaller) run(done <-chan struct{}) {
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(c.random.IntN(50)) * time.Millisecond):
		}
		nc, err := net.DialTimeout("tcp", c.instance.Front(), time.Second)
		if err != nil {
			continue
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(longestSilence))))
		c.send(nc, fmt.Sprintf("%s-%d", c.name, n))
		_ = nc.Close()
	}
}

// send sends a request that must not run twice.
func (c *lateCaller) send(nc net.Conn, id string) {
	budget := shortestBudget + time.Duration(c.random.Int64N(int64(longestBudget-shortestBudget)))
	start := time.Now()
	s := &Sent{
		ID: id, Method: http.MethodPost, URI: "/once/" + id, Body: "body of " + id, Once: true,
		Instance: c.instance.Front(), Start: start, Deadline: start.Add(budget),
	}
	c.journal.begin(s)
	_ = nc.SetDeadline(s.Deadline)
	_, err := fmt.Fprintf(nc, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		s.Method, s.URI, host, id, budget.Milliseconds(), len(s.Body), s.Body)
	var res *http.Response
	var body []byte
	if err == nil {
		res, err = http.ReadResponse(bufio.NewReader(nc), nil)
	}
	if err == nil {
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	c.journal.end(s, func() {
		if err != nil {
			s.Err = err.Error()
			return
		}
		s.Status, s.Answer = res.StatusCode, string(body)
		s.Stamp, s.Echo = res.Header.Get("X-Response-Stamp"), res.Header.Get("X-Request-Id")
	})
}

// stopsCutNothing checks that each request that ran was answered, unless its caller gave up.
func (w *World) stopsCutNothing(all []Sent) (broken []string) {
	if !w.options.Stops {
		return nil
	}
	for n := range all {
		s := &all[n]
		runs := w.ledger.Runs(s.ID)
		if s.Status == 0 && len(runs) > 0 && s.End.Before(s.Deadline.Add(-budgetSlack)) {
			broken = append(broken, fmt.Sprintf("%s: ran at %s and was cut after %d ms: %s", s.ID, runs[0].Upstream, s.End.Sub(s.Start).Milliseconds(), s.Err))
		}
	}
	return broken
}
