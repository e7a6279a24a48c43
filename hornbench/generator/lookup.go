package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// lookupTimeout is short enough to ask several entries before the cached
	// answer expires.
	lookupTimeout = 500 * time.Millisecond
	// refreshAhead is how long before the expiry a new answer is asked for.
	refreshAhead = 1500 * time.Millisecond
	// retryPause is the time between rounds of failed look-ups.
	retryPause = 100 * time.Millisecond
)

// lookup caches the answer of /v1/lookup for one caller.
type lookup struct {
	wire   *wire
	block  string
	bootup []string

	mu      sync.Mutex
	entries []string
	until   time.Time
	// asked counts look-ups, failed those without an answer.
	asked, failed int
}

// list returns the entries in order of preference, and whether the answer has
// expired without a newer one.
func (l *lookup) list() (entries []string, expired bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries, time.Now().After(l.until)
}

// follow keeps the answer fresh until the context ends.
func (l *lookup) follow(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryPause
		if err := l.refresh(ctx); err == nil {
			l.mu.Lock()
			wait = max(retryPause, time.Until(l.until)-refreshAhead)
			l.mu.Unlock()
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// refresh asks the known entries in order, then those given at the start.
func (l *lookup) refresh(ctx context.Context) (err error) {
	known, _ := l.list()
	err = errors.New("no entries are known")
	for _, e := range append(append([]string{}, known...), l.bootup...) {
		if err = l.ask(ctx, e); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (l *lookup) ask(ctx context.Context, entry string) (err error) {
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asked++
		if err != nil {
			l.failed++
			err = fmt.Errorf("lookup at %s: %w", entry, err)
		}
	}()
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	uri := "http://" + entry + "/v1/lookup"
	if l.block != "" {
		uri += "?block=" + l.block
	}
	q.SetRequestURI(uri)
	if err := l.wire.send(ctx, entry, q, a, time.Now().Add(lookupTimeout)); err != nil {
		return err
	}
	var v struct {
		Entries []string `json:"entries"`
		Until   int64    `json:"until"`
	}
	if a.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d", a.StatusCode())
	}
	if err := json.Unmarshal(a.Body(), &v); err != nil {
		return err
	}
	if len(v.Entries) == 0 {
		return errors.New("no entries in the answer")
	}
	l.mu.Lock()
	l.entries, l.until = v.Entries, time.UnixMilli(v.Until)
	l.mu.Unlock()
	l.wire.keep(v.Entries)
	return nil
}
