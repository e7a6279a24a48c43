package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/router"
)

// newRawUpstream returns an upstream that handles raw connections instead of
// requests. n is the number of the connection.
func newRawUpstream(t *testing.T, serve func(c net.Conn, n int)) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	u := &upstream{ln: ln}
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, n)
			}()
		}
	}()
	t.Cleanup(u.close)
	return u
}

func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const rawResponse = "HTTP/1.1 200 OK\r\nHorn-Id: r\r\nContent-Length: 5\r\n\r\nhello"

// Guards against running a once-request twice, and against forwarding a partial
// response, when the connection is reset at any byte of the exchange.
func TestReset(t *testing.T) {
	const body = "0123456789"
	request := 0
	probe := newRawUpstream(t, func(c net.Conn, _ int) {
		head, _ := readRawRequest(c, len(body))
		request = head
		_, _ = io.WriteString(c, rawResponse)
	})
	n := newInstance(t, "a", newService("posting", true, probe))
	is.New(t).Equal(sendRequest(n.front, "POST", "/s/posting/", body, "Horn-Id", "r").body, "hello")
	for _, once := range []bool{true, false} {
		for at := 0; at < request+len(rawResponse); at += 1 + at/40 {
			t.Run(fmt.Sprintf("%v/%d", once, at), func(t *testing.T) {
				testReset(t, once, at, request, body)
			})
		}
	}
}

func testReset(t *testing.T, once bool, at, request int, body string) {
	is := is.New(t)
	bad := newRawUpstream(t, func(c net.Conn, _ int) {
		_, _ = io.CopyN(io.Discard, c, int64(min(at, request)))
		if at > request {
			_, _ = io.WriteString(c, rawResponse[:at-request])
		}
		if at%2 == 0 {
			resetConn(c)
		}
	})
	good := newUpstream(t, nil)
	n := newInstance(t, "a", addRetries(newService("posting", once, bad, good), 1))
	got := sendRequest(n.front, "POST", "/s/posting/", body, "Horn-Id", "r")
	is.NoErr(got.err)
	if !once {
		is.Equal(got.outcome, "ran")
		is.Equal(got.body, "ok")
		return
	}
	if at == 0 && got.outcome == "ran" {
		is.Equal(len(good.requests()), 1) // the reset came before any byte was sent
		return
	}
	is.Equal(got.outcome, "unknown")
	is.Equal(got.status, 504)
	is.Equal(len(good.requests()), 0) // a byte may have arrived at the first upstream
}

// readRawRequest reads a head and n bytes of body and returns their total length.
func readRawRequest(c net.Conn, n int) (int, error) {
	br := bufio.NewReader(c)
	size := n
	for {
		line, err := br.ReadString('\n')
		size += len(line)
		if err != nil {
			return size, err
		}
		if line == "\r\n" {
			_, err = br.Discard(n)
			return size, err
		}
	}
}

