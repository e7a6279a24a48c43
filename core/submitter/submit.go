package submitter

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"strings"
	"time"

	"hornbeamstream.example/core/loader"
)

// Result is the account of an accepted ticket.
type Result struct {
	// Ticket is the ticket as it is stored.
	Ticket loader.Ticket
	// State is the state after it.
	State loader.State
}

// Refused is the error for a ticket whose base is no longer the newest version.
type StaleBaseError struct {
	// Ticket is the refused ticket.
	Ticket loader.Ticket
	// Winner is the ticket that has its number.
	Winner loader.Ticket
	// Version is the newest version that was seen.
	Version uint64
	// Changed are the keys of the objects that changed since the base, sorted.
	ChangedKeys []string
}

// Error names the winner and what changed.
func (r *StaleBaseError) Error() string {
	return fmt.Sprintf("ticket %d was refused: %s was first; version is %d now; changed since %d: %s",
		r.Ticket.Number, r.Winner.Author, r.Version, r.Ticket.Base, strings.Join(r.ChangedKeys, ", "))
}

// Unresolved is the ErrUnknown of a ticket whose answer was lost and which could
// not be read back in time. Submitting the same ticket with the same nonce again
// is safe.
type UnknownOutcomeError struct {
	Number uint64
	Nonce  string
	// Cause is the last error.
	Cause error
}

// Error tells how to find out.
func (u *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("ticket %d with nonce %s may have been accepted: %v", u.Number, u.Nonce, u.Cause)
}

// Is matches ErrUnknown.
func (u *UnknownOutcomeError) Is(target error) bool { return target == ErrUnknownOutcome }

// Submit writes ticket t, whose number is its base plus one. It fills in the
// number, and the nonce and the time when they are missing. Nothing is written
// when the ticket doesn't pass the checks (*loader.Rejected), when its base is
// not the newest version (*Refused, or *loader.Gap when the base is ahead), or
// when the platform can't be reached (ErrUnavailable). A lost answer is resolved
// by reading the ticket back until ctx ends; after that the error is
// *Unresolved. A ticket that was stored before with the same nonce is accepted.
func Submit(ctx context.Context, store Store, t loader.Ticket) (r Result, err error) {
	defer annotate(&err, "submit ticket")
	t = prepare(t)
	value, err := loader.EncodeTicket(t)
	if err != nil {
		return r, err
	}
	s, _, err := Load(ctx, store)
	if err != nil {
		return r, err
	}
	if s.Version < t.Base {
		return r, &loader.GapError{Version: s.Version, Number: t.Number}
	}
	if s.Version == t.Base {
		if r.State, err = s.Apply(t); err != nil {
			return r, err
		}
	}
	// Create also tells whether a ticket that is there already is this one.
	if err := create(ctx, store, t, value); err != nil {
		return Result{}, explain(ctx, store, t, err)
	}
	r.Ticket = t
	if s.Version > t.Base {
		r.State, _, err = Load(ctx, store)
	}
	return r, err
}

func prepare(t loader.Ticket) loader.Ticket {
	t.Number = t.Base + 1
	if t.Nonce == "" {
		t.Nonce = rand.Text()
	}
	if t.Time.IsZero() {
		t.Time = time.Now().UTC().Truncate(time.Millisecond)
	}
	return t
}

// create writes the ticket. After a lost answer it reads the ticket back; an
// absent ticket is written again, which is safe because of the nonce even if the
// first write takes effect late.
func create(ctx context.Context, store Store, t loader.Ticket, value []byte) error {
	key, lost := loader.TicketKey(t.Number), false
	for wait := newBackoff(); ; {
		_, err := store.Create(ctx, key, value)
		if c := (*ConflictError)(nil); errors.As(err, &c) {
			return owned(t, c.Current)
		}
		// A conflict that doesn't show the object is resolved like a lost answer.
		lost = lost || errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrConflict)
		if err == nil || !lost {
			return err
		}
		o, err := readBack(ctx, store, key, wait, err)
		if err == nil {
			return owned(t, o)
		}
		if !errors.Is(err, ErrNotFound) || wait.sleep(ctx) != nil {
			return &UnknownOutcomeError{Number: t.Number, Nonce: t.Nonce, Cause: err}
		}
	}
}

// readBack reads the object until it gets an answer. cause is returned when
// there is no time for a first attempt.
func readBack(ctx context.Context, store Store, key string, wait *backoff, cause error) (o Object, err error) {
	for err = cause; wait.sleep(ctx) == nil; {
		o, err = store.Get(ctx, key)
		if err == nil || errors.Is(err, ErrNotFound) {
			return o, err
		}
	}
	return o, err
}

// owned returns nil when o holds ticket t, and a *Refused otherwise.
func owned(t loader.Ticket, o Object) error {
	winner := loader.DecodeTicket(t.Number, o.Value)
	if winner.Nonce == t.Nonce {
		return nil
	}
	return &StaleBaseError{Ticket: t, Winner: winner, Version: winner.Number}
}

// explain fills in what changed since the base of a refused ticket. When it
// can't be read, the winner alone is named.
func explain(ctx context.Context, store Store, t loader.Ticket, err error) error {
	refused := (*StaleBaseError)(nil)
	if !errors.As(err, &refused) {
		return err
	}
	s, _, failed := Load(ctx, store)
	if failed != nil || s.Version < refused.Version {
		refused.ChangedKeys = objectKeys(refused.Winner)
		return err
	}
	refused.Version, refused.ChangedKeys = s.Version, s.ChangedSince(t.Base)
	return err
}

func objectKeys(t loader.Ticket) []string {
	s := loader.State{ModifiedVersions: map[string]uint64{}}
	for key := range t.Objects {
		s.ModifiedVersions[key] = t.Number
	}
	return s.ChangedSince(0)
}

// sleep waits for the pause, or returns the context's error when it ends first.
func (b *backoff) sleep(ctx context.Context) error {
	jittered := b.pause/2 + mathrand.N(b.pause)
	b.pause = min(2*b.pause, maxPause)
	timer := time.NewTimer(jittered)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
