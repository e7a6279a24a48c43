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

	"hornbeamstream.example/core/collector"
	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/screener"
	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/detector"
	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// maxResponseBytes limits a response body. Responses are buffered whole
	// before any part is passed on, so that the request can be retried on
	// another upstream if one breaks off.
	maxResponseBytes = 16 << 20
	// callerPollInterval is the interval of the checks whether the caller has
	// closed its connection.
	callerPollInterval = 100 * time.Millisecond
	// maxStrayResponses limits the responses to earlier requests that are
	// skipped.
	maxStrayResponses = 4
	// resetSlack is the time that a reset may take beyond the round trip.
	resetSlack = 30 * time.Millisecond
	// minUpstreamTimeout is the shortest timeout with which a request is sent.
	minUpstreamTimeout = time.Millisecond
	// retryableResponseTimeout limits the time from the first to the last byte
	// of a response if the request can be retried. An upstream may send bytes
	// without end.
	retryableResponseTimeout = 5 * time.Second
)

var (
	errCallerClosed = errors.New("caller closed the connection")
	errSilent       = errors.New("no response within the expected time")
	errDeadline     = errors.New("no answer before the deadline")
	errIncomplete   = errors.New("response not complete in time")
	errStray        = errors.New("response belongs to another request")
	errUnsigned     = errors.New("response is not signed")
	// errWithdrawn means that the upstream takes no more requests.
	errWithdrawn = errors.New("upstream has left, asked for a pause or limited its rate since it was chosen")
	// errStaleTable means that the routing table must not be used any more: the process was
	// paused, or the configuration has been replaced.
	errStaleTable = errors.New("the routing table has become stale since the upstream was chosen")
	// errQuarantined means that the request must not be sent any more.
	errQuarantined = errors.New("request was quarantined since its upstream was chosen")
)

// exchange is one request sent to an upstream and its response, on one
// connection.
type exchange struct {
	relayer *Relayer
	call    *call
	target  *dispatcher.Upstream
	pool    *pooler.Pool
	conn    *pooler.Conn
	newConn bool
	// admittedAt is when the dispatcher admitted the request to the upstream.
	admittedAt int64
	// rerouteAt is the time at which the request is sent to another upstream, if
	// there is one.
	rerouteAt int64
	// sent reports whether a byte of the request may have reached the upstream,
	// sentAt is when it was sent.
	sent      bool
	sentAt    int64
	writeDone chan error
	response  *fasthttp.Response
	body      collector.Body
	info      ResponseInfo
	// retryable reports whether the request may be sent to another upstream
	// after this exchange, even if it has run.
	retryable bool
}

// run sends the request and reads the response. It closes the connection on
// error.
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

// observeIdle records whether a reused connection was stale. The upstream had
// dropped it while idle if it resets it within about one round trip of the
// request.
func (x *exchange) observeIdle(start int64, err error) {
	if x.newConn {
		return
	}
	now := x.relayer.cfg.Now()
	idle := time.Duration(start - x.conn.LastActive)
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
	switch {
	case err == nil:
		x.pool.IdleLimit.Observe(idle, false, now)
	case reset && time.Duration(now-start) < 2*x.target.RTT+resetSlack:
		x.pool.IdleLimit.Observe(idle, true, now)
	}
}

// send writes the request. A large one is written by a separate goroutine,
// because the response may arrive before the body has been read.
func (x *exchange) send() error {
	now := x.relayer.cfg.Now()
	remaining := time.Duration(x.call.deadline - now)
	if remaining < minUpstreamTimeout {
		return errDeadline
	}
	if x.relayer.tableUnusable(x.relayer.cfg.Tables.Load(), now) != "" {
		return errStaleTable
	}
	if x.newConn && x.relayer.quarantinedSince(x.call, now) {
		return errQuarantined
	}
	// The upstream may have been withdrawn, or have limited its rate, during the wait
	// for a connection.
	ok, limited := x.target.BeginSend(x.admittedAt, now)
	if !ok {
		return errWithdrawn
	}
	x.sentAt = now
	if limited {
		x.relayer.cfg.Metrics.LimitedSend(x.call.pool.Name, x.call.sends > 1)
	}
	header := x.call.encodedHeader(x.target.ID, remaining)
	if err := x.conn.SetWriteDeadline(time.Now().Add(remaining)); err != nil {
		return err
	}
	if len(header)+x.call.body.size <= pooler.MinSendBufferBytes {
		n, err := x.conn.Write(x.call.body.appendTo(header))
		x.sent = n > 0
		return err
	}
	x.sent = true
	x.writeDone = make(chan error, 1)
	buffers := append(net.Buffers{header}, x.call.body.segments...)
	go func(conn *pooler.Conn) {
		_, err := conn.WriteBuffers(&buffers)
		x.writeDone <- err
	}(x.conn)
	return nil
}

