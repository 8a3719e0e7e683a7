package peer

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jonboulle/clockwork"
)

// Defaults and limits of calls and connections between instances.
const (
	defaultTimeout     = time.Second
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxAge      = time.Minute
	idleTimeout        = 15 * time.Second
	maxIdlePerAddress  = 2
)

// clientOptions enables compression of large messages, which compress well: load
// reports repeat version names, and documents repeat field names.
var clientOptions = []connect.ClientOption{
	connect.WithReadMaxBytes(maxMessageBytes),
	connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
	connect.WithSendCompression(gzipName),
	connect.WithCompressMinBytes(minCompressBytes),
}

// minCompressBytes is the minimum size of a compressed message.
const minCompressBytes = 400

var callCounts = expvar.NewMap("PeerCalls")

// Client calls other instances. It keeps a separate connection pool for each
// address and replaces a pool at a maximum age. It also replaces the pool when a
// call times out: a middlebox or host that has lost the state of one connection
// has probably lost that of the others.
type Client struct {
	sharedKey     string
	timeout       time.Duration
	maxAge        time.Duration
	clock         clockwork.Clock
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	wrapTransport func(http.RoundTripper) http.RoundTripper

	mu    sync.Mutex
	rng   *rand.Rand
	pools map[string]*addressPool
}

// addressPool is the connection pool of one address.
type addressPool struct {
	transport *http.Transport
	client    PeerClient
	expires   time.Time
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithSharedKey sets the key that is sent with each call.
func WithSharedKey(key string) ClientOption { return func(c *Client) { c.sharedKey = key } }

// WithTimeout sets the maximum duration of a call; an earlier deadline of the
// call's context applies.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithMaxAge sets the maximum age of connections.
func WithMaxAge(d time.Duration) ClientOption { return func(c *Client) { c.maxAge = d } }

// WithClock sets the clock that measures the age of connections.
func WithClock(clock clockwork.Clock) ClientOption { return func(c *Client) { c.clock = clock } }

// WithRand sets the random source that varies the maximum age.
func WithRand(rng *rand.Rand) ClientOption { return func(c *Client) { c.rng = rng } }

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithRoundTripper wraps the transport of each address, for example to count
// calls or to inject faults.
func WithRoundTripper(wrap func(http.RoundTripper) http.RoundTripper) ClientOption {
	return func(c *Client) { c.wrapTransport = wrap }
}

// NewClient returns a client for calls to other instances.
func NewClient(opts ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	c := &Client{
		timeout:       defaultTimeout,
		maxAge:        defaultMaxAge,
		clock:         clockwork.NewRealClock(),
		dial:          dialer.DialContext,
		wrapTransport: func(t http.RoundTripper) http.RoundTripper { return t },
		pools:         map[string]*addressPool{},
	}
	for _, opt := range opts {
		opt(c)
	}
	if c.rng == nil {
		c.rng = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.pools {
		p.transport.CloseIdleConnections()
		delete(c.pools, address)
	}
}

// poolFor returns the connection pool of an address. It replaces an expired pool
// by a new one. A pool's lifetime is random, between half of maxAge and maxAge,
// so that the instances do not all reconnect at the same time.
func (c *Client) poolFor(address string) *addressPool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	p := c.pools[address]
	if p != nil && now.Before(p.expires) {
		return p
	}
	if p != nil {
		p.transport.CloseIdleConnections()
	}
	c.removeExpired(now)
	transport := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: maxIdlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols(),
	}
	age := c.maxAge/2 + time.Duration(c.rng.Int64N(int64(c.maxAge/2)+1))
	httpClient := &http.Client{Transport: c.wrapTransport(transport)}
	p = &addressPool{
		transport: transport,
		client:    NewPeerClient(httpClient, "http://"+address, clientOptions...),
		expires:   now.Add(age),
	}
	c.pools[address] = p
	return p
}

// removeExpired removes the connection pools that have expired.
func (c *Client) removeExpired(now time.Time) {
	for address, p := range c.pools {
		if now.After(p.expires) {
			p.transport.CloseIdleConnections()
			delete(c.pools, address)
		}
	}
}

// removePool removes a connection pool after a call on it timed out.
func (c *Client) removePool(address string, p *addressPool) {
	c.mu.Lock()
	if c.pools[address] == p {
		delete(c.pools, address)
	}
	c.mu.Unlock()
	p.transport.CloseIdleConnections()
}

// invoke makes one call and counts it. It returns a *CallError on failure.
func invoke[Req, Resp any](ctx context.Context, c *Client, name, address string, msg *Req, call func(PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	p := c.poolFor(address)
	req := connect.NewRequest(msg)
	if c.sharedKey != "" {
		req.Header().Set(keyHeader, c.sharedKey)
	}
	callCounts.Add(name, 1)
	resp, err := call(p.client, ctx, req)
	if err == nil {
		return resp.Msg, nil
	}
	callCounts.Add(name+"Failed", 1)
	if isTimeout(err) {
		callCounts.Add("DroppedSilent", 1)
		c.removePool(address, p)
	}
	return nil, &CallError{Method: name, Address: address, Err: err}
}

// isTimeout reports whether a call failed because no response arrived in time.
func isTimeout(err error) bool {
	return connect.CodeOf(err) == connect.CodeDeadlineExceeded || errors.Is(err, context.DeadlineExceeded)
}
