package relayer

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
)

const (
	// probeTimeout limits a health check. It may have to wait for a slot behind other
	// requests; a shorter one would give up its place in the queue.
	probeTimeout = 1500 * time.Millisecond
	// maxProbeBytes limits the body of the response to a health check.
	maxProbeBytes = 16 << 10
)

var errNotProbed = errors.New("health check of another upstream or request")

// Probe sends a health check to an upstream and returns how long it stays cold.
func (r *Relayer) Probe(u *dispatcher.Upstream, path string) (coldLeft time.Duration, err error) {
	defer func() {
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
	id := "probe-" + strconv.FormatUint(r.probes.Add(1), 10)
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(u.Address)
	r.cfg.HeaderCodec.WriteProbe(&request.Header, id)
	if _, err = request.WriteTo(conn); err != nil {
		return 0, err
	}
	if err = response.ReadLimitBody(conn.Reader, maxProbeBytes); err != nil {
		return 0, err
	}
	info := r.cfg.HeaderCodec.ReadResponse(&response.Header)
	// A response to an earlier request on the connection, or of another upstream that has
	// the address now, says nothing.
	if len(info.RequestID) > 0 && !bytes.Equal(info.RequestID, []byte(id)) || string(info.UpstreamID) != u.ID {
		return 0, errNotProbed
	}
	reusable = conn.Reader.Buffered() == 0 && !response.ConnectionClose()
	return info.ColdLeft, nil
}
