package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// crashingRequests is the number of different requests that crash the upstreams that
	// run them.
	crashingRequests = 3
	// crashesKnown is the number of crashes after which a request is known to crash
	// upstreams. From instances in contact, at most crashRetries reach upstreams later
	// than contactTime after that.
	crashesKnown, crashRetries = 3, 3
	// popularRequests is the number of different requests that many callers send.
	popularRequests = 3
	// refusedAsCrashing is in the body of the refusal of a request that crashes upstreams.
	refusedAsCrashing = "quarantined"
)

// isCrashing reports whether a request crashes the upstreams that run it.
func isCrashing(uri string) bool { return strings.Contains(uri, "/crash-") }

// crashingRequest is a request that the n-th sender repeats with the same method, path,
// caller and body.
func crashingRequest(n int) Sent {
	if n%2 == 0 {
		return Sent{Method: http.MethodGet, URI: fmt.Sprintf("/safe/crash-%d?a=%%2F", n)}
	}
	return Sent{Method: http.MethodPost, URI: fmt.Sprintf("/once/crash-%d", n), Body: "the same body", Once: true}
}

// repeat sends one request again and again, in series of a few seconds, until done is
// closed. Each time it takes any of the instances.
func (c *caller) repeat(q Sent, done <-chan struct{}) {
	for {
		pause := time.Duration(2000+c.random.IntN(4000)) * time.Millisecond
		for range 5 + c.random.IntN(30) {
			select {
			case <-done:
				return
			case <-time.After(pause):
			}
			pause = time.Duration(20+c.random.IntN(400)) * time.Millisecond
			s := q
			c.exchange(&s, c.instances[c.random.IntN(len(c.instances))].Front(), "crash")
		}
	}
}

// crash ends an upstream that has begun to run a crashing request. Some seconds later
// another one takes its place.
func (w *World) crash(u *Upstream, uri string) {
	time.Sleep(time.Duration(5+w.number(50)) * time.Millisecond)
	w.mu.Lock()
	if u.stopped() {
		w.mu.Unlock()
		return
	}
	n := slices.Index(w.upstreams, u)
	if n >= 0 {
		w.upstreams = slices.Delete(slices.Clone(w.upstreams), n, n+1)
	}
	w.crashes[uri] = append(w.crashes[uri], time.Now())
	w.mu.Unlock()
	u.Stop(true)
	if n >= 0 {
		go w.replace(u, time.Duration(1000+w.number(2000))*time.Millisecond)
	}
}

// replace starts another upstream in the place of one that has crashed.
func (w *World) replace(u *Upstream, after time.Duration) {
	time.Sleep(after)
	w.store.Delete("servers", u.ID)
	w.mu.Lock()
	closed := w.closed
	w.mu.Unlock()
	if !closed {
		w.note(w.addUpstream(u.Service, u.Domain))
	}
}

// crashFaults join the others if the soak has crashing requests.
var crashFaults = []fault{
	// Requests that many callers send are in progress at several of these upstreams.
	{"upstreams crash together", false, func(ctx context.Context, w *World, d time.Duration) {
		w.mu.Lock()
		var some []*Upstream
		for _, u := range w.upstreams {
			if w.random.IntN(2) == 0 {
				some = append(some, u)
			}
		}
		w.upstreams = slices.DeleteFunc(slices.Clone(w.upstreams), func(u *Upstream) bool { return slices.Contains(some, u) })
		w.mu.Unlock()
		for _, u := range some {
			u.Stop(true)
		}
		sleep(ctx, d/2)
		for _, u := range some {
			w.replace(u, 0)
		}
	}},
}

// crashesContained checks that requests which are known to crash upstreams do not reach
// further ones, and that no other request is taken for such a one.
func (w *World) crashesContained(sent map[string]*Sent) (broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for uri, crashes := range w.crashes {
		if len(crashes) < crashesKnown {
			continue
		}
		slices.SortFunc(crashes, time.Time.Compare)
		n, last := 0, ""
		for _, u := range w.all {
			for _, a := range w.lateArrivals(u, sent, crashes[crashesKnown-1].Add(contactTime)) {
				if sent[a.id].URI == uri {
					n, last = n+1, fmt.Sprintf("%s from %s at %.2f s", a.id, sent[a.id].Instance, a.at.Sub(w.began).Seconds())
				}
			}
		}
		if n > crashRetries {
			broken = append(broken, fmt.Sprintf("crash: %s reached upstreams %d times after its third crash at %.2f s, %d crashed, one of them %s",
				uri, n, crashes[crashesKnown-1].Sub(w.began).Seconds(), len(crashes), last))
		}
	}
	for _, s := range sent {
		if !isCrashing(s.URI) && s.Status == http.StatusServiceUnavailable && strings.Contains(s.Answer, refusedAsCrashing) {
			broken = append(broken, fmt.Sprintf("%s: %s refused at %.2f s as if it crashed upstreams", s.ID, s.URI, s.Start.Sub(w.began).Seconds()))
		}
	}
	return broken
}

// popularRequest returns a request that other callers send too, or nothing for an
// ordinary one.
func popularRequest(r *rand.Rand) (uri string, ok bool) {
	if r.IntN(5) > 0 {
		return "", false
	}
	return fmt.Sprintf("/safe/popular-%d?a=%%2F", r.IntN(popularRequests)), true
}
