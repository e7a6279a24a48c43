// Package relayer proxies requests from callers to upstreams. The dispatcher
// chooses an upstream; the relayer sends the request to it, classifies the
// result, and responds to the caller exactly once.
package relayer

import (
	"cmp"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/quarantiner"
	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/detector"
	"hornbeamstream.example/hornbeamd/guarder"
	"hornbeamstream.example/hornbeamd/pooler"
)

// RequestInfo is the data of a request header apart from method and path.
type RequestInfo struct {
	// ID identifies this attempt of the caller.
	ID []byte
	// CallerTimeout is how long the caller will wait; 0 if unknown.
	CallerTimeout time.Duration
	// Key is the affinity key, which names the object of the request; empty if
	// unknown.
	Key []byte
	// Caller identifies on whose behalf the request is sent; empty if unknown.
	Caller []byte
	// Credential is the key of a workspace; empty if there is none.
	Credential []byte
}

// ResponseInfo is the data of a response header apart from its status.
type ResponseInfo struct {
	// RequestID identifies the request that the response belongs to; empty if
	// unknown.
	RequestID []byte
	// UpstreamID is the ID of the upstream that has answered a health check.
	UpstreamID []byte
	// NotRun reports that the upstream did not run the request and never will.
	NotRun bool
	// Signed reports whether the response bears the upstream's signature.
	Signed bool
	// HasLoad reports whether Load is set.
	HasLoad bool
	Load    dispatcher.Load
	// ColdLeft is how long the upstream stays cold.
	ColdLeft time.Duration
	// Leaving reports that the upstream is shutting down. Pause is how long it
	// wants no requests from this instance; 0 if it asks for no pause.
	Leaving bool
	Pause   time.Duration
	// RateLimit is the request rate that the upstream accepts from all instances.
	RateLimit dispatcher.RateLimit
}

// HeaderCodec reads and writes the header fields of callers and upstreams.
type HeaderCodec interface {
	// ReadRequest returns the data of a request header. The result refers to h.
	ReadRequest(h *fasthttp.RequestHeader) RequestInfo
	// WriteRequest sets the header fields that address one incarnation of an
	// upstream, give it the remaining time, and name the workspace unless that is empty.
	WriteRequest(h *fasthttp.RequestHeader, upstream, workspace string, remaining time.Duration)
	// IsIdentity reports whether a caller's header field, named as fasthttp normalizes
	// it, holds a credential or names a workspace. Where workspaces are configured, such
	// a field is not passed on.
	IsIdentity(name []byte) bool
	// WriteProbe sets the header fields that address a health check to one incarnation
	// of an upstream. It must not set a request ID.
	WriteProbe(h *fasthttp.RequestHeader, upstream string)
	// ReadResponse returns the data of a response header. The result refers to
	// h.
	ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// RemoveSignature removes the upstream's signature from a response that is
	// passed on modified.
	RemoveSignature(h *fasthttp.ResponseHeader)
}

// Metrics records what the relayer does.
type Metrics interface {
	// RequestDone records a request that has been responded to. Took is the time
	// as seen by the caller.
	RequestDone(route, outcome string, took time.Duration)
	// ExchangeDone records an exchange with an upstream.
	ExchangeDone(service, result string)
	// ProbeDone records a health check: "answered", "gone" if another upstream has the
	// address now, "unidentified" or "failed".
	ProbeDone(service, result string)
	// Dialed records a new connection to an upstream.
	Dialed(service string)
	// PoolSelected records the service selected for a request whose route has several.
	PoolSelected(route, service string)
	// UpstreamSignal records a signal of an upstream: "pause", "limit" or "left".
	UpstreamSignal(service, signal string)
	// LimitedSend records a request sent to an upstream that limits its rate. Repeat
	// reports whether it had been sent to an upstream before.
	LimitedSend(service string, repeat bool)
	// CallerEvicted records a caller's connection that was closed in favor of others:
	// "bytes" or "connections" were short.
	CallerEvicted(shortage string)
}

