package relayer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// startEarlyStub starts an upstream that calls respond when it has read the header of a
// request, and does not read the body.
func startEarlyStub(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) *upstreamStub {
	t.Helper()
	return startStubConns(t, &upstreamStub{id: "early"}, func(s *upstreamStub, c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			s.recordRun(r)
			respond(c.(*net.TCPConn), r)
		}
	})
}

// writePart writes a response without a length.
func writePart(c io.Writer, proto string, r *http.Request) {
	_, _ = fmt.Fprintf(c, "%s 200 OK\r\nId: %s\r\nSign: 1\r\n\r\npart", proto, r.Header.Get("Id"))
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// uploadSizes are sizes of bodies that do not fit into the buffers of a connection.
var uploadSizes = []int{1 << 20, 6 << 20}

// resetUploads is the number of uploads of each kind: the kernel reports a reset to the
// reader or to the writer of a connection, whichever comes first.
const resetUploads = 8

// TestResetDuringUpload guards against taking the part of a response without a length for
// a whole one if the upstream resets the connection while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":        reset,
		"unread bytes": func(c *net.TCPConn) { _ = c.Close() },
		"reset later": func(c *net.TCPConn) {
			time.Sleep(2 * time.Millisecond) // the part may have been read by now
			reset(c)
		},
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				is := is.New(t)
				h := startHarness(t, startEarlyStub(t, func(c *net.TCPConn, r *http.Request) {
					writePart(c, proto, r)
					end(c)
				}))
				for _, size := range uploadSizes {
					body := strings.Repeat("x", size)
					for range resetUploads {
						for _, path := range []string{"/once/x", "/safe/x"} {
							a := h.do(http.MethodPost, path, body)
							is.NoErr(a.err)
							is.Equal(a.status, 502)
							is.Equal(a.header.Get("Sign"), "")
						}
					}
				}
				is.Equal(h.runs(), len(uploadSizes)*resetUploads*2) // nothing ran twice
				h.stubs = append(h.stubs, startStub(t, "u2", respondOK))
				h.publish()
				a := h.do(http.MethodPost, "/safe/x", strings.Repeat("x", 1<<20))
				is.Equal(a.status, 200)
				is.Equal(a.header.Get("Sign"), "u2")
			})
		}
	}
}

// TestEndDuringUpload has an upstream that ends its response in order and reads nothing
// more of the request. The response is whole and is passed on at once.
func TestEndDuringUpload(t *testing.T) {
	const timeout = 40 * time.Second
	for name, end := range map[string]func(*net.TCPConn){
		"stays open":  func(*net.TCPConn) {},
		"reset after": reset,
		"closed after": func(c *net.TCPConn) {
			_ = c.Close()
		},
		"reads on": func(c *net.TCPConn) {
			_, _ = io.Copy(io.Discard, c)
		},
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+" "+proto, func(t *testing.T) {
				is := is.New(t)
				h := startHarness(t, startEarlyStub(t, func(c *net.TCPConn, r *http.Request) {
					writePart(c, proto, r)
					_ = c.CloseWrite()
					end(c)
				}))
				h.publish(func(v *steerer.View) {
					for i := range v.Config.Routes {
						v.Config.Routes[i].Timeout = timeout
					}
				})
				for _, size := range uploadSizes {
					for _, path := range []string{"/once/x", "/safe/x"} {
						began := time.Now()
						a := h.do(http.MethodPost, path, strings.Repeat("x", size))
						is.NoErr(a.err)
						is.Equal(a.status, 200)
						is.Equal(a.body, "part")
						is.True(time.Since(began) < timeout/2)
					}
				}
			})
		}
	}
}

// TestResetAfterResponse has an upstream that resets the connection behind a response whose
// end is marked, while the request is being written.
func TestResetAfterResponse(t *testing.T) {
	for name, framing := range map[string]string{
		"length":  "Content-Length: 4\r\n\r\npart",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := startHarness(t, startEarlyStub(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSign: 1\r\n%s", r.Header.Get("Id"), framing)
				reset(c)
			}))
			for _, size := range uploadSizes {
				for range resetUploads {
					a := h.do(http.MethodPost, "/once/x", strings.Repeat("x", size))
					is.NoErr(a.err)
					is.Equal(a.status, 200)
					is.Equal(a.body, "part")
				}
			}
		})
	}
}
