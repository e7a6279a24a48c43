package watcher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// script is a Source with prepared answers. After the last one it blocks
// until the call is canceled.
type scriptedSource struct {
	answers []answer
	calls   []string
}

type answer struct {
	page Page
	err  error
}

func (s *scriptedSource) next(ctx context.Context, call string) (Page, error) {
	s.calls = append(s.calls, call)
	if len(s.answers) == 0 {
		<-ctx.Done()
		return Page{}, ctx.Err()
	}
	a := s.answers[0]
	s.answers = s.answers[1:]
	return a.page, a.err
}

func (s *scriptedSource) List(ctx context.Context, _ steerer.Kind, after string, stale bool) (Page, error) {
	if stale {
		after += " stale"
	}
	return s.next(ctx, strings.TrimSpace("list "+after))
}

func (s *scriptedSource) Watch(ctx context.Context, _ steerer.Kind, revision uint64, _ time.Time) (Page, error) {
	return s.next(ctx, fmt.Sprint("watch ", revision))
}

// Ping implements Source. Pings are not part of the script.
func (s *scriptedSource) Ping(context.Context) (era uint64, err error) { return 0, nil }

func objects(names ...string) (all []steerer.Object) {
	for _, n := range names {
		all = append(all, steerer.Object{Name: n})
	}
	return all
}

var errUnavailable = errors.New("down")

func page(era, revision uint64, after string, all []steerer.Object) Page {
	return Page{Objects: all, Continue: after, Era: era, Revision: revision}
}

// TestWatcher checks the calls and events for prepared answers of a store.
func TestWatcher(t *testing.T) {
	tests := []struct {
		name    string
		options Options
		answers []answer
		calls   string
		events  string
	}{
		{
			"lists all pages and watches from the first one's revision",
			Options{Enabled: true, PollTimeout: time.Second},
			[]answer{{page(0, 5, "a", objects("a")), nil}, {page(0, 7, "", objects("b")), nil}, {page(0, 9, "", objects("c")), nil}},
			"[list  stale list a stale watch 5 watch 9]",
			"[listed a b at 5 changed c at 9]",
		},
		{
			"watches from the oldest page",
			Options{Enabled: true, PollTimeout: time.Second},
			[]answer{{page(0, 9, "a", objects("a")), nil}, {page(0, 7, "", objects("b")), nil}, {page(0, 9, "", nil), nil}},
			"[list  stale list a stale watch 7 watch 9]",
			"[listed a b at 7 changed at 9]",
		},
		{
			"starts from a known revision",
			Options{Enabled: true, Revision: 4, PollTimeout: time.Second},
			[]answer{{page(0, 6, "", nil), nil}},
			"[watch 4 watch 6]", "[changed at 6]",
		},
		{
			"goes on after failures without losing its place",
			Options{Enabled: true, Revision: 4, PollTimeout: time.Second},
			[]answer{{Page{}, errUnavailable}, {Page{}, errUnavailable}, {page(0, 6, "", objects("a")), nil}},
			"[watch 4 watch 4 watch 4 watch 6]", "[lost lost changed a at 6]",
		},
		{
			"lists again when the history is gone",
			Options{Enabled: true, Revision: 4, PollTimeout: time.Second},
			[]answer{{Page{}, ErrCompacted}, {page(0, 8, "", objects("a")), nil}},
			"[watch 4 list watch 8]", "[listed a at 8]",
		},
		{
			"lists after a pause when the changes are too large",
			Options{Enabled: true, Revision: 4, PollTimeout: time.Second},
			[]answer{{Page{}, ErrTooLarge}, {page(0, 8, "", objects("a")), nil}},
			"[watch 4 list watch 8]", "[lost listed a at 8]",
		},
		{
			"lists again when the store has come back from a copy",
			Options{Enabled: true, Revision: 9, Era: 1, PollTimeout: time.Second},
			[]answer{{page(1, 9, "", nil), nil}, {page(2, 9, "", objects("b")), nil}, {page(2, 7, "", objects("a")), nil}},
			"[watch 9 watch 9 list watch 7]", "[changed at 9 listed a at 7 in era 2]",
		},
		{
			"begins a list again when the store comes back between two pages",
			Options{Enabled: true, Revision: 4, Era: 1, PollTimeout: time.Second},
			[]answer{{Page{}, ErrCompacted}, {page(1, 9, "a", objects("a")), nil}, {page(2, 5, "", objects("b")), nil}, {page(2, 6, "", objects("c")), nil}},
			"[watch 4 list list a list watch 6]", "[listed c at 6 in era 2]",
		},
		{
			"does not use a stale list of a store that may have come back from a copy",
			Options{Enabled: true, PollTimeout: time.Second},
			[]answer{{page(1, 9, "", objects("a")), nil}, {page(1, 8, "", objects("b")), nil}},
			"[list  stale list watch 8]", "[listed b at 8]",
		},
		{
			"does not take a stale list of an earlier era",
			Options{Enabled: true, Era: 2, PollTimeout: time.Second},
			[]answer{{page(1, 9, "", objects("a")), nil}, {page(2, 6, "", objects("b")), nil}},
			"[list  stale list watch 6]", "[listed b at 6 in era 2]",
		},
		{
			"does not go on from a revision of an earlier era",
			Options{Enabled: true, Revision: 9, Era: 2, PollTimeout: time.Second},
			[]answer{{page(1, 9, "", nil), nil}, {page(2, 6, "", objects("b")), nil}},
			"[watch 9 list watch 6]", "[lost listed b at 6 in era 2]",
		},
		{
			"lists once",
			Options{Enabled: true, PollTimeout: time.Second, ListOnly: true},
			[]answer{{page(0, 5, "", objects("a")), nil}},
			"[list  stale]", "[listed a at 5]",
		},
		{"does nothing while disabled", Options{}, nil, "[]", "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, end := context.WithCancel(context.Background())
				s := &scriptedSource{answers: tt.answers}
				var events []string
				w := &Watcher{
					Source: s, Now: func() int64 { return 1 }, Availability: &Availability{}, Prober: true,
					Emit: func(e steerer.Event) { events = append(events, describe(e)) },
				}
				if tt.options.Enabled {
					w.Update(tt.options)
				}
				go func() { is.NoErr(w.Run(ctx)) }()
				time.Sleep(time.Second)
				end()
				synctest.Wait()
				is.Equal(fmt.Sprint(s.calls), tt.calls)
				is.Equal(fmt.Sprint(events), tt.events)
			})
		})
	}
}

