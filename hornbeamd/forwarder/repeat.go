package forwarder

import (
	"context"
	"time"

	"hornbeamstream.example/core/hornpb"
)

const (
	// askTime bounds one round of questions to other instances.
	askTime = 500 * time.Millisecond
	// askAgain is the time between two rounds while a request still runs.
	askAgain = 20 * time.Millisecond
)

// Witnesses answer for the other instances.
type PeerQuerier interface {
	// Ask asks every other instance that may hold or have held parts of the
	// service what it knows of a request id and makes it fence the id. It
	// returns one account for each; that of an instance which does not answer
	// is FATE_UNKNOWN. Sent is the time of the first attempt in Unix ms.
	QueryPeers(ctx context.Context, service, id string, sent int64) []RequestRecord
}

// Account tells another instance what is known here of a request id. With
// fence, a request that was not seen is refused from now on. Sent is in Unix ms.
func (f *Forwarder) LookupRequest(service, id string, fence bool, sent int64) RequestRecord {
	a, _ := f.record.account(entryKey{service, id}, fence, sent*millisec, f.now())
	return a
}

// verdict is what may be done about a repeat.
type verdict uint8

const (
	mayRun verdict = iota
	wait
	answered
	unclear
)

// poll sums the accounts of one repeat up over several rounds.
type poll struct {
	// size is the number of instances asked, held that of those which have
	// fenced the id for this repeat.
	size, held int
}

// judge sums a round up. A repeat may run when nobody has seen the request, all
// having fenced it for this repeat, or when one hands over the fence of an
// earlier repeat that did not run.
func (p *poll) judge(accounts []RequestRecord) (verdict, RequestRecord) {
	var running, spare, doubt bool
	for _, a := range accounts {
		switch a.Fate {
		case hornpb.Fate_FATE_RAN:
			return answered, a
		case hornpb.Fate_FATE_RUNNING:
			running = true
		case hornpb.Fate_FATE_NOTRUN:
			spare = true
		case hornpb.Fate_FATE_NEVER:
			p.held++
		case hornpb.Fate_FATE_UNKNOWN:
			doubt = true
		}
	}
	if p.size == 0 {
		p.size = len(accounts)
	}
	switch {
	case running:
		return wait, RequestRecord{}
	case spare, !doubt && p.held == p.size && p.size == len(accounts):
		return mayRun, RequestRecord{}
	}
	return unclear, RequestRecord{}
}

// inquire finds out what happened to a request that has been sent before.
func (f *Forwarder) inquire(c *call) (verdict, RequestRecord) {
	ctx, cancel := context.WithDeadline(context.Background(), time.Unix(0, c.req.Deadline))
	defer cancel()
	var p poll
	for {
		own, done := f.record.account(c.key, true, c.req.FirstSent, f.now())
		if own.Fate == hornpb.Fate_FATE_RAN {
			return answered, own
		}
		if done != nil {
			if !f.pause(ctx, done) {
				return unclear, RequestRecord{}
			}
			continue
		}
		v, a := p.judge(append(f.ask(ctx, c), own))
		if v != wait {
			return v, a
		}
		if !f.pause(ctx, nil) {
			return unclear, RequestRecord{}
		}
	}
}

func (f *Forwarder) ask(ctx context.Context, c *call) []RequestRecord {
	if f.witnesses == nil {
		return []RequestRecord{{Fate: hornpb.Fate_FATE_UNKNOWN}}
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	return f.witnesses.QueryPeers(ctx, c.key.service, c.key.id, c.req.FirstSent/millisec)
}

// pause waits until a request has ended here, or for the next round. It tells
// whether there is time left.
func (f *Forwarder) pause(ctx context.Context, done <-chan struct{}) bool {
	if done != nil {
		select {
		case <-done:
			return true
		case <-ctx.Done():
			return false
		}
	}
	timer := time.NewTimer(askAgain)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
