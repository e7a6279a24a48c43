package forwarder_test

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestResetDuringUpload guards against taking the part of a response without a length for
// a whole one if the upstream resets the connection while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	const uploads = 4
	for _, size := range []int{1 << 20, 6 << 20} {
		for _, once := range []bool{true, false} {
			is := is.New(t)
			u := newRawUpstream(t, func(c net.Conn, _ int) {
				if _, err := readRawRequest(c, 0); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nHorn-Id: r\r\n\r\npart")
					resetConn(c)
				}
			})
			n := newInstance(t, "a", newService("posting", once, u))
			for range uploads {
				got := sendRequest(n.front, "POST", "/s/posting/", strings.Repeat("x", size), "Horn-Id", "r")
				// The instance may close the connection before the caller has written the body.
				is.True(got.err != nil || got.status == 504)
			}
		}
	}
}
