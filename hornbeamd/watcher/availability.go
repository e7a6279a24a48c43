package watcher

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// maxUnverifiedPoll is the longest poll timeout of a call whose answer is waited for
	// without checks whether the store still answers.
	maxUnverifiedPoll = time.Second
	// pingInterval is the time between two checks while long polls are pending.
	pingInterval = time.Second
	// pingTimeout bounds one check. A slow store answers within a third of it.
	pingTimeout = time.Second
)

// Availability records whether a store answers and what its era is, for all of its
// watchers. While the store is unavailable, only one of them has to probe it. Once a
// call has failed, or the era has changed, pending long polls may never be answered,
// so the calls are made again.
type Availability struct {
	mu          sync.Mutex
	watchers    []*Watcher
	unavailable bool
	era         uint64
	// interruptAllowedAt is the earliest time at which a failure cancels long polls.
	interruptAllowedAt time.Time
}

// add adds a watcher, unless it has been added before.
func (a *Availability) add(w *Watcher) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.Contains(a.watchers, w) {
		a.watchers = append(a.watchers, w)
	}
}

func (a *Availability) down() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unavailable
}

func (a *Availability) markUp() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unavailable = false
}

// markDown records a failed call. If a store fails some calls only, most failures cancel
// no long polls, which would cost a call each.
func (a *Availability) markDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unavailable = true
	if now := time.Now(); !now.Before(a.interruptAllowedAt) {
		a.interruptAllowedAt = now.Add(pingInterval)
		a.interruptLocked()
	}
}

// observeEra records the era of a response. An era of 0 is unknown.
func (a *Availability) observeEra(era uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if era > a.era {
		a.era = era
		a.interruptLocked()
	}
}

// interruptLocked cancels the pending long polls, which are then made again. The caller
// must hold a.mu.
func (a *Availability) interruptLocked() {
	for _, w := range a.watchers {
		w.interrupt()
	}
}

// ping checks whether the store answers.
func (a *Availability) ping(ctx context.Context, s Source) error {
	call, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	era, err := s.Ping(call)
	if err != nil {
		return err
	}
	a.observeEra(era)
	a.markUp()
	return nil
}

// Run checks the store at intervals while long polls are pending, until ctx is done.
func (a *Availability) Run(ctx context.Context, s Source) error {
	for {
		sleep(ctx, pingInterval)
		if ctx.Err() != nil {
			return nil
		}
		if a.polling() && a.ping(ctx, s) != nil {
			a.markDown()
		}
	}
}

// polling reports whether a watcher has a pending long poll.
func (a *Availability) polling() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.ContainsFunc(a.watchers, (*Watcher).polling)
}
