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

// minHedgeDelay is the minimum delay before a hedged try. Below it, timers are
// too coarse to tell slow requests from others.
const minHedgeDelay = 2 * time.Millisecond

var errHedgeWon = errors.New("hedged try responded first")

const (
	hedgeRacing int32 = iota
	// hedgeWon and hedgeLost are final.
	hedgeWon
	hedgeLost
)

// hedge is a second try that runs concurrently with the original one. It works
// on copies, because the original's memory may be reused before it ends.
type hedge struct {
	forwarder *Forwarder
	call      *call
	choice    router.Choice
	state     atomic.Int32
	done      chan result

	mu sync.Mutex
	// conn is the connection that the hedged try currently uses.
	conn      *pooler.Conn
	cancelled bool
}

// awaitHedge waits for the first byte, and starts a hedged try if that takes
// longer than the service's 95th percentile. It returns errNoFirstByte if no
// hedged try is possible.
func (f *Forwarder) awaitHedge(c *call, x *exchange) error {
	r := c.req
	firstByteP95 := f.queue(r.Service.Name).firstByteP95.value.Load()
	if !f.hedge || firstByteP95 == 0 || r.Service.AtMostOnce || r.Hop || c.stream != nil || c.tries > 1 {
		return errNoFirstByte
	}
	err := x.awaitByte(x.sentAt + max(firstByteP95, int64(minHedgeDelay)))
	if !isTimeout(err) || x.pool.now() >= x.deadline {
		return err
	}
	if h := f.prepareHedge(c); h != nil {
		return h.race(c, x)
	}
	return errNoFirstByte
}

// prepareHedge takes a slot and a retry of the budget for a hedged try. It
// returns nil if either is not available.
func (f *Forwarder) prepareHedge(c *call) *hedge {
	r := c.req
	if r.Service.AtMostOnce || r.Hop || c.stream != nil || c.hedge != nil || c.tries >= maxTries {
		return nil
	}
	choice, reason := r.Table.Choose(&c.routing, f.now(), &c.tried)
	if reason != router.OK {
		return nil
	}
	if !f.takeRetry(c) {
		f.releaseSlot(r.Service.Name, choice.Target)
		return nil
	}
	c.tries++
	c.tried.Add(choice)
	return f.newHedge(c, choice)
}

func (f *Forwarder) newHedge(c *call, choice router.Choice) *hedge {
	h := &hedge{forwarder: f, choice: choice, done: make(chan result, 1)}
	req := *c.req
	req.ID = bytes.Clone(req.ID)
	h.call = &call{forwarder: c.forwarder, req: &req, routing: c.routing, isHead: c.isHead, commonHead: bytes.Clone(c.commonHead), body: bytes.Clone(c.body), bodySize: c.bodySize, hedge: h, tries: maxTries}
	return h
}

// race runs the hedged try and waits for the first response. It returns nil if
// that is on x, and errHedgeWon if the hedged try has it, in c.hedgeResult.
func (h *hedge) race(c *call, x *exchange) error {
	go h.run(x.conn)
	err := h.awaitOriginal(c, x)
	if err == nil && h.state.CompareAndSwap(hedgeRacing, hedgeLost) {
		h.cancel()
		return nil
	}
	if err == errCallerGone {
		h.cancel()
	}
	res := <-h.done
	if res.outcome == OutcomeRan {
		c.hedgeResult = res
		return errHedgeWon
	}
	if isTimeout(err) {
		return errResponseTimeout
	}
	return err
}

// awaitOriginal waits for the original try's response until the hedged one has
// won.
func (h *hedge) awaitOriginal(c *call, x *exchange) error {
	for {
		until := min(x.pool.now()+int64(callerCheckInterval), x.deadline)
		if err := x.conn.SetReadDeadline(time.Unix(0, until)); err != nil {
			return err
		}
		if h.state.Load() == hedgeWon {
			return errHedgeWon
		}
		_, err := x.conn.Reader.Peek(1)
		if !isTimeout(err) || x.pool.now() >= x.deadline {
			return err
		}
		if !x.suspected && x.pool.now()-x.sentAt > int64(x.pool.suspicionTimeout()) {
			x.suspect()
		}
		if c.callerGone() {
			return errCallerGone
		}
	}
}

// run sends the hedged try. If it wins, it wakes the original one, which does
// not release its connection before it has received the result.
func (h *hedge) run(first *pooler.Conn) {
	res := h.forwarder.try(h.call, h.choice)
	if res.outcome != OutcomeRan {
		h.done <- res
		return
	}
	if h.state.CompareAndSwap(hedgeRacing, hedgeWon) {
		_ = first.SetReadDeadline(time.Unix(1, 0))
		h.done <- res
		return
	}
	if !res.exchange.complete {
		res.exchange.closeConn()
		res.onEnd(false)
	}
	res.exchange.release()
}

// attach sets the connection that cancel resets.
func (h *hedge) attach(c *pooler.Conn) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn = c
	if h.cancelled {
		c.Reset()
	}
}

// detach keeps cancel from resetting a connection that others may use from now
// on.
func (h *hedge) detach() {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.conn = nil
	h.mu.Unlock()
}

func (h *hedge) cancel() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelled = true
	if h.conn != nil {
		h.conn.Reset()
	}
}
