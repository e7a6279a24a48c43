package forwarder

import (
	"context"
	"time"

	"hornbeamstream.example/core/hornpb"
)

const (
	// queryTimeout bounds one round of queries to other instances.
	queryTimeout = 500 * time.Millisecond
	// queryInterval is the time between two rounds while a request still runs.
	queryInterval = 20 * time.Millisecond
)

// PeerQuerier queries the other instances about a request id.
type PeerQuerier interface {
	// QueryPeers asks every other instance that may hold or have held parts of
	// the service what it knows about a request id, and makes it fence the id.
	// It returns one record per instance, with FATE_UNKNOWN for one that does
	// not reply. Sent is the time of the first attempt in Unix milliseconds.
	QueryPeers(ctx context.Context, service, id string, sent int64) []RequestRecord
}

// LookupRequest returns what is known here about a request id, for another
// instance. If fence is set, a request that has not been started here is refused
// from now on. Sent is the time of the first attempt in Unix milliseconds.
func (f *Forwarder) LookupRequest(service, id string, fence bool, sent int64) RequestRecord {
	a, _ := f.dedup.lookup(requestKey{service, id}, fence, sent*nanosPerMilli, f.now())
	return a
}

// verdict is how a repeat is handled.
type verdict uint8

const (
	verdictRun verdict = iota
	verdictWait
	verdictRan
	verdictUnknown
)

// peerPoll combines the records for one repeat over several rounds.
type peerPoll struct {
	// instances is the number of instances queried, fenced the number of those
	// that have fenced the id for this repeat.
	instances, fenced int
}

// decide evaluates one round. A repeat may run if no instance has seen the request
// and all have fenced it for this repeat, or if one hands over the fence of an
// earlier repeat that did not run.
func (p *peerPoll) decide(records []RequestRecord) (verdict, RequestRecord) {
	var running, notRun, unknown bool
	for _, a := range records {
		switch a.Fate {
		case hornpb.Fate_FATE_RAN:
			return verdictRan, a
		case hornpb.Fate_FATE_RUNNING:
			running = true
		case hornpb.Fate_FATE_NOTRUN:
			notRun = true
		case hornpb.Fate_FATE_NEVER:
			p.fenced++
		case hornpb.Fate_FATE_UNKNOWN:
			unknown = true
		}
	}
	if p.instances == 0 {
		p.instances = len(records)
	}
	switch {
	case running:
		return verdictWait, RequestRecord{}
	case notRun, !unknown && p.fenced == p.instances && p.instances == len(records):
		return verdictRun, RequestRecord{}
	}
	return verdictUnknown, RequestRecord{}
}

// resolveRepeat determines what happened to a request that was sent before.
func (f *Forwarder) resolveRepeat(c *call) (verdict, RequestRecord) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, c.req.Deadline))
	defer cancel()
	var p peerPoll
	for {
		own, done := f.dedup.lookup(c.key, true, c.req.FirstSent, f.now())
		if own.Fate == hornpb.Fate_FATE_RAN {
			return verdictRan, own
		}
		if done != nil {
			if !f.waitNextRound(ctx, done) {
				return verdictUnknown, RequestRecord{}
			}
			continue
		}
		v, a := p.decide(append(f.queryPeers(ctx, c), own))
		if v != verdictWait {
			return v, a
		}
		if !f.waitNextRound(ctx, nil) {
			return verdictUnknown, RequestRecord{}
		}
	}
}

func (f *Forwarder) queryPeers(ctx context.Context, c *call) []RequestRecord {
	if f.peerQuerier == nil {
		return []RequestRecord{{Fate: hornpb.Fate_FATE_UNKNOWN}}
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return f.peerQuerier.QueryPeers(ctx, c.key.service, c.key.id, c.req.FirstSent/nanosPerMilli)
}

// waitNextRound waits until a request has ended here, or for queryInterval if done
// is nil. It reports whether there is time left.
func (f *Forwarder) waitNextRound(ctx context.Context, done <-chan struct{}) bool {
	if done != nil {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(queryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
