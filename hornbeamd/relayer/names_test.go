package relayer

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// tokenBytes are the bytes that a field name may have by RFC 9110 section 5.6.2.
const tokenBytes = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"

// fieldLine is a line of a header or a trailer section.
type fieldLine struct {
	text string
	// first and later report whether HTTP allows the line at the start of a section and
	// behind another line. There, a blank begins the continuation of a value.
	first, later bool
}

// fieldLines returns lines that have each byte at the start, inside and at the end of a
// name, and alone.
func fieldLines() (lines []fieldLine) {
	for b := range 256 {
		c := string([]byte{byte(b)})
		token := strings.Contains(tokenBytes, c)
		blank := c == " " || c == "\t"
		lines = append(
			lines,
			fieldLine{c + "Odd: v", token, token || blank},
			fieldLine{"O" + c + "dd: v", token || c == ":", token || c == ":"},
			fieldLine{"Odd" + c + ": v", token || c == ":", token || c == ":"},
			fieldLine{c, false, blank},
		)
	}
	return append(
		lines,
		fieldLine{"Odd", false, false},
		fieldLine{"Odd : v", false, false},
		fieldLine{"Odd: v\n", false, false},
		fieldLine{"Odd: v\n w\n", false, false},
		fieldLine{"Odd:", true, true},
		fieldLine{"Odd:v", true, true},
		fieldLine{"Odd: a\r\n b", true, true},
		fieldLine{"Odd: a\r\n\tb\r\n  c", true, true},
		fieldLine{"Odd:\r\n b:c", true, true},
		fieldLine{"Odd: \"a:b\"; c d=\xe4\xff", true, true},
	)
}

// oddResponse is a response that HTTP allows or not.
type oddResponse struct {
	text    string
	allowed bool
}

// oddHeaders returns responses that have each line first and last in the header of a final
// and of an interim response, with each way to mark the end of a body.
func oddHeaders() (responses []oddResponse) {
	const ok, fields = "HTTP/1.1 200 OK\r\n", "Sign: 1\r\nUpstream: u1\r\nConnection: close\r\n"
	for _, framing := range []struct{ field, body string }{
		{"Content-Length: 4\r\n", "body"},
		{"Transfer-Encoding: chunked\r\n", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"},
		{"", "body"},
	} {
		plain := ok + fields + framing.field + "\r\n" + framing.body
		for _, l := range fieldLines() {
			responses = append(
				responses,
				oddResponse{ok + l.text + "\r\n" + fields + framing.field + "\r\n" + framing.body, l.first},
				oddResponse{ok + fields + framing.field + "A: b\r\n" + l.text + "\r\n\r\n" + framing.body, l.later},
				oddResponse{"HTTP/1.1 103 X\r\n" + l.text + "\r\n\r\n" + plain, l.first},
				oddResponse{"HTTP/1.1 103 X\r\nA: b\r\n" + l.text + "\r\n\r\n" + plain, l.later},
			)
		}
	}
	return responses
}

// oddTrailers returns responses that have each line first and last in a trailer section.
func oddTrailers() (responses []oddResponse) {
	const chunks = "HTTP/1.1 200 OK\r\nSign: 1\r\nUpstream: u1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	for _, l := range fieldLines() {
		responses = append(
			responses,
			oddResponse{chunks + l.text + "\r\n\r\n", l.first},
			oddResponse{chunks + "A: b\r\n" + l.text + "\r\n\r\n", l.later},
		)
	}
	return responses
}

// startOddStub starts an upstream that answers with the response that the path names.
func startOddStub(t *testing.T, responses []oddResponse) *upstreamStub {
	return startStub(t, "u1", func(_ *upstreamStub, c net.Conn, r *http.Request, _ string) {
		i, err := strconv.Atoi(strings.TrimLeft(r.URL.Path, "/abcdefghijklmnopqrstuvwxyz"))
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, responses[i].text)
		_ = c.Close()
	})
}

// checkOdd checks that a request is answered with each allowed response, and fails without a
// signature where a response is not allowed.
func checkOdd(t *testing.T, responses []oddResponse) {
	t.Helper()
	h := startHarness(t, startOddStub(t, responses))
	// A connection for each request would use up the ports of the machine.
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	wrong := 0
	for i, r := range responses {
		a := h.doWith(context.Background(), transport, http.MethodGet, fmt.Sprint("/once/", i), "")
		passed := a.err == nil && a.status == 200 && a.body == "body"
		failed := a.err == nil && a.status == 502 && a.header.Get("Sign") == ""
		if r.allowed && !passed || !r.allowed && !failed {
			wrong++
			t.Logf("%q: allowed %t, answered %s", r.text, r.allowed, a)
		}
	}
	is.New(t).Equal(wrong, 0)
}

// TestNames guards against passing on a response in whose header the name of a field has a
// byte that HTTP does not allow there, or a line is no field. What HTTP allows stays a
// response.
func TestNames(t *testing.T) {
	t.Parallel()
	checkOdd(t, oddHeaders())
}

// TestTrailerNames is the same for trailer sections.
func TestTrailerNames(t *testing.T) {
	t.Parallel()
	checkOdd(t, oddTrailers())
}

// TestProbeNames is the same for health checks.
func TestProbeNames(t *testing.T) {
	t.Parallel()
	responses := append(oddHeaders(), oddTrailers()...)
	h := startHarness(t, startOddStub(t, responses))
	u := h.tables.Load().Pool("s").Upstreams[0]
	wrong := 0
	for i, r := range responses {
		if _, err := h.relayer.Probe(u, fmt.Sprint("/health/", i)); (err == nil) != r.allowed {
			wrong++
			t.Logf("%q: allowed %t: %v", r.text, r.allowed, err)
		}
	}
	is.New(t).Equal(wrong, 0)
}

// TestPipelinedNames is the same for requests that are sent before their turn on the caller's
// connection.
func TestPipelinedNames(t *testing.T) {
	is := is.New(t)
	const head, fields = "HTTP/1.1 200 OK\r\nSign: 1\r\nContent-Length: 4\r\n", "\r\n\r\nbody"
	h := startHarness(t, startOddStub(t, []oddResponse{
		{head + "O dd: v" + fields, false}, {head + "Odd : v" + fields, false}, {head + "\nOdd: v" + fields, false},
	}))
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for i := range 3 {
		_, err = fmt.Fprintf(c, "GET /once/%d HTTP/1.1\r\nHost: h\r\nId: q1\r\n\r\n", i)
		is.NoErr(err)
	}
	_, err = io.WriteString(c, "GET /none HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	is.NoErr(err)
	data, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(strings.Count(string(data), "HTTP/1.1 502 "), 3)
	is.Equal(strings.Count(string(data), "Sign:"), 0)
}
