package relayer

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzAnswer sends bytes as an upstream's answer to a request that must not be
// repeated. Nothing may panic, the request runs once, and a success is only passed
// on with the signature.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nId: q1\r\nSign: 1\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 200 OK\r\nId: q1\r\nSign: 1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n")
	f.Add("HTTP/1.1 103 Hint\r\n\r\nHTTP/1.1 503 No\r\nId: q1\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		g := startRig(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
			s.run(r)
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}))
		a := g.ask("POST", "/once/x", "")
		if a.err != nil {
			t.Fatal(a.err)
		}
		if a.status >= 200 && a.status < 300 && !strings.Contains(strings.ToLower(text), "sign") {
			t.Fatalf("status %d without a signature", a.status)
		}
		if g.runs() != 1 {
			t.Fatalf("%d runs", g.runs())
		}
	})
}

// FuzzRequests writes bytes on a caller's connection in two parts. Nothing may
// panic, and the next caller is served.
func FuzzRequests(f *testing.F) {
	f.Add("GET /safe/x HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\nGET /safe/y HTTP/1.1\r\nHost: h\r\nId: b\r\n\r\n", 30)
	f.Add("POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /safe/y HTTP/1.1\r\nHost: h\r\n\r\n", 70)
	f.Add("POST /once/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\r\n\r\n\r\n0\r\n\r\n", 5)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		g := startRig(t, startStub(t, "u1", good))
		c, err := net.Dial("tcp", g.address)
		if err != nil {
			t.Skip(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		cut = min(max(cut, 0), len(text))
		_, _ = io.WriteString(c, text[:cut])
		_, _ = io.WriteString(c, text[cut:])
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
		if a := g.ask("GET", "/once/good", ""); a.status != 200 {
			t.Fatalf("the next caller got %v", a)
		}
	})
}
