// Package relayer carries requests between callers and upstreams. The
// dispatcher decides where a request goes; the relayer sends it there, judges
// what comes back, and answers the caller exactly once.
package relayer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/steerer"
	"hornbeamstream.example/hornbeamd/guarder"
	"hornbeamstream.example/hornbeamd/pooler"
)

// Inbound is what the head of a request says apart from method and path.
type RequestInfo struct {
	// ID names the attempt of the caller.
	ID []byte
	// Left is the time that the caller will wait; 0 if it does not say.
	CallerTimeout time.Duration
	// Key names the object that the request concerns; empty if unknown.
	Key []byte
}

// Verdict is what the head of an answer says apart from its status.
type ResponseInfo struct {
	// ID names the request that the answer belongs to; empty if it does not say.
	RequestID []byte
	// NotRun tells that the upstream did not run the request and never will.
	NotRun bool
	// Signed tells that the answer bears the upstream's signature.
	Signed bool
	// Reported tells that Load was given.
	HasLoad bool
	Load    dispatcher.Load
	// ColdLeft is how long the upstream stays cold.
	ColdLeft time.Duration
	// Leaving tells that the upstream leaves. Pause is how long it wants no request
	// of this instance; 0 if it does not say.
	Leaving bool
	Pause   time.Duration
}

// Dialect reads and writes the header fields of callers and upstreams.
type HeaderCodec interface {
	// Read returns what a request's head says. The result refers to the head.
	ReadRequest(h *fasthttp.RequestHeader) RequestInfo
	// Address marks a request for one incarnation of an upstream, which may work
	// on it for the time that is left.
	WriteRequest(h *fasthttp.RequestHeader, upstream string, left time.Duration)
	// Judge returns what an answer's head says. The result refers to the head.
	ReadResponse(h *fasthttp.ResponseHeader) ResponseInfo
	// Unsign removes the upstream's signature from an answer that is not passed
	// on as it is.
	RemoveSignature(h *fasthttp.ResponseHeader)
}

// Metrics counts what the relayer does.
type Metrics interface {
	// Answered counts an answered request. Took is the time as the caller sees it.
	RequestDone(route, outcome string, took time.Duration)
	// Tried counts one exchange with an upstream.
	ExchangeDone(service, result string)
	// Dialed counts a new connection to an upstream.
	Dialed(service string)
	// Asked counts what an upstream has asked for: a pause or to be left.
	UpstreamSignal(service, what string)
}

// Config has the parts that a Relayer needs.
type Config struct {
	Tables      *atomic.Pointer[dispatcher.Table]
	HeaderCodec HeaderCodec
	Metrics     Metrics
	Log         logr.Logger
	// Now gives the time in nanoseconds on a monotonic clock.
	Now func() int64
	// Alive is when the table was last known to be looked after; nil if nobody
	// tells. After a pause of the process it is old.
	Heartbeat *atomic.Int64
	// Departed is told once of an upstream that has said that it leaves; nil if
	// nobody wants to know.
	OnUpstreamLeaving func(u *dispatcher.Upstream)
	// Guard takes panics.
	Guard guarder.Recoverer
	// Memory bounds the bytes of answers that are held at the same time, beside a
	// small part of each. 0 sets the usual bound.
	MaxBufferedBytes int64
	// Reuse is how recently a connection to an upstream must have worked to be
	// used again, Proven the same for a request that must not run twice.
	ReuseAge, NonIdempotentReuseAge time.Duration
}

// Relayer serves callers. New makes one.
type Relayer struct {
	cfg   Config
	http  *fasthttp.Server
	pools sync.Map // *dispatcher.Upstream to *pooler.Pool
	idles sync.Map // name of a service to *pooler.Idle

	closing atomic.Bool
	conns   callers
	buffers buffers
}

