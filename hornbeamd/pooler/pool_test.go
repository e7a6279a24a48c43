package pooler

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// listen accepts connections and hands them out.
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

const far = int64(time.Hour)

func TestPoolReuses(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	p := &Pool{Address: address}
	c, fresh, err := p.Get(0, 1, far, 4)
	is.NoErr(err)
	is.True(fresh)
	p.Put(c, 10)
	again, fresh, err := p.Get(5, 20, far, 4)
	is.NoErr(err)
	is.True(!fresh && again == c)
	p.Put(c, 30)
	_, fresh, err = p.Get(31, 40, far, 4)
	is.NoErr(err)
	is.True(fresh) // the idle one has not proven to work lately enough
}

func TestPoolLimit(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	p := &Pool{Address: address}
	a, _, err := p.Get(0, 1, far, 1)
	is.NoErr(err)
	_, _, err = p.Get(0, 1, far, 1)
	is.True(errors.Is(err, ErrTooManyConns))
	p.Put(a, 2)
	_, fresh, err := p.Get(3, 4, far, 1)
	is.NoErr(err)
	is.True(fresh) // an unproven connection makes room for a fresh one
}

// TestPoolDropsDoubtfulConnections uses no connection that the other end has
// closed, that bytes have arrived on, or that the other end may be closing.
func TestPoolDropsUnsafeConnections(t *testing.T) {
	for name, spoil := range map[string]func(p *Pool, server net.Conn){
		"closed":   func(_ *Pool, server net.Conn) { _ = server.Close() },
		"bytes":    func(_ *Pool, server net.Conn) { _, _ = io.WriteString(server, "x") },
		"expired":  func(p *Pool, _ net.Conn) { p.SetPeerIdleTimeout(100 * time.Nanosecond) },
		"distrust": func(p *Pool, _ net.Conn) { p.CloseIdleBefore(100) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, conns := listen(t)
			p := &Pool{Address: address}
			c, _, err := p.Get(0, 1, far, 4)
			is.NoErr(err)
			p.Put(c, 2)
			spoil(p, <-conns)
			until := time.Now().Add(10 * time.Second)
			for c.Reusable() && name != "expired" && name != "distrust" && time.Now().Before(until) {
				time.Sleep(time.Millisecond)
			}
			_, fresh, err := p.Get(0, 1000, far, 4)
			is.NoErr(err)
			is.True(fresh)
		})
	}
}

// TestIdleLearns uses connections for a shorter time after three were found
// forgotten, for all pools that share the bound, and not for ever.
func TestIdleLimitIsLearned(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	idle := &IdleLimit{}
	p, other := &Pool{Address: address, IdleLimit: idle}, &Pool{Address: address, IdleLimit: idle}
	now := int64(time.Second)
	reuse := func(p *Pool, age time.Duration) bool {
		c, _, err := p.Get(now, now, far, 4)
		is.NoErr(err)
		p.Put(c, now)
		now += int64(age)
		c, fresh, err := p.Get(0, now, far, 4)
		is.NoErr(err)
		p.Put(c, now)
		return !fresh
	}
	is.True(reuse(p, 2*time.Second))
	forgotten := func(age time.Duration) {
		for range 3 {
			idle.Observe(age, true, now)
		}
	}
	forgotten(2 * time.Second)
	is.True(!reuse(p, 2*time.Second))
	is.True(!reuse(other, 2*time.Second))
	is.True(reuse(other, time.Second))
	forgotten(3 * time.Second) // says nothing new
	is.True(!reuse(p, 2*time.Second))
	forgotten(minIdle)
	is.True(reuse(p, minIdle)) // the bound has a floor
	now += int64(forgottenTime)
	is.True(reuse(p, 2*time.Second))
}

// TestSingleResetsTeachNothing keeps the time for which idle connections are used
// while one reused connection in ten is reset, as by upstreams that fail.
func TestSingleResetsSetNoLimit(t *testing.T) {
	is := is.New(t)
	idle := &IdleLimit{}
	for n := range int64(1000) {
		idle.Observe(time.Second, n%10 == 0, n)
		is.True(idle.limit(n) > time.Hour)
	}
	idle.Observe(time.Millisecond, true, 1000) // too short to be forgotten
	is.True(idle.limit(1000) > time.Hour)
}

// TestDoubt bounds requests that must not be lost after a single forgotten
// connection, until others that were idle for as long were in order.
func TestStrictLimit(t *testing.T) {
	is := is.New(t)
	idle := &IdleLimit{}
	is.True(idle.StrictLimit(1) > time.Hour)
	idle.Observe(2*time.Second, true, 1)
	is.Equal(idle.StrictLimit(2), time.Duration(float64(2*time.Second)*idleShare))
	for range 5 {
		idle.Observe(time.Second, false, 3) // says nothing about 2 s
	}
	is.True(idle.StrictLimit(4) < 2*time.Second)
	for range refuted {
		idle.Observe(3*time.Second, false, 5)
	}
	is.True(idle.StrictLimit(6) > time.Hour)
	idle.Observe(2*time.Second, true, 7)
	is.True(idle.StrictLimit(7+int64(forgottenTime)) > time.Hour) // not for ever
}

func TestPoolClosed(t *testing.T) {
	is := is.New(t)
	address, _ := listen(t)
	p := &Pool{Address: address}
	c, _, err := p.Get(0, 1, far, 4)
	is.NoErr(err)
	p.Close()
	_, _, err = p.Get(0, 2, far, 4)
	is.True(errors.Is(err, ErrClosed))
	p.Put(c, 3)
	_, err = c.Write([]byte("x"))
	is.True(err != nil) // closed when it comes back
}
