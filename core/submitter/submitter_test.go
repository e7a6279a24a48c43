package submitter_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/submitter"
	"hornbeamstream.example/core/submitter/verifier"
)

func TestMemoryStoreContract(t *testing.T) {
	verifier.Verify(t, func(*testing.T) submitter.Store { return &submitter.MemoryStore{PageSize: 3} })
}

// region returns a ticket that writes one region.
func region(base uint64, name, nonce string) loader.Ticket {
	return loader.Ticket{
		Base: base, Author: nonce, Reason: "test", Nonce: nonce,
		Objects: map[string]json.RawMessage{"region/" + name: json.RawMessage(`{"title":"` + nonce + `"}`)},
	}
}

// TestSubmit guards against lost, doubled and wrongly refused tickets when
// answers are lost, delayed or the store is down or stale.
func TestSubmit(t *testing.T) {
	tests := []struct {
		name   string
		faults submitter.Faults
		// rival submits the same number first.
		rival bool
		// late delivers delayed writes after this many reads.
		late    bool
		want    error
		version uint64
	}{
		{name: "plain", version: 2},
		{name: "answer lost", faults: submitter.Faults{LostResponses: 1}, version: 2},
		{name: "request lost", faults: submitter.Faults{LostRequests: 2}, version: 2},
		{name: "request delayed", faults: submitter.Faults{DelayedWrites: 1}, late: true, version: 2},
		{name: "down", faults: submitter.Faults{Down: true}, want: submitter.ErrUnavailable, version: 1},
		{name: "rival", rival: true, want: &submitter.StaleBaseError{}, version: 2},
		{name: "rival and answer lost", rival: true, faults: submitter.Faults{LostResponses: 1}, want: &submitter.StaleBaseError{}, version: 2},
		{name: "rival behind a stale read", rival: true, faults: submitter.Faults{StaleRevision: 1}, want: &submitter.StaleBaseError{}, version: 2},
		{name: "stale after a lost answer", faults: submitter.Faults{StaleRevision: 1, LostResponses: 1}, version: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			store := &submitter.MemoryStore{PageSize: 2}
			_, err := submitter.Submit(ctx, store, region(0, "sofia", "first"))
			is.NoErr(err)
			if tt.rival {
				_, err := submitter.Submit(ctx, store, region(1, "varna", "rival"))
				is.NoErr(err)
			}
			store.SetFaults(tt.faults)
			var late submitter.Store = store
			if tt.late {
				late = deliverer{store}
			}
			result, err := submitter.Submit(ctx, late, region(1, "sofia", "mine"))
			checkError(is, err, tt.want)
			store.SetFaults(submitter.Faults{})
			store.ApplyDelayed()
			s, tickets, err := submitter.Load(ctx, store)
			is.NoErr(err)
			is.Equal(s.Version, tt.version)
			is.Equal(len(tickets), int(tt.version))
			if tt.want == nil {
				is.Equal(s.Regions["sofia"].Title, "mine")
				is.Equal(result.State.Version, uint64(2))
				is.Equal(result.Ticket.Number, uint64(2))
			}
		})
	}
}

func checkError(is *is.I, err, want error) {
	is.Helper()
	if _, ok := want.(*submitter.StaleBaseError); !ok {
		is.True(errors.Is(err, want))
		return
	}
	refused := (*submitter.StaleBaseError)(nil)
	is.True(errors.As(err, &refused))
	is.Equal(refused.Winner.Nonce, "rival")
	is.Equal(refused.Version, uint64(2))
	is.Equal(refused.ChangedKeys, []string{"region/varna"})
}

// deliverer lets delayed writes take effect after a read that missed them.
type deliverer struct{ *submitter.MemoryStore }

func (d deliverer) Get(ctx context.Context, key string) (submitter.Object, error) {
	o, err := d.MemoryStore.Get(ctx, key)
	d.ApplyDelayed()
	return o, err
}

