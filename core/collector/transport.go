package collector

import "net/http"

// LimitTransport returns a transport that ends the body of a response after the given number
// of bytes with an *http.MaxBytesError. A client that limits its messages by itself may go
// on reading a longer body, in order to use the connection again.
func LimitTransport(t http.RoundTripper, bytes int64) http.RoundTripper {
	return limitedTransport{t, bytes}
}

type limitedTransport struct {
	http.RoundTripper
	bytes int64
}

func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, t.bytes)
	return response, nil
}

// CloseIdleConnections implements what http.Client.CloseIdleConnections calls.
func (t limitedTransport) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
