package forwarder

import (
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/detector"
)

// quarantine refuses requests that have crashed upstreams on slots of this instance.
// Instances do not tell each other.
type quarantine struct {
	set     atomic.Pointer[quarantiner.Set]
	crashes detector.Detector[poolKey]

	mu   sync.Mutex
	list quarantiner.List
}

// digest identifies what the caller asks for; 0 if the body is streamed.
func (c *call) digest() quarantiner.Digest {
	if c.stream != nil {
		return 0
	}
	h := &c.ctx.Request.Header
	d := xxhash.New()
	for _, part := range [...][]byte{h.Method(), h.Host(), h.RequestURI(), h.Peek(fasthttp.HeaderAuthorization), c.body} {
		// Write and WriteString of a Digest return no errors.
		_, _ = d.Write(part)
		_, _ = d.WriteString("\x00")
	}
	return quarantiner.Digest(d.Sum64() | 1)
}

// admits reports whether a request may be sent to an upstream.
func (q *quarantine) admits(c *call, now int64) bool {
	set := q.set.Load()
	return set.Empty() || set.Admit(c.digest(), now).Admitted
}

// observeAnswer clears a request that an upstream has answered.
func (q *quarantine) observeAnswer(c *call, now int64) {
	set := q.set.Load()
	if set.Empty() || !set.FirstAnswer(c.digest()) {
		return
	}
	q.update(func(l *quarantiner.List) bool {
		_, changed := l.ObserveAnswer(now, c.digest())
		return changed
	})
}

// connLost checks whether an upstream has ended while it ran the request.
func (q *quarantine) connLost(c *call, t *router.Target, now func() int64) {
	d := c.digest()
	if d == 0 {
		return
	}
	q.crashes.ConnLost(poolKey{t.Upstream, c.req.Service.Name, t.Address}, t.Address, d, func(d quarantiner.Digest) {
		at := now()
		// The slots of an upstream are taken away when it has ended, so an upstream that
		// crashes again under its name has been started again since.
		crash := uint32(xxhash.Sum64String(t.Upstream + " " + strconv.FormatInt(at, 10)))
		q.update(func(l *quarantiner.List) bool {
			_, changed := l.ObserveCrash(at, d, crash)
			return changed
		})
	})
}

func (q *quarantine) expire(now int64) {
	q.update(func(l *quarantiner.List) bool { return len(l.Expire(now)) > 0 })
}

// update changes the list and publishes the set if it has changed.
func (q *quarantine) update(change func(*quarantiner.List) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if change(&q.list) {
		q.set.Store(q.list.Set(q.set.Load(), 0, 1))
	}
}
