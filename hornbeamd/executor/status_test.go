package executor

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/submitter"
)

// leaseStore answers reads of leases only.
type leaseStore struct {
	Platform
	err error
}

func (s *leaseStore) Get(context.Context, string) (submitter.Object, error) {
	return submitter.Object{Version: 1, Value: []byte(`{}`)}, s.err
}

type noMetrics struct{}

func (noMetrics) CountEvent(recorder.Event) {}
func (noMetrics) ObserveStep(time.Duration) {}
func (noMetrics) CountCall(string, bool)    {}

// Guards against a member that neither leads nor relays being shown without the
// platform: its only calls are reads of the lease.
func TestStatusOfOrdinaryMember(t *testing.T) {
	is := is.New(t)
	store := &leaseStore{}
	x := New(Config{Clock: NewClock(), Self: granter.Member{Name: "a-3", Domain: "a"}, Platform: store, Metrics: noMetrics{}})
	platform := func(err error) bool {
		store.err = err
		x.readLease(t.Context(), granter.ReadLease{Domain: "a"})
		go func() {
			query := <-x.queries
			query(x.state)
		}()
		s, err := x.Status(t.Context())
		is.NoErr(err)
		return s.Platform
	}
	is.True(platform(nil))
	is.True(!platform(submitter.ErrUnavailable))
	is.True(platform(submitter.ErrAbsent)) // an answer, too
	is.True(!platform(submitter.ErrUnknown))
	is.True(platform(nil))
}
