package executor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/core/submitter"
)

// leasePrefix is the key prefix of lease objects.
const leasePrefix = "lease/"

// recordPlatformCall counts a call to the platform and stores whether the
// platform answered it.
func (x *Executor) recordPlatformCall(kind string, err error) {
	x.platformReachable.Store(!errors.Is(err, submitter.ErrUnavailable) && !errors.Is(err, submitter.ErrUnknownOutcome))
	x.cfg.Metrics.CountCall(kind, err != nil)
}

// performFollower runs an effect of the follower.
func (x *Executor) performFollower(ctx context.Context, e follower.Effect) {
	switch e := e.(type) {
	case follower.Fetch:
		x.startEffect(func() { x.fetchTickets(ctx, e) })
	case follower.Load:
		x.startEffect(func() { x.loadConfig(ctx, e) })
	case follower.Watch:
		x.startEffect(func() { x.watchTickets(ctx, e) })
	case follower.WriteSnapshot:
		x.startEffect(func() { x.compact(ctx, e) })
	}
}

func (x *Executor) postFollowerEvent(event func(now time.Time) follower.Event) {
	x.post(func(now time.Time) reducer.Event { return reducer.FollowerEvent{Now: now, Event: event(now)} })
}

func (x *Executor) loadConfig(ctx context.Context, e follower.Load) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	loaded, err := x.readConfig(ctx, e.After)
	x.recordPlatformCall("load", err)
	loaded.Failed = err != nil
	x.postFollowerEvent(func(now time.Time) follower.Event {
		loaded.Now = now
		return loaded
	})
}

// readConfig reads the configuration from the platform. It returns only the
// tickets if they continue from version after, and a snapshot otherwise.
func (x *Executor) readConfig(ctx context.Context, after uint64) (l follower.Loaded, err error) {
	state, tail, err := submitter.Load(ctx, x.cfg.Platform)
	if err != nil {
		return l, err
	}
	if len(tail) > 0 && tail[0].Number <= after+1 {
		l.Tickets = tail
	} else {
		l.Snapshot = state
	}
	if state.Version == 0 {
		return l, nil
	}
	// Tickets are created in order, so all later ones have a higher store
	// revision than the newest one read.
	newest, err := x.cfg.Platform.Get(ctx, loader.TicketKey(state.Version))
	l.Revision = newest.Version
	return l, err
}

func (x *Executor) watchTickets(ctx context.Context, e follower.Watch) {
	until := x.cfg.Clock.Now().Add(follower.WatchWait)
	ctx, cancel := context.WithDeadline(ctx, until.Add(follower.CallTimeout))
	defer cancel()
	change, err := x.cfg.Platform.Watch(ctx, loader.TicketPrefix, e.Revision, until)
	x.recordPlatformCall("watch", err)
	watched := follower.Watched{Revision: change.Revision, Failed: err != nil}
	for _, o := range change.Objects {
		if number, ok := loader.TicketNumber(o.Key); ok {
			watched.Tickets = append(watched.Tickets, loader.DecodeTicket(number, o.Value))
		}
	}
	x.postFollowerEvent(func(now time.Time) follower.Event {
		watched.Now = now
		return watched
	})
}

func (x *Executor) compact(ctx context.Context, e follower.WriteSnapshot) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	err := submitter.WriteSnapshot(ctx, x.cfg.Platform, e.State)
	x.recordPlatformCall("compact", err)
	x.postFollowerEvent(func(now time.Time) follower.Event {
		return follower.SnapshotWritten{Now: now, Failed: err != nil}
	})
}

// performGranter runs an effect of the granter.
func (x *Executor) performGranter(ctx context.Context, e granter.Effect) {
	switch e := e.(type) {
	case granter.ReadLease:
		x.startEffect(func() { x.readLease(ctx, e) })
	case granter.ListInstances:
		x.startEffect(func() { x.readList(ctx) })
	case granter.WriteLease:
		x.startEffect(func() { x.writeLease(ctx, e) })
	case granter.SendVoteRequest:
		x.startEffect(func() { x.sendVote(ctx, e) })
	case granter.SendVoteResponse:
		x.answer(e.Call, reducer.GranterEffect{Effect: e})
	}
}

