// Package attempt sends one attempt of a request to one backend server and
// returns the complete answer, or an Error that says whether the server may have
// run the request. It never retries; that is the caller's decision.
//
// The client dials and pools its own connections and uses fasthttp and net/http
// only to encode and decode messages. Cancelling an attempt therefore closes
// exactly the connection that the attempt uses, and when a connection stalls, the
// idle connections that probably share its fault are removed from the pool. The heads
// of answers are checked before they are decoded.
package attempt

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Headers that a backend server and this client exchange for each attempt.
const (
	HeaderAttempt    = "X-Attempt-Id"
	HeaderRequest    = "X-Request-Id"
	HeaderCustomer   = "X-Customer"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	HeaderRunState   = "X-Run-State"
)

// Target identifies the backend server of an attempt.
type Target struct {
	Server     string
	Address    string
	DataCentre string
}

// Limits bound how long an attempt may go without progress, and the size of its
// answer. Zero fields take the client's defaults.
type Limits struct {
	Connect time.Duration
	Write   time.Duration
	// FirstByte bounds the time from the end of the write to the first token
	// of a stream, or to the first byte of an answer that is not streamed.
	FirstByte time.Duration
	// Unstreamed replaces FirstByte for chat answers that are not streamed from
	// the engine: it sends nothing until all tokens are generated.
	Unstreamed time.Duration
	// Progress bounds the time between two tokens, or between two reads of a
	// body.
	Progress time.Duration
	// MaxAnswerBytes bounds the body of an answer that is not streamed to the
	// caller.
	MaxAnswerBytes int
}

// ChatRequest holds the parameters of one attempt at a chat completion.
type ChatRequest struct {
	AttemptID string
	RequestID string
	Customer  string
	Model     string
	Version   string
	// Body is the JSON body that the caller sent; its model and stream fields
	// are rewritten.
	Body   []byte
	Stream bool
	// ResumeFrom is the number of the last token that the caller already has;
	// 0 starts from the beginning.
	ResumeFrom int
	Priority   int
	Progress   *call.Progress
	Limits     Limits
	// BeforeWrite, if not nil, is called right before the first byte is
	// written. An error from it ends the attempt as NotStarted.
	BeforeWrite func() error
}

// Chunk is one token of a streamed answer. Tokens are numbered from 1.
type Chunk struct {
	Token   int
	Content string
	// Raw is the payload of the event. The receiver may keep it.
	Raw []byte
	// Finish is the finish reason. It is set on the last chunk only.
	Finish string
	// Usage is set on the last chunk if the engine reports it.
	Usage *Usage
}

// Usage is the token count that the engine reports.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Answer is the result of a chat attempt. If the attempt fails, it describes the
// part that arrived before the error.
type Answer struct {
	// Body is the complete answer if it was not streamed to the caller.
	Body  []byte
	Usage Usage
	// Complete reports whether the finish marker arrived.
	Complete bool
	// Tokens is the number of the last token delivered, counted from the
	// start of the answer even if the attempt resumed it.
	Tokens     int
	FirstToken time.Duration
	Duration   time.Duration
}

// PlainRequest holds the parameters of one attempt to call a plain HTTP service.
type PlainRequest struct {
	AttemptID string
	RequestID string
	Customer  string
	Method    string
	Path      string
	Query     string
	Header    http.Header
	Body      []byte
	// Idempotent allows the attempt to use a pooled connection. Other calls
	// dial a new one: if the server has just closed a pooled connection, the
	// client cannot know whether the call ran.
	Idempotent bool
	Progress   *call.Progress
	Limits     Limits
	// BeforeWrite is as in ChatRequest.
	BeforeWrite func() error
}

// PlainAnswer is the complete answer of a plain HTTP service, with any status.
type PlainAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Duration time.Duration
}

// Dial opens a connection to a host:port address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client sends attempts to backend servers. It is safe for concurrent use.
type Client struct {
	clock  clockwork.Clock
	dial   Dial
	limits Limits
	pool   *pool
}

// Option configures a Client.
type Option func(*Client)

// WithClock sets the clock for all limits.
func WithClock(clock clockwork.Clock) Option {
	return func(c *Client) { c.clock = clock }
}

// WithDial replaces the function that opens connections.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.dial = dial }
}

// WithLimits sets the default limits. Zero fields leave a default unchanged.
func WithLimits(limits Limits) Option {
	return func(c *Client) { c.limits = limits.or(c.limits) }
}

// WithPoolLimits sets how many idle connections the pool keeps for one
// address, how long a connection may stay idle, and how old it may get.
func WithPoolLimits(perAddress int, idle, age time.Duration) Option {
	return func(c *Client) {
		c.pool.perAddress, c.pool.idleLimit, c.pool.ageLimit = perAddress, idle, age
	}
}

// Defaults of the client.
const (
	defaultConnect        = 2 * time.Second
	defaultWrite          = 5 * time.Second
	defaultFirstByte      = 30 * time.Second
	defaultUnstreamed     = 3 * time.Minute
	defaultProgress       = 5 * time.Second
	defaultMaxAnswerBytes = 8 << 20
	defaultPerAddress     = 64
	defaultIdleLimit      = 20 * time.Second
	defaultAgeLimit       = 10 * time.Minute
)

// New returns a client. It opens no connection until the first attempt.
func New(opts ...Option) *Client {
	c := &Client{
		clock: clockwork.NewRealClock(),
		dial:  dialTCP,
		limits: Limits{
			Connect:        defaultConnect,
			Write:          defaultWrite,
			FirstByte:      defaultFirstByte,
			Unstreamed:     defaultUnstreamed,
			Progress:       defaultProgress,
			MaxAnswerBytes: defaultMaxAnswerBytes,
		},
		pool: newPool(defaultPerAddress, defaultIdleLimit, defaultAgeLimit),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes the idle connections. Attempts in progress continue.
func (c *Client) Close() { c.pool.closeAll() }

// Prune closes the idle connections to addresses that aren't listed, and those that are too
// old to be used.
func (c *Client) Prune(listed map[string]bool) { c.pool.prune(listed, c.clock.Now()) }

// dialTCP dials with TCP keep-alive, so that the kernel detects most dead idle
// connections before they are used.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
	}}
	return d.DialContext(ctx, "tcp", address)
}

// or returns l with its zero fields taken from def.
func (l Limits) or(def Limits) Limits {
	pick := func(v, d time.Duration) time.Duration {
		if v > 0 {
			return v
		}
		return d
	}
	l.Connect = pick(l.Connect, def.Connect)
	l.Write = pick(l.Write, def.Write)
	l.FirstByte = pick(l.FirstByte, def.FirstByte)
	l.Unstreamed = pick(l.Unstreamed, def.Unstreamed)
	l.Progress = pick(l.Progress, def.Progress)
	if l.MaxAnswerBytes <= 0 {
		l.MaxAnswerBytes = def.MaxAnswerBytes
	}
	return l
}
