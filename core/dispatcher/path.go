package dispatcher

import (
	"sync/atomic"
	"time"
)

const (
	// pathDownTimeouts is the number of consecutive dial timeouts, and pathDownAfter
	// the time without any answer, after which the network path to a failure domain
	// is considered down. Both are required.
	pathDownTimeouts = 3
	pathDownAfter    = 400 * time.Millisecond
	// probeInterval is the time between two requests that probe a path that is down.
	probeInterval = 500 * time.Millisecond
)

// path is the state of the network path from this instance to a failure domain. It
// is shared by all upstreams there, so that the loss of the domain need not be
// detected at each of them.
type path struct {
	// timeouts counts the dial timeouts since the last answer.
	timeouts   atomic.Int32
	lastAnswer atomic.Int64
	// nextProbe is when the next request may probe the path while it is down.
	nextProbe atomic.Int64
}

// recordAnswer records that the failure domain has responded.
func (p *path) recordAnswer(now int64) {
	p.lastAnswer.Store(now)
	if p.timeouts.Load() != 0 {
		p.timeouts.Store(0)
	}
}

// recordDialTimeout records that a dial has timed out.
func (p *path) recordDialTimeout(now int64) {
	if p.timeouts.Add(1) == pathDownTimeouts {
		p.nextProbe.Store(now + int64(probeInterval))
	}
}

// down reports whether the path is considered down.
func (p *path) down(now int64) bool {
	return p.timeouts.Load() >= pathDownTimeouts && now-p.lastAnswer.Load() > int64(pathDownAfter)
}

// tryProbe reports whether the caller may send a probe. If so, it schedules the
// next one.
func (p *path) tryProbe(now int64) bool {
	at := p.nextProbe.Load()
	return now >= at && p.nextProbe.CompareAndSwap(at, now+int64(probeInterval))
}
