// Package request is the HTTP client for the platform's services, most of
// which exchange JSON documents. It never retries a request by itself.
package request

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/kingcupyard/kingcupyard/internal/relay/answer"
)

// Limits of a client.
const (
	defaultTimeout  = 2 * time.Second
	dialTimeout     = time.Second
	maxConnDuration = time.Minute
	idleConnTimeout = 15 * time.Second
	maxErrorBytes   = 512
	maxBodyBytes    = 64 << 20
	maxConnsPerHost = 64
)

// StatusError reports an answer with a status other than 2xx.
type StatusError struct {
	URL    string
	Status int
	// Body is the start of the answer's body, at most maxErrorBytes.
	Body string
	// RetryAfter is the delay that the service asked for before a retry. It is
	// 0 if the service named none.
	RetryAfter time.Duration
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

// TransportError reports a request that got no answer. Unless NotSent is set,
// the request may have taken effect.
type TransportError struct {
	URL     string
	NotSent bool
	Err     error
}

func (e *TransportError) Error() string { return fmt.Sprintf("%s: %v", e.URL, e.Err) }

func (e *TransportError) Unwrap() error { return e.Err }

// Client sends HTTP requests. It is safe for concurrent use.
type Client struct {
	http    *fasthttp.Client
	timeout time.Duration
}

// Option configures a client.
type Option func(*Client)

// WithTimeout sets the timeout of requests whose context has no earlier
// deadline.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithDial sets the function that opens connections.
func WithDial(dial func(address string) (net.Conn, error)) Option {
	return func(c *Client) { c.http.Dial = dial }
}

// New returns a client with the given options.
func New(opts ...Option) *Client {
	c := &Client{
		timeout: defaultTimeout,
		http: &fasthttp.Client{
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           maxConnsPerHost,
			MaxConnDuration:           maxConnDuration,
			MaxIdleConnDuration:       idleConnTimeout,
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
	dial := c.http.Dial
	c.http.Dial = func(address string) (net.Conn, error) {
		nc, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &conn{answer.NewConn(nc)}, nil
	}
	return c
}

// conn checks the heads of answers. A request is written completely before its answer is read.
type conn struct {
	*answer.Conn
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.ExpectHead()
	return c.Conn.Write(p)
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get requests a JSON document and decodes it into out.
func (c *Client) Get(ctx context.Context, url string, out any) error {
	return c.doJSON(ctx, fasthttp.MethodGet, url, nil, out)
}

// Post sends in as a JSON document and decodes the answer into out. If out is
// nil, the body of the answer is ignored.
func (c *Client) Post(ctx context.Context, url string, in, out any) error {
	return c.doJSON(ctx, fasthttp.MethodPost, url, in, out)
}

// GetBytes returns the body of a document that is not JSON.
func (c *Client) GetBytes(ctx context.Context, url string) ([]byte, error) {
	var body []byte
	err := c.do(ctx, fasthttp.MethodGet, url, nil, func(b []byte) error {
		body = append(body, b...)
		return nil
	})
	return body, err
}

// Head requests the status of a document without its body. It returns a
// *StatusError if the status is not 2xx.
func (c *Client) Head(ctx context.Context, url string) error {
	return c.do(ctx, fasthttp.MethodHead, url, nil, func([]byte) error { return nil })
}

// doJSON sends in as JSON, if it is not nil, and decodes the answer into out, if
// that is not nil.
func (c *Client) doJSON(ctx context.Context, method, url string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return fmt.Errorf("encode request to %s: %w", url, err)
		}
	}
	return c.do(ctx, method, url, body, func(b []byte) error {
		if out == nil {
			return nil
		}
		return json.Unmarshal(b, out)
	})
}

// do sends one request and passes the body of a 2xx answer to decode. The body is
// valid only until decode returns.
func (c *Client) do(ctx context.Context, method, url string, body []byte, decode func([]byte) error) error {
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
	if err := c.http.DoTimeout(req, resp, c.remainingTime(ctx)); err != nil {
		return &TransportError{URL: url, NotSent: isNotSent(err), Err: err}
	}
	if status := resp.StatusCode(); status < 200 || status > 299 {
		answer := resp.Body()
		return &StatusError{
			URL:        url,
			Status:     status,
			Body:       string(answer[:min(len(answer), maxErrorBytes)]),
			RetryAfter: retryAfter(resp),
		}
	}
	if err := decode(resp.Body()); err != nil {
		return fmt.Errorf("decode answer of %s: %w", url, err)
	}
	return nil
}

// remainingTime returns the client's timeout or the time until the deadline of
// ctx, whichever is shorter.
func (c *Client) remainingTime(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return min(c.timeout, time.Until(deadline))
	}
	return c.timeout
}

// isNotSent reports whether err shows that the request did not leave the client.
func isNotSent(err error) bool {
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns) || isDialError(err)
}
