package relayer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/collector"
	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/screener"
)

const (
	// probeTimeout limits a health check. It may have to wait for a slot behind other
	// requests; a shorter one would give up its place in the queue.
	probeTimeout = 1500 * time.Millisecond
	// maxProbeBytes limits the body of the response to a health check.
	maxProbeBytes = 16 << 10
)

var (
	// errUnidentified means that it is unknown who has answered a health check.
	errUnidentified = errors.New("response to another request, or a refusal without the ID of an upstream")
	// errGone means that another upstream has the address now.
	errGone = errors.New("upstream is not at its address any more")
)

// Probe sends a health check to an upstream and returns how long it stays cold. The
// check names the upstream but has no request ID, so no upstream runs it as a request:
// the address may belong to an upstream of another service, whose health checks have
// another path. An answer of another upstream says nothing but that the expected one has
// left, which is then avoided like an unreachable one.
func (r *Relayer) Probe(u *dispatcher.Upstream, path string) (coldLeft time.Duration, err error) {
	defer func() {
		r.cfg.Metrics.ProbeDone(u.Service, probeResult(err))
		if err != nil {
			err = fmt.Errorf("probe of %s: %w", u.ID, err)
		}
	}()
	now := r.cfg.Now()
	pool := r.pool(u)
	conn, _, err := pool.Get(now-int64(r.cfg.ReuseAge), now, now+int64(probeTimeout), u.Conns())
	if err != nil {
		return 0, err
	}
	reusable := false
	defer func() {
		if reusable {
			pool.Put(conn, r.cfg.Now())
		} else {
			pool.Discard(conn)
		}
	}()
	if err = conn.SetDeadline(time.Now().Add(probeTimeout)); err != nil {
		return 0, err
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI(path)
	request.Header.SetHost(u.Address)
	r.cfg.HeaderCodec.WriteProbe(&request.Header, u.ID)
	if _, err = request.WriteTo(conn); err != nil {
		return 0, err
	}
	var header fasthttp.ResponseHeader
	if err = readProbe(conn.Reader, &header); err != nil {
		return 0, err
	}
	info := r.cfg.HeaderCodec.ReadResponse(&header)
	if err = checkProbed(u.ID, header.StatusCode(), info); err != nil {
		if errors.Is(err, errGone) {
			u.MarkUnreachable(r.cfg.Now())
		}
		return 0, err
	}
	reusable = conn.Reader.Buffered() == 0 && !header.ConnectionClose()
	return info.ColdLeft, nil
}

// readProbe reads the response to a health check into header and discards its body.
func readProbe(r *bufio.Reader, header *fasthttp.ResponseHeader) error {
	if err := screener.Await(r); err != nil {
		return err
	}
	if err := header.Read(r); err != nil || !screener.HasBody(header, false) {
		return err
	}
	body := screener.NewBody(r, header.ContentLength(), header)
	n, err := io.CopyN(io.Discard, body, maxProbeBytes+1)
	switch {
	case n > maxProbeBytes:
		return collector.ErrTooLarge
	case err != io.EOF:
		return err
	}
	return nil
}

// checkProbed returns an error unless a response to a health check is the upstream's.
func checkProbed(upstream string, status int, info ResponseInfo) error {
	switch {
	case status == fasthttp.StatusMisdirectedRequest:
		return errGone
	case len(info.RequestID) > 0:
		// A late response to an earlier request on the connection.
		return errUnidentified
	case string(info.UpstreamID) == upstream:
		return nil
	case info.NotRun && len(info.UpstreamID) == 0:
		// The queue of whoever has the address is full.
		return errUnidentified
	}
	return errGone
}

// probeResult returns the result of a health check for the metrics.
func probeResult(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, errGone):
		return "gone"
	case errors.Is(err, errUnidentified):
		return "unidentified"
	}
	return "failed"
}
