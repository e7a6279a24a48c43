package watcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// reconnectTime is the time after a fault of the store in which changes must be known
// again.
const reconnectTime = 3 * time.Second

// silentStore is a Source that may take calls without ever answering them.
type silentStore struct {
	mu            sync.Mutex
	era, revision uint64
	// pastRevision is the revision of stale lists.
	pastRevision uint64
	// changedAt is the revision of the latest change of each kind.
	changedAt map[steerer.Kind]uint64
	changed   chan struct{}
	// silent means that calls are not answered, failing that the next call for the kind
	// fails.
	silent  bool
	failing steerer.Kind
	// pingDelay is the time that the store takes to answer a ping.
	pingDelay time.Duration
	// forgotten is closed when the store forgets the calls that wait.
	forgotten chan struct{}
}

func newSilentStore() *silentStore {
	return &silentStore{era: 1, revision: 10, changedAt: map[steerer.Kind]uint64{}, changed: make(chan struct{}), forgotten: make(chan struct{})}
}

func (s *silentStore) set(edit func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	edit()
	close(s.changed)
	s.changed = make(chan struct{})
}

// change writes an object of a kind.
func (s *silentStore) change(k steerer.Kind) {
	s.set(func() {
		s.revision++
		s.changedAt[k] = s.revision
	})
}

// restore takes the store back to an earlier revision. The calls that wait are never
// answered.
func (s *silentStore) restore(revision uint64) {
	s.set(func() {
		s.era++
		s.pastRevision, s.revision, s.changedAt = s.revision, revision, map[steerer.Kind]uint64{}
		close(s.forgotten)
		s.forgotten = make(chan struct{})
	})
}

// accept starts a call. It returns an error if the call is never answered.
func (s *silentStore) accept(ctx context.Context, k steerer.Kind) error {
	s.mu.Lock()
	silent, failing := s.silent, k != "" && s.failing == k
	if failing {
		s.failing = ""
	}
	s.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return ctx.Err()
	case failing:
		return errUnavailable
	}
	return nil
}

// Ping implements Source.
func (s *silentStore) Ping(ctx context.Context) (era uint64, err error) {
	if err := s.accept(ctx, ""); err != nil {
		return 0, err
	}
	sleep(ctx, s.pingDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era, nil
}

// List implements Source.
func (s *silentStore) List(ctx context.Context, k steerer.Kind, _ string, stale bool) (p Page, err error) {
	if err := s.accept(ctx, k); err != nil {
		return p, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale && s.pastRevision > 0 {
		return Page{Era: s.era, Revision: s.pastRevision, Objects: objects("past")}, nil
	}
	return Page{Era: s.era, Revision: s.revision, Objects: s.content(k)}, nil
}

// content returns one object whose name is the revision of the latest change of a kind.
func (s *silentStore) content(k steerer.Kind) []steerer.Object {
	return objects(fmt.Sprint(s.changedAt[k]))
}

// Watch implements Source.
func (s *silentStore) Watch(ctx context.Context, k steerer.Kind, revision uint64, until time.Time) (p Page, err error) {
	if err := s.accept(ctx, k); err != nil {
		return p, err
	}
	s.mu.Lock()
	forgotten := s.forgotten
	s.mu.Unlock()
	for {
		s.mu.Lock()
		p, changed, gone := Page{Era: s.era, Revision: s.revision}, s.changed, revision > s.revision
		if s.changedAt[k] > revision {
			p.Objects = s.content(k)
		}
		s.mu.Unlock()
		select {
		case <-forgotten:
			<-ctx.Done()
			return Page{}, ctx.Err()
		default:
		}
		switch {
		case gone:
			return Page{}, ErrCompacted
		case len(p.Objects) > 0 || !time.Now().Before(until):
			return p, nil
		}
		select {
		case <-changed:
		case <-forgotten:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return Page{}, ctx.Err()
		}
	}
}

// watchedStore runs the watchers of all kinds of an instance that is alone, with long
// polls.
type watchedStore struct {
	*silentStore
	mu sync.Mutex
	// known has the name of the latest object of each kind.
	known map[steerer.Kind]string
	eras  map[steerer.Kind]uint64
}

// watchStore starts the watchers from a known revision, or from nothing if it is 0, and
// calls test a second later.
func watchStore(t *testing.T, revision uint64, prepare func(*silentStore), test func(*is.I, *watchedStore)) {
	watchStoreWith(t, Options{Enabled: true, Revision: revision, Era: min(revision, 1), PollTimeout: 25 * time.Second}, prepare, test)
}

// watchStoreWith does the same with other options.
func watchStoreWith(t *testing.T, o Options, prepare func(*silentStore), test func(*is.I, *watchedStore)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer end()
		w := &watchedStore{silentStore: newSilentStore(), known: map[steerer.Kind]string{}, eras: map[steerer.Kind]uint64{}}
		prepare(w.silentStore)
		guard := &Availability{}
		for _, k := range steerer.Kinds {
			watcher := &Watcher{Kind: k, Source: w.silentStore, Now: func() int64 { return 1 }, Availability: guard, Prober: k == steerer.Instances, Emit: w.emit}
			watcher.Update(o)
			go func() { is.NoErr(watcher.Run(ctx)) }()
		}
		go func() { is.NoErr(guard.Run(ctx, w.silentStore)) }()
		time.Sleep(time.Second)
		test(is, w)
	})
}

