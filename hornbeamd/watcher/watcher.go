// Package watcher follows the objects of one kind in a store: it lists them,
// waits for changes, and starts again where the store's history ends or an
// answer is lost.
package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"hornbeamstream.example/core/steerer"
)

// ErrHistory means that the store no longer has the changes since a revision.
var ErrHistory = errors.New("the history since this revision is gone")

// Page is a part of a list, or what has changed since a revision.
type Page struct {
	Objects []steerer.Object
	// After names the object after which the list goes on; empty at its end.
	After string
	// Revision is the store's revision that the page belongs to.
	Revision uint64
}

// Source reads the objects of a kind.
type Source interface {
	// List returns the objects after the named one.
	List(ctx context.Context, k steerer.Kind, after string) (Page, error)
	// Watch returns the changes since a revision. It waits for one until the given
	// time. The error is ErrHistory if the store no longer has them.
	Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (Page, error)
}

const (
	// callTime bounds a call that does not wait, waitTime the wait of a watch.
	callTime = 1500 * time.Millisecond
	waitTime = 25 * time.Second
	// waitSlack is the time that a watch's answer may take after its wait.
	waitSlack = 1500 * time.Millisecond
	// gatherTime is the pause after a change, in which further ones gather, so
	// that a series of changes costs few calls.
	gatherTime = 250 * time.Millisecond
	// Bounds of the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// Watcher follows one kind.
type Watcher struct {
	Kind   steerer.Kind
	Source Source
	// Emit takes the events. Now gives the time on the clock of the events.
	Emit func(steerer.Event)
	Now  func() int64
}

// Run follows the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) error {
	pause := minPause
	revision, known := uint64(0), false
	for ctx.Err() == nil {
		var err error
		if known {
			revision, err = w.watch(ctx, revision)
		} else {
			revision, err = w.list(ctx)
		}
		switch {
		case err == nil:
			known, pause = true, minPause
			continue
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, ErrHistory):
			known = false
			continue
		}
		w.Emit(steerer.Lost{Now: w.Now(), Kind: w.Kind, Cause: err.Error()})
		sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(2*pause, maxPause)
	}
	return nil
}

func (w *Watcher) list(ctx context.Context) (revision uint64, err error) {
	var all []steerer.Object
	after := ""
	for {
		call, cancel := context.WithTimeout(ctx, callTime)
		page, err := w.Source.List(call, w.Kind, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if after == "" {
			// Changes that are made between two pages come again with the watch.
			revision = page.Revision
		}
		all = append(all, page.Objects...)
		if after = page.After; after == "" {
			break
		}
	}
	w.Emit(steerer.Listed{Now: w.Now(), Kind: w.Kind, Objects: all})
	return revision, nil
}

func (w *Watcher) watch(ctx context.Context, revision uint64) (uint64, error) {
	until := time.Now().Add(waitTime)
	call, cancel := context.WithDeadline(ctx, until.Add(waitSlack))
	defer cancel()
	page, err := w.Source.Watch(call, w.Kind, revision, until)
	if err != nil {
		return revision, err
	}
	w.Emit(steerer.Changed{Now: w.Now(), Kind: w.Kind, Objects: page.Objects})
	if len(page.Objects) > 0 {
		sleep(ctx, gatherTime)
	}
	return max(revision, page.Revision), nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
