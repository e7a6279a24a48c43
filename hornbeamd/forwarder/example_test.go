package forwarder_test

import (
	"context"
	"net"
	"time"

	"hornbeamstream.example/core/router"
	"hornbeamstream.example/hornbeamd/forwarder"
	"hornbeamstream.example/hornbeamd/server"
)

// Example wires a forwarder and its two servers, and stops one without cutting
// off a request.
func Example() {
	n := new(node) // the table, the metrics, the resolver and the witnesses
	n.table.Store(&router.Table{})
	fwd := forwarder.New(forwarder.Config{Tables: n, Metrics: n, PeerQuerier: n})
	defer fwd.Close()
	front := server.New(server.Config{Tables: n, Handler: fwd, Resolver: n})
	data := server.New(server.Config{Tables: n, Handler: fwd, Resolver: n, Hops: true})
	for _, s := range []*server.Server{front, data} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return
		}
		go func() { _ = s.Serve(ln) }()
	}
	_ = fwd.Samples()                                                             // polled by the control goroutine
	_ = fwd.LookupRequest("posting", "id", true, time.Now().UnixMilli())          // answers Peer.Outcome
	_ = front.Shutdown(context.Background(), time.Now().Add(10*time.Millisecond)) // when look-ups have expired
	// Output:
}