// TestSubmitUnresolved guards against a lost answer that is reported as a
// failure or as a success, and checks that submitting again resolves it.
func TestSubmitUnresolved(t *testing.T) {
	is := is.New(t)
	store := &submitter.MemoryStore{}
	store.SetFaults(submitter.Faults{LostResponses: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := submitter.Submit(ctx, goneAfterWrite{store}, region(0, "sofia", "mine"))
	is.True(errors.Is(err, submitter.ErrUnknownOutcome))
	unresolved := (*submitter.UnknownOutcomeError)(nil)
	is.True(errors.As(err, &unresolved))
	is.Equal(unresolved.Nonce, "mine")
	store.SetFaults(submitter.Faults{})
	result, err := submitter.Submit(t.Context(), store, region(0, "sofia", "mine"))
	is.NoErr(err)
	is.Equal(result.State.Version, uint64(1))
}

// goneAfterWrite is down for reads of tickets.
type goneAfterWrite struct{ *submitter.MemoryStore }

func (g goneAfterWrite) Get(ctx context.Context, key string) (submitter.Object, error) {
	if strings.HasPrefix(key, loader.TicketPrefix) {
		return submitter.Object{}, submitter.ErrUnavailable
	}
	return g.MemoryStore.Get(ctx, key)
}

// TestSubmitChecks guards against tickets that are written although they fail
// the checks or leave a gap in the numbers.
func TestSubmitChecks(t *testing.T) {
	is := is.New(t)
	store := &submitter.MemoryStore{}
	bad := region(0, "sofia", "bad")
	bad.Objects["domain/a"] = json.RawMessage(`{"region":"varna","instances":1}`)
	_, err := submitter.Submit(t.Context(), store, bad)
	rejected := (*loader.RejectedError)(nil)
	is.True(errors.As(err, &rejected))
	_, err = submitter.Submit(t.Context(), store, region(4, "sofia", "ahead"))
	gap := (*loader.GapError)(nil)
	is.True(errors.As(err, &gap))
	is.Equal(store.Revision(), uint64(0))
}

// TestLoadPassesOver guards against instances that stop at a stored ticket that
// fails the checks or can't be read.
func TestLoadSkipsInvalidTickets(t *testing.T) {
	is := is.New(t)
	store := &submitter.MemoryStore{}
	for i, value := range []string{`{"number":1,"objects":{"link/a/b":{}}}`, `"no ticket"`} {
		_, err := store.Create(t.Context(), loader.TicketKey(uint64(i+1)), []byte(value))
		is.NoErr(err)
	}
	_, err := submitter.Submit(t.Context(), store, region(2, "sofia", "good"))
	is.NoErr(err)
	s, tail, err := submitter.Load(t.Context(), store)
	is.NoErr(err)
	is.Equal(s.Version, uint64(3))
	is.Equal(s.Keys(), []string{"region/sofia"})
	is.Equal(len(tail), 3)
	_, err = submitter.GetTicket(t.Context(), store, 9)
	is.True(errors.Is(err, submitter.ErrNotFound))
}

// TestCompact guards against snapshots that go back, that are lost with an
// answer, or that differ from the tickets.
func TestCompact(t *testing.T) {
	faults := []submitter.Faults{{}, {LostResponses: 1}, {LostRequests: 2}, {DelayedWrites: 1}}
	for _, f := range faults {
		t.Run(fmt.Sprintf("%+v", f), func(t *testing.T) {
			is := is.New(t)
			store := &submitter.MemoryStore{}
			var states []loader.State
			for i := range uint64(4) {
				r, err := submitter.Submit(t.Context(), store, region(i, fmt.Sprintf("r%d", i), "n"))
				is.NoErr(err)
				states = append(states, r.State)
			}
			is.NoErr(submitter.WriteSnapshot(t.Context(), store, states[1]))
			store.SetFaults(f)
			is.NoErr(submitter.WriteSnapshot(t.Context(), store, states[2]))
			store.SetFaults(submitter.Faults{})
			store.ApplyDelayed()
			is.NoErr(submitter.WriteSnapshot(t.Context(), store, states[0]))
			s, tail, err := submitter.Load(t.Context(), store)
			is.NoErr(err)
			is.Equal(len(tail), 1)
			is.Equal(s, states[3])
		})
	}
}

// TestLargeSnapshot guards against a state whose blocks don't fit in a value.
func TestLargeSnapshot(t *testing.T) {
	is := is.New(t)
	store := &submitter.MemoryStore{}
	_, err := submitter.Submit(t.Context(), store, region(0, "sofia", "n"))
	is.NoErr(err)
	var last loader.State
	for i := range uint64(3) {
		var prefixes []string
		for j := range 40_000 {
			prefixes = append(prefixes, fmt.Sprintf("%d.%d.%d.0/24", i+1, j/256, j%256))
		}
		raw, err := json.Marshal(loader.Blocks{Regions: map[string][]string{"sofia": prefixes}})
		is.NoErr(err)
		ticket := loader.Ticket{Base: i + 1, Author: "a", Reason: "r", Objects: map[string]json.RawMessage{fmt.Sprintf("blocks/%d", i): raw}}
		r, err := submitter.Submit(t.Context(), store, ticket)
		is.NoErr(err)
		last = r.State
	}
	is.NoErr(submitter.WriteSnapshot(t.Context(), store, last))
	s, tail, err := submitter.Load(t.Context(), store)
	is.NoErr(err)
	is.Equal(len(tail), 0)
	is.Equal(s, last)
}

// TestSubmitRace guards against two accepted tickets with one number, or none,
// when writers race while answers and requests are lost.
func TestSubmitRace(t *testing.T) {
	is := is.New(t)
	const writers = 8
	store := &submitter.MemoryStore{}
	store.SetFaults(submitter.Faults{LostResponses: 3, LostRequests: 3, DelayedWrites: 2})
	errs := make([]error, writers)
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			_, errs[i] = submitter.Submit(t.Context(), deliverer{store}, region(0, fmt.Sprintf("r%d", i), fmt.Sprintf("n%d", i)))
		})
	}
	group.Wait()
	stored, err := submitter.GetTicket(t.Context(), store, 1)
	is.NoErr(err)
	for i, err := range errs {
		if stored.Nonce == fmt.Sprintf("n%d", i) {
			is.NoErr(err)
			continue
		}
		is.True(errors.As(err, new(*submitter.StaleBaseError)))
	}
}

