// Package attempt carries one attempt of a request to one backend server and
// brings back its whole answer or a typed error that says how far the attempt
// can have run. It repeats nothing by itself: only the caller decides on
// retries.
//
// The client uses fasthttp's message types over connections that it dials and
// pools itself, so that cancelling an attempt closes exactly its connection
// and a connection that went silent takes its cohort out of the pool.
package attempt

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Headers of the attempt protocol.
const (
	HeaderAttempt    = "X-Attempt-Id"
	HeaderRequest    = "X-Request-Id"
	HeaderCustomer   = "X-Customer"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	HeaderRunState   = "X-Run-State"
)

// Target is the backend server of an attempt.
type Target struct {
	Server     string
	Address    string
	DataCentre string
}

// Limits bound how long an attempt may go without progress. Zero fields take
// the client's defaults.
type Limits struct {
	Connect time.Duration
	Write   time.Duration
	// FirstByte bounds the time from the end of the write to the first token
	// of a stream, or to the first byte of a plain answer.
	FirstByte time.Duration
	// Unstreamed takes its place for chat answers that are not streamed from the
	// engine and say nothing until all tokens are generated.
	Unstreamed time.Duration
	// Progress bounds the time between tokens, or between bytes of a body.
	Progress time.Duration
	// MaxAnswerBytes bounds the size of a whole answer.
	MaxAnswerBytes int
}

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	AttemptID string
	RequestID string
	Customer  string
	Model     string
	Version   string
	// Body is the caller's body; its model and stream fields are rewritten.
	Body   []byte
	Stream bool
	// ResumeFrom is the number of tokens already delivered.
	ResumeFrom int
	Priority   int
	Progress   *call.Progress
	Limits     Limits
	// BeforeWrite is called right before the first byte is written; its error
	// ends the attempt as NotStarted.
	BeforeWrite func() error
}

// Chunk is one token of a streamed answer.
type Chunk struct {
	Token   int
	Content string
	// Raw is the payload of the event; it is not reused.
	Raw []byte
	// Finish is the finish reason, set on the last chunk only.
	Finish string
	// Usage is set on the last chunk if the engine reports it.
	Usage *Usage
}

// Usage is the engine's own count of tokens.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
}

// Answer is what an attempt brought back. On an error it holds what arrived
// before it.
type Answer struct {
	// Body is the whole answer of an attempt that was not streamed.
	Body  []byte
	Usage Usage
	// Complete says that the finish marker arrived.
	Complete bool
	// Tokens is the number of the last token delivered, counted from the
	// start of the answer.
	Tokens     int
	FirstToken time.Duration
	Duration   time.Duration
}

// PlainRequest is one attempt at a call of a plain service.
type PlainRequest struct {
	AttemptID string
	RequestID string
	Customer  string
	Method    string
	Path      string
	Query     string
	Header    http.Header
	Body      []byte
	// Idempotent calls may use a pooled connection; others dial a new one, so
	// that a connection the server has just closed cannot leave them in doubt.
	Idempotent bool
	Progress   *call.Progress
	Limits     Limits
	// BeforeWrite is as in Chat.
	BeforeWrite func() error
}

// PlainAnswer is the whole answer of a plain service, whatever its status.
type PlainAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Duration time.Duration
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client carries attempts. It is safe for concurrent use.
type Client struct {
	clock  clockwork.Clock
	dial   Dial
	limits Limits
	pool   *pool
}

// Option changes a Client.
type Option func(*Client)

// WithClock sets the clock that the limits are measured by.
func WithClock(clock clockwork.Clock) Option {
	return func(c *Client) { c.clock = clock }
}

// WithDial replaces the function that opens connections.
func WithDial(dial Dial) Option {
	return func(c *Client) { c.dial = dial }
}

// WithLimits sets the default limits; zero fields keep theirs.
func WithLimits(limits Limits) Option {
	return func(c *Client) { c.limits = limits.or(c.limits) }
}

// WithPoolLimits bounds the pooled connections: how many for one address, how long
// one may be idle, and how old it may get.
func WithPoolLimits(perAddress int, idle, age time.Duration) Option {
	return func(c *Client) {
		c.pool.perAddress, c.pool.idleLimit, c.pool.ageLimit = perAddress, idle, age
	}
}

// Defaults of the client.
const (
	defaultConnect     = 2 * time.Second
	defaultWrite       = 5 * time.Second
	defaultFirstByte   = 30 * time.Second
	defaultWhole       = 3 * time.Minute
	defaultProgress    = 5 * time.Second
	defaultAnswerBytes = 8 << 20
	defaultPerAddress  = 64
	defaultIdleLimit   = 20 * time.Second
	defaultAgeLimit    = 10 * time.Minute
)

// New returns a client without connections.
func New(opts ...Option) *Client {
	c := &Client{
		clock: clockwork.NewRealClock(),
		dial:  dialTCP,
		limits: Limits{
			Connect:        defaultConnect,
			Write:          defaultWrite,
			FirstByte:      defaultFirstByte,
			Unstreamed:     defaultWhole,
			Progress:       defaultProgress,
			MaxAnswerBytes: defaultAnswerBytes,
		},
		pool: newPool(defaultPerAddress, defaultIdleLimit, defaultAgeLimit),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes the idle connections. Attempts under way are not touched.
func (c *Client) Close() { c.pool.closeAll() }

// dialTCP has the kernel probe idle connections, so that many a dead one is
// found before it is used.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3,
	}}
	return d.DialContext(ctx, "tcp", address)
}

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
