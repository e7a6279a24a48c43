// Package submitter writes and reads the numbered tickets and the snapshot in
// the platform's object store.
package submitter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Object is an object in the platform's store.
type Object struct {
	Key string `json:"key"`
	// Version is the store revision of the last write to the object.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Change is the answer to a watch.
type WatchResult struct {
	// Revision is the store revision up to which Objects is complete; the next
	// watch starts after it.
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Store is the platform's object API. Every call ends by the deadline of its
// context. Its errors match ErrAbsent, ErrConflict, ErrUnavailable or ErrUnknown.
type Store interface {
	// Get returns the object, or ErrAbsent.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key has the prefix and sorts after the key
	// after, in order. It may return only the first of them; an empty answer
	// means that there are no more.
	List(ctx context.Context, prefix, after string) ([]Object, error)
	// Create writes an absent object and returns its version. When the object
	// exists, the error is a *Conflict.
	Create(ctx context.Context, key string, value []byte) (version uint64, err error)
	// Update writes an object that has the given version and returns the new
	// one. When the object has another version, the error is a *Conflict; when
	// it is absent, ErrAbsent.
	Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Watch returns the objects with the prefix that were written after the
	// revision, as soon as there are any. At the time until it returns without
	// objects.
	Watch(ctx context.Context, prefix string, after uint64, until time.Time) (WatchResult, error)
}

// Errors of a Store.
var (
	// ErrAbsent: the object does not exist.
	ErrNotFound = errors.New("object is absent")
	// ErrConflict: a condition of the write did not hold; nothing was written.
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable: the store can't be reached or refuses; nothing was written.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrUnknown: the answer was lost; a write may have taken effect, or may
	// still do so.
	ErrUnknownOutcome = errors.New("outcome is unknown")
)

// Conflict is the ErrConflict of a write, with the object that was in its way.
type ConflictError struct {
	Current Object
}

// Error describes the conflict.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("%s has version %d", c.Current.Key, c.Current.Version)
}

// Is matches ErrConflict.
func (c *ConflictError) Is(target error) bool { return target == ErrConflict }
