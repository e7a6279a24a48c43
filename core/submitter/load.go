package submitter

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"hornbeamstream.example/core/loader"
)

// Load returns the newest state: the snapshot with the tickets after it applied.
// The tickets are returned too, with those that the checks reject.
func Load(ctx context.Context, store Store) (s loader.State, tail []loader.Ticket, err error) {
	defer annotate(&err, "load configuration")
	s, err = readSnapshot(ctx, store)
	if err != nil {
		return s, nil, err
	}
	tail, err = ListTickets(ctx, store, s.Version)
	if err != nil {
		return s, nil, err
	}
	for _, t := range tail {
		next, err := s.Apply(t)
		if gap := (*loader.GapError)(nil); errors.As(err, &gap) {
			return s, nil, err
		}
		s = next
	}
	return s, tail, nil
}

// List returns the tickets after a version, in order.
func ListTickets(ctx context.Context, store Store, after uint64) (tickets []loader.Ticket, err error) {
	defer annotate(&err, "list tickets")
	key := loader.TicketKey(after)
	for {
		page, err := store.List(ctx, loader.TicketPrefix, key)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return tickets, nil
		}
		for _, o := range page {
			if number, ok := loader.TicketNumber(o.Key); ok {
				tickets = append(tickets, loader.DecodeTicket(number, o.Value))
			}
		}
		key = page[len(page)-1].Key
	}
}

// Show returns ticket number; ErrAbsent means that there is none.
func GetTicket(ctx context.Context, store Store, number uint64) (t loader.Ticket, err error) {
	defer annotate(&err, "ticket %d", number)
	o, err := store.Get(ctx, loader.TicketKey(number))
	if err != nil {
		return t, err
	}
	return loader.DecodeTicket(number, o.Value), nil
}

// Compact writes the state to the snapshot object, whose version only rises. It
// does nothing when the snapshot is as new already. Lost answers are resolved by
// reading the snapshot again, until ctx ends.
func WriteSnapshot(ctx context.Context, store Store, s loader.State) (err error) {
	defer annotate(&err, "write snapshot %d", s.Version)
	value, err := encodeSnapshot(s)
	if err != nil {
		return err
	}
	for wait := newBackoff(); ; {
		err := raise(ctx, store, s.Version, value)
		if err == nil || errors.Is(err, ErrUnavailable) {
			return err
		}
		if !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnknownOutcome) && !errors.Is(err, ErrNotFound) {
			return err
		}
		if wait.sleep(ctx) != nil {
			return err
		}
	}
}

// raise makes one attempt to write the snapshot.
func raise(ctx context.Context, store Store, version uint64, value []byte) error {
	current, err := store.Get(ctx, loader.SnapshotKey)
	if errors.Is(err, ErrNotFound) {
		_, err = store.Create(ctx, loader.SnapshotKey, value)
		return err
	}
	if err != nil {
		return err
	}
	if old, err := loader.DecodeState(current.Value); err == nil && old.Version >= version {
		return nil
	}
	_, err = store.Update(ctx, loader.SnapshotKey, current.Version, value)
	return err
}

// encodeSnapshot leaves the blocks out when the state is larger than a value may
// be. Tickets are never deleted, so that readSnapshot finds the blocks in the
// tickets that touched them last.
func encodeSnapshot(s loader.State) ([]byte, error) {
	value, err := loader.EncodeState(s)
	if err != nil || len(value) <= loader.MaxTicketBytes {
		return value, err
	}
	s.Blocks = nil
	value, err = loader.EncodeState(s)
	if err == nil && len(value) > loader.MaxTicketBytes {
		err = fmt.Errorf("%d bytes without blocks are more than %d", len(value), loader.MaxTicketBytes)
	}
	return value, err
}

func readSnapshot(ctx context.Context, store Store) (s loader.State, err error) {
	o, err := store.Get(ctx, loader.SnapshotKey)
	if errors.Is(err, ErrNotFound) {
		return s, nil
	}
	if err != nil {
		return s, err
	}
	if s, err = loader.DecodeState(o.Value); err != nil {
		return s, err
	}
	return s, readBlocks(ctx, store, &s)
}

// readBlocks fetches the blocks that encodeSnapshot left out.
func readBlocks(ctx context.Context, store Store, s *loader.State) error {
	if len(s.Blocks) > 0 {
		return nil
	}
	missing := map[uint64][]string{}
	for key, number := range s.ModifiedVersions {
		kind, _, _ := loader.SplitKey(key)
		if kind == loader.KindBlocks {
			missing[number] = append(missing[number], key)
		}
	}
	for _, number := range slices.Sorted(maps.Keys(missing)) {
		t, err := GetTicket(ctx, store, number)
		if err != nil {
			return err
		}
		if err := s.RestoreObjects(t, missing[number]); err != nil {
			return err
		}
	}
	return nil
}

// backoff is the pause between attempts. It doubles up to a bound, with jitter.
type backoff struct {
	pause time.Duration
}

const (
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

func newBackoff() *backoff { return &backoff{pause: firstPause} }

func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}
