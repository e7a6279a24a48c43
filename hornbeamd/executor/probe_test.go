package executor

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestHealthWithoutFinalStatus guards against taking for an upstream's health what is no
// final HTTP response.
func TestHealthWithoutFinalStatus(t *testing.T) {
	for line, want := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 000 OK": false, "HTTP/1.1 600 X": false, "HTTP/2.0 200 OK": false,
		"HTTP/1.1 200 OK\r\nO dd: v": false, "HTTP/1.1 200 OK\r\nOdd : v": false, "HTTP/1.1 200 OK\r\nOdd: v\r\n w": true,
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { _ = ln.Close() })
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1024))
				const body = `{"state":"ready","slots":3}`
				_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
				_ = c.Close()
			}()
			h, err := fetchHealth(ln.Addr().String())
			is.Equal(err == nil, want)
			is.Equal(h.Slots == 3, want)
		})
	}
}