func (w *watchedStore) emit(e steerer.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	note := func(k steerer.Kind, all []steerer.Object, era uint64) {
		if len(all) > 0 {
			w.known[k] = all[0].Name
		}
		w.eras[k] = era
	}
	switch e := e.(type) {
	case steerer.Listed:
		note(e.Kind, e.Objects, e.Era)
	case steerer.Changed:
		note(e.Kind, e.Objects, e.Era)
	}
}

// knows reports whether the latest change of a kind is known in the store's era.
func (w *watchedStore) knows(k steerer.Kind) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentStore.mu.Lock()
	defer w.silentStore.mu.Unlock()
	return w.eras[k] == w.era && (w.changedAt[k] == 0 || w.known[k] == w.content(k)[0].Name)
}

// TestWatchSentDuringSilence guards against a configuration that is not in force in
// time because the watch for it was sent while the store took calls without answering
// them, and is waited for until its end.
func TestWatchSentDuringSilence(t *testing.T) {
	for _, silence := range []time.Duration{time.Second, 3 * time.Second, 9 * time.Second} {
		t.Run(silence.String(), func(t *testing.T) {
			watchStore(t, 10, func(*silentStore) {}, func(is *is.I, w *watchedStore) {
				w.change(steerer.Configs)
				time.Sleep(batchDelay / 2) // before the next call
				w.set(func() { w.silent = true })
				time.Sleep(silence)
				w.set(func() { w.silent = false })
				time.Sleep(100 * time.Millisecond)
				w.change(steerer.Configs)
				time.Sleep(reconnectTime - 100*time.Millisecond)
				is.True(w.knows(steerer.Configs))
			})
		})
	}
}

// TestShortPollDuringSilence does the same for a reader of a large system, from which
// the other instances fetch the change. They take up to distributionTime for that.
func TestShortPollDuringSilence(t *testing.T) {
	const distributionTime = 900 * time.Millisecond
	for silence := 500 * time.Millisecond; silence < 3*time.Second; silence += 100 * time.Millisecond {
		t.Run(silence.String(), func(t *testing.T) {
			o := Options{Enabled: true, Revision: 10, Era: 1, PollTimeout: 700 * time.Millisecond}
			watchStoreWith(t, o, func(*silentStore) {}, func(is *is.I, w *watchedStore) {
				w.set(func() { w.silent = true })
				time.Sleep(silence)
				w.set(func() { w.silent = false })
				w.change(steerer.Configs)
				time.Sleep(reconnectTime - distributionTime)
				is.True(w.knows(steerer.Configs))
			})
		})
	}
}

// TestForgottenWatches guards against changes that are not known in time because the
// store has come back from a copy and never answers the watches that waited.
func TestForgottenWatches(t *testing.T) {
	watchStore(t, 10, func(*silentStore) {}, func(is *is.I, w *watchedStore) {
		w.restore(5)
		w.change(steerer.Upstreams)
		time.Sleep(reconnectTime)
		for _, k := range steerer.Kinds {
			is.True(w.knows(k))
		}
	})
}

// TestFailureOfOneWatch guards against a watcher that waits after a single failure
// although the store answers, because the watcher that is to try the store has a call
// that waits.
func TestFailureOfOneWatch(t *testing.T) {
	watchStore(t, 10, func(*silentStore) {}, func(is *is.I, w *watchedStore) {
		w.set(func() { w.failing = steerer.Configs })
		w.change(steerer.Configs)
		time.Sleep(batchDelay + 50*time.Millisecond) // the next call has failed
		w.change(steerer.Configs)
		time.Sleep(500 * time.Millisecond)
		is.True(w.knows(steerer.Configs))
	})
}

// TestStaleListOfRestoredStore guards against an instance that starts after the store
// has come back from a copy, takes the revision of a stale list from before that for
// the store's and misses the changes up to it.
func TestStaleListOfRestoredStore(t *testing.T) {
	prepare := func(s *silentStore) {
		s.revision = 12
		s.restore(10)
		s.change(steerer.Upstreams)
		for range 5 {
			s.change(steerer.Configs)
		}
	}
	watchStore(t, 0, prepare, func(is *is.I, w *watchedStore) {
		is.True(w.knows(steerer.Configs))
		is.True(w.knows(steerer.Upstreams))
	})
}

// TestUpdateDuringPing guards against a long poll with old options because they were
// updated while the store was checked.
func TestUpdateDuringPing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer end()
		s := newSilentStore()
		s.pingDelay = pingTimeout / 2
		known := uint64(0)
		w := &Watcher{Source: s, Now: func() int64 { return 1 }, Availability: &Availability{}, Prober: true, Emit: func(e steerer.Event) {
			if e, ok := e.(steerer.Changed); ok {
				known = e.Revision
			}
		}}
		w.Update(Options{Enabled: true, Revision: 10, Era: 1, PollTimeout: time.Minute})
		go func() { is.NoErr(w.Run(ctx)) }()
		time.Sleep(pingTimeout / 4)
		w.Update(Options{Enabled: true, Revision: 10, Era: 1, PollTimeout: time.Minute, Confirm: true})
		time.Sleep(pingTimeout)
		synctest.Wait()
		is.Equal(known, uint64(10)) // answered at once
	})
}
