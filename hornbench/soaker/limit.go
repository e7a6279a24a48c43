package soaker

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	// In each limitWindow, instances that have been told of an upstream's limit may send
	// it limitFactor times what the limit allows, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitToldTime is the time from which on an instance that has passed on the limit
	// counts.
	limitToldTime = 500 * time.Millisecond
	// maxLimit bounds the limits in requests per second.
	maxLimit = 8
)

// limitPeriod is a time in which an upstream states one limit in all answers.
type limitPeriod struct {
	span
	perSecond float64
	// answers has the requests whose answers stated the limit.
	answers map[string]bool
}

// LimitTo lets the upstream state a limit from now on, or none if it is 0.
func (u *Upstream) LimitTo(perSecond float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n := len(u.limits); n > 0 && u.limits[n-1].to.IsZero() {
		u.limits[n-1].to = time.Now()
	}
	if perSecond > 0 {
		u.limits = append(u.limits, limitPeriod{span{from: time.Now()}, perSecond, map[string]bool{}})
	}
}

// stateLimit writes the limit into an answer's head. The upstream is locked.
func (u *Upstream) stateLimit(w http.ResponseWriter, id string) {
	if n := len(u.limits); n > 0 && u.limits[n-1].to.IsZero() {
		w.Header().Set("Server-Limit", strconv.FormatFloat(u.limits[n-1].perSecond, 'f', 2, 64))
		u.limits[n-1].answers[id] = true
	}
}

// limitsKept checks that the instances that have been told of a limit keep it together.
// An instance counts from the first answer on that stated a limit in the same run of
// periods, unless it was disturbed since. The upstream is locked.
func (u *Upstream) limitsKept(sent map[string]*Sent, fronts map[string]*Instance) (broken []string) {
	for first := 0; first < len(u.limits); {
		last := first
		for last+1 < len(u.limits) && u.limits[last+1].from.Sub(u.limits[last].to) < time.Millisecond {
			last++
		}
		broken = append(broken, u.periodsKept(u.limits[first:last+1], sent, fronts)...)
		first = last + 1
	}
	return broken
}

// periodsKept checks periods that follow each other without a gap. The highest of their
// limits counts.
func (u *Upstream) periodsKept(periods []limitPeriod, sent map[string]*Sent, fronts map[string]*Instance) (broken []string) {
	from, to, limit := periods[0].from, periods[len(periods)-1].to, 0.0
	if to.IsZero() {
		to = time.Now()
	}
	told := map[string]time.Time{}
	for _, p := range periods {
		limit = max(limit, p.perSecond)
		for id := range p.answers {
			s := sent[id]
			if s == nil || s.Status != http.StatusOK {
				continue
			}
			if at, ok := told[s.Instance]; !ok || s.End.Before(at) {
				told[s.Instance] = s.End
			}
		}
	}
	var counted []time.Time
	for _, a := range u.arrivals {
		s := sent[a.id]
		if s == nil || a.at.Before(from.Add(contactTime)) || a.at.After(to) {
			continue
		}
		at, ok := told[s.Instance]
		if ok && a.at.After(at.Add(limitToldTime)) && fronts[s.Instance].undisturbed(from, a.at) {
			counted = append(counted, a.at)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	if allowed := limitFactor*limit*limitWindow.Seconds() + limitSlack; float64(most) > allowed {
		broken = append(broken, fmt.Sprintf("%s: %d requests within %v from instances that knew its limit of %.1f a second, %.0f are allowed", u.ID, most, limitWindow, limit, allowed))
	}
	return broken
}

// limitFaults join the others if the soak has them.
var limitFaults = []fault{
	{"upstream limits its rate", false, func(ctx context.Context, w *World, d time.Duration) {
		limitAll(ctx, w, []*Upstream{w.anUpstream()}, 4*d)
	}},
	{"upstreams of a service limit their rates", false, func(ctx context.Context, w *World, d time.Duration) {
		service := services[w.number(len(services))]
		w.mu.Lock()
		var some []*Upstream
		for _, u := range w.upstreams {
			if u.Service == service {
				some = append(some, u)
			}
		}
		w.mu.Unlock()
		if len(some) == 0 {
			// All have crashed.
			return
		}
		limitAll(ctx, w, some[:1+w.number(len(some))], 4*d)
	}},
}

// limitAll lets upstreams limit their rates for some time. They change the limit after
// half of it.
func limitAll(ctx context.Context, w *World, some []*Upstream, d time.Duration) {
	for range 2 {
		for _, u := range some {
			u.LimitTo(0.2 + float64(w.number(maxLimit*100))/100)
		}
		sleep(ctx, d/2)
	}
	for _, u := range some {
		u.LimitTo(0)
	}
}