// awaitResponse waits for the first byte of the response. It polls whether the
// caller has closed its connection.
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
			// A non-idempotent request continues, because it may have run.
			return errCallerClosed
		}
		x.relayer.pollPipelined(x.call)
	}
}

// readResponse reads the response. It skips responses to earlier requests,
// which an upstream may have sent twice.
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
			x.body.Discard()
			continue
		}
		if err = x.validate(); err == nil {
			x.applySignals()
		}
		return err
	}
	return errStray
}

// readOneResponse reads one response, which must be complete at the given time.
// It polls whether the caller has closed its connection.
func (x *exchange) readOneResponse(end int64) error {
	x.response.Reset()
	if err := screener.Await(x.conn.Reader); err != nil {
		return err
	}
	header := &x.response.Header
	if err := header.Read(x.conn.Reader); err != nil {
		return err
	}
	// Parsed before the body is read, because trailer fields are added to the
	// header.
	x.info = x.relayer.cfg.HeaderCodec.ReadResponse(header)
	if !screener.HasBody(header, x.call.isHead) {
		return nil
	}
	body := screener.NewBody(x.conn.Reader, header.ContentLength(), header)
	next := x.relayer.cfg.Now() + int64(callerPollInterval)
	return x.body.Read(body, header.ContentLength(), func() error {
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

// applySignals applies what the upstream asks for, before its response is
// passed on. Signals from another incarnation at the same address are ignored.
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
	x.applyLimit()
}

// applyLimit records the limit that the response states. A response without one ends a
// limit only if it is signed, since another one may not be the upstream's.
func (x *exchange) applyLimit() {
	cfg := &x.relayer.cfg
	if !x.info.RateLimit.Stated && !x.info.Signed {
		return
	}
	now := cfg.Now()
	c := x.target.ObserveRateLimit(x.info.RateLimit, x.sentAt, now)
	if cfg.OnUpstreamLimited != nil && (x.info.RateLimit.Valid || c.Changed) {
		at := now
		if !c.Active {
			at = x.sentAt
		}
		cfg.OnUpstreamLimited(x.target, steerer.RateLimitState{InForce: c.Active, PerSecond: c.PerSecond}, at)
	}
	switch {
	case !c.Changed:
	case c.Active:
		cfg.Metrics.UpstreamSignal(x.call.pool.Name, "limit")
		cfg.Log.Info("limited by upstream", "upstream", x.target.ID, "id", string(x.call.id), "status", x.response.StatusCode(), "limit", c.PerSecond)
	default:
		cfg.Log.Info("limit of upstream ended", "upstream", x.target.ID, "id", string(x.call.id), "limit", c.PerSecond, "sends", c.Sends)
	}
}

// validate rejects responses that cannot be the upstream's response to this
// request.
func (x *exchange) validate() error {
	status := x.response.StatusCode()
	refused := x.info.NotRun || status == fasthttp.StatusMisdirectedRequest
	switch {
	case len(x.info.RequestID) == 0 && !x.newConn:
		// It may be an earlier response once more, a refusal too.
		return errStray
	case refused:
		return nil
	case status < 300 && !x.info.Signed:
		return errUnsigned
	}
	return nil
}

// releaseConn returns the connection to the pool if it can be reused, and
// closes it otherwise.
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

// selfDelimited reports whether the end of the response is marked other than by
// closing the connection.
func (x *exchange) selfDelimited() bool {
	n := x.response.Header.ContentLength()
	return n >= 0 || n == -1 || x.call.isHead
}

func (x *exchange) abort() {
	x.body.Discard()
	if x.conn != nil {
		x.pool.Discard(x.conn)
		x.conn = nil
	}
}

// keepAliveTimeout returns the timeout of the Keep-Alive header, or 0.
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

// connLost reports whether the exchange failed because its connection ended after the
// request had been sent.
func (x *exchange) connLost(err error) bool {
	return x.sent && detector.IsConnLost(err)
}

// isDialTimeout reports whether err is a timeout of a dial.
func isDialTimeout(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && op.Timeout()
}

// isDialError reports whether err means that the connection to the upstream
// could not be opened.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) && op.Op == "dial"
}
