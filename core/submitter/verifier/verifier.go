// Package verifier holds the contract test of submitter.Store, for use by the
// tests of each implementation.
package verifier

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/submitter"
)

const callTimeout = 5 * time.Second

// Verify runs the contract test. fresh returns a reachable, empty store.
func Verify(t *testing.T, fresh func(t *testing.T) submitter.Store) {
	tests := []struct {
		name string
		run  func(ctx context.Context, is *is.I, s submitter.Store)
	}{
		{"absent", absent},
		{"create", create},
		{"update", update},
		{"list", list},
		{"watch", watch},
		{"cancel", cancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			tt.run(ctx, is.New(t), fresh(t))
		})
	}
}

func absent(ctx context.Context, is *is.I, s submitter.Store) {
	_, err := s.Get(ctx, "a/1")
	is.True(errors.Is(err, submitter.ErrNotFound))
	_, err = s.Update(ctx, "a/1", 1, []byte(`1`))
	is.True(errors.Is(err, submitter.ErrNotFound))
}

func create(ctx context.Context, is *is.I, s submitter.Store) {
	version, err := s.Create(ctx, "a/1", []byte(`{"n":1}`))
	is.NoErr(err)
	is.True(version > 0)
	_, err = s.Create(ctx, "a/1", []byte(`{"n":2}`))
	is.True(errors.Is(err, submitter.ErrConflict))
	conflict := (*submitter.ConflictError)(nil)
	is.True(errors.As(err, &conflict))
	o, err := s.Get(ctx, "a/1")
	is.NoErr(err)
	is.Equal(o, conflict.Current)
	is.Equal(string(o.Value), `{"n":1}`)
	is.Equal(o.Version, version)
}

func update(ctx context.Context, is *is.I, s submitter.Store) {
	first, err := s.Create(ctx, "a/1", []byte(`1`))
	is.NoErr(err)
	second, err := s.Update(ctx, "a/1", first, []byte(`2`))
	is.NoErr(err)
	is.True(second > first)
	_, err = s.Update(ctx, "a/1", first, []byte(`3`))
	conflict := (*submitter.ConflictError)(nil)
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, submitter.Object{Key: "a/1", Version: second, Value: []byte(`2`)})
}

func list(ctx context.Context, is *is.I, s submitter.Store) {
	const count = 7
	for i := range count {
		_, err := s.Create(ctx, fmt.Sprintf("a/%d", i), []byte(`0`))
		is.NoErr(err)
	}
	_, err := s.Create(ctx, "b/0", []byte(`0`))
	is.NoErr(err)
	after, found := "a/1", 2
	for {
		page, err := s.List(ctx, "a/", after)
		is.NoErr(err)
		if len(page) == 0 {
			break
		}
		for _, o := range page {
			is.Equal(o.Key, fmt.Sprintf("a/%d", found))
			after = o.Key
			found++
		}
	}
	is.Equal(found, count)
}

func watch(ctx context.Context, is *is.I, s submitter.Store) {
	_, err := s.Create(ctx, "a/1", []byte(`1`))
	is.NoErr(err)
	change, err := s.Watch(ctx, "a/", 0, time.Now().Add(callTimeout/2))
	is.NoErr(err)
	is.Equal(len(change.Objects), 1)
	quiet, err := s.Watch(ctx, "a/", change.Revision, time.Now())
	is.NoErr(err)
	is.Equal(len(quiet.Objects), 0)
	type result struct {
		submitter.WatchResult
		error
	}
	done := make(chan result, 1)
	go func() {
		c, err := s.Watch(ctx, "a/", change.Revision, time.Now().Add(callTimeout/2))
		done <- result{c, err}
	}()
	_, err = s.Create(ctx, "b/1", []byte(`1`))
	is.NoErr(err)
	_, err = s.Create(ctx, "a/2", []byte(`2`))
	is.NoErr(err)
	woken := <-done
	is.NoErr(woken.error)
	is.Equal(len(woken.Objects), 1)
	is.Equal(woken.Objects[0].Key, "a/2")
}

func cancelled(ctx context.Context, is *is.I, s submitter.Store) {
	ctx, cancel := context.WithCancel(ctx)
	cancel()
	_, err := s.Create(ctx, "a/1", []byte(`1`))
	is.True(errors.Is(err, submitter.ErrUnavailable))
	_, err = s.Get(ctx, "a/1")
	is.True(errors.Is(err, submitter.ErrUnavailable))
	_, err = s.Watch(ctx, "a/", 0, time.Now().Add(callTimeout))
	is.True(errors.Is(err, submitter.ErrUnavailable))
}
