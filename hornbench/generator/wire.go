// Package generator plays callers: it looks entries up, sends requests at a
// given rate, checks the answers and keeps a ledger of all of them.
package generator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"hornbeamstream.example/hornbench/emulator"
)

const (
	dialTimeout = time.Second
	// idleLimit is the age at which an unused connection is dropped.
	idleLimit   = 4 * time.Second
	bufferBytes = 16 << 10
	answerBytes = 8 << 20
)

// errUnsent marks failures before any byte was sent.
var errUnsent = errors.New("nothing was sent")

// wire sends requests over HTTP/1.1 connections from one source address. Every
// request is sent once: a failure is returned and never repeated here.
type wire struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*link
}

// link is one connection to an entry.
type link struct {
	net.Conn
	r    *bufio.Reader
	w    *bufio.Writer
	used time.Time
}

func newWire(source string) *wire {
	w := &wire{idle: map[string][]*link{}, dialer: net.Dialer{Timeout: dialTimeout}}
	if ip := net.ParseIP(source); ip != nil {
		w.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return w
}

// send sends one request and reads its answer whole. An error that wraps
// errUnsent means that the entry got nothing.
func (w *wire) send(ctx context.Context, entry string, q *fasthttp.Request, a *fasthttp.Response, deadline time.Time) error {
	l, err := w.open(ctx, entry, deadline)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnsent, err)
	}
	if err := l.exchange(q, a, deadline); err != nil {
		_ = l.Close()
		return err
	}
	if a.ConnectionClose() || l.r.Buffered() > 0 {
		_ = l.Close()
		return nil
	}
	w.put(entry, l)
	return nil
}

func (l *link) exchange(q *fasthttp.Request, a *fasthttp.Response, deadline time.Time) error {
	if err := l.SetDeadline(deadline); err != nil {
		return err
	}
	if err := q.Write(l.w); err != nil {
		return err
	}
	if err := l.w.Flush(); err != nil {
		return err
	}
	return a.ReadLimitBody(l.r, answerBytes)
}

func (w *wire) open(ctx context.Context, entry string, deadline time.Time) (*link, error) {
	for l := w.take(entry); l != nil; l = w.take(entry) {
		if open, quiet := emulator.Open(l.Conn); open && quiet && time.Since(l.used) < idleLimit {
			return l, nil
		}
		_ = l.Close()
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	c, err := w.dialer.DialContext(ctx, "tcp", entry)
	if err != nil {
		return nil, err
	}
	return &link{Conn: c, r: bufio.NewReaderSize(c, bufferBytes), w: bufio.NewWriterSize(c, bufferBytes)}, nil
}

func (w *wire) take(entry string) *link {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.idle[entry]
	if len(list) == 0 {
		return nil
	}
	l := list[len(list)-1]
	w.idle[entry] = list[:len(list)-1]
	return l
}

func (w *wire) put(entry string, l *link) {
	l.used = time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.idle[entry] = append(w.idle[entry], l)
}

// keep closes the idle connections to entries that are not in the list.
func (w *wire) keep(entries []string) {
	known := map[string]bool{}
	for _, e := range entries {
		known[e] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for e, list := range w.idle {
		if known[e] {
			continue
		}
		closeAll(list)
		delete(w.idle, e)
	}
}

func (w *wire) close() { w.keep(nil) }

func closeAll(list []*link) {
	for _, l := range list {
		_ = l.Close()
	}
}
