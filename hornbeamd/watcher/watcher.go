// Package watcher follows the objects of one kind in a store: it lists them,
// waits for changes, and starts again where the store's history ends or an
// answer is lost.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/steerer"
)

// ErrHistory means that the store no longer has the changes since a revision.
var ErrCompacted = errors.New("the history since this revision is gone")

// errEra means that the store has come back from a copy, so that revisions no
// longer mean what they did.
var errEra = errors.New("the store has come back from a copy")

// errOld means that an answer is of an earlier era than the one that is known.
var errOld = errors.New("the answer is of an earlier era of the store")

// Page is a part of a list, or what has changed since a revision.
type Page struct {
	Objects []steerer.Object
	// After names the object after which the list goes on; empty at its end.
	Continue string
	// Era and Revision are those of the store that the page belongs to. An Era of
	// 0 is not known.
	Era      uint64
	Revision uint64
}

// Source reads the objects of a kind.
type Source interface {
	// List returns the objects after the named one. A stale list costs less and
	// may be some seconds old.
	List(ctx context.Context, k steerer.Kind, after string, stale bool) (Page, error)
	// Watch returns the changes since a revision. It waits for one until the given
	// time. The error is ErrHistory if the store no longer has them.
	Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (Page, error)
}

const (
	// callTime bounds a call that does not wait.
	callTime = 1500 * time.Millisecond
	// waitSlack is the time that a watch's answer may take after its wait.
	waitSlack = 1500 * time.Millisecond
	// gatherTime is the pause after a change, in which further ones gather, so
	// that a series of changes costs few calls.
	gatherTime = 250 * time.Millisecond
	// Bounds of the pause after a failed call, and the upper one for instances
	// that only stand in for others.
	minPause  = 100 * time.Millisecond
	maxPause  = 400 * time.Millisecond
	rarePause = 1500 * time.Millisecond
)

// Order says what a Watcher has to do.
type Options struct {
	Enabled bool
	// Revision is that from which on changes are wanted; 0 lists all objects.
	Revision uint64
	// Era is the store's era that the revision belongs to; 0 if it is not known.
	Era uint64
	// Wait is how long a call waits for a change.
	PollTimeout time.Duration
	// Once ends the order with a list.
	ListOnly bool
	// Rare makes the pauses after failed calls long.
	SlowRetry bool
	// Confirm makes the next call answer at once, whether there is a change or
	// not.
	Confirm bool
}

// Watcher follows one kind while it is told to. Follow must be called before
// Run does anything.
type Watcher struct {
	Kind   steerer.Kind
	Source Source
	// Emit takes the events. Now gives the time on the clock of the events.
	Emit func(steerer.Event)
	Now  func() int64
	// Guard is shared by the watchers of one store.
	Availability *Availability
	// Lead tries the store while it is away; the others wait for its success.
	Prober bool

	once   sync.Once
	orders chan Options
	order  Options
	// era is the latest era of the store that is known here.
	era uint64
	mu  sync.Mutex
	// end ends the call that is waiting.
	end context.CancelFunc
}

// Guard lets one of several watchers find out whether a store that was lost
// answers again.
type Availability struct{ lost atomic.Bool }

// Follow gives a new order and ends the call that waits under the old one.
func (w *Watcher) Update(o Options) {
	w.init()
	select {
	case <-w.orders:
	default:
	}
	w.orders <- o
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.end != nil {
		w.end()
	}
}

// call returns the context of a call that Follow can end.
func (w *Watcher) call(ctx context.Context, until time.Time) (context.Context, context.CancelFunc) {
	ctx, end := context.WithDeadline(ctx, until)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end = end
	return ctx, end
}

func (w *Watcher) init() { w.once.Do(func() { w.orders = make(chan Options, 1) }) }

// Reset makes Run list all objects again.
func (w *Watcher) Reset() { w.order.Revision = 0 }

