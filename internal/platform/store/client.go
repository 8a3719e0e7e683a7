package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/relay/answer"
)

// Time limits and sizes of one call.
const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	maxAnswerBytes = 64 << 20
	maxErrorBytes  = 512
	idlePerHost    = 4
)

// Client calls the platform's key-value service.
type Client struct {
	address   string
	timeout   time.Duration
	clock     clockwork.Clock
	rng       *rand.Rand
	limits    Limits
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	members   func() int
	sharedBy  atomic.Int64
	budget    *budget
	hold      *hold
	transport *answer.Transport
	counters  *counters
}

// Option changes how a client is built.
type Option func(*Client)

// WithClock sets the clock of the budget and the pauses.
func WithClock(clock clockwork.Clock) Option { return func(c *Client) { c.clock = clock } }

// WithRand sets the random source of the pauses.
func WithRand(rng *rand.Rand) Option { return func(c *Client) { c.rng = rng } }

// WithTimeout bounds each call other than a watch.
func WithTimeout(d time.Duration) Option { return func(c *Client) { c.timeout = d } }

// WithLimits sets the rates that the fleet shares.
func WithLimits(l Limits) Option { return func(c *Client) { c.limits = l } }

// WithMembers shares the service's rates among as many instances as the
// function says.
func WithMembers(members func() int) Option { return func(c *Client) { c.members = members } }

// WithDial sets how connections are made.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// New returns a client of the service at this IP and port.
func New(address string, opts ...Option) *Client {
	c := &Client{
		address: address,
		timeout: defaultTimeout,
		clock:   clockwork.NewRealClock(),
		limits:  DefaultLimits,
		members: func() int { return 1 },
		dial:    (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	members := c.members()
	c.sharedBy.Store(int64(members))
	c.budget = newBudget(c.limits.ShareOf(members), c.clock, c.rng)
	c.hold = &hold{clock: c.clock, rng: c.rng}
	c.counters = newCounters()
	c.transport = answer.NewTransport(&http.Transport{
		DialContext:           c.dial,
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleTimeout,
		ResponseHeaderTimeout: c.timeout,
		DisableCompression:    true,
	})
	return c
}

// share adapts the budget to the number of instances.
func (c *Client) share() {
	members := c.members()
	if c.sharedBy.Swap(int64(members)) == int64(members) {
		return
	}
	c.budget.set(c.limits.ShareOf(members))
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// kind says how a call counts and whether it changes anything.
type kind int

const (
	read kind = iota
	write
	watch
)

// admit applies the pause and the budget to one call.
func (c *Client) admit(ctx context.Context, k kind, p Purpose) error {
	if !c.hold.open(p) {
		c.counters.refused(p, "Hold")
		return &UnavailableError{Purpose: p, Err: &HoldError{}}
	}
	c.share()
	if !c.budget.of(k, p).wait(ctx, p) {
		c.counters.refused(p, "Budget")
		return &UnavailableError{Purpose: p, Err: &BudgetError{Write: k == write}}
	}
	c.counters.sent(p, k)
	return nil
}

// call sends one request and decodes its answer.
func (c *Client) call(ctx context.Context, k kind, p Purpose, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	if err := c.admit(ctx, k, p); err != nil {
		return err
	}
	err := c.exchange(ctx, path, in, out)
	if err == nil {
		c.hold.succeeded()
		return nil
	}
	c.hold.failed()
	c.counters.failed(p)
	if isTimeout(err) {
		// Idle connections of the same age may have gone silent as well.
		c.transport.CloseIdleConnections()
	}
	return &UnavailableError{Purpose: p, MayHaveTakenEffect: k == write && mayHaveReached(err), Err: err}
}

func (c *Client) exchange(ctx context.Context, path string, in, out any) error {
	body, err := c.post(ctx, path, in)
	if err != nil {
		return err
	}
	defer body.Close()
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(out); err != nil {
		return fmt.Errorf("decode answer of %s: %w", path, err)
	}
	// Reading to the end lets the connection be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBytes))
	return nil
}

// post sends one request and returns the body of its answer.
func (c *Client) post(ctx context.Context, path string, in any) (io.ReadCloser, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encode request of %s: %w", path, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request of %s: %w", path, err)
	}
	// Without GetBody the transport cannot send the request a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, fmt.Errorf("post %s: %w", path, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
		return nil, &StatusError{Status: resp.StatusCode, Body: string(text)}
	}
	return resp.Body, nil
}

// mayHaveReached reports whether the service may have acted on a request that
// failed with err: anything but a failed dial or a refusal before execution.
func mayHaveReached(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return false
	}
	var status *StatusError
	if errors.As(err, &status) {
		return status.Status >= http.StatusInternalServerError
	}
	return true
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
