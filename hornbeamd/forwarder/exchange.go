package forwarder

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/hornbeamd/pooler"
)

const (
	// keepSize bounds the answers that are read as a whole before they are
	// passed on, and those that are kept for repeats. Larger ones are streamed.
	keepSize = 64 << 10
	// Bounds of the time after which an exchange without a byte of an answer
	// is suspected, and the multiple of the usual 99th percentile.
	minSuspicion   = 100 * time.Millisecond
	maxSuspicion   = 2 * time.Second
	firstSuspicion = time.Second
	suspicionShare = 5
	// leastShare is that multiple for paths whose usual time is long.
	leastShare = 3
	// finalShare is the multiple of the suspicion time after which an exchange
	// of a once-service is given up, but not before minFinal:
	// a pause of an upstream should not make outcomes unknown.
	finalShare = 4
	minFinal   = time.Second
	// checkTime is the time between two looks at the caller's connection.
	checkTime = 50 * time.Millisecond
	// maxFinal is longer than any request may run. The deadline ends exchanges
	// with upstreams whose usual time is not known.
	maxFinal = time.Hour
)

var (
	errSilent   = errors.New("no byte of an answer came in time")
	errLate     = errors.New("no whole answer came before the deadline")
	errOther    = errors.New("the answer names another request")
	errUnframed = errors.New("the answer does not tell its length")
	errGone     = errors.New("the caller has closed its connection")
	errCut      = errors.New("the caller's body ended early")
)

// exchange is one request and its answer on one connection. It owns its
// buffers, so that no answer is written into memory that a caller uses.
type exchange struct {
	pool *pool
	conn *pooler.Conn
	// fresh tells that the connection was opened for this exchange.
	fresh    bool
	deadline int64
	// probing tells that this is no request but a probe.
	probing bool
	// suspected tells that the answer has not begun within the suspicion time.
	suspected bool
	// sent tells that a byte of the request may have reached the other end.
	sent bool
	// start is the time at which the request was written, first that of the
	// first byte of the answer.
	start, first int64

	wire   []byte
	header fasthttp.ResponseHeader
	body   []byte
	// whole tells that body has the whole answer. Otherwise length is what the
	// answer announced, or -1 when it comes in chunks.
	whole   bool
	length  int
	chunks  io.Reader
	trailed bool
}

var exchanges = sync.Pool{New: func() any { return new(exchange) }}

func acquireExchange() *exchange { return exchanges.Get().(*exchange) }

// release gives the exchange back. Its connection must have been put back or
// discarded.
func (x *exchange) release() {
	if cap(x.body) > 2*keepSize || cap(x.wire) > 2*keepSize {
		return
	}
	x.header.Reset()
	wire, body := x.wire[:0], x.body[:0]
	x.pool, x.conn, x.chunks = nil, nil, nil
	x.probing, x.fresh, x.sent, x.whole, x.trailed, x.suspected = false, false, false, false, false, false
	x.deadline, x.start, x.first, x.length = 0, 0, 0, 0
	x.wire, x.body = wire, body
	exchanges.Put(x)
}

// send writes the request. After an error, sent tells whether any byte of it
// can have arrived.
func (x *exchange) send(body io.Reader, size int64) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("send: %w", err)
		}
	}()
	if err = x.conn.SetSendDeadline(body != nil || len(x.wire) > pooler.MinSendBufferBytes, x.deadline); err != nil {
		return err
	}
	x.start = x.pool.now()
	if x.start >= x.deadline {
		return errExpired
	}
	n, err := x.conn.Write(x.wire)
	x.sent = n > 0
	if err != nil || body == nil {
		return err
	}
	err = x.copyBody(body, size)
	x.start = x.pool.now()
	return err
}

func (x *exchange) copyBody(body io.Reader, size int64) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for size > 0 {
		n, err := body.Read((*buf)[:min(size, int64(len(*buf)))])
		if n > 0 {
			if _, werr := x.conn.Write((*buf)[:n]); werr != nil {
				return werr
			}
			size -= int64(n)
		}
		if err != nil && size > 0 {
			return fmt.Errorf("%w: %w", errCut, err)
		}
	}
	return nil
}

// await waits for the first byte of the answer for some time or until the
// deadline. On silence it drops the idle connections that may be silent too.
// From time to time it asks gone whether anybody still wants the answer.
func (x *exchange) await(c *call, wait time.Duration) error {
	until := min(x.start+int64(wait), x.deadline)
	for {
		err := x.peek(min(until, x.pool.now()+int64(checkTime)))
		if !isTimeout(err) {
			return err
		}
		now := x.pool.now()
		if now >= x.deadline {
			return errLate
		}
		if now >= until {
			x.suspect()
			return errSilent
		}
		if c.gone() {
			return errGone
		}
	}
}