const (
	// headSize bounds the head of a request in bytes.
	headSize = 20 << 10
	// bodySize bounds the body of a request in bytes.
	bodySize = 64 << 20
	// chunkSize is the size of the buffer for answers.
	chunkSize = 8 << 10
	// headTime bounds the wait for a request on a new connection and the arrival
	// of a head if the configuration sets no bound, bodyTime that of a body,
	// idleLimit the wait for the next request if the configuration sets none,
	// writeTime the taking of an answer.
	headTime  = 10 * time.Second
	bodyTime  = 30 * time.Second
	idleLimit = 120 * time.Second
	writeTime = 30 * time.Second
)

// New returns a Relayer.
func New(cfg Config) *Relayer {
	r := &Relayer{cfg: cfg}
	r.http = &fasthttp.Server{
		Handler:                      r.handle,
		ErrorHandler:                 malformed,
		ReadBufferSize:               headSize,
		WriteBufferSize:              chunkSize,
		MaxRequestBodySize:           bodySize,
		ReadTimeout:                  headTime,
		HeaderReceived:               r.bound,
		IdleTimeout:                  idleLimit,
		WriteTimeout:                 writeTime,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
		ConnState:                    r.note,
		Logger:                       silent{},
	}
	r.conns.now = cfg.Now
	r.buffers.limit = cfg.MaxBufferedBytes
	if r.buffers.limit <= 0 {
		r.buffers.limit = buffersSize
	}
	return r
}

// limits returns what the configuration in force allows callers to send.
func (r *Relayer) limits() steerer.Limits {
	if t := r.cfg.Tables.Load(); t.HasConfig() {
		return t.View.Config.Limits
	}
	return steerer.Limits{}
}

// bound limits the body of a request whose head has arrived.
func (r *Relayer) bound(*fasthttp.RequestHeader) fasthttp.RequestConfig {
	size := r.limits().BodyBytes
	if size <= 0 {
		size = bodySize
	}
	return fasthttp.RequestConfig{ReadTimeout: bodyTime, MaxRequestBodySize: size}
}

// Serve answers requests on the connections that ln accepts.
func (r *Relayer) Serve(ln net.Listener) error { return r.http.Serve(listener{ln}) }

// Active is the number of connections on which a request is in hand. It counts
// until the whole answer has been handed to the kernel.
func (r *Relayer) ActiveConns() int { return r.conns.active() }

// Leave closes each caller's connection after its next answer.
func (r *Relayer) StartDrain() { r.closing.Store(true) }

// Maintain closes idle connections of callers and the pools of upstreams that
// are gone. It is called about once a second.
func (r *Relayer) Maintain() {
	limit := r.limits().IdleTime
	if limit <= 0 {
		limit = idleLimit
	}
	r.conns.closeIdle(limit)
	r.pools.Range(func(k, v any) bool {
		if k.(*dispatcher.Upstream).Closed() {
			v.(*pooler.Pool).Close()
			r.pools.Delete(k)
		}
		return true
	})
}

// CloseIdle closes the callers' connections on which no request is in hand.
func (r *Relayer) CloseIdleConnections() { r.conns.closeIdle(0) }

// note takes over a change of a caller's connection.
func (r *Relayer) note(c net.Conn, s fasthttp.ConnState) {
	r.conns.note(c, s)
	cc, ok := c.(*conn)
	if !ok {
		return
	}
	if s == fasthttp.StateIdle || s == fasthttp.StateClosed {
		r.buffers.give(cc.end())
	}
	cc.expectHead(s == fasthttp.StateActive, r.limits().HeadTime)
}

func (r *Relayer) pool(u *dispatcher.Upstream) *pooler.Pool {
	if p, ok := r.pools.Load(u); ok {
		return p.(*pooler.Pool)
	}
	idle, _ := r.idles.LoadOrStore(u.Service, &pooler.IdleLimit{})
	p, _ := r.pools.LoadOrStore(u, &pooler.Pool{Address: u.Address, IdleLimit: idle.(*pooler.IdleLimit)})
	return p.(*pooler.Pool)
}

// silent drops the codec's log lines, which callers could cause at will.
type silent struct{}

func (silent) Printf(string, ...any) {}
