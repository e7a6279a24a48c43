package screener

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport returns a transport like t, whose DialContext must be set. It fails with
// ErrNotFinal where a response is not a final one, and notices a reset of a connection also
// while a request is being written.
func Transport(t *http.Transport) http.RoundTripper {
	t = t.Clone()
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: NewStream(c)}, nil
	}
	return transport{t}
}

type transport struct{ *http.Transport }

// expectResponse tells a connection that it is chosen for a request. The connection cannot
// tell the beginning of a request from its writes, since a response may arrive between them.
var expectResponse = &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
	if c, ok := i.Conn.(*conn); ok {
		c.expect()
	}
}}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), expectResponse)))
}
