package emulator

import (
	"net/http"
	"strconv"
	"time"
)

// begin takes a slot for the request or returns the reason of a refusal.
func (u *Upstream) begin(r *http.Request, c *conn, id string) (f *flight, p plan, reason string) {
	now := time.Now()
	deadline := deadline(r)
	u.mu.Lock()
	defer u.mu.Unlock()
	defer func() {
		if reason != "" {
			u.count.Refused[reason]++
		}
	}()
	if !deadline.IsZero() && !now.Before(deadline) {
		return nil, plan{leaving: u.behavior.Leaving}, RefusedDeadline
	}
	p = u.behavior.plan(u.random)
	if p.shed {
		return nil, p, RefusedShed
	}
	if len(u.flights) >= u.behavior.Slots {
		u.sweep(now)
	}
	u.count.Most = max(u.count.Most, len(u.flights)+1)
	if len(u.flights) >= u.behavior.Slots {
		u.count.Over++
		return nil, p, RefusedFull
	}
	f = &flight{conn: c, run: Run{
		ID: id, Service: u.Service, Upstream: u.Name, Region: u.Region,
		Block: r.Header.Get("Horn-Block"), Start: now, Deadline: deadline,
	}}
	u.flights[f] = true
	u.count.Runs++
	return f, p, ""
}

// sweep frees the slots of requests whose connection the caller has closed
// already. Without it, a request that follows a cancellation at once could find
// the slot taken only because the server has not yet run the handler's end.
func (u *Upstream) sweep(now time.Time) {
	for f := range u.flights {
		if f.conn == nil {
			continue
		}
		if open, _ := Open(f.conn.Conn); !open {
			u.leave(f, Cancelled, now)
		}
	}
}

func (u *Upstream) end(f *flight, state string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leave(f, state, time.Now())
}

// leave frees the slot once and writes the ledger.
func (u *Upstream) leave(f *flight, state string, now time.Time) {
	if !u.flights[f] {
		return
	}
	delete(u.flights, f)
	u.previous = f.run.ID
	f.run.End, f.run.State = now, state
	u.ledger.add(f.run)
}

// probe answers the health endpoint.
func (u *Upstream) probe(w http.ResponseWriter, r *http.Request) {
	b := u.Behavior()
	pause(r, milliseconds(b.Probe))
	if b.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	h := u.report(time.Now())
	if h.State == Leaving {
		w.Header().Set("Horn-State", Leaving)
	}
	reply(w, http.StatusOK, h)
}

// report returns the health answer, which is as old as the lag allows.
func (u *Upstream) report(now time.Time) Health {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.count.Probes++
	b := &u.behavior
	if b.Lie != nil {
		return *b.Lie
	}
	if now.Sub(u.healthAt) >= time.Duration(b.Lag)*time.Millisecond {
		busy := len(u.flights)
		u.health = Health{State: b.state(), Slots: b.Slots, Busy: busy, Load: float64(busy) / float64(max(1, b.Slots))}
		u.healthAt = now
	}
	return u.health
}

// deadline reads Horn-Deadline; without it the zero time is returned.
func deadline(r *http.Request) time.Time {
	ms, err := strconv.ParseInt(r.Header.Get("Horn-Deadline"), 10, 64)
	if err != nil {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
