package forwarder_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/observer"
)

// Guards the normal path: local upstream, forwarding to another instance, the
// outcome header and the number of free slots.
func TestForward(t *testing.T) {
	is := is.New(t)
	u := newUpstream(t, nil)
	b := newInstance(t, "b", newService("lookup", false, u))
	a := newProxyInstance(t, "lookup", false, b)
	for _, addr := range []string{b.front, a.front} {
		got := sendRequest(addr, "GET", "/s/lookup/x?y=1", "", "Horn-Id", "one")
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(got.outcome, "ran")
		is.Equal(got.id, "one")
		is.Equal(got.body, "ok")
		is.Equal(got.header.Get("Horn-Free"), "")
	}
	got := sendRequest(b.data, "POST", "/s/lookup/x", "body", "Horn-Id", "two", "Horn-Hop", "1", "Horn-Deadline", millisFromNow(time.Hour))
	is.Equal(got.header.Get("Horn-Free"), "8")
	is.Equal(len(u.requests()), 3)
	is.Equal(a.count("ran"), int64(1)) // only the instance that the caller used reports a request
	is.Equal(b.count("ran"), int64(1))
	is.Equal(u.requests()[2].body, int64(4))
	limit := time.Now().Add(2 * time.Second).UnixMilli()
	for _, a := range u.requests() {
		is.True(a.deadline > 0 && a.deadline <= limit) // the limit of the instance that holds the slot bounds forwarded requests too, so that parts can move
	}
}

// Guards the samples from which an upstream's limit is computed.
func TestSamples(t *testing.T) {
	tests := []struct {
		name   string
		answer func(c net.Conn, a received) bool
		want   observer.Sample
	}{
		{"ok", nil, observer.Sample{OK: 1}},
		{"shed", func(c net.Conn, a received) bool { return refuse(c, a.id) }, observer.Sample{Shed: 1}},
		{"failed", func(net.Conn, received) bool { return false }, observer.Sample{Failed: 1}},
		{"short deadline of the caller", func(net.Conn, received) bool { time.Sleep(50 * time.Millisecond); return false }, observer.Sample{}},
		{"leaving", func(c net.Conn, a received) bool {
			_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nHorn-State: leaving\r\nContent-Length: 0\r\nHorn-Id: " + a.id + "\r\n\r\n"))
			return err == nil
		}, observer.Sample{OK: 1, Leaving: true}},
		{"refused", nil, observer.Sample{Refused: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			u := newUpstream(t, tt.answer)
			if tt.name == "refused" {
				u.close()
			}
			n := newInstance(t, "a", newService("posting", true, u))
			headers := []string{"Horn-Id", "one"}
			if tt.name == "short deadline of the caller" {
				headers = append(headers, "Horn-Deadline", millisFromNow(20*time.Millisecond))
			}
			sendRequest(n.front, "POST", "/s/posting/", "", headers...)
			var got observer.Sample
			for _, s := range n.fwd.Samples() {
				is.Equal(s.Upstream, "posting0")
				is.Equal(s.Latency > 0, s.OK > 0)
				s.Latency, s.Upstream = 0, ""
				got = s
			}
			is.Equal(got, tt.want)
			is.Equal(len(n.fwd.Samples()), 0)
		})
	}
}
