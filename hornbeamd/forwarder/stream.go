package forwarder

import (
	"io"
	"time"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
)

// stallTime is the longest silence in the middle of an answer.
const stallTime = 3 * time.Second

// stream passes a large answer on. It implements fasthttp's BodyWriterTo, so
// that the body is copied in pieces of 64 KB. An answer that ends early gives an
// error, on which the server closes the caller's connection without completing
// the framing.
type stream struct {
	x *exchange
	// prefix was read before the answer turned out to be large.
	prefix []byte
	left   int64
	ended  bool
	// link is charged with what is read, for service, by forwarder.
	link      *limiter.BandwidthLimiter
	service   *router.Service
	forwarder *Forwarder
	// end runs once, with whether the whole answer was read.
	end func(whole bool)
}

// Read reads the next piece of the answer.
func (s *stream) Read(p []byte) (n int, err error) {
	if s.ended || len(p) == 0 {
		return 0, io.EOF
	}
	if n, err = s.next(p); n > 0 {
		s.forwarder.pace(s.link, s.service, n, s.x.deadline)
	}
	if err == io.EOF {
		s.ended = true
	}
	return n, err
}

func (s *stream) next(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	x := s.x
	until := min(x.pool.now()+int64(stallTime), x.deadline)
	if err := x.conn.SetReadDeadline(time.Unix(0, until)); err != nil {
		return 0, err
	}
	if x.chunks != nil {
		n, err := x.chunks.Read(p)
		if err == io.EOF {
			x.skipTrailer()
		}
		return n, err
	}
	if s.left == 0 {
		return 0, io.EOF
	}
	n, err := x.conn.Reader.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// pace counts bytes against the budget of a link between regions, if there is
// one, and waits as it tells, but not beyond the request's deadline.
func (f *Forwarder) pace(link *limiter.BandwidthLimiter, service *router.Service, n int, deadline int64) {
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
func (s *stream) SupportsBodyWriteTo() bool { return true }

// WriteTo copies the answer in pieces of 64 KB.
func (s *stream) WriteTo(w io.Writer) (total int64, err error) {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
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

// Close ends the exchange. The server calls it when it has written the answer
// or has failed to.
func (s *stream) Close() error {
	if s.x == nil {
		return nil
	}
	x := s.x
	s.x = nil
	whole := s.ended || x.chunks == nil && s.left == 0
	if whole {
		x.settle()
	} else {
		x.abort()
	}
	s.end(whole)
	x.release()
	return nil
}
