package forwarder

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hornbeamstream.example/core/observer"

	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// maxProvenAge is how long a connection counts as working after a byte has
	// arrived. A once-request uses no connection that has been silent longer.
	maxProvenAge = time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 10 * time.Second
	// maxIdleConns bounds the idle connections to one address.
	maxIdleConns = 64
	// dialTimeout bounds the opening of a connection. A lost SYN is retransmitted
	// only after 1 s, so waiting longer rarely helps.
	dialTimeout = 500 * time.Millisecond
	// defaultMaxConns bounds the connections to another instance.
	defaultMaxConns = 512
)

var (
	errConnLimit      = errors.New("connection limit reached")
	errDeadlinePassed = errors.New("request deadline has passed")
)

// poolKey identifies a pool. Each service has its own connections to another
// instance, so that load of one service doesn't affect the connections and
// latency percentiles of others; upstream is empty for these.
type poolKey struct{ upstream, service, address string }

// connPool holds the connections to one address.
type connPool struct {
	key     poolKey
	now     func() int64
	maxOpen atomic.Int64

	mu sync.Mutex
	// idle has the most recently used connection at its end.
	idle     []*pooler.Conn
	open     int64
	lastUsed int64

	probing atomic.Bool
	// firstByteP99 is the 99th percentile of the time to the first byte on this
	// path, serviceP95 the 95th of the service on all paths.
	firstByteP99 quantile
	serviceP95   *quantile
	stats        trafficStats
}

func newConnPool(key poolKey, serviceP95 *quantile, now func() int64) *connPool {
	p := &connPool{key: key, serviceP95: serviceP95, now: now, lastUsed: now()}
	p.maxOpen.Store(defaultMaxConns)
	return p
}

// get returns an idle connection or opens one. If proven is set, the connection
// is new or has received a byte within maxProvenAge.
func (p *connPool) get(proven bool, deadline int64) (*pooler.Conn, error) {
	now := p.now()
	for {
		c, err := p.takeIdle(proven, now)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(now, deadline)
		}
		if c.Reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle returns an idle connection. If it returns nil and no error, the
// connection that the caller then opens is already counted.
func (p *connPool) takeIdle(proven bool, now int64) (*pooler.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		if !proven || now-c.LastActive < int64(maxProvenAge) {
			p.idle[n-1] = nil
			p.idle = p.idle[:n-1]
			return c, nil
		}
	}
	if p.open >= p.maxOpen.Load() {
		if len(p.idle) == 0 {
			return nil, errConnLimit
		}
		// Close an unproven connection to make room for a new one.
		_ = p.idle[0].Close()
		p.idle = append(p.idle[:0], p.idle[1:]...)
		p.open--
	}
	p.open++
	return nil, nil
}

func (p *connPool) dial(now, deadline int64) (c *pooler.Conn, err error) {
	defer func() {
		if err != nil {
			p.uncount()
		}
	}()
	left := time.Duration(deadline - now)
	if left <= 0 {
		return nil, errDeadlinePassed
	}
	nc, err := net.DialTimeout("tcp", p.key.address, min(left, dialTimeout))
	if err != nil {
		return nil, err
	}
	return pooler.NewConn(nc, p.now()), nil
}

func (p *connPool) uncount() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// put returns a connection that can be reused to the pool.
func (p *connPool) put(c *pooler.Conn) {
	c.Used = true
	p.mu.Lock()
	if len(p.idle) < maxIdleConns && p.open <= p.maxOpen.Load() {
		p.idle = append(p.idle, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		p.discard(c)
	}
}

// discard resets a connection, which cancels the request on it.
func (p *connPool) discard(c *pooler.Conn) {
	c.Reset()
	p.uncount()
}

// closeUnproven closes the idle connections that have received nothing since the
// given time.
func (p *connPool) closeUnproven(since int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(c *pooler.Conn) bool { return c.LastActive < since })
}

// closeIdle closes the idle connections for which drop returns true. The caller
// holds p.mu.
func (p *connPool) closeIdle(drop func(*pooler.Conn) bool) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !drop(c) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
		p.open--
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// trafficStats counts the results of requests to an upstream.
type trafficStats struct {
	ok, shed, refused, failed, latency atomic.Int64
	leaving                            atomic.Bool
}

// sample returns the counts since the last call and whether there are any.
func (p *connPool) sample() (observer.Sample, bool) {
	s := &p.stats
	out := observer.Sample{
		Upstream: p.key.upstream,
		OK:       int(s.ok.Swap(0)),
		Shed:     int(s.shed.Swap(0)),
		Refused:  int(s.refused.Swap(0)),
		Failed:   int(s.failed.Swap(0)),
		Leaving:  s.leaving.Swap(false),
	}
	sum := s.latency.Swap(0)
	if out.OK > 0 {
		out.Latency = time.Duration(sum / int64(out.OK))
	}
	seen := out.OK+out.Shed+out.Refused+out.Failed > 0 || out.Leaving
	return out, seen && p.key.upstream != ""
}

func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// quantile estimates a high percentile of recent values without storing them: the
// estimate rises by some parts for a value above it and falls by one part for a
// value below it. 99 parts give the 99th percentile.
type quantile struct {
	value atomic.Int64
	// count is the number of values, up to minQuantileValues.
	count atomic.Int64
}

// minQuantileValues is the number of values below which a quantile is
// unreliable.
const minQuantileValues = 20

func (q *quantile) add(v, parts int64) {
	if q.count.Load() < minQuantileValues {
		q.count.Add(1)
	}
	old := q.value.Load()
	switch {
	case old == 0:
		q.value.Store(2 * v)
	case v > old:
		q.value.Store(min(old+old*parts/400+1, 2*v))
	default:
		q.value.Store(max(old-old/400, 1))
	}
}
