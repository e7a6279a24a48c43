package executor

import (
	"encoding/json"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/reducer"
	"hornbeamstream.example/core/screener"
)

// Limits of a health check. A response is a few dozen bytes.
const (
	probeTimeout   = time.Second
	maxHealthBytes = 4 << 10
)

// healthResponse is the body of an upstream's GET /health.
type healthResponse struct {
	State string  `json:"state"`
	Load  float64 `json:"load"`
	Slots int     `json:"slots"`
	Busy  int     `json:"busy"`
}

// probe checks an upstream's health on a new connection, so that a broken idle
// connection is not taken for a failed upstream.
func (x *Executor) probe(e reducer.Probe) {
	sent := x.cfg.Clock.Now()
	h, err := fetchHealth(e.Address)
	x.cfg.Metrics.CountCall("probe", err != nil)
	report := observer.Health{Upstream: e.Upstream, Refused: errors.Is(err, syscall.ECONNREFUSED)}
	if err == nil {
		report.State = h.State
		report.Load = h.Load
		report.Slots = h.Slots
		report.Busy = h.Busy
	}
	x.post(func(now time.Time) reducer.Event {
		return reducer.ObserverEvent{Now: now, Event: observer.Probed{Sent: sent, Now: now, Health: report}}
	})
}

func dialUpstream(address string) (net.Conn, error) {
	return screener.Dial(net.Dialer{Timeout: fasthttp.DefaultDialTimeout}, address)
}

func fetchHealth(address string) (h healthResponse, err error) {
	client := fasthttp.HostClient{
		Addr:                      address,
		Dial:                      dialUpstream,
		ReadTimeout:               probeTimeout,
		WriteTimeout:              probeTimeout,
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       maxHealthBytes,
		MaxConns:                  1,
	}
	defer client.CloseIdleConnections()
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	r := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(r)
	q.SetRequestURI("http://" + address + "/health")
	q.SetConnectionClose()
	if err := client.Do(q, r); err != nil {
		return h, err
	}
	return h, json.Unmarshal(r.Body(), &h)
}