// TestConflictWithoutObject guards against a lost race that is not explained
// when the platform's answer doesn't show the object.
func TestConflictWithoutObject(t *testing.T) {
	is := is.New(t)
	store := &submitter.MemoryStore{}
	_, err := submitter.Submit(t.Context(), store, region(0, "sofia", "rival"))
	is.NoErr(err)
	_, err = submitter.Submit(t.Context(), terse{store}, region(0, "sofia", "mine"))
	is.True(errors.As(err, new(*submitter.StaleBaseError)))
}

type terse struct{ *submitter.MemoryStore }

func (s terse) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	version, err := s.MemoryStore.Create(ctx, key, value)
	if errors.Is(err, submitter.ErrConflict) {
		err = submitter.ErrConflict
	}
	return version, err
}

func ExampleSubmit() {
	store := &submitter.MemoryStore{}
	ctx := context.Background()
	first := loader.Ticket{Author: "ana", Reason: "start", Objects: map[string]json.RawMessage{"region/sofia": []byte(`{}`)}}
	second := loader.Ticket{Author: "boris", Reason: "start", Objects: map[string]json.RawMessage{"region/varna": []byte(`{}`)}}
	r, err := submitter.Submit(ctx, store, first)
	fmt.Println(r.State.Version, err)
	_, err = submitter.Submit(ctx, store, second)
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// submit ticket: ticket 1 was refused: ana was first; version is 1 now; changed since 0: region/sofia
}
