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

// raw is an upstream that sees bytes instead of requests.
func raw(t *testing.T, serve func(c net.Conn, n int)) *upstream {
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

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

const whole = "HTTP/1.1 200 OK\r\nHorn-Id: r\r\nContent-Length: 5\r\n\r\nhello"

// Guards against a second run of a once-request and against passing on part of
// an answer when the connection is reset at any byte of the exchange.
func TestReset(t *testing.T) {
	const body = "0123456789"
	request := 0
	probe := raw(t, func(c net.Conn, _ int) {
		head, _ := readRequest(c, len(body))
		request = head
		_, _ = io.WriteString(c, whole)
	})
	n := newNode(t, "a", service("posting", true, probe))
	is.New(t).Equal(call(n.front, "POST", "/s/posting/", body, "Horn-Id", "r").body, "hello")
	for _, once := range []bool{true, false} {
		for at := 0; at < request+len(whole); at += 1 + at/40 {
			t.Run(fmt.Sprintf("%v/%d", once, at), func(t *testing.T) {
				testReset(t, once, at, request, body)
			})
		}
	}
}

func testReset(t *testing.T, once bool, at, request int, body string) {
	is := is.New(t)
	bad := raw(t, func(c net.Conn, _ int) {
		_, _ = io.CopyN(io.Discard, c, int64(min(at, request)))
		if at > request {
			_, _ = io.WriteString(c, whole[:at-request])
		}
		if at%2 == 0 {
			reset(c)
		}
	})
	good := newUpstream(t, nil)
	n := newNode(t, "a", earn(service("posting", once, bad, good), 1))
	got := call(n.front, "POST", "/s/posting/", body, "Horn-Id", "r")
	is.NoErr(got.err)
	if !once {
		is.Equal(got.outcome, "ran")
		is.Equal(got.body, "ok")
		return
	}
	if at == 0 && got.outcome == "ran" {
		is.Equal(len(good.arrivals()), 1) // the reset came before any byte was sent
		return
	}
	is.Equal(got.outcome, "unknown")
	is.Equal(got.status, 504)
	is.Equal(len(good.arrivals()), 0) // a byte may have arrived at the first upstream
}

// readRequest reads a head and n bytes of body and returns their length.
func readRequest(c net.Conn, n int) (int, error) {
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

// Guards against answers that belong to another request, and against passing a
// part of an answer on as whole.
func TestAnswers(t *testing.T) {
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
		{"whole", h + "Content-Length: 2\r\n\r\nok", false, "ran", "ok", 1},
		{"chunked", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, "ran", "ok", 1},
		{"interim", "HTTP/1.1 103 Hints\r\n\r\n" + h + "Content-Length: 2\r\n\r\nok", false, "ran", "ok", 1},
		{"last", h + "Connection: close\r\nContent-Length: 2\r\n\r\nok", false, "ran", "ok", 2},
		{"leftover", h + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", false, "ran", "ok", 2},
		{"other id", "HTTP/1.1 200 OK\r\nHorn-Id: x%s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"no id", "HTTP/1.1 200 OK\r\nHorn-Idle: %s\r\nContent-Length: 2\r\n\r\nok", false, "unknown", "", 2},
		{"no length", h + "\r\nok", true, "unknown", "", 2},
		{"switching", "HTTP/1.1 101 Switching\r\nHorn-Id: %s\r\n\r\n", false, "unknown", "", 2},
		{"cut", h + "Content-Length: 9\r\n\r\nok", true, "unknown", "", 2},
		{"cut chunk", h + "Transfer-Encoding: chunked\r\n\r\n9\r\nok", true, "unknown", "", 2},
		{"cut chunks", h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true, "unknown", "", 2},
		{"no answer", "%s", true, "unknown", "", 2},
		{"not http", "hello %s\r\n\r\n", false, "unknown", "", 2},
		{"large head", h + "X: " + long + "\r\n\r\n", true, "unknown", "", 2},
		{"cut large", h + "Content-Length: 200000\r\n\r\n" + long, true, "ran", "error", 2},
		{"cut large chunks", h + "Transfer-Encoding: chunked\r\n\r\n19000\r\n" + long + "\r\n", true, "ran", "error", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, func(c net.Conn, a arrival) bool {
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
			n := newNode(t, "a", service("posting", true, u))
			got := call(n.front, "POST", "/s/posting/", "b", "Horn-Id", "one")
			is.Equal(got.outcome, tt.outcome)
			switch tt.body {
			case "error":
				is.True(got.err != nil) // the caller must see that the answer was cut
			case "ok":
				is.Equal(got.body, "ok")
			}
			idle(t, n.Table().Services["posting"])
			got = call(n.front, "POST", "/s/posting/", "b", "Horn-Id", "two")
			is.Equal(got.body, "second")
			is.Equal(u.open(), tt.conns)
			is.Equal(len(u.arrivals()), 2) // exactly one arrival for each request
		})
	}
}

// Guards against handing the late answer of one request to the next one.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		if a.id == "slow" {
			<-release
		}
		return reply(c, a.id, a.id)
	})
	n := newNode(t, "a", service("posting", true, u))
	got := call(n.front, "POST", "/s/posting/", "", "Horn-Id", "slow", "Horn-Deadline", at(50*time.Millisecond))
	is.Equal(got.outcome, "unknown")
	is.Equal(got.status, 504)
	close(release)
	for i := range 20 {
		id := strconv.Itoa(i)
		is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", id).body, id)
	}
	is.Equal(len(u.arrivals()), 21)
}

