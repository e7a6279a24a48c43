package forwarder

import (
	"io"
	"time"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
)

// stallTimeout is the maximum time without a byte in the middle of a response.
const stallTimeout = 3 * time.Second

// responseStream streams a large response body. It implements fasthttp's
// BodyWriterTo, so that the body is copied in pieces of 64 KB. A response that
// ends early gives an error, on which the server closes the caller's connection
// without completing the framing.
type responseStream struct {
	x *exchange
	// prefix was read before the response turned out to be large.
	prefix    []byte
	remaining int64
	eof       bool
	// link is charged for the bytes read, on behalf of service.
	link      *limiter.BandwidthLimiter
	service   *router.Service
	forwarder *Forwarder
	// onEnd runs once, with whether the whole response was read.
	onEnd func(whole bool)
}

// Read reads the next part of the body.
func (s *responseStream) Read(p []byte) (n int, err error) {
	if s.eof || len(p) == 0 {
		return 0, io.EOF
	}
	if n, err = s.readNext(p); n > 0 {
		s.forwarder.throttle(s.link, s.service, n, s.x.deadline)
	}
	if err == io.EOF {
		s.eof = true
	}
	return n, err
}

func (s *responseStream) readNext(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	x := s.x
	until := min(x.pool.now()+int64(stallTimeout), x.deadline)
	if err := x.conn.SetReadDeadline(time.Unix(0, until)); err != nil {
		return 0, err
	}
	if x.chunkedBody != nil {
		return x.chunkedBody.Read(p)
	}
	if s.remaining == 0 {
		return 0, io.EOF
	}
	n, err := x.conn.Reader.Read(p[:min(int64(len(p)), s.remaining)])
	s.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// throttle charges bytes to the rate limiter of a link between regions, if there
// is one, and sleeps as it demands, but not beyond the request's deadline.
func (f *Forwarder) throttle(link *limiter.BandwidthLimiter, service *router.Service, n int, deadline int64) {
	if link == nil || n <= 0 {
		return
	}
	now := f.now()
	wait := link.Charge(now, n, service.Bulk)
	if wait <= 0 {
		return
	}
	f.metrics.CountDecision(service.Name, DecisionThrottled)
	time.Sleep(min(wait, time.Duration(max(deadline-now, 0))))
}

// SupportsBodyWriteTo tells fasthttp to use WriteTo.
func (s *responseStream) SupportsBodyWriteTo() bool { return true }

// WriteTo copies the body in pieces of 64 KB.
func (s *responseStream) WriteTo(w io.Writer) (total int64, err error) {
	buf := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(buf)
	for {
		n, rerr := s.Read(*buf)
		if n > 0 {
			m, werr := w.Write((*buf)[:n])
			total += int64(m)
			if werr != nil {
				return total, werr
			}
		}
		if rerr == io.EOF {
			return total, nil
		}
		if rerr != nil {
			return total, rerr
		}
	}
}

// Close ends the exchange. The server calls it after it has written the response
// or failed to.
func (s *responseStream) Close() error {
	if s.x == nil {
		return nil
	}
	x := s.x
	s.x = nil
	whole := s.eof || x.chunkedBody == nil && s.remaining == 0
	if whole {
		x.releaseConn()
	} else {
		x.closeConn()
	}
	s.onEnd(whole)
	x.release()
	return nil
}
