package pooler

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen accepts connections and sends them to the returned channel.
func listen(t *testing.T) (string, chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	conns := make(chan net.Conn, 16)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return ln.Addr().String(), conns
}

const farDeadline = int64(time.Hour)

func TestPoolReuses(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	p := &Pool{Address: address}
	c, fresh, err := p.Get(0, 1, farDeadline, 4)
	is.NoErr(err)
	is.True(fresh)
	p.Put(c, 10)
	again, fresh, err := p.Get(5, 20, farDeadline, 4)
	is.NoErr(err)
	is.True(!fresh && again == c)
	p.Put(c, 30)
	_, fresh, err = p.Get(31, 40, farDeadline, 4)
	is.NoErr(err)
	is.True(fresh) // the idle one was not active recently enough
}

func TestPoolLimit(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	p := &Pool{Address: address}
	a, _, err := p.Get(0, 1, farDeadline, 1)
	is.NoErr(err)
	_, _, err = p.Get(0, 1, farDeadline, 1)
	is.True(errors.Is(err, ErrTooManyConns))
	p.Put(a, 2)
	_, fresh, err := p.Get(3, 4, farDeadline, 1)
	is.NoErr(err)
	is.True(fresh) // the idle connection is closed to make room
}

// TestPoolDropsUnsafeConnections checks that no connection is reused that the
// peer has closed or may be closing, or that has unexpected bytes to read.
func TestPoolDropsUnsafeConnections(t *testing.T) {
	for name, spoil := range map[string]func(p *Pool, server net.Conn){
		"closed":        func(_ *Pool, server net.Conn) { _ = server.Close() },
		"bytes":         func(_ *Pool, server net.Conn) { _, _ = io.WriteString(server, "x") },
		"expired":       func(p *Pool, _ net.Conn) { p.SetPeerIdleTimeout(100 * time.Nanosecond) },
		"closed before": func(p *Pool, _ net.Conn) { p.CloseIdleBefore(100) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, conns := listen(t)
			p := &Pool{Address: address}
			c, _, err := p.Get(0, 1, farDeadline, 4)
			is.NoErr(err)
			p.Put(c, 2)
			spoil(p, <-conns)
			until := time.Now().Add(10 * time.Second)
			for c.Reusable() && name != "expired" && name != "closed before" && time.Now().Before(until) {
				time.Sleep(time.Millisecond)
			}
			_, fresh, err := p.Get(0, 1000, farDeadline, 4)
			is.NoErr(err)
			is.True(fresh)
		})
	}
}

// TestIdleLimitIsLearned observes three stale connections. They lower the idle
// limit of all pools that share it, until the limit expires.
func TestIdleLimitIsLearned(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	idle := &IdleLimit{}
	p, other := &Pool{Address: address, IdleLimit: idle}, &Pool{Address: address, IdleLimit: idle}
	now := int64(time.Second)
	reuse := func(p *Pool, age time.Duration) bool {
		c, _, err := p.Get(now, now, farDeadline, 4)
		is.NoErr(err)
		p.Put(c, now)
		now += int64(age)
		c, fresh, err := p.Get(0, now, farDeadline, 4)
		is.NoErr(err)
		p.Put(c, now)
		return !fresh
	}
	is.True(reuse(p, 2*time.Second))
	observeStale := func(age time.Duration) {
		for range 3 {
			idle.Observe(age, true, now)
		}
	}
	observeStale(2 * time.Second)
	is.True(!reuse(p, 2*time.Second))
	is.True(!reuse(other, 2*time.Second))
	is.True(reuse(other, time.Second))
	observeStale(3 * time.Second) // does not lower the limit
	is.True(!reuse(p, 2*time.Second))
	observeStale(minIdleLimit)
	is.True(reuse(p, minIdleLimit)) // the limit has a minimum
	now += int64(learnedLimitTTL)
	is.True(reuse(p, 2*time.Second))
}

// TestSingleResetsSetNoLimit checks that no limit is learned if one reused
// connection in ten is reset, as by a failing upstream.
func TestSingleResetsSetNoLimit(t *testing.T) {
	is := is.New(t)
	idle := &IdleLimit{}
	for n := range int64(1000) {
		idle.Observe(time.Second, n%10 == 0, n)
		is.True(idle.limit(n) > time.Hour)
	}
	idle.Observe(time.Millisecond, true, 1000) // idle too briefly to be stale
	is.True(idle.limit(1000) > time.Hour)
}

// TestStrictLimit checks that a single stale connection sets the strict limit,
// until other connections have worked after idling for as long.
func TestStrictLimit(t *testing.T) {
	is := is.New(t)
	idle := &IdleLimit{}
	is.True(idle.StrictLimit(1) > time.Hour)
	idle.Observe(2*time.Second, true, 1)
	is.Equal(idle.StrictLimit(2), time.Duration(float64(2*time.Second)*idleTimeoutFraction))
	for range 5 {
		idle.Observe(time.Second, false, 3) // idle for less than the suspected limit
	}
	is.True(idle.StrictLimit(4) < 2*time.Second)
	for range suspicionClearCount {
		idle.Observe(3*time.Second, false, 5)
	}
	is.True(idle.StrictLimit(6) > time.Hour)
	idle.Observe(2*time.Second, true, 7)
	is.True(idle.StrictLimit(7+int64(learnedLimitTTL)) > time.Hour) // expires
}

func TestPoolClosed(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	p := &Pool{Address: address}
	c, _, err := p.Get(0, 1, farDeadline, 4)
	is.NoErr(err)
	p.Close()
	_, _, err = p.Get(0, 2, farDeadline, 4)
	is.True(errors.Is(err, ErrClosed))
	p.Put(c, 3)
	_, err = c.Write([]byte("x"))
	is.True(err != nil) // closed by Put
}
