package dispatcher

import (
	"sync/atomic"
	"time"
)

const (
	// pathTimeouts is the number of dials in a row that must time out before the
	// way to a failure domain counts as cut, and cutTime the time without any
	// answer from there.
	pathDownTimeouts = 3
	pathDownAfter    = 400 * time.Millisecond
	// probeTime is the time between two requests that try a cut way.
	probeInterval = 500 * time.Millisecond
)

// path is the way from this instance to a failure domain, shared by all upstreams
// there. Without it, the loss of a domain would be found anew at each of them.
type path struct {
	// timeouts counts the dials that have timed out since the last answer, which
	// came at answered.
	timeouts   atomic.Int32
	lastAnswer atomic.Int64
	// probeAt is when the next request may try the way while it is cut.
	nextProbe atomic.Int64
}

// answer notes that something has come back.
func (p *path) recordAnswer(now int64) {
	p.lastAnswer.Store(now)
	if p.timeouts.Load() != 0 {
		p.timeouts.Store(0)
	}
}

// timeout notes that a dial has timed out.
func (p *path) recordDialTimeout(now int64) {
	if p.timeouts.Add(1) == pathDownTimeouts {
		p.nextProbe.Store(now + int64(probeInterval))
	}
}

// cut tells whether nothing comes back on the way.
func (p *path) down(now int64) bool {
	return p.timeouts.Load() >= pathDownTimeouts && now-p.lastAnswer.Load() > int64(pathDownAfter)
}

// probe reports whether the caller may try a cut way.
func (p *path) tryProbe(now int64) bool {
	at := p.nextProbe.Load()
	return now >= at && p.nextProbe.CompareAndSwap(at, now+int64(probeInterval))
}
