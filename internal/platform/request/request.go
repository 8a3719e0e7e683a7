// Package request sends JSON requests to the platform's services. It never
// repeats a request by itself.
package request

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Limits of a client.
const (
	defaultTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	connectionAge   = time.Minute
	idleTimeout     = 15 * time.Second
	maxErrorBytes   = 512
	maxBodyBytes    = 64 << 20
	connectionsHost = 64
)

// StatusError reports an answer with a status that the caller did not want.
type StatusError struct {
	URL    string
	Status int
	Body   string
	// RetryAfter is what the service asked for, 0 if nothing.
	RetryAfter time.Duration
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

// TransportError reports a request that got no answer. It may have had an
// effect unless NotSent is set.
type TransportError struct {
	URL     string
	NotSent bool
	Err     error
}

func (e *TransportError) Error() string { return fmt.Sprintf("%s: %v", e.URL, e.Err) }

func (e *TransportError) Unwrap() error { return e.Err }

// Client sends requests.
type Client struct {
	http    *fasthttp.Client
	timeout time.Duration
}

// Option changes how a client is built.
type Option func(*Client)

// WithTimeout bounds requests whose context has no earlier deadline.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithDial sets how connections are made.
func WithDial(dial func(address string) (net.Conn, error)) Option {
	return func(c *Client) { c.http.Dial = dial }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{
		timeout: defaultTimeout,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           connectionsHost,
			MaxConnDuration:           connectionAge,
			MaxIdleConnDuration:       idleTimeout,
			MaxResponseBodySize:       maxBodyBytes,
			NoDefaultUserAgentHeader:  true,
			Dial: func(address string) (net.Conn, error) {
				return fasthttp.DialTimeout(address, dialTimeout)
			},
		},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get asks for a JSON document.
func (c *Client) Get(ctx context.Context, url string, out any) error {
	return c.do(ctx, fasthttp.MethodGet, url, nil, out)
}

// Post sends a JSON document; out may be nil.
func (c *Client) Post(ctx context.Context, url string, in, out any) error {
	return c.do(ctx, fasthttp.MethodPost, url, in, out)
}

// GetBytes asks for a body that is not JSON.
func (c *Client) GetBytes(ctx context.Context, url string) ([]byte, error) {
	var body []byte
	err := c.exchange(ctx, fasthttp.MethodGet, url, nil, func(b []byte) error {
		body = append(body, b...)
		return nil
	})
	return body, err
}

// Head asks for the status of a document without its body.
func (c *Client) Head(ctx context.Context, url string) error {
	return c.exchange(ctx, fasthttp.MethodHead, url, nil, func([]byte) error { return nil })
}

func (c *Client) do(ctx context.Context, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request to %s: %w", url, err)
		}
	}
	return c.exchange(ctx, method, url, body, func(b []byte) error {
		if out == nil {
			return nil
		}
		return json.Unmarshal(b, out)
	})
}

// exchange sends one request and hands the body of a 2xx answer to take.
func (c *Client) exchange(ctx context.Context, method, url string, body []byte, take func([]byte) error) error {
	if err := ctx.Err(); err != nil {
		return &TransportError{URL: url, NotSent: true, Err: err}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.http.DoTimeout(req, resp, c.remaining(ctx)); err != nil {
		return &TransportError{URL: url, NotSent: isNotSent(err), Err: err}
	}
	if status := resp.StatusCode(); status < 200 || status > 299 {
		text := resp.Body()
		return &StatusError{
			URL:        url,
			Status:     status,
			Body:       string(text[:min(len(text), maxErrorBytes)]),
			RetryAfter: retryAfter(resp),
		}
	}
	if err := take(resp.Body()); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}

func (c *Client) remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.timeout, time.Until(deadline))
	}
	return c.timeout
}

func isNotSent(err error) bool {
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || isDialError(err)
}