// Config holds the dependencies and settings of a Relayer.
type Config struct {
	Tables *atomic.Pointer[dispatcher.Table]
	// Quarantine has the requests that must not be sent; nil if there are never any.
	Quarantine  *atomic.Pointer[quarantiner.Set]
	HeaderCodec HeaderCodec
	Metrics     Metrics
	Log         logr.Logger
	// Now returns the time of a monotonic clock in nanoseconds.
	Now func() int64
	// TablesValidUntil is the time until which Tables may be used; nil if they always
	// may. It has passed after a pause of the process.
	TablesValidUntil *atomic.Int64
	// OnUpstreamLeaving, if not nil, is called once for each upstream that
	// announces that it is shutting down.
	OnUpstreamLeaving func(u *dispatcher.Upstream)
	// OnUpstreamLimited, if not nil, is called for each response of an upstream that
	// limits its rate, and when such a limit has ended. The state is as of the given
	// time.
	OnUpstreamLimited func(u *dispatcher.Upstream, s steerer.RateLimitState, at int64)
	// OnUpstreamCrashed, if not nil, is called for each request that was in progress at
	// an upstream that has ended. OnRequestAnswered, if not nil, is called when an
	// upstream has answered a request that is suspected of such crashes.
	OnUpstreamCrashed func(u *dispatcher.Upstream, d quarantiner.Digest)
	OnRequestAnswered func(d quarantiner.Digest)
	// Guard recovers panics.
	Guard guarder.Recoverer
	// MaxHeldBytes limits the bytes of requests and responses that are held at the
	// same time. 0 sets the default.
	MaxHeldBytes int64
	// MaxCallerConns limits the open connections of callers; 0 means no limit.
	MaxCallerConns int
	// BodyStallTimeout limits the time between two bytes of a request's body,
	// MinBodyPace is the least number of its bytes per second. 0 sets the defaults.
	BodyStallTimeout time.Duration
	MinBodyPace      int
	// ReuseAge is how long ago an upstream connection may last have been active
	// to be reused, NonIdempotentReuseAge the same for non-idempotent requests.
	ReuseAge, NonIdempotentReuseAge time.Duration
}

// Relayer proxies the requests of callers. Use New to create one.
type Relayer struct {
	cfg        Config
	http       *fasthttp.Server
	pools      sync.Map // *dispatcher.Upstream to *pooler.Pool
	idleLimits sync.Map // service name to *pooler.IdleLimit

	// exitAt is when the process exits, 0 if that is not known. longRunsUntil is until
	// when requests are accepted that may run for longer.
	exitAt, longRunsUntil atomic.Int64
	callerConns           connTracker
	byteBudget            byteBudget
	crashes               detector.Detector[*dispatcher.Upstream]
	// shortageLoggedAt is when a shortage of connections was last logged.
	shortageLoggedAt atomic.Int64
}

const (
	// maxHeaderBytes limits the header of a request.
	maxHeaderBytes = 20 << 10
	// maxBodyBytes limits the body of a request if the configuration sets no limit.
	maxBodyBytes = 64 << 20
	// writeBufferBytes is the size of the buffer for responses.
	writeBufferBytes = 8 << 10
	// headerTimeout limits the wait for the first request on a new connection,
	// and for a complete header if the configuration sets no limit. bodyStartTimeout
	// limits the wait for the first part of a body.
	// defaultIdleTimeout limits the wait for the next request if the configuration
	// sets no limit, and writeTimeout the writing of a response.
	headerTimeout      = 10 * time.Second
	bodyStartTimeout   = 2 * headerTimeout
	defaultIdleTimeout = 120 * time.Second
	writeTimeout       = 30 * time.Second
	// defaultBodyStallTimeout and defaultMinBodyPace are the defaults of Config.
	defaultBodyStallTimeout = 10 * time.Second
	defaultMinBodyPace      = 1 << 10
	// shortageLogInterval is the time between two log lines about the same shortage.
	shortageLogInterval = time.Second
)

