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
	maxResponseBytes = 16 << 20
	// checkTime is the time between two looks at the caller's connection.
	callerPollInterval = 100 * time.Millisecond
	// maxStrays bounds the answers to earlier requests that are skipped.
	maxStrayResponses = 4
	// resetSlack is the time that a reset may take beyond the round trip.
	resetSlack = 30 * time.Millisecond
	// leastLeft is the least time that an upstream is given.
	minUpstreamTimeout = time.Millisecond
	// answerTime bounds the time from an answer's first byte to its last one if
	// another upstream can be asked. Bytes may come without end.
	retryableResponseTimeout = 5 * time.Second
)

var (
	errCallerClosed = errors.New("the caller has closed its connection")
	errSilent       = errors.New("no answer in the time that it should have taken")
	errDeadline     = errors.New("no answer before the deadline")
	errIncomplete   = errors.New("the answer has begun and did not end in time")
	errStray        = errors.New("the answer belongs to another request")
	errUnsigned     = errors.New("the answer is not signed")
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
	newConn bool
	// patience is the time after which the request is rather sent to another
	// upstream, if there is one.
	rerouteAt int64
	// sent tells that a byte of the request may have reached the upstream.
	sent      bool
	writeDone chan error
	response  *fasthttp.Response
	body      body
	info      ResponseInfo
	// repeatable tells that the request may be sent to another upstream after this
	// exchange, even if it has run.
	retryable bool
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
	if x.conn, x.newConn, err = x.pool.Get(since, now, c.deadline, x.target.Conns()); err != nil {
		return err
	}
	if x.newConn {
		x.relayer.cfg.Metrics.Dialed(c.pool.Name)
		if c.callerClosed() {
			return errCallerClosed
		}
	}
	if err = x.send(); err != nil {
		return err
	}
	err = x.awaitResponse()
	x.observeIdle(now, err)
	if err != nil {
		return err
	}
	if err = x.readResponse(); err != nil {
		return err
	}
	x.releaseConn()
	return nil
}

// learnIdle notes whether the upstream knew a connection that had been idle. If it
// has reset it about a round trip after the request was sent, it had forgotten it.
func (x *exchange) observeIdle(began int64, err error) {
	if x.newConn {
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
	if left < minUpstreamTimeout {
		return errDeadline
	}
	// The request may have waited for a connection.
	if !x.target.Available(now) {
		return errWithdrawn
	}
	wire := x.call.encoded(x.target.ID, left)
	if err := x.conn.SetWriteDeadline(time.Now().Add(left)); err != nil {
		return err
	}
	if len(wire) <= pooler.MinSendBufferBytes {
		n, err := x.conn.Write(wire)
		x.sent = n > 0
		return err
	}
	x.sent = true
	x.writeDone = make(chan error, 1)
	go func(conn net.Conn) {
		_, err := conn.Write(wire)
		x.writeDone <- err
	}(x.conn.Conn)
	return nil
}

// await waits for the first byte of the answer. From time to time it looks
// whether the caller is still there.
func (x *exchange) awaitResponse() error {
	for {
		now := x.relayer.cfg.Now()
		until := min(x.rerouteAt, x.call.deadline, now+int64(callerPollInterval))
		_ = x.conn.SetReadDeadline(time.Now().Add(time.Duration(until - now)))
		_, err := x.conn.Reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		now = x.relayer.cfg.Now()
		switch {
		case now >= x.call.deadline:
			return errDeadline
		case now >= x.rerouteAt && x.relayer.reroute(x.call, x.target):
			return errSilent
		case now >= x.rerouteAt:
			x.rerouteAt = now + int64(minRerouteDelay)
		case x.call.route.Idempotent && x.call.callerClosed():
			// Another request goes on, because it may have run.
			return errCallerClosed
		}
		x.relayer.pollPipelined(x.call)
	}
}

// read reads the answer. It skips answers to earlier requests, which an
// upstream may have sent twice.
func (x *exchange) readResponse() error {
	now := x.relayer.cfg.Now()
	end := x.call.deadline
	if x.retryable {
		end = min(end, now+int64(retryableResponseTimeout))
	}
	_ = x.conn.SetReadDeadline(time.Now().Add(time.Duration(end - now)))
	for range maxStrayResponses {
		err := x.readOneResponse(end)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = errIncomplete
			if x.relayer.cfg.Now() >= x.call.deadline {
				err = errDeadline
			}
		}
		if err != nil {
			return err
		}
		if id := x.info.RequestID; len(id) > 0 && !bytes.Equal(id, x.call.id) {
			x.body.discard()
			continue
		}
		if err = x.validate(); err == nil {
			x.applySignals()
		}
		return err
	}
	return errStray
}

