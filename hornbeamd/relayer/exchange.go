package relayer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// answerSize bounds the body of an answer in bytes. Answers are read as a
	// whole before any of it is passed on, so that one that breaks off can be
	// fetched from another upstream.
	answerSize = 16 << 20
	// checkTime is the time between two looks at the caller's connection.
	checkTime = 100 * time.Millisecond
	// maxStrays bounds the answers to earlier requests that are skipped.
	maxStrays = 4
	// resetSlack is the time that a reset may take beyond the round trip.
	resetSlack = 30 * time.Millisecond
	// leastLeft is the least time that an upstream is given.
	leastLeft = time.Millisecond
	// answerTime bounds the time from an answer's first byte to its last one if
	// another upstream can be asked. Bytes may come without end.
	answerTime = 5 * time.Second
)

var (
	errGone    = errors.New("the caller has closed its connection")
	errSilent  = errors.New("no answer in the time that it should have taken")
	errLate    = errors.New("no answer before the deadline")
	errStalled = errors.New("the answer has begun and did not end in time")
	errStray   = errors.New("the answer belongs to another request")
	errSpoilt  = errors.New("the answer is not signed")
	// errWithdrawn means that the upstream wants no more requests.
	errWithdrawn = errors.New("the upstream has left or pauses since it was chosen")
)

// exchange is one request and its answer on one connection.
type exchange struct {
	relayer *Relayer
	call    *call
	target  *dispatcher.Upstream
	pool    *pooler.Pool
	conn    *pooler.Conn
	fresh   bool
	// patience is the time after which the request is rather sent to another
	// upstream, if there is one.
	patience int64
	// sent tells that a byte of the request may have reached the upstream.
	sent    bool
	wrote   chan error
	answer  *fasthttp.Response
	body    body
	verdict ResponseInfo
	// repeatable tells that the request may be sent to another upstream after this
	// exchange, even if it has run.
	repeatable bool
}

// run sends the request and reads its answer. After an error the connection is
// closed.
func (x *exchange) run() (err error) {
	defer func() {
		if err != nil {
			x.abort()
			err = fmt.Errorf("upstream %s: %w", x.target.ID, err)
		}
	}()
	c := x.call
	now := x.relayer.cfg.Now()
	since := now - int64(x.relayer.cfg.ReuseAge)
	if !c.route.Idempotent {
		since = now - int64(min(x.relayer.cfg.NonIdempotentReuseAge, x.pool.IdleLimit.StrictLimit(now)))
	}
	if x.conn, x.fresh, err = x.pool.Get(since, now, c.deadline, x.target.Conns()); err != nil {
		return err
	}
	if x.fresh {
		x.relayer.cfg.Metrics.Dialed(c.pool.Name)
		if c.gone() {
			return errGone
		}
	}
	if err = x.send(); err != nil {
		return err
	}
	err = x.await()
	x.learnIdle(now, err)
	if err != nil {
		return err
	}
	if err = x.read(); err != nil {
		return err
	}
	x.settle()
	return nil
}

// learnIdle notes whether the upstream knew a connection that had been idle. If it
// has reset it about a round trip after the request was sent, it had forgotten it.
func (x *exchange) learnIdle(began int64, err error) {
	if x.fresh {
		return
	}
	now := x.relayer.cfg.Now()
	idle := time.Duration(began - x.conn.LastActive)
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	switch {
	case err == nil:
		x.pool.IdleLimit.Observe(idle, false, now)
	case reset && time.Duration(now-began) < 2*x.target.RTT+resetSlack:
		x.pool.IdleLimit.Observe(idle, true, now)
	}
}

// send writes the request. A large body is written beside the wait for the
// answer, which may come before the body has been taken.
func (x *exchange) send() error {
	now := x.relayer.cfg.Now()
	left := time.Duration(x.call.deadline - now)
	if left < leastLeft {
		return errLate
	}
	// The request may have waited for a connection.
	if !x.target.Available(now) {
		return errWithdrawn
	}
	wire := x.call.wire(x.target.ID, left)
	if err := x.conn.SetWriteDeadline(time.Now().Add(left)); err != nil {
		return err
	}
	if len(wire) <= pooler.MinSendBufferBytes {
		n, err := x.conn.Write(wire)
		x.sent = n > 0
		return err
	}
	x.sent = true
	x.wrote = make(chan error, 1)
	go func(conn net.Conn) {
		_, err := conn.Write(wire)
		x.wrote <- err
	}(x.conn.Conn)
	return nil
}

// await waits for the first byte of the answer. From time to time it looks
// whether the caller is still there.
func (x *exchange) await() error {
	for {
		now := x.relayer.cfg.Now()
		until := min(x.patience, x.call.deadline, now+int64(checkTime))
		_ = x.conn.SetReadDeadline(time.Now().Add(time.Duration(until - now)))
		_, err := x.conn.Reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		now = x.relayer.cfg.Now()
		switch {
		case now >= x.call.deadline:
			return errLate
		case now >= x.patience && x.relayer.reroute(x.call, x.target):
			return errSilent
		case now >= x.patience:
			x.patience = now + int64(minPatience)
		case x.call.route.Idempotent && x.call.gone():
			// Another request goes on, because it may have run.
			return errGone
		}
		x.relayer.lookBehind(x.call)
	}
}