// Guards against mixed answers when deadlines and answers race.
func TestCancelRace(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		time.Sleep(3 * time.Millisecond)
		return reply(c, a.id, a.id)
	})
	n := newNode(t, "a", service("posting", true, u))
	var wg sync.WaitGroup
	for w := range 6 {
		wg.Go(func() {
			for i := range 40 {
				id := fmt.Sprintf("%d-%d", w, i)
				got := call(n.front, "POST", "/s/posting/", "", "Horn-Id", id, "Horn-Deadline", at(time.Duration(3+i%3)*time.Millisecond))
				if got.outcome == "ran" && got.body != id {
					t.Errorf("%s got %q", id, got.body)
				}
			}
		})
	}
	wg.Wait()
	seen := map[string]int{}
	for _, a := range u.arrivals() {
		if seen[a.id]++; seen[a.id] > 1 {
			t.Errorf("%s arrived again", a.id)
		}
	}
	idle(t, n.Table().Services["posting"])
}

// Guards against bytes that arrive on an idle connection and would be taken for
// the next answer.
func TestUnasked(t *testing.T) {
	is := is.New(t)
	late := make(chan struct{})
	done := make(chan struct{})
	u := newUpstream(t, func(c net.Conn, a arrival) bool {
		reply(c, a.id, "ok")
		if a.conn == 0 {
			<-late
			reply(c, "two", "wrong")
			close(done)
		}
		return true
	})
	n := newNode(t, "a", service("posting", true, u))
	is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", "one").body, "ok")
	close(late)
	<-done
	is.Equal(call(n.front, "POST", "/s/posting/", "", "Horn-Id", "two").body, "ok")
	is.Equal(u.open(), 2)
}

// Guards against cutting off or repeating a request when its owner dies, and
// against giving up when the owner cannot have got it.
func TestOwnerDies(t *testing.T) {
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
		{"refused", func(*testing.T) string { return closed.Addr().String() }, true, "ran", 1},
		{"in mid-request", dying, true, "unknown", 0},
		{"in mid-request, repeatable", dying, false, "ran", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, nil)
			b := newNode(t, "b", service("posting", tt.once, u))
			s := earn(service("posting", tt.once), 1)
			gone := &router.Peer{Address: tt.data(t), Path: new(limiter.CircuitBreaker), Credits: map[string]*limiter.Credit{"posting": new(limiter.Credit)}}
			gone.Credits["posting"].Update(9, 1)
			s.Peers = []*router.Peer{gone, b.peer("posting")}
			a := newNode(t, "a", s)
			got := call(a.front, "POST", "/s/posting/", "x", "Horn-Id", "one")
			is.Equal(got.outcome, tt.outcome)
			is.Equal(len(u.arrivals()), tt.second)
		})
	}
}

func dying(t *testing.T) string {
	return raw(t, func(c net.Conn, _ int) {
		_, _ = c.Read(make([]byte, 10))
		reset(c)
	}).ln.Addr().String()
}
