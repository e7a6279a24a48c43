package forwarder

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"hornbeamstream.example/core/router"

	"hornbeamstream.example/hornbeamd/pooler"
)

// hedgeLeast is the least wait before a hedge, below which timers are too coarse
// to tell slow requests from others.
const hedgeLeast = 2 * time.Millisecond

var errHedged = errors.New("the second try answered first")

const (
	racing int32 = iota
	// hedgeWon and hedgeLost are final.
	hedgeWon
	hedgeLost
)

// hedge is a second try that runs while the first one goes on. It works on
// copies, because the first try's memory may be given back before it ends.
type hedge struct {
	f      *Forwarder
	call   *call
	choice router.Choice
	state  atomic.Int32
	done   chan result

	mu sync.Mutex
	// live is the connection that the second try uses now.
	live      *pooler.Conn
	cancelled bool
}

// awaitHedge waits for the answer to begin, and sends a second try if that
// takes longer than nearly all answers of the service. It returns errSilent when
// no second try is possible.
func (f *Forwarder) awaitHedge(c *call, x *exchange) error {
	r := c.req
	usual := f.queue(r.Service.Name).usual.value.Load()
	if !f.hedge || usual == 0 || r.Service.AtMostOnce || r.Hop || c.stream != nil || c.tries > 1 {
		return errSilent
	}
	err := x.peek(x.start + max(usual, int64(hedgeLeast)))
	if !isTimeout(err) || x.pool.now() >= x.deadline {
		return err
	}
	if h := f.second(c); h != nil {
		return h.race(c, x)
	}
	return errSilent
}

// second prepares a second try beside the first one, for which a place must be
// free and paid for. It returns nil when there is none.
func (f *Forwarder) second(c *call) *hedge {
	r := c.req
	if r.Service.AtMostOnce || r.Hop || c.stream != nil || c.hedge != nil || c.tries >= maxTries {
		return nil
	}
	choice, reason := r.Table.Choose(&c.q, f.now(), &c.tried)
	if reason != router.OK {
		return nil
	}
	if !f.payRetry(c) {
		f.free(r.Service.Name, choice.Target)
		return nil
	}
	c.tries++
	c.tried.Add(choice)
	return f.newHedge(c, choice)
}

func (f *Forwarder) newHedge(c *call, choice router.Choice) *hedge {
	h := &hedge{f: f, choice: choice, done: make(chan result, 1)}
	req := *c.req
	req.ID = bytes.Clone(req.ID)
	h.call = &call{forwarder: c.forwarder, req: &req, q: c.q, head: c.head, base: bytes.Clone(c.base), body: bytes.Clone(c.body), size: c.size, hedge: h, tries: maxTries}
	return h
}

// race waits for the first of both tries. It returns nil when x has an answer
// and errHedged when the second try has, which is then in c.won.
func (h *hedge) race(c *call, x *exchange) error {
	go h.run(x.conn)
	err := h.await(c, x)
	if err == nil && h.state.CompareAndSwap(racing, hedgeLost) {
		h.cancel()
		return nil
	}
	if err == errGone {
		h.cancel()
	}
	res := <-h.done
	if res.outcome == OutcomeRan {
		c.won = res
		return errHedged
	}
	if isTimeout(err) {
		return errLate
	}
	return err
}

// await waits for the first try's answer until the second one has won.
func (h *hedge) await(c *call, x *exchange) error {
	for {
		until := min(x.pool.now()+int64(checkTime), x.deadline)
		if err := x.conn.SetReadDeadline(time.Unix(0, until)); err != nil {
			return err
		}
		if h.state.Load() == hedgeWon {
			return errHedged
		}
		_, err := x.conn.Reader.Peek(1)
		if !isTimeout(err) || x.pool.now() >= x.deadline {
			return err
		}
		if !x.suspected && x.pool.now()-x.start > int64(x.pool.suspicion()) {
			x.suspect()
		}
		if c.gone() {
			return errGone
		}
	}
}

// run sends the second try. If it wins, it wakes the first one, whose connection
// is not given back before that has seen the result.
func (h *hedge) run(first *pooler.Conn) {
	res := h.f.try(h.call, h.choice)
	if res.outcome != OutcomeRan {
		h.done <- res
		return
	}
	if h.state.CompareAndSwap(racing, hedgeWon) {
		_ = first.SetReadDeadline(time.Unix(1, 0))
		h.done <- res
		return
	}
	if !res.x.whole {
		res.x.abort()
		res.end(false)
	}
	res.x.release()
}

// attach notes the connection that a cancellation closes.
func (h *hedge) attach(c *pooler.Conn) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.live = c
	if h.cancelled {
		_ = c.Close()
	}
}

// detach protects a connection that others may use from now on.
func (h *hedge) detach() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.live = nil
	h.mu.Unlock()
}

func (h *hedge) cancel() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = true
	if h.live != nil {
		_ = h.live.Close()
	}
}
