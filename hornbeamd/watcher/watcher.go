// Package watcher lists the objects of one kind in a store and watches them for
// changes. It lists them again if the store has compacted its history, and
// retries failed calls.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"hornbeamstream.example/core/steerer"
)

// ErrCompacted reports that the store no longer has the changes since a revision.
var ErrCompacted = errors.New("the history since this revision is gone")

// ErrTooLarge reports that the answer of the store has more bytes than can be held.
var ErrTooLarge = errors.New("the answer of the store is too large")

// errEraChanged reports that the store was restored from a backup, which makes known
// revisions invalid.
var errEraChanged = errors.New("the store has come back from a copy")

// errStaleEra reports that a response is from an earlier era than the known one.
var errStaleEra = errors.New("the answer is of an earlier era of the store")

// errInterrupted reports that a watch call was canceled, or not made, because it has to
// be made with other options or over another connection.
var errInterrupted = errors.New("the call was interrupted")

// Page is one page of a list, or the changes since a revision.
type Page struct {
	Objects []steerer.Object
	// Continue is the name after which the next page starts; empty on the last
	// page.
	Continue string
	// Era and Revision are those of the store at the time of the page. An Era of
	// 0 is unknown.
	Era      uint64
	Revision uint64
}

// Source reads the objects of a kind.
type Source interface {
	// List returns the objects after the named one. A stale list costs less and
	// may be some seconds old.
	List(ctx context.Context, k steerer.Kind, after string, stale bool) (Page, error)
	// Watch returns the changes since a revision. It waits for a change until the
	// given time. It returns ErrCompacted if the store no longer has them.
	Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (Page, error)
	// Ping returns the store's era, or 0 if that is unknown, with a call that is cheap
	// and answered at once.
	Ping(ctx context.Context) (era uint64, err error)
}

const (
	// listTimeout bounds one call of Source.List.
	listTimeout = 1500 * time.Millisecond
	// watchTimeoutMargin is added to the poll timeout for the response to arrive.
	watchTimeoutMargin = time.Second
	// batchDelay is the delay after a change. Further changes arrive in one batch,
	// so that a series of changes costs few calls.
	batchDelay = 250 * time.Millisecond
	// Bounds of the backoff after a failed call. slowMaxBackoff applies instead of
	// maxBackoff with Options.SlowRetry.
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 400 * time.Millisecond
	slowMaxBackoff = 1500 * time.Millisecond
)

// Options control a Watcher.
type Options struct {
	Enabled bool
	// Revision is the revision to watch from; 0 lists all objects.
	Revision uint64
	// Era is the store's era that the revision belongs to; 0 if unknown.
	Era uint64
	// PollTimeout is how long one call waits for a change.
	PollTimeout time.Duration
	// ListOnly stops after one list.
	ListOnly bool
	// SlowRetry makes the backoff after failed calls long.
	SlowRetry bool
	// Confirm makes the next call return at once, with or without changes.
	Confirm bool
}

// Watcher watches the objects of one kind while Options.Enabled is set. Run
// does nothing until Update is called.
type Watcher struct {
	Kind   steerer.Kind
	Source Source
	// Emit receives the events. Now returns the time for their timestamps.
	Emit func(steerer.Event)
	Now  func() int64
	// Availability is shared by the watchers of one store.
	Availability *Availability
	// Prober makes this watcher retry an unavailable store; the others wait until
	// its call succeeds.
	Prober bool

	initOnce sync.Once
	updates  chan Options
	options  Options
	// era is the latest known era of the store.
	era uint64
	// askedAt is when the latest list or watch was called.
	askedAt int64
	mu      sync.Mutex
	// cancelCall cancels the pending watch call, which is a long poll if longPoll is
	// set.
	cancelCall context.CancelFunc
	longPoll   bool
}

// Update replaces the options and cancels the pending watch call.
func (w *Watcher) Update(o Options) {
	w.init()
	select {
	case <-w.updates:
	default:
	}
	w.updates <- o
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelCall != nil {
		w.cancelCall()
	}
}

// interrupt cancels the pending watch call if it is a long poll.
func (w *Watcher) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longPoll {
		w.cancelCall()
	}
}

// polling reports whether a long poll is pending.
func (w *Watcher) polling() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longPoll
}

// startCall returns the context of a watch call, which Update can cancel, and the
// function that ends it.
func (w *Watcher) startCall(ctx context.Context, until time.Time, longPoll bool) (context.Context, func()) {
	ctx, cancel := context.WithDeadline(ctx, until)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelCall, w.longPoll = cancel, longPoll
	return ctx, func() {
		cancel()
		w.mu.Lock()
		defer w.mu.Unlock()
		w.longPoll = false
	}
}

func (w *Watcher) init() { w.initOnce.Do(func() { w.updates = make(chan Options, 1) }) }

// Reset makes Run list all objects again.
func (w *Watcher) Reset() { w.options.Revision = 0 }