func describe(e steerer.Event) string {
	text := ""
	var all []steerer.Object
	era, revision := uint64(0), uint64(0)
	switch e := e.(type) {
	case steerer.Listed:
		text, all, era, revision = "listed", e.Objects, e.Era, e.Revision
	case steerer.Changed:
		text, all, era, revision = "changed", e.Objects, e.Era, e.Revision
	case steerer.StoreUnavailable:
		return "lost"
	}
	for _, o := range all {
		text += " " + o.Name
	}
	text = fmt.Sprint(text, " at ", revision)
	if era > 1 {
		text += fmt.Sprint(" in era ", era)
	}
	return text
}

// TestUpdateCancelsCall updates the options during a pending watch call.
func TestUpdateCancelsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(context.Background())
		s := &scriptedSource{}
		lost := false
		w := &Watcher{Source: s, Now: func() int64 { return 1 }, Availability: &Availability{}, Emit: func(steerer.Event) { lost = true }}
		w.Update(Options{Enabled: true, Revision: 3, PollTimeout: time.Minute})
		go func() { is.NoErr(w.Run(ctx)) }()
		time.Sleep(time.Second)
		w.Update(Options{})
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(len(s.calls), 1) // no call while disabled
		w.Update(Options{Enabled: true, Revision: 8, PollTimeout: time.Minute})
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(fmt.Sprint(s.calls), "[watch 3 watch 8]")
		is.True(!lost)
		end()
		synctest.Wait()
	})
}

// TestOnlyProberCallsUnavailableStore guards against all watchers of a store
// retrying while it is unavailable.
func TestOnlyProberCallsUnavailableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, end := context.WithCancel(context.Background())
		guard := &Availability{}
		down := make([]answer, 1000)
		for i := range down {
			down[i].err = errUnavailable
		}
		var sources []*scriptedSource
		for n := range 4 {
			s := &scriptedSource{answers: append([]answer(nil), down...)}
			sources = append(sources, s)
			w := &Watcher{Source: s, Now: func() int64 { return 1 }, Availability: guard, Prober: n == 0, Emit: func(steerer.Event) {}}
			w.Update(Options{Enabled: true, Revision: 3, PollTimeout: time.Second})
			go func() { is.NoErr(w.Run(ctx)) }()
		}
		time.Sleep(6 * time.Second)
		end()
		synctest.Wait()
		is.True(len(sources[0].calls) >= 9) // the prober notices recovery within half a second
		for _, s := range sources[1:] {
			is.True(len(s.calls) <= 5) // the others wait for the prober
		}
	})
}
