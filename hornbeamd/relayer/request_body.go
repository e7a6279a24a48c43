package relayer

import (
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/collector"
)

const (
	// minSegmentBytes and maxSegmentBytes bound the buffers that a body is received in.
	// Each is as large as all those before it, so that a body that is short so far holds
	// little and a long one is never copied.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
	// paceGrace is the time from which on a body must keep its least pace.
	paceGrace = 5 * time.Second
	// heldRetryAfter is the Retry-After of a request whose body there is no memory for.
	heldRetryAfter = time.Second
)

var (
	errBodyTooLarge = errors.New("the body is larger than the configuration allows")
	errBodyStalled  = errors.New("the body did not arrive in time")
	// errShutDown means that the body did not arrive before the instance had to end its
	// reads.
	errShutDown = errors.New("the body did not arrive before the shutdown")
)

// requestBody is the received body of a request.
type requestBody struct {
	segments [][]byte
	size     int
}

// appendTo appends the body to p.
func (b *requestBody) appendTo(p []byte) []byte {
	for _, s := range b.segments {
		p = append(p, s...)
	}
	return p
}

// bodyReceiver receives the body of a request from a caller.
type bodyReceiver struct {
	relayer *Relayer
	// conn is the caller's connection, nil in case of an unknown type.
	conn *conn
	body requestBody
	// maxBytes limits the body; 0 means no limit.
	maxBytes int
	began    int64
	// deadlineSetAt is when the read deadline was last extended.
	deadlineSetAt int64
}

// receiveBody receives the body of a request. Memory is reserved as bytes arrive, whatever
// length is announced.
func (r *Relayer) receiveBody(ctx *fasthttp.RequestCtx, c *conn) (requestBody, error) {
	stream, announced := ctx.Request.BodyStream(), ctx.Request.Header.ContentLength()
	switch {
	case len(ctx.Request.Header.Peek(bodyTooLargeField)) > 0:
		return requestBody{}, errBodyTooLarge
	case stream == nil || announced == 0:
		return requestBody{}, nil
	}
	b := bodyReceiver{relayer: r, conn: c, maxBytes: r.maxBodyBytes(), began: r.cfg.Now()}
	err := b.receive(stream, announced)
	if err == nil && announced >= 0 && b.body.size < announced {
		err = io.ErrUnexpectedEOF
	}
	switch {
	case c == nil:
	case c.evicted():
		err = errEvicted
	case errors.Is(err, errBodyStalled) && c.hasReadsEnded():
		err = errShutDown
	}
	return b.body, err
}

// receive reads the stream until EOF. Announced is the length of the body, or negative if
// that is unknown.
func (b *bodyReceiver) receive(stream io.Reader, announced int) error {
	for {
		segment, err := b.nextSegment(announced)
		if err != nil {
			return err
		}
		for len(segment) < cap(segment) {
			if err := b.extendDeadline(); err != nil {
				return err
			}
			n, err := stream.Read(segment[len(segment):cap(segment)])
			segment = segment[:len(segment)+n]
			b.body.size += n
			b.body.segments[len(b.body.segments)-1] = segment
			switch {
			case b.body.size > b.maxBytes:
				return errBodyTooLarge
			case err == io.EOF:
				return nil
			case errors.Is(err, os.ErrDeadlineExceeded):
				return errBodyStalled
			case err != nil:
				return err
			}
		}
	}
}

// nextSegment appends an empty segment to the body.
func (b *bodyReceiver) nextSegment(announced int) ([]byte, error) {
	size := min(max(minSegmentBytes, b.body.size), maxSegmentBytes)
	if announced >= 0 {
		// One more byte, so that the last read finds the end.
		size = min(size, announced-b.body.size+1)
	}
	if !b.relayer.byteBudget.reserveFor(int64(size), int64(b.body.size+size), b.conn) {
		return nil, collector.ErrBudgetExceeded
	}
	if b.conn != nil && !b.conn.hold(&b.relayer.byteBudget, int64(size)) {
		return nil, errEvicted
	}
	segment := make([]byte, 0, size)
	b.body.segments = append(b.body.segments, segment)
	return segment, nil
}

// extendDeadline records the progress of the body and gives the caller time for the next
// bytes. A body that is slower than the least pace has no more time.
func (b *bodyReceiver) extendDeadline() error {
	if b.conn == nil {
		return nil
	}
	now, cfg := b.relayer.cfg.Now(), &b.relayer.cfg
	if took := time.Duration(now - b.began); took > paceGrace && float64(b.body.size) < took.Seconds()*float64(cfg.MinBodyPace) {
		return errBodyStalled
	}
	b.conn.progressAt.Store(now)
	if b.deadlineSetAt != 0 && now-b.deadlineSetAt < int64(cfg.BodyStallTimeout)/4 {
		return nil
	}
	b.deadlineSetAt = now
	return b.conn.extendReadDeadline(cfg.BodyStallTimeout)
}

// maxBodyBytes returns the limit for the body of a request.
func (r *Relayer) maxBodyBytes() int {
	if size := r.limits().BodyBytes; size > 0 {
		return size
	}
	return maxBodyBytes
}

// rejectBody responds to a request whose body could not be received. The rest of the body is
// not read.
func (r *Relayer) rejectBody(c *call, err error) {
	o := outcome{label: "incomplete", cause: err.Error()}
	switch {
	case errors.Is(err, errBodyTooLarge):
		o.label = "body too large"
		c.fail(fasthttp.StatusRequestEntityTooLarge, o)
	case errors.Is(err, collector.ErrBudgetExceeded), errors.Is(err, errEvicted):
		o.label, o.retryAfter = "out of memory", heldRetryAfter
		c.refuse(o)
	case errors.Is(err, errShutDown):
		o.label = shuttingDown
		c.refuse(o)
	case errors.Is(err, errBodyStalled):
		o.label = "body stalled"
		c.fail(fasthttp.StatusRequestTimeout, o)
	default:
		c.fail(fasthttp.StatusBadRequest, o)
	}
	c.ctx.SetConnectionClose()
	r.finish(c)
}
