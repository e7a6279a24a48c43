// Package connector is a client of the platform's HTTP/JSON API: the object
// store, its watch, and the list of instances.
package connector

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/collector"
	"hornbeamstream.example/core/limiter"
	"hornbeamstream.example/core/screener"
	"hornbeamstream.example/core/submitter"
)

const (
	// defaultTimeout bounds a call whose context has no deadline.
	defaultTimeout = 5 * time.Second
	// watchGrace is how long the response to a watch may take after its wait.
	watchGrace = 2 * time.Second
	// idleTimeout is how long a connection may be idle before it is replaced.
	idleTimeout = 10 * time.Second
	maxConns    = 64
	// dialTimeout bounds the opening of a connection also for calls that may wait
	// longer: during a network partition the kernel's backoff between connection
	// attempts grows beyond the end of the partition.
	dialTimeout = 800 * time.Millisecond
	// defaultMaxResponseBytes is the default of Client.MaxResponseBytes. A response may
	// list many objects.
	defaultMaxResponseBytes = 64 << 20
)

// ErrResponseTooLarge means that a response, alone or beside others, has more bytes than
// Client.MaxResponseBytes.
var ErrResponseTooLarge = errors.New("response of the platform is too large")

// Client is a connection to the platform. It implements submitter.Store. It
// never retries a call.
type Client struct {
	// ResponseHeader names a header field of responses whose value Call returns;
	// empty means none.
	ResponseHeader string
	// MaxResponseBytes limits the bodies of all responses that are being received at the
	// same time; 0 sets the default. It must not change after the first call.
	MaxResponseBytes int

	base       string
	httpClient *fasthttp.HostClient
	budgetOnce sync.Once
	budget     limiter.ByteBudget
	calls      [operationCount]atomic.Uint64
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
		httpClient: &fasthttp.HostClient{
			Addr:                      u.Host,
			DialTimeout:               dialScreened,
			MaxConns:                  maxConns,
			MaxIdleConnDuration:       idleTimeout,
			StreamResponseBody:        true,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			NoDefaultUserAgentHeader:  true,
		},
	}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// dialError marks an error that occurred before any byte was sent.
type dialError struct{ error }

func (e dialError) Unwrap() error { return e.error }

// keepAlive detects within 2 s that a connection on which a watch waits is dead. The
// kernel counts whole seconds; shorter times are rounded up.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 1}

func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	d := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive}
	conn, err := d.Dial("tcp", address)
	if err != nil {
		return nil, dialError{err}
	}
	return conn, nil
}

// dialScreened is dial for a client that would take for a response what is none.
func dialScreened(address string, timeout time.Duration) (net.Conn, error) {
	conn, err := dial(address, timeout)
	if err != nil {
		return nil, err
	}
	return screener.NewConn(conn), nil
}

// Call sends one request to the platform and returns its response.
func (c *Client) Call(ctx context.Context, kind Operation, method, path string, body []byte) (Response, error) {
	return c.call(ctx, kind, method, path, body)
}

// Response is the response to a call.
type Response struct {
	Status int
	Body   []byte
	// HeaderValue is the value of the header field that the client names.
	HeaderValue string
}

// callError is the error of a call without a response.
type callError struct {
	// sent reports whether the request may have reached the platform.
	sent  bool
	cause error
}

func (f *callError) Error() string {
	switch {
	case errors.Is(f.cause, fasthttp.ErrTimeout):
		return "no answer in time"
	case errors.Is(f.cause, fasthttp.ErrConnectionClosed), errors.Is(f.cause, io.EOF):
		return "connection closed without an answer"
	}
	return f.cause.Error()
}

func (f *callError) Unwrap() error { return f.cause }

// call sends one request. Its error is a *failure.
func (c *Client) call(ctx context.Context, kind Operation, method, path string, body []byte) (a Response, err error) {
	c.calls[kind].Add(1)
	if err := ctx.Err(); err != nil {
		return a, &callError{cause: err}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	type result struct {
		Response
		err error
	}
	// The HTTP client has no cancellation, so the round trip ends in its own
	// goroutine, at the deadline at the latest.
	done := make(chan result, 1)
	go func() {
		a, err := c.roundTrip(method, path, body, deadline)
		done <- result{a, err}
	}()
	select {
	case r := <-done:
		return r.Response, r.err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The round trip has the same deadline and knows whether it sent anything.
			r := <-done
			return r.Response, r.err
		}
		return a, &callError{sent: true, cause: ctx.Err()}
	}
}

func (c *Client) roundTrip(method, path string, body []byte, deadline time.Time) (a Response, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.base + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := c.httpClient.DoDeadline(request, response, deadline); err != nil {
		return a, c.wrapError(err)
	}
	a.Status = response.StatusCode()
	if a.Body, err = c.readBody(response); err != nil {
		return a, c.wrapError(err)
	}
	if c.ResponseHeader != "" {
		a.HeaderValue = string(response.Header.Peek(c.ResponseHeader))
	}
	return a, nil
}

// readBody reads the body of a response, as far as it is within the limit. The deadline of
// the connection ends it.
func (c *Client) readBody(response *fasthttp.Response) (data []byte, err error) {
	if !response.IsBodyStream() {
		return bytes.Clone(response.Body()), nil
	}
	defer func() { _ = response.CloseBodyStream() }()
	c.budgetOnce.Do(func() { c.budget.Limit = int64(cmp.Or(c.MaxResponseBytes, defaultMaxResponseBytes)) })
	b := collector.Body{Budget: &c.budget, MaxBytes: int(c.budget.Limit)}
	defer b.Discard()
	err = b.Read(response.BodyStream(), response.Header.ContentLength(), func() error { return nil })
	switch {
	case errors.Is(err, collector.ErrTooLarge), errors.Is(err, collector.ErrBudgetExceeded):
		err = fmt.Errorf("%w: %w", ErrResponseTooLarge, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = fasthttp.ErrTimeout
	}
	return b.Data, err
}

// wrapError also closes the idle connections, because a network fault that made
// one connection fail usually affects all of them.
func (c *Client) wrapError(err error) error {
	c.httpClient.CloseIdleConnections()
	unsent := errors.As(err, new(dialError)) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout)
	return &callError{sent: !unsent, cause: err}
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

// write performs a call that changes something. A server error may have occurred
// after the change.
func (c *Client) write(ctx context.Context, kind Operation, method, path string, body []byte) (a Response, err error) {
	a, err = c.call(ctx, kind, method, path, body)
	failed := (*callError)(nil)
	switch {
	case errors.As(err, &failed) && failed.sent:
		return a, fmt.Errorf("%w: %w", submitter.ErrUnknownOutcome, err)
	case err != nil:
		return a, fmt.Errorf("%w: %w", submitter.ErrUnavailable, err)
	case a.Status == fasthttp.StatusConflict:
		return a, decodeConflict(a.Body)
	case a.Status == fasthttp.StatusNotFound:
		return a, submitter.ErrNotFound
	case a.Status >= 500:
		return a, fmt.Errorf("%w: status %d", submitter.ErrUnknownOutcome, a.Status)
	case a.Status >= 300:
		return a, fmt.Errorf("%w: status %d", submitter.ErrUnavailable, a.Status)
	}
	return a, nil
}

func decodeConflict(body []byte) error {
	c := &submitter.ConflictError{}
	if err := json.Unmarshal(body, &c.Current); err != nil {
		return fmt.Errorf("%w: %v", submitter.ErrConflict, err)
	}
	return c
}
