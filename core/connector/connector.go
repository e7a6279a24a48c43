// Package connector speaks the platform's HTTP/JSON interface: the object store,
// its watch, and the list of instances.
package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/submitter"
)

const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// waitSlack is the time that the answer of a watch may take after its wait.
	waitSlack = 2 * time.Second
	// idleTime is how long a connection may be idle before it is replaced.
	idleTime = 10 * time.Second
	maxConns = 64
	// dialTime bounds the opening of a connection also for calls that may wait
	// longer: while the platform is cut off, the pauses between the kernel's tries
	// grow beyond the end of the cut.
	dialTime = 800 * time.Millisecond
	// maxAnswer bounds the memory of one answer, which may list many objects.
	maxAnswer = 64 << 20
)

// Client is a connection to the platform. It implements submitter.Store. It
// never repeats a call by itself.
type Client struct {
	// Field names a header field of answers that Call returns; empty for none.
	ResponseHeader string

	base   string
	host   *fasthttp.HostClient
	counts [kinds]atomic.Uint64
}

var _ submitter.Store = (*Client)(nil)

// New returns a client for the platform at base, such as http://127.0.0.1:7500.
func New(base string) (*Client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return nil, fmt.Errorf("platform %q is not an http URL", base)
	}
	return &Client{
		base: "http://" + u.Host,
		host: &fasthttp.HostClient{
			Addr:                      u.Host,
			DialTimeout:               dial,
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       idleTime,
			MaxResponseBodySize:       maxAnswer,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			NoDefaultUserAgentHeader:  true,
		},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.host.CloseIdleConnections() }

func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError marks an error that occurred before any byte was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// keepAlive finds out within about 2 s that a connection on which a watch waits
// has gone silent.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTime {
		timeout = dialTime
	}
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// Call sends one request to the platform and returns its answer.
func (c *Client) Call(ctx context.Context, kind Operation, method, path string, body []byte) (Response, error) {
	return c.call(ctx, kind, method, path, body)
}

// Answer is what came back for a call.
type Response struct {
	Status int
	Body   []byte
	// Field is the value of the header field that the client names.
	HeaderValue string
}

// failure is the error of a call without an answer.
type failure struct {
	// sent tells that the request may have reached the platform.
	sent  bool
	cause error
}

func (f *failure) Error() string {
	switch {
	case errors.Is(f.cause, fasthttp.ErrTimeout):
		return "no answer in time"
	case errors.Is(f.cause, fasthttp.ErrConnectionClosed), errors.Is(f.cause, io.EOF):
		return "connection closed without an answer"
	}
	return f.cause.Error()
}

func (f *failure) Unwrap() error { return f.cause }

// call sends one request. Its error is a *failure.
func (c *Client) call(ctx context.Context, kind Operation, method, path string, body []byte) (a Response, err error) {
	c.counts[kind].Add(1)
	if err := ctx.Err(); err != nil {
		return a, &failure{cause: err}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	type result struct {
		Response
		err error
	}
	// The client has no cancellation, so the exchange ends in its own goroutine,
	// at the deadline at the latest.
	done := make(chan result, 1)
	go func() {
		a, err := c.exchange(method, path, body, deadline)
		done <- result{a, err}
	}()
	select {
	case r := <-done:
		return r.Response, r.err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The exchange has the same deadline and knows whether it sent anything.
			r := <-done
			return r.Response, r.err
		}
		return a, &failure{sent: true, cause: ctx.Err()}
	}
}

func (c *Client) exchange(method, path string, body []byte, deadline time.Time) (a Response, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.host.DoDeadline(request, response, deadline); err != nil {
		return a, c.failed(err)
	}
	a = Response{Status: response.StatusCode(), Body: bytes.Clone(response.Body())}
	if c.ResponseHeader != "" {
		a.HeaderValue = string(response.Header.Peek(c.ResponseHeader))
	}
	return a, nil
}

// failed also drops the idle connections, because a path that went silent keeps
// all of its connections silent.
func (c *Client) failed(err error) error {
	c.host.CloseIdleConnections()
	unsent := errors.As(err, new(dialError)) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
	return &failure{sent: !unsent, cause: err}
}

// read performs a call that changes nothing, so that every failure is
// ErrUnavailable.
func (c *Client) read(ctx context.Context, kind Operation, path string, into any) error {
	a, err := c.call(ctx, kind, fasthttp.MethodGet, path, nil)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
	case a.Status == fasthttp.StatusNotFound:
		return submitter.ErrNotFound
	case a.Status != fasthttp.StatusOK:
		return fmt.Errorf("%w: status %d", submitter.ErrUnavailable, a.Status)
	}
	if err := json.Unmarshal(a.Body, into); err != nil {
		return fmt.Errorf("%w: %v", submitter.ErrUnavailable, err)
	}
	return nil
}

// write performs a call that changes something. A server error may have come
// after the change.
func (c *Client) write(ctx context.Context, kind Operation, method, path string, body []byte) (a Response, err error) {
	a, err = c.call(ctx, kind, method, path, body)
	failed := (*failure)(nil)
	switch {
	case errors.As(err, &failed) && failed.sent:
		return a, fmt.Errorf("%w: %w", submitter.ErrUnknownOutcome, err)
	case err != nil:
		return a, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
	case a.Status == fasthttp.StatusConflict:
		return a, conflict(a.Body)
	case a.Status == fasthttp.StatusNotFound:
		return a, submitter.ErrNotFound
	case a.Status >= 500:
		return a, fmt.Errorf("%w: status %d", submitter.ErrUnknownOutcome, a.Status)
	case a.Status >= 300:
		return a, fmt.Errorf("%w: status %d", submitter.ErrUnavailable, a.Status)
	}
	return a, nil
}

func conflict(body []byte) error {
	c := &submitter.ConflictError{}
	if err := json.Unmarshal(body, &c.Current); err != nil {
		return fmt.Errorf("%w: %v", submitter.ErrConflict, err)
	}
	return c
}