// Run lists and watches the objects until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	w.Availability.add(w)
	pause := minBackoff
	revision := uint64(0)
	// The first list may be stale: the changes since then come with the watch. After
	// ErrCompacted, another stale list could fail the same way. A stale list of the
	// instances would make a large cluster seem small.
	stale := w.Kind != steerer.Instances
	for w.waitEnabled(ctx, &revision) {
		var err error
		w.askedAt = w.Now()
		if revision > 0 {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx, stale)
		}
		switch {
		case err == nil:
			w.Availability.markUp()
			pause = minBackoff
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, errInterrupted):
			continue
		case errors.Is(err, ErrCompacted), errors.Is(err, errEraChanged):
			revision, stale = 0, false
			continue
		}
		switch {
		case errors.Is(err, errStaleEra):
			stale = false
		case errors.Is(err, ErrTooLarge):
			// Pages of a list are smaller than a series of changes may be.
			revision, stale = 0, false
		}
		// The next answer, which ends the outage, comes at once.
		w.options.Confirm = true
		w.Availability.markDown()
		w.Emit(steerer.StoreUnavailable{Now: w.Now(), AskedAt: w.askedAt, Kind: w.Kind, Cause: err.Error()})
		pause = w.backOff(ctx, pause)
	}
	return nil
}

// waitEnabled applies updates and waits until the watcher is enabled. It reports
// false if ctx is done.
func (w *Watcher) waitEnabled(ctx context.Context, revision *uint64) bool {
	for {
		updates := w.updates
		if w.options.Enabled {
			select {
			case w.options = <-updates:
			default:
				return ctx.Err() == nil
			}
		} else {
			select {
			case w.options = <-updates:
			case <-ctx.Done():
				return false
			}
		}
		if w.options.Era > w.era {
			w.era, *revision = w.options.Era, 0
		}
		if w.options.Era == w.era || w.options.Era == 0 {
			*revision = max(*revision, w.options.Revision)
		}
	}
}

// backOff sleeps for about d with jitter and returns the next backoff.
func (w *Watcher) backOff(ctx context.Context, d time.Duration) time.Duration {
	most := maxBackoff
	if w.options.SlowRetry {
		most = slowMaxBackoff
	}
	sleep(ctx, d/2+time.Duration(rand.Int64N(int64(d))))
	if !w.Prober {
		// The prober's success ends the wait. The wait is bounded, because a
		// disabled prober must not block the others.
		until := time.Now().Add(slowMaxBackoff)
		for w.Availability.down() && time.Now().Before(until) && ctx.Err() == nil {
			sleep(ctx, minBackoff/2)
		}
	}
	return min(2*d, most)
}

func (w *Watcher) list(ctx context.Context, stale bool) (revision uint64, err error) {
	var all []steerer.Object
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		page, err := w.Source.List(call, w.Kind, after, stale)
		cancel()
		if err != nil {
			return 0, err
		}
		switch err := w.checkEra(page); {
		case stale && page.Era != 0:
			// The store may have been restored since the time of the list. It would then
			// issue the list's revision again, for other changes. The next list is not
			// stale.
			return 0, errEraChanged
		case errors.Is(err, errStaleEra), err != nil && after != "":
			return 0, err
		}
		if after == "" || page.Revision < revision {
			// The watch repeats changes made between two pages. A later page of a stale
			// list may be older than the first.
			revision = page.Revision
		}
		all = append(all, page.Objects...)
		if after = page.Continue; after == "" {
			break
		}
	}
	if w.options.ListOnly {
		w.options.Enabled = false
	}
	// An immediate watch call shows how old a stale list is.
	w.options.Confirm = stale
	w.Emit(steerer.Listed{Now: w.Now(), AskedAt: w.askedAt, Kind: w.Kind, Objects: all, Era: w.era, Revision: revision, Stale: stale})
	return revision, nil
}

func (w *Watcher) watch(ctx context.Context, revision uint64) (uint64, error) {
	longPoll := !w.options.Confirm && w.options.PollTimeout > maxUnverifiedPoll
	if longPoll {
		// Otherwise only the end of the poll would show that the store has not taken the
		// call.
		if err := w.Availability.ping(ctx, w.Source); err != nil {
			return revision, err
		}
	}
	until := time.Now()
	if !w.options.Confirm {
		until = until.Add(w.options.PollTimeout)
	}
	call, end := w.startCall(ctx, until.Add(watchTimeoutMargin), longPoll)
	defer end()
	if len(w.updates) > 0 {
		// They came during the ping.
		return revision, errInterrupted
	}
	page, err := w.Source.Watch(call, w.Kind, revision, until)
	if errors.Is(call.Err(), context.Canceled) && ctx.Err() == nil {
		return revision, errInterrupted
	}
	if err != nil {
		return revision, err
	}
	w.options.Confirm = false
	if err := w.checkEra(page); err != nil {
		return 0, err
	}
	w.Emit(steerer.Changed{Now: w.Now(), AskedAt: w.askedAt, Kind: w.Kind, Objects: page.Objects, Era: w.era, Revision: page.Revision})
	if len(page.Objects) > 0 {
		sleep(ctx, batchDelay)
	}
	return max(revision, page.Revision), nil
}

// checkEra records the era of a page. It returns errEraChanged for a new era and
// errStaleEra for an earlier one than the known era.
func (w *Watcher) checkEra(p Page) error {
	switch {
	case p.Era == 0 || p.Era == w.era:
		return nil
	case p.Era < w.era:
		return errStaleEra
	}
	w.era = p.Era
	w.Availability.observeEra(p.Era)
	return errEraChanged
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