// suspect drops the idle connections that may be silent too.
func (x *exchange) suspect() {
	x.suspected = true
	x.pool.dropIdle(x.start)
}

// peek waits for a byte until the given time or the deadline.
func (x *exchange) peek(until int64) error {
	if err := x.conn.SetReadDeadline(time.Unix(0, min(until, x.deadline))); err != nil {
		return err
	}
	_, err := x.conn.Reader.Peek(1)
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// suspicion is the time after which silence is suspicious: several times the
// usual time of the path, and while that is not well known, of the service.
func (p *pool) suspicion() time.Duration {
	usual := time.Duration(p.typical.value.Load())
	if p.typical.count.Load() < fewValues {
		return max(firstSuspicion, suspicionShare*usual, suspicionShare*time.Duration(p.usual.value.Load()))
	}
	return min(max(suspicionShare*usual, minSuspicion), max(maxSuspicion, leastShare*usual))
}

// final is the time after which silence ends an exchange.
func (p *pool) final() time.Duration {
	if p.typical.count.Load() < fewValues {
		return maxFinal
	}
	return max(finalShare*p.suspicion(), minFinal)
}

// receive reads the answer's head, and its body when that is small.
func (x *exchange) receive(id []byte, head bool) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("receive: %w", err)
		}
	}()
	now := x.pool.now()
	x.conn.LastActive = now
	if err = x.conn.SetReadDeadline(time.Unix(0, x.deadline)); err != nil {
		return err
	}
	if err = x.readHead(); err != nil {
		return err
	}
	if id != nil && !bytes.Equal(x.header.Peek(HeaderID), id) {
		return errOther
	}
	return x.readBody(head)
}

func (x *exchange) readHead() error {
	for {
		if err := x.header.Read(x.conn.Reader); err != nil {
			return err
		}
		switch status := x.header.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errUnframed
		case status >= 200:
			return nil
		}
	}
}

func (x *exchange) readBody(head bool) error {
	status := x.header.StatusCode()
	x.length = x.header.ContentLength()
	if head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		x.whole = true
		return nil
	}
	switch {
	case x.length == -1:
		x.chunks = httputil.NewChunkedReader(x.conn.Reader)
		return x.readChunks()
	case x.length < 0:
		return errUnframed
	case x.length > keepSize:
		return nil
	}
	x.body = grown(x.body, x.length)
	if _, err := io.ReadFull(x.conn.Reader, x.body); err != nil {
		return err
	}
	x.whole = true
	return nil
}

// readChunks reads up to keepSize bytes, and all of the answer if it is not
// longer.
func (x *exchange) readChunks() error {
	x.body = grown(x.body, keepSize)
	n, err := io.ReadFull(x.chunks, x.body)
	x.body = x.body[:n]
	switch {
	case err == nil:
		return nil
	case err == io.EOF || err == io.ErrUnexpectedEOF && x.ended():
		x.whole = true
		x.length = n
		x.skipTrailer()
		return nil
	}
	return err
}

// ended tells a whole answer from one that was cut, which ReadFull reports
// alike.
func (x *exchange) ended() bool {
	_, err := x.chunks.Read(make([]byte, 1))
	return err == io.EOF
}

// skipTrailer reads the end of a chunked answer. A connection with a trailer is
// not used again.
func (x *exchange) skipTrailer() {
	end, err := x.conn.Reader.Peek(2)
	if err != nil || end[0] != '\r' || end[1] != '\n' {
		x.trailed = true
		return
	}
	_, _ = x.conn.Reader.Discard(2)
}

// settle puts the connection back if the exchange has left it clean.
func (x *exchange) settle() {
	c := x.conn
	x.conn = nil
	if x.trailed || c.Reader.Buffered() > 0 || x.header.ConnectionClose() {
		x.pool.discard(c)
		return
	}
	c.LastActive = x.pool.now()
	if !x.probing {
		c.LastDone = c.LastActive
	}
	x.pool.put(c)
}

// abort closes the connection, which tells the other end to stop.
func (x *exchange) abort() {
	if x.conn == nil {
		return
	}
	x.pool.discard(x.conn)
	x.conn = nil
}

func grown(b []byte, n int) []byte {
	if cap(b) < n {
		return make([]byte, n)
	}
	return b[:n]
}

var buffers = sync.Pool{New: func() any {
	b := make([]byte, keepSize)
	return &b
}}