// New returns a Relayer.
func New(cfg Config) *Relayer {
	r := &Relayer{cfg: cfg}
	r.http = &fasthttp.Server{
		Handler:                      r.handle,
		ErrorHandler:                 r.rejectHeader,
		ReadBufferSize:               maxHeaderBytes,
		WriteBufferSize:              writeBufferBytes,
		StreamRequestBody:            true,
		ReadTimeout:                  headerTimeout,
		HeaderReceived:               r.requestConfig,
		IdleTimeout:                  defaultIdleTimeout,
		WriteTimeout:                 writeTimeout,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		ConnState:                    r.setConnState,
		Logger:                       discardLogger{},
	}
	r.callerConns = connTracker{now: cfg.Now, limit: cfg.MaxCallerConns, evict: r.evictForConn, onShortage: r.logShortage}
	r.byteBudget.Limit, r.byteBudget.evict = cmp.Or(cfg.MaxHeldBytes, defaultMaxHeldBytes), r.evictForBytes
	r.cfg.BodyStallTimeout = cmp.Or(cfg.BodyStallTimeout, defaultBodyStallTimeout)
	r.cfg.MinBodyPace = cmp.Or(cfg.MinBodyPace, defaultMinBodyPace)
	return r
}

// limits returns the request limits of the current configuration.
func (r *Relayer) limits() steerer.Limits {
	if t := r.cfg.Tables.Load(); t.HasConfig() {
		return t.View.Config.Limits
	}
	return steerer.Limits{}
}

// bodyTooLargeField marks a request whose announced body is too large. No caller can send a
// field with this name, because it has spaces.
const bodyTooLargeField = "body too large"

// requestConfig returns the limits for the first part of the body of a request whose header
// has arrived, which the server reads before it calls the handler. The handler reads the
// rest. If the announced body is too large, the server reads nothing of it.
func (r *Relayer) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit := r.maxBodyBytes()
	if h.ContentLength() > limit {
		h.SetContentLength(0)
		h.Set(bodyTooLargeField, "1")
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyStartTimeout, MaxRequestBodySize: limit}
}

// evictForBytes drops the body of a request that is being received, or closes an idle
// connection. It reports whether it did. Owner is the connection of a body that needs more
// memory; it keeps what it has unless it holds the most.
func (r *Relayer) evictForBytes(owner *conn) bool {
	victim, e := r.callerConns.selectVictim(owner, evictionCandidate.precedesForBytes, nil)
	if victim == nil || e.rank() == 0 {
		return false
	}
	if owner != nil {
		own, _ := owner.candidate(r.cfg.Now())
		own.quiet = 0
		if own.precedesForBytes(e) {
			return false
		}
	}
	if victim.evict(&r.byteBudget, true) {
		r.recordEviction("bytes")
	}
	return true
}

// evictForConn closes the connection of a caller in favor of a new one. It reports whether
// it did.
func (r *Relayer) evictForConn() bool {
	busy := map[*conn]bool{}
	for {
		victim, _ := r.callerConns.selectVictim(nil, evictionCandidate.precedesForConns, busy)
		if victim == nil {
			return false
		}
		if victim.evict(&r.byteBudget, false) {
			r.callerConns.remove(victim)
			r.recordEviction("connections")
			return true
		}
		// A request has just arrived on it.
		busy[victim] = true
	}
}

func (r *Relayer) recordEviction(shortage string) {
	r.cfg.Metrics.CallerEvicted(shortage)
	r.logShortageOf(shortage, "connections of callers are closed in favor of others")
}

// logShortage logs that accepting is delayed.
func (r *Relayer) logShortage(err error) { r.logShortageOf("descriptors", err.Error()) }

// logShortageOf logs a shortage, at most once in shortageLogInterval.
func (r *Relayer) logShortageOf(what, cause string) {
	now, last := r.cfg.Now(), r.shortageLoggedAt.Load()
	if (last == 0 || now-last >= int64(shortageLogInterval)) && r.shortageLoggedAt.CompareAndSwap(last, now) {
		r.cfg.Log.Info("shortage", "what", what, "cause", cause, "held", r.byteBudget.Used(), "connections", r.callerConns.openCount())
	}
}

