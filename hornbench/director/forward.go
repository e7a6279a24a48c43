package director

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// forwardTimeout bounds one exchange of the bare forwarder.
const forwardTimeout = 10 * time.Second

// Forward serves plain HTTP at an address and forwards every request to the
// upstreams in turn over pooled connections. It takes no decisions; its cost is
// what the system's own forwarding is compared with.
func Forward(ctx context.Context, address string, upstreams []string) error {
	if len(upstreams) == 0 {
		return errors.New("no upstreams to forward to")
	}
	clients := make([]*fasthttp.HostClient, len(upstreams))
	for i, u := range upstreams {
		clients[i] = &fasthttp.HostClient{
			Addr: u, MaxConns: 1024, NoDefaultUserAgentHeader: true,
			ReadTimeout: forwardTimeout, WriteTimeout: forwardTimeout,
			MaxIdemponentCallAttempts: 1,
		}
	}
	var next atomic.Uint64
	s := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(c *fasthttp.RequestCtx) {
			h := clients[next.Add(1)%uint64(len(clients))]
			if err := h.Do(&c.Request, &c.Response); err != nil {
				c.Error(err.Error(), fasthttp.StatusBadGateway)
			}
		},
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = l.Close()
	}()
	if err := s.Serve(l); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}
