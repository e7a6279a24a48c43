package generator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"hornbeamstream.example/hornbench/emulator"
)

const (
	// maxTries bounds the tries of one request.
	maxTries = 6
	// grace is how long after its deadline a caller still waits for the final
	// answer.
	grace = 500 * time.Millisecond
	// causeBytes bounds what is kept of the body of a refusal.
	causeBytes = 120
	// spread is the largest random addition to the time at which to retry.
	spread = 20 * time.Millisecond
)

// caller is one source address with its cached look-up and its connections.
type caller struct {
	region string
	wire   *wire
	lookup *lookup
	ledger *Ledger
}

// do sends a request until its final outcome and writes the ledger.
func (c *caller) do(ctx context.Context, f Flow, id string, due time.Time) {
	r := Request{ID: id, Service: f.Service, Region: c.region, Due: due, Outcome: NotRun}
	deadline := due.Add(f.Limit)
	var entries []string
	entries, r.Expired = c.lookup.list()
	for i := 0; i < maxTries && len(entries) > 0 && time.Now().Before(deadline); i++ {
		entry := entries[i%len(entries)]
		t, at := c.try(ctx, f, id, entry, deadline)
		r.Tries = append(r.Tries, t)
		r.Outcome = t.Outcome
		if t.Outcome != NotRun {
			break
		}
		if t.Unsent {
			continue
		}
		if !wait(ctx, at, deadline) {
			break
		}
		entries, _ = c.lookup.list()
	}
	r.End = time.Now()
	c.ledger.add(r)
}

// wait waits until the time at which to retry, unless that is not before the
// deadline.
func wait(ctx context.Context, at, deadline time.Time) bool {
	at = at.Add(rand.N(spread))
	if !at.Before(deadline) {
		return false
	}
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// try sends the request to one entry. With outcome NotRun it returns the time
// at which to retry.
func (c *caller) try(ctx context.Context, f Flow, id, entry string, deadline time.Time) (t Try, at time.Time) {
	q, a := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(a)
	body := f.fill(q, entry, id)
	q.Header.Set("Horn-Id", id)
	q.Header.Set("Horn-Deadline", strconv.FormatInt(deadline.UnixMilli(), 10))
	// A send whose outcome is not known is never repeated, and after a refusal
	// nothing ran, so that every send is a first one.
	q.Header.Set("Horn-Attempt", "1")
	t = Try{Entry: entry, Start: time.Now()}
	err := c.wire.send(ctx, entry, q, a, deadline.Add(grace))
	t.End = time.Now()
	if err != nil {
		t.fail(err)
		return t, t.End
	}
	t.Status = a.StatusCode()
	t.judge(a, f.Service, id, body)
	return t, retryAt(a, t.End)
}

// fail sets the outcome after an error of the connection.
func (t *Try) fail(err error) {
	t.Cause = err.Error()
	if errors.Is(err, errUnsent) {
		t.Outcome, t.Unsent = NotRun, true
		return
	}
	t.Outcome = Unknown
	var timeout interface{ Timeout() bool }
	t.Closed = !errors.As(err, &timeout) || !timeout.Timeout()
}

// judge sets the outcome from a complete answer.
func (t *Try) judge(a *fasthttp.Response, service, id string, request []byte) {
	outcome := string(a.Header.Peek("Horn-Outcome"))
	switch {
	case a.StatusCode() == fasthttp.StatusOK:
		t.Outcome = OK
		if err := verify(a, service, id, request); err != nil {
			t.Outcome, t.Cause = Wrong, err.Error()
		}
	case outcome == "notrun":
		t.Outcome = NotRun
		t.Cause = string(bytes.TrimSpace(a.Body()[:min(len(a.Body()), causeBytes)]))
	default:
		t.Outcome = Unknown
		t.Cause = fmt.Sprintf("status %d outcome %q", a.StatusCode(), outcome)
	}
}

func verify(a *fasthttp.Response, service, id string, request []byte) error {
	if got := string(a.Header.Peek("Horn-Id")); got != id {
		return fmt.Errorf("header names request %q, want %q", got, id)
	}
	return emulator.Verify(a.Body(), service, id, request)
}

// retryAt reads Horn-Retry or else Retry-After.
func retryAt(a *fasthttp.Response, now time.Time) time.Time {
	if ms, err := strconv.ParseInt(string(a.Header.Peek("Horn-Retry")), 10, 64); err == nil {
		return time.UnixMilli(ms)
	}
	if s, err := strconv.ParseInt(string(a.Header.Peek("Retry-After")), 10, 64); err == nil {
		return now.Add(time.Duration(s) * time.Second)
	}
	return now.Add(time.Second)
}