// Serve serves requests on the connections that ln accepts.
func (r *Relayer) Serve(ln net.Listener) error { return r.http.Serve(listener{ln, &r.callerConns}) }

// Conns counts the connections of callers. A request is in progress until its whole
// response has been handed to the kernel.
func (r *Relayer) Conns() ConnCounts { return r.callerConns.counts() }

// StartDrain begins a graceful shutdown: each caller's connection is closed
// after its next response, or after those of the pipelined requests in
// progress. From then on no request is rerouted or started before its turn.
func (r *Relayer) StartDrain() { r.callerConns.draining.Store(true) }

func (r *Relayer) draining() bool { return r.callerConns.draining.Load() }

// EndReads ends the reading of requests: connections on which no part of a request has
// arrived are closed, and a request of which only a part has arrived is refused. The others
// are answered, and then no connection is open.
func (r *Relayer) EndReads() { r.callerConns.endReads() }

// SetExitTime sets when the process exits. Requests that may run for longer are refused, so
// that their callers go elsewhere. Until longRunsUntil, requests that may be repeated are
// accepted if they are expected to end in time, later and for other requests only if their
// deadlines are before the exit.
func (r *Relayer) SetExitTime(at, longRunsUntil int64) {
	r.longRunsUntil.Store(longRunsUntil)
	r.exitAt.Store(at)
}

const (
	// exitRunFactor is how much longer than expected a run may take before the process
	// exits.
	exitRunFactor = 2
	// ExitResponseTime is reserved before the exit for a response at the deadline.
	ExitResponseTime = 100 * time.Millisecond
)

// exitsBefore reports whether the process may exit before the end of a request.
func (r *Relayer) exitsBefore(c *call, d *dispatcher.Decision, now int64) bool {
	at := r.exitAt.Load()
	switch {
	case at == 0 || c.deadline+int64(ExitResponseTime) <= at:
		return false
	case !c.route.Idempotent || now >= r.longRunsUntil.Load():
		return true
	}
	return now+int64(exitRunFactor*float64(d.ExpectedCold)) > at
}

// Maintain closes idle connections of callers and the pools of removed
// upstreams. It is called about once a second.
func (r *Relayer) Maintain() {
	limit := r.limits().IdleTime
	if limit <= 0 {
		limit = defaultIdleTimeout
	}
	r.callerConns.closeIdle(limit)
	r.pools.Range(func(k, v any) bool {
		if k.(*dispatcher.Upstream).Closed() {
			v.(*pooler.Pool).Close()
			r.pools.Delete(k)
		}
		return true
	})
}

// CloseIdleConnections closes the callers' connections without a request in
// progress.
func (r *Relayer) CloseIdleConnections() { r.callerConns.closeIdle(0) }

// setConnState is the ConnState callback of the server.
func (r *Relayer) setConnState(c net.Conn, s fasthttp.ConnState) {
	r.callerConns.setConnState(c, s)
	caller, ok := c.(*conn)
	if !ok {
		return
	}
	switch s {
	case fasthttp.StateActive:
		caller.setPhase(receiving, r.cfg.Now())
	case fasthttp.StateIdle:
		caller.releaseHeld(&r.byteBudget)
		caller.setPhase(idle, r.cfg.Now())
	case fasthttp.StateClosed:
		caller.closed.Store(true)
		caller.releaseHeld(&r.byteBudget)
		caller.dropPipelined(&r.byteBudget)
	}
	caller.setHeaderDeadline(s == fasthttp.StateActive, r.limits().HeadTime)
}

func (r *Relayer) pool(u *dispatcher.Upstream) *pooler.Pool {
	if p, ok := r.pools.Load(u); ok {
		return p.(*pooler.Pool)
	}
	idle, _ := r.idleLimits.LoadOrStore(u.Service, &pooler.IdleLimit{})
	p, _ := r.pools.LoadOrStore(u, &pooler.Pool{Address: u.Address, IdleLimit: idle.(*pooler.IdleLimit)})
	return p.(*pooler.Pool)
}

// discardLogger discards the log lines of fasthttp, which callers could cause
// at will.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