func (x *Executor) readLease(ctx context.Context, e granter.ReadLease) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	asked := x.cfg.Clock.Now()
	seen, err := x.getLease(ctx, e.Domain)
	x.recordPlatformCall("lease", err)
	if err != nil {
		// No event on failure: the granter retries until it gets LeaseSeen.
		return
	}
	x.post(func(now time.Time) reducer.Event {
		seen.Sent = asked
		seen.Now = now
		return reducer.GranterEvent{Now: now, Event: seen}
	})
}

func (x *Executor) getLease(ctx context.Context, domain string) (seen granter.LeaseRead, err error) {
	o, err := x.cfg.Platform.Get(ctx, leasePrefix+domain)
	if errors.Is(err, submitter.ErrNotFound) {
		return seen, nil
	}
	if err != nil {
		return seen, err
	}
	seen.Version = o.Version
	return seen, json.Unmarshal(o.Value, &seen.Lease)
}

func (x *Executor) writeLease(ctx context.Context, e granter.WriteLease) {
	asked := x.cfg.Clock.Now()
	version, result := uint64(0), granter.WriteFailed
	if asked.Before(e.Deadline) {
		var err error
		version, err = x.putLease(ctx, e)
		result = writeResult(err)
		x.recordPlatformCall("renew", err)
	} else {
		x.cfg.Metrics.CountCall("renew", true)
	}
	x.post(func(now time.Time) reducer.Event {
		return reducer.GranterEvent{Now: now, Event: granter.WriteCompleted{
			Sent:    asked,
			Now:     now,
			Nonce:   e.Lease.Nonce,
			Result:  result,
			Version: version,
		}}
	})
}

func (x *Executor) putLease(ctx context.Context, e granter.WriteLease) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	value, err := json.Marshal(e.Lease)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
	}
	key := leasePrefix + e.Lease.Domain
	if e.Version == 0 {
		return x.cfg.Platform.Create(ctx, key, value)
	}
	return x.cfg.Platform.Update(ctx, key, e.Version, value)
}

func writeResult(err error) granter.WriteResult {
	switch {
	case err == nil:
		return granter.WriteDone
	case errors.Is(err, submitter.ErrConflict), errors.Is(err, submitter.ErrNotFound):
		return granter.WriteConflict
	case errors.Is(err, submitter.ErrUnavailable):
		return granter.WriteFailed
	}
	return granter.WriteUnknown
}

func (x *Executor) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := x.cfg.Platform.Instances(ctx)
	x.recordPlatformCall("list", err)
	if err != nil {
		return
	}
	x.post(func(now time.Time) reducer.Event {
		seen := reducer.ListSeen{Now: now}
		for _, i := range list {
			seen.Names = append(seen.Names, i.Name)
			if i.State == connector.StateLeaving {
				seen.Leaving = append(seen.Leaving, i.Name)
			}
		}
		return seen
	})
}

// Register adds this instance to the platform's list, retrying until it
// succeeds or the context ends. Nothing waits for it: while the platform is
// down, the instance serves unregistered.
func (x *Executor) Register(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, platformTimeout)
		err := x.cfg.Platform.Register(call, connector.Instance{
			Name:    x.cfg.Self.Name,
			Address: x.cfg.Self.Peer,
			Domain:  x.cfg.Self.Domain,
			State:   connector.StateLive,
		})
		cancel()
		x.recordPlatformCall("register", err)
		if err == nil {
			return
		}
		sleep(ctx, follower.MaxBackoff)
	}
}

// Remove removes this instance from the platform's list. It doesn't retry: the
// list lags anyway, and the lease records that this member left.
func (x *Executor) Remove(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	return x.cfg.Platform.Remove(ctx, x.cfg.Self.Name)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