// Run follows the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	w.init()
	pause := minPause
	revision := uint64(0)
	// The first list may be stale: the changes since then come with the watch. A
	// stale one whose history is gone would be of no use again, and one of the
	// instances would make a large system seem small.
	stale := w.Kind != steerer.Instances
	for w.next(ctx, &revision) {
		var err error
		if revision > 0 {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx, stale)
		}
		switch {
		case err == nil:
			w.Availability.lost.Store(false)
			pause = minPause
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrCompacted), errors.Is(err, errEra):
			revision, stale = 0, false
			continue
		}
		if errors.Is(err, errOld) {
			stale = false
		}
		w.Availability.lost.Store(true)
		w.Emit(steerer.StoreUnavailable{Now: w.Now(), Kind: w.Kind, Cause: err.Error()})
		pause = w.pause(ctx, pause)
	}
	return nil
}

// next waits until there is something to do. It reports whether the context is
// still in force.
func (w *Watcher) next(ctx context.Context, revision *uint64) bool {
	for {
		orders := w.orders
		if w.order.Enabled {
			select {
			case w.order = <-orders:
			default:
				return ctx.Err() == nil
			}
		} else {
			select {
			case w.order = <-orders:
			case <-ctx.Done():
				return false
			}
		}
		if w.order.Era > w.era {
			w.era, *revision = w.order.Era, 0
		}
		if w.order.Era == w.era || w.order.Era == 0 {
			*revision = max(*revision, w.order.Revision)
		}
	}
}

// pause waits after a failed call and returns the length of the next pause.
func (w *Watcher) pause(ctx context.Context, d time.Duration) time.Duration {
	most := maxPause
	if w.order.SlowRetry {
		most = rarePause
	}
	sleep(ctx, d/2+time.Duration(rand.Int64N(int64(d))))
	if !w.Prober {
		// The lead's success ends the wait; a lead that follows nothing must not
		// hold the others up for long.
		until := time.Now().Add(rarePause)
		for w.Availability.lost.Load() && time.Now().Before(until) && ctx.Err() == nil {
			sleep(ctx, minPause/2)
		}
	}
	return min(2*d, most)
}

func (w *Watcher) list(ctx context.Context, stale bool) (revision uint64, err error) {
	var all []steerer.Object
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, callTime)
		page, err := w.Source.List(call, w.Kind, after, stale)
		cancel()
		if err != nil {
			return 0, err
		}
		switch err := w.turn(page); {
		case errors.Is(err, errOld) && stale:
			// The next list is not stale.
			return 0, errEra
		case errors.Is(err, errOld), err != nil && after != "":
			return 0, err
		}
		if after == "" {
			// Changes that are made between two pages come again with the watch.
			revision = page.Revision
		}
		all = append(all, page.Objects...)
		if after = page.Continue; after == "" {
			break
		}
	}
	if w.order.ListOnly {
		w.order.Enabled = false
	}
	// The next call tells how old a stale list was.
	w.order.Confirm = stale
	w.Emit(steerer.Listed{Now: w.Now(), Kind: w.Kind, Objects: all, Era: w.era, Revision: revision, Stale: stale})
	return revision, nil
}

func (w *Watcher) watch(ctx context.Context, revision uint64) (uint64, error) {
	until := time.Now()
	if !w.order.Confirm {
		until = until.Add(w.order.PollTimeout)
	}
	call, cancel := w.call(ctx, until.Add(waitSlack))
	defer cancel()
	page, err := w.Source.Watch(call, w.Kind, revision, until)
	if errors.Is(call.Err(), context.Canceled) && ctx.Err() == nil {
		// There is a new order.
		return revision, nil
	}
	if err != nil {
		return revision, err
	}
	w.order.Confirm = false
	if err := w.turn(page); err != nil {
		return 0, err
	}
	w.Emit(steerer.Changed{Now: w.Now(), Kind: w.Kind, Objects: page.Objects, Era: w.era, Revision: page.Revision})
	if len(page.Objects) > 0 {
		sleep(ctx, gatherTime)
	}
	return max(revision, page.Revision), nil
}

// turn takes note of a page's era. The error is errEra if it is a new one, errOld if
// a later one is known.
func (w *Watcher) turn(p Page) error {
	switch {
	case p.Era == 0 || p.Era == w.era:
		return nil
	case p.Era < w.era:
		return errOld
	}
	w.era = p.Era
	return errEra
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
