package screener

import (
	"context"
	"net"
	"net/http"
)

// Transport returns a transport like t, whose DialContext must be set, with connections that
// are streams.
func Transport(t *http.Transport) http.RoundTripper {
	t = t.Clone()
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewStream(c), nil
	}
	return t
}
