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

// leaseStore is a Platform that implements only Get, for leases.
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

// Guards against a status that shows the platform as unreachable for a member
// that is neither leader nor relay: its only platform calls read the lease.
func TestStatusPlatformReachable(t *testing.T) {
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
		return s.PlatformReachable
	}
	is.True(platform(nil))
	is.True(!platform(submitter.ErrUnavailable))
	is.True(platform(submitter.ErrNotFound)) // the platform answered
	is.True(!platform(submitter.ErrUnknownOutcome))
	is.True(platform(nil))
}