// read reads the answer. It skips answers to earlier requests, which an
// upstream may have sent twice.
func (x *exchange) read() error {
	now := x.relayer.cfg.Now()
	end := x.call.deadline
	if x.repeatable {
		end = min(end, now+int64(answerTime))
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(time.Duration(end - now)))
	for range maxStrays {
		err := x.readOne(end)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errStalled
			if x.relayer.cfg.Now() >= x.call.deadline {
				err = errLate
			}
		}
		if err != nil {
			return err
		}
		if id := x.verdict.RequestID; len(id) > 0 && !bytes.Equal(id, x.call.id) {
			x.body.drop()
			continue
		}
		if err = x.check(); err == nil {
			x.obey()
		}
		return err
	}
	return errStray
}

// readOne reads one answer, which must have arrived at the given time. From time
// to time it looks whether the caller is still there.
func (x *exchange) readOne(end int64) error {
	x.answer.Reset()
	x.answer.SkipBody = x.call.head
	x.answer.StreamBody = true
	if err := x.answer.ReadLimitBody(x.conn.Reader, 0); err != nil {
		return err
	}
	// Before the body, whose trailer would join the head.
	x.verdict = x.relayer.cfg.HeaderCodec.ReadResponse(&x.answer.Header)
	if !x.answer.IsBodyStream() {
		return nil
	}
	defer func() { _ = x.answer.CloseBodyStream() }()
	next := x.relayer.cfg.Now() + int64(checkTime)
	return x.body.read(x.answer.BodyStream(), x.answer.Header.ContentLength(), func() error {
		now := x.relayer.cfg.Now()
		switch {
		case now >= end:
			return os.ErrDeadlineExceeded
		case now < next:
			return nil
		}
		next = now + int64(checkTime)
		if x.call.route.Idempotent && x.call.gone() {
			return errGone
		}
		return nil
	})
}

// obey takes note of what the upstream asks for, before its answer is passed on.
// What another incarnation at the address says is not its own.
func (x *exchange) obey() {
	cfg, status, service := &x.relayer.cfg, x.answer.StatusCode(), x.call.pool.Name
	if status == fasthttp.StatusMisdirectedRequest {
		return
	}
	if x.verdict.Leaving && x.target.MarkDraining() {
		cfg.Metrics.UpstreamSignal(service, "left")
		if cfg.OnUpstreamLeaving != nil {
			cfg.OnUpstreamLeaving(x.target)
		}
	}
	if x.verdict.Pause > 0 {
		now := cfg.Now()
		until := x.target.Pause(x.verdict.Pause, now)
		cfg.Metrics.UpstreamSignal(service, "pause")
		cfg.Log.Info("paused by upstream", "upstream", x.target.ID, "id", string(x.call.id), "status", status,
			"asked", x.verdict.Pause.Milliseconds(), "left", (until-now)/int64(time.Millisecond))
	}
}

// check refuses answers that no upstream can have given to this request.
func (x *exchange) check() error {
	status := x.answer.StatusCode()
	refused := x.verdict.NotRun || status == fasthttp.StatusMisdirectedRequest
	switch {
	case refused:
		return nil
	case len(x.verdict.RequestID) == 0 && !x.fresh:
		return errStray
	case status < 300 && !x.verdict.Signed:
		return errSpoilt
	}
	return nil
}

// settle puts the connection back if the exchange has left it clean.
func (x *exchange) settle() {
	now := x.relayer.cfg.Now()
	clean := x.conn.Reader.Buffered() == 0 && !x.answer.ConnectionClose() && x.framed()
	if x.wrote != nil {
		select {
		case err := <-x.wrote:
			clean = clean && err == nil
		default:
			clean = false
		}
	}
	if keep := keepAlive(&x.answer.Header); keep > 0 {
		x.pool.SetPeerIdleTimeout(keep)
	}
	if clean {
		x.pool.Put(x.conn, now)
	} else {
		x.pool.Discard(x.conn)
	}
	x.conn = nil
}

// framed tells whether the answer's end was marked otherwise than by the end of
// the connection.
func (x *exchange) framed() bool {
	n := x.answer.Header.ContentLength()
	return n >= 0 || n == -1 || x.call.head
}

func (x *exchange) abort() {
	x.body.drop()
	if x.conn != nil {
		x.pool.Discard(x.conn)
		x.conn = nil
	}
}

// keepAlive reads the time for which the other end keeps an idle connection.
func keepAlive(h *fasthttp.ResponseHeader) time.Duration {
	v := h.Peek(fasthttp.HeaderKeepAlive)
	i := bytes.Index(v, []byte("timeout="))
	if i < 0 {
		return 0
	}
	v = v[i+len("timeout="):]
	if j := bytes.IndexAny(v, ", "); j >= 0 {
		v = v[:j]
	}
	n, err := strconv.Atoi(string(v))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// dialTimeout tells whether an error means that no connection could be opened in
// time.
func dialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// unreached tells whether an error means that the upstream could not be
// connected to.
func unreached(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial"
}
