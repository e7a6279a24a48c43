package soaker

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// longPause is the length of a pause that an instance must notice.
	longPause = 2500 * time.Millisecond
	// distantStore is the latency of the store in a soak with pauses. It is the time in which
	// an instance may use what it knew before a pause.
	distantStore = 100 * time.Millisecond
	// movesPerPause is the number of moves of the routes during a pause, moveGap the time
	// between them.
	movesPerPause = 3
	moveGap       = 500 * time.Millisecond
	// moveSlack is the time before the end of a pause in which a move may be missed.
	moveSlack = 100 * time.Millisecond
)

// pauseFaults join the others if the soak has pauses.
var pauseFaults = []fault{
	{"instance paused while routes move", false, func(ctx context.Context, w *World, d time.Duration) {
		i := w.anInstance()
		var moves sync.WaitGroup
		moves.Go(func() {
			for range movesPerPause {
				sleep(ctx, moveGap)
				w.configure(services[w.number(len(services))])
			}
		})
		i.Pause(longPause + d)
		moves.Wait()
	}},
}

// pausesNoticed checks that instances use nothing after a pause that was replaced before its
// end, although time bounds do not hold for them yet.
func (w *World) pausesNoticed(all []Sent) (broken []string) {
	fronts := w.fronts()
	for n := range all {
		s := &all[n]
		i := fronts[s.Instance]
		if i == nil {
			continue
		}
		for _, p := range i.longPauses() {
			if s.Start.Before(p.from) || s.Start.After(p.to.Add(contactTime)) {
				continue
			}
			for _, run := range w.ledger.Runs(s.ID) {
				if run.At.After(p.to) && w.calmSincePause(i, p, run.At) && w.replacedBefore(run.Service, minTime(s.Start, p.to)) {
					broken = append(broken, fmt.Sprintf("%s: ran at %s %.2f s after a pause of its instance, by a configuration from before it", s.ID, run.Service, run.At.Sub(p.to).Seconds()))
				}
			}
		}
	}
	return broken
}

// calmSincePause reports whether nothing but the pause disturbed an instance, its connections
// to the store and the store.
func (w *World) calmSincePause(i *Instance, p span, to time.Time) bool {
	return w.storeStable(p.from, to) && i.undisturbed(p.to.Add(time.Nanosecond), to) && i.proxy.passed(p.from.Add(-contactTime), to)
}

// replacedBefore reports whether routes to a service had moved elsewhere before a time.
func (w *World) replacedBefore(service string, t time.Time) bool {
	last := -1
	for n, m := range w.moves {
		if m.at.Add(moveSlack).Before(t) {
			last = n
		}
	}
	if last < 0 {
		return false
	}
	for _, m := range w.moves[last:] {
		if m.service == service {
			return false
		}
	}
	return true
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
