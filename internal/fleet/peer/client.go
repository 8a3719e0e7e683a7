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

// Time limits of calls and connections between instances.
const (
	defaultTimeout     = time.Second
	defaultDialTimeout = 500 * time.Millisecond
	defaultMaxAge      = time.Minute
	idleTimeout        = 15 * time.Second
	idlePerAddress     = 2
)

// clientOptions compress messages that are worth it: reports repeat the names
// of versions, and documents those of their fields.
var clientOptions = []connect.ClientOption{
	connect.WithReadMaxBytes(maxMessageBytes),
	connect.WithAcceptCompression(gzipName, newDecompressor, newCompressor),
	connect.WithSendCompression(gzipName),
	connect.WithCompressMinBytes(minCompressBytes),
}

// minCompressBytes is the size from which messages are compressed.
const minCompressBytes = 400

var calls = expvar.NewMap("PeerCalls")

// Client calls other instances. Each address has connections of its own:
// bounded in age, and all dropped when one of them has gone silent, since what
// lost track of one has likely lost the others.
type Client struct {
	key     string
	timeout time.Duration
	maxAge  time.Duration
	clock   clockwork.Clock
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	base    func(http.RoundTripper) http.RoundTripper

	mu    sync.Mutex
	rng   *rand.Rand
	links map[string]*link
}

// link is the connections to one address.
type link struct {
	transport *http.Transport
	peer      PeerClient
	expires   time.Time
}

// ClientOption changes how a client is built.
type ClientOption func(*Client)

// WithSharedKey sends this key with each call.
func WithSharedKey(key string) ClientOption { return func(c *Client) { c.key = key } }

// WithTimeout bounds calls whose context has no deadline.
func WithTimeout(d time.Duration) ClientOption { return func(c *Client) { c.timeout = d } }

// WithMaxAge bounds the age of connections.
func WithMaxAge(d time.Duration) ClientOption { return func(c *Client) { c.maxAge = d } }

// WithClock sets the clock that connections age by.
func WithClock(clock clockwork.Clock) ClientOption { return func(c *Client) { c.clock = clock } }

// WithRand sets the random source of the ages.
func WithRand(rng *rand.Rand) ClientOption { return func(c *Client) { c.rng = rng } }

// WithDial sets how connections are made.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithRoundTripper wraps the transport of each address, to count or disturb.
func WithRoundTripper(wrap func(http.RoundTripper) http.RoundTripper) ClientOption {
	return func(c *Client) { c.base = wrap }
}

// NewClient returns a client of other instances.
func NewClient(opts ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout}
	c := &Client{
		timeout: defaultTimeout,
		maxAge:  defaultMaxAge,
		clock:   clockwork.NewRealClock(),
		dial:    dialer.DialContext,
		base:    func(t http.RoundTripper) http.RoundTripper { return t },
		links:   map[string]*link{},
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
	for address, l := range c.links {
		l.transport.CloseIdleConnections()
		delete(c.links, address)
	}
}

// at returns the connections to an address, new ones if the present have
// reached their age. Ages vary, so that a fleet does not dial at once.
func (c *Client) at(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	l := c.links[address]
	if l != nil && now.Before(l.expires) {
		return l
	}
	if l != nil {
		l.transport.CloseIdleConnections()
	}
	c.sweep(now)
	transport := &http.Transport{
		DialContext:         c.dial,
		MaxIdleConnsPerHost: idlePerAddress,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		Protocols:           protocols(),
	}
	age := c.maxAge/2 + time.Duration(c.rng.Int64N(int64(c.maxAge/2)+1))
	httpClient := &http.Client{Transport: c.base(transport)}
	l = &link{
		transport: transport,
		peer:      NewPeerClient(httpClient, "http://"+address, clientOptions...),
		expires:   now.Add(age),
	}
	c.links[address] = l
	return l
}

// sweep forgets addresses whose connections have passed their age.
func (c *Client) sweep(now time.Time) {
	for address, l := range c.links {
		if now.After(l.expires) {
			l.transport.CloseIdleConnections()
			delete(c.links, address)
		}
	}
}

// drop gives up the connections of a link after one of them went silent.
func (c *Client) drop(address string, l *link) {
	c.mu.Lock()
	if c.links[address] == l {
		delete(c.links, address)
	}
	c.mu.Unlock()
	l.transport.CloseIdleConnections()
}

func invoke[Req, Resp any](ctx context.Context, c *Client, name, address string, msg *Req, call func(PeerClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error)) (*Resp, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	l := c.at(address)
	req := connect.NewRequest(msg)
	if c.key != "" {
		req.Header().Set(keyHeader, c.key)
	}
	calls.Add(name, 1)
	resp, err := call(l.peer, ctx, req)
	if err == nil {
		return resp.Msg, nil
	}
	calls.Add(name+"Failed", 1)
	if isSilence(err) {
		calls.Add("DroppedSilent", 1)
		c.drop(address, l)
	}
	return nil, &CallError{Method: name, Address: address, Err: err}
}

// isSilence reports whether a call ended because no answer came in time.
func isSilence(err error) bool {
	return connect.CodeOf(err) == connect.CodeDeadlineExceeded || errors.Is(err, context.DeadlineExceeded)
}