// readOne reads one answer, which must have arrived at the given time. From time
// to time it looks whether the caller is still there.
func (x *exchange) readOneResponse(end int64) error {
	x.response.Reset()
	x.response.SkipBody = x.call.isHead
	x.response.StreamBody = true
	if err := x.response.ReadLimitBody(x.conn.Reader, 0); err != nil {
		return err
	}
	// Before the body, whose trailer would join the head.
	x.info = x.relayer.cfg.HeaderCodec.ReadResponse(&x.response.Header)
	if !x.response.IsBodyStream() {
		return nil
	}
	defer func() { _ = x.response.CloseBodyStream() }()
	next := x.relayer.cfg.Now() + int64(callerPollInterval)
	return x.body.read(x.response.BodyStream(), x.response.Header.ContentLength(), func() error {
		now := x.relayer.cfg.Now()
		switch {
		case now >= end:
			return os.ErrDeadlineExceeded
		case now < next:
			return nil
		}
		next = now + int64(callerPollInterval)
		if x.call.route.Idempotent && x.call.callerClosed() {
			return errCallerClosed
		}
		return nil
	})
}

// obey takes note of what the upstream asks for, before its answer is passed on.
// What another incarnation at the address says is not its own.
func (x *exchange) applySignals() {
	cfg, status, service := &x.relayer.cfg, x.response.StatusCode(), x.call.pool.Name
	if status == fasthttp.StatusMisdirectedRequest {
		return
	}
	if x.info.Leaving && x.target.MarkDraining() {
		cfg.Metrics.UpstreamSignal(service, "left")
		if cfg.OnUpstreamLeaving != nil {
			cfg.OnUpstreamLeaving(x.target)
		}
	}
	if x.info.Pause > 0 {
		now := cfg.Now()
		until := x.target.Pause(x.info.Pause, now)
		cfg.Metrics.UpstreamSignal(service, "pause")
		cfg.Log.Info("paused by upstream", "upstream", x.target.ID, "id", string(x.call.id), "status", status,
			"asked", x.info.Pause.Milliseconds(), "left", (until-now)/int64(time.Millisecond))
	}
}

// check refuses answers that no upstream can have given to this request.
func (x *exchange) validate() error {
	status := x.response.StatusCode()
	refused := x.info.NotRun || status == fasthttp.StatusMisdirectedRequest
	switch {
	case refused:
		return nil
	case len(x.info.RequestID) == 0 && !x.newConn:
		return errStray
	case status < 300 && !x.info.Signed:
		return errUnsigned
	}
	return nil
}

// settle puts the connection back if the exchange has left it clean.
func (x *exchange) releaseConn() {
	now := x.relayer.cfg.Now()
	clean := x.conn.Reader.Buffered() == 0 && !x.response.ConnectionClose() && x.selfDelimited()
	if x.writeDone != nil {
		select {
		case err := <-x.writeDone:
			clean = clean && err == nil
		default:
			clean = false
		}
	}
	if keep := keepAliveTimeout(&x.response.Header); keep > 0 {
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
func (x *exchange) selfDelimited() bool {
	n := x.response.Header.ContentLength()
	return n >= 0 || n == -1 || x.call.isHead
}

func (x *exchange) abort() {
	x.body.discard()
	if x.conn != nil {
		x.pool.Discard(x.conn)
		x.conn = nil
	}
}

// keepAlive reads the time for which the other end keeps an idle connection.
func keepAliveTimeout(h *fasthttp.ResponseHeader) time.Duration {
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
func isDialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// unreached tells whether an error means that the upstream could not be
// connected to.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial"
}