// Guards against accepting the response of another request, and against
// forwarding a truncated response as complete.
func TestResponseFraming(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	const h = "HTTP/1.1 200 OK\r\nHorn-Id: %s\r\n"
	tests := []struct {
		name    string
		answer  string
		close   bool
		outcome string
		body    string
		conns   int
	}{
		{"complete", h + "Content-Length: 2\r\n\r\nok", false, "ran", "ok", 1},
		{"chunked", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, "ran", "ok", 1},
		{"interim", "HTTP/1.1 103 Hints\r\n\r\n" + h + "Content-Length: 2\r\n\r\nok", false, "ran", "ok", 1},
		{"connection close", h + "Connection: close\r\nContent-Length: 2\r\n\r\nok", false, "ran", "ok", 2},
		{"trailing bytes", h + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false, "ran", "ok", 2},
		{"other id", "HTTP/1.1 200 OK\r\nHorn-Id: x%s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"no id", "HTTP/1.1 200 OK\r\nHorn-Idle: %s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"no length", h + "\r\nok", true, "unknown", "", 2},
		{"switching", "HTTP/1.1 101 Switching\r\nHorn-Id: %s\r\n\r\n", false, "unknown", "", 2},
		{"status 000", "HTTP/1.1 000 OK\r\nHorn-Id: %s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"status 600", "HTTP/1.1 600 X\r\nHorn-Id: %s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"status 000 after an interim response", "HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 000 OK\r\nHorn-Id: %s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"blank in a name", h + "O dd: v\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"blank behind a name", h + "Content-Length: 2\r\nOdd : v\r\n\r\nok", false, "unknown", "", 2},
		{"line feed before a name", h + "Content-Length: 2\r\n\nOdd: v\r\n\r\nok", false, "unknown", "", 2},
		{"blank in an interim name", "HTTP/1.1 103 Hints\r\nO dd: v\r\n\r\n" + h + "Content-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"folded line", h + "Content-Length: 2\r\nOdd: v\r\n w\r\n\r\nok", false, "ran", "ok", 1},
		{"other version", "HTTP/2.0 200 OK\r\nHorn-Id: %s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"truncated", h + "Content-Length: 9\r\n\r\nok", true, "unknown", "", 2},
		{"truncated chunk", h + "Transfer-Encoding: chunked\r\n\r\n9\r\nok", true, "unknown", "", 2},
		{"missing last chunk", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, "unknown", "", 2},
		{"trailer", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nOdd: v\r\n\r\n", false, "ran", "ok", 1},
		{"blank in a trailer name", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nO dd: v\r\n\r\n", false, "unknown", "", 2},
		{"truncated trailer", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nOdd: v\r\n", true, "unknown", "", 2},
		{"truncated large trailer", h + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n0\r\n", true, "ran", "error", 2},
		{"chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\nHorn-Id: %s\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, "unknown", "", 2},
		{"no response", "%s", true, "unknown", "", 2},
		{"not http", "hello %s\r\n\r\n", false, "unknown", "", 2},
		{"large head", h + "X: " + long + "\r\n\r\n", true, "unknown", "", 2},
		{"truncated large", h + "Content-Length: 200000\r\n\r\n" + long, true, "ran", "error", 2},
		{"truncated large chunks", h + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n", true, "ran", "error", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(c net.Conn, a received) bool {
				if a.id == "two" {
					return reply(c, a.id, "second")
				}
				text := tt.answer
				if text != "%s" {
					text = fmt.Sprintf(text, a.id)
				} else {
					text = ""
				}
				_, _ = io.WriteString(c, text)
				return !tt.close
			})
			n := newInstance(t, "a", newService("posting", true, u))
			got := sendRequest(n.front, "POST", "/s/posting/", "b", "Horn-Id", "one")
			is.Equal(got.outcome, tt.outcome)
			switch tt.body {
			case "error":
				is.True(got.err != nil) // the caller must see that the response was truncated
			case "ok":
				is.Equal(got.body, "ok")
			}
			waitSlotsFree(t, n.Table().Services["posting"])
			got = sendRequest(n.front, "POST", "/s/posting/", "b", "Horn-Id", "two")
			is.Equal(got.body, "second")
			used := map[int]bool{}
			for _, a := range u.requests() {
				used[a.conn] = true
			}
			is.Equal(len(used), tt.conns)
			checks := 0
			if tt.close {
				checks = 1 // whether the upstream has ended
			}
			is.True(u.accepted() == tt.conns || u.accepted() == tt.conns+checks)
			is.Equal(len(u.requests()), 2) // each request was sent exactly once
		})
	}
}

// Guards against returning the late response of one request for the next one.
func TestLateResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a received) bool {
		if a.id == "slow" {
			<-release
		}
		return reply(c, a.id, a.id)
	})
	n := newInstance(t, "a", newService("posting", true, u))
	got := sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", "slow", "Horn-Deadline", millisFromNow(50*time.Millisecond))
	is.Equal(got.outcome, "unknown")
	is.Equal(got.status, 504)
	close(release)
	for i := range 20 {
		id := strconv.Itoa(i)
		is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", id).body, id)
	}
	is.Equal(len(u.requests()), 21)
}

// Guards against mixed-up responses when deadlines and responses race.
func TestCancelRace(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, a received) bool {
		time.Sleep(3 * time.Millisecond)
		return reply(c, a.id, a.id)
	})
	n := newInstance(t, "a", newService("posting", true, u))
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("%d-%d", w, i)
				got := sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", id, "Horn-Deadline", millisFromNow(time.Duration(3+i%3)*time.Millisecond))
				if got.outcome == "ran" && got.body != id {
					t.Errorf("%s got %q", id, got.body)
				}
			}
		})
	}
	wg.Wait()
	seen := map[string]int{}
	for _, a := range u.requests() {
		if seen[a.id]++; seen[a.id] > 1 {
			t.Errorf("%s was sent twice", a.id)
		}
	}
	waitSlotsFree(t, n.Table().Services["posting"])
}

// Guards against taking bytes that arrive on an idle connection for the next
// response.
func TestUnsolicitedResponse(t *testing.T) {
	is := is.New(t)
	late := make(chan struct{})
	done := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a received) bool {
		reply(c, a.id, "ok")
		if a.conn == 0 {
			<-late
			reply(c, "two", "wrong")
			close(done)
		}
		return true
	})
	n := newInstance(t, "a", newService("posting", true, u))
	is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", "one").body, "ok")
	close(late)
	<-done
	is.Equal(sendRequest(n.front, "POST", "/s/posting/", "", "Horn-Id", "two").body, "ok")
	is.Equal(u.accepted(), 2)
}

// Guards against retrying a once-request when the instance that it was forwarded
// to fails, and against giving up when that instance cannot have received it.
func TestPeerFails(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	_ = closed.Close()
	tests := []struct {
		name    string
		data    func(t *testing.T) string
		once    bool
		outcome string
		second  int
	}{
		{"connection refused", func(*testing.T) string { return closed.Addr().String() }, true, "ran", 1},
		{"reset during the request", resettingPeer, true, "unknown", 0},
		{"reset during the request, not once", resettingPeer, false, "ran", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, nil)
			b := newInstance(t, "b", newService("posting", tt.once, u))
			s := addRetries(newService("posting", tt.once), 1)
			failedPeer := &router.Peer{Address: tt.data(t), Path: new(limiter.CircuitBreaker), Credits: map[string]*limiter.Credit{"posting": new(limiter.Credit)}}
			failedPeer.Credits["posting"].Update(9, 1)
			s.Peers = []*router.Peer{failedPeer, b.peer("posting")}
			a := newInstance(t, "a", s)
			got := sendRequest(a.front, "POST", "/s/posting/", "x", "Horn-Id", "one")
			is.Equal(got.outcome, tt.outcome)
			is.Equal(len(u.requests()), tt.second)
		})
	}
}

func resettingPeer(t *testing.T) string {
	return newRawUpstream(t, func(c net.Conn, _ int) {
		_, _ = c.Read(make([]byte, 10))
		resetConn(c)
	}).ln.Addr().String()
}
