// Package front is the callers' listener: the chat-completions protocol and
// plain services over HTTP. It checks input, finds the customer by its key and
// hands requests to the pipeline; it renders answers and refusals.
package front

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// Pipeline runs requests.
type Pipeline interface {
	Chat(ctx context.Context, c *pipeline.ChatRequest, out pipeline.ResponseWriter) error
	Plain(ctx context.Context, p *pipeline.PlainRequest) (*pipeline.PlainAnswer, error)
}

// Server serves callers. Build it with New.
type Server struct {
	board    *board.Board
	pipeline Pipeline
	clock    clockwork.Clock
	log      *zap.Logger
	maxBody  int
	timeout  time.Duration
	stopping atomic.Bool
	active   atomic.Int64
	base     context.Context
	app      *fiber.App
}

// servicesPath is where plain services begin.
const servicesPath = "/services/"

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultRequestTimeout = time.Minute
	idleTimeout           = 30 * time.Second
	readTimeout           = 30 * time.Second
)

var refusals = expvar.NewMap("Refusals")

// Option changes a Front under construction.
type Option func(*Server)

// WithMaxBodyBytes bounds the size of a request's body.
func WithMaxBodyBytes(n int) Option { return func(f *Server) { f.maxBody = n } }

// WithRequestTimeout bounds how long a request may wait for its answer to begin.
func WithRequestTimeout(d time.Duration) Option { return func(f *Server) { f.timeout = d } }

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(f *Server) { f.clock = c } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Server) { f.log = l } }

// New returns a Front. Requests run under base, which outlives a planned stop.
func New(base context.Context, b *board.Board, p Pipeline, opts ...Option) *Server {
	f := &Server{
		board: b, pipeline: p, base: base,
		clock: clockwork.NewRealClock(), log: zap.NewNop(),
		maxBody: defaultMaxBodyBytes, timeout: defaultRequestTimeout,
	}
	for _, opt := range opts {
		opt(f)
	}
	f.app = f.routes()
	return f
}

// App returns the HTTP application to listen with.
func (f *Server) App() *fiber.App { return f.app }

// Active returns the number of requests under way.
func (f *Server) Active() int { return int(f.active.Load()) }

// Stop refuses new requests from now on; running ones finish.
func (f *Server) Stop() { f.stopping.Store(true) }

func (f *Server) routes() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:      "kingcupyard",
		BodyLimit:    f.maxBody,
		Immutable:    true,
		IdleTimeout:  idleTimeout,
		ReadTimeout:  readTimeout,
		ErrorHandler: f.renderError,
	})
	app.Use(f.closeWhenStopping)
	app.Post("/v1/chat/completions", f.chat)
	app.Get("/v1/models", f.models)
	app.All(servicesPath+":name/*", f.plain)
	app.All(servicesPath+":name", f.plain)
	return app
}

// closeWhenStopping ends keep-alive so that the balancer's idle connections
// drain during a planned stop.
func (f *Server) closeWhenStopping(c fiber.Ctx) error {
	if f.stopping.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

// customer authenticates the caller against the configuration in force.
func (f *Server) customer(c fiber.Ctx) (*configuration.Document, *configuration.Customer, error) {
	doc, confirmed := f.board.Configuration.Get(), f.board.Confirmation.Get()
	if doc == nil || !confirmed.AllowsNewWork(f.clock.Now()) {
		return nil, nil, &call.Refusal{Reason: call.ReasonNotReady, State: unclaimedState(c), Detail: "this instance has no confirmed configuration", RetryAfter: time.Second}
	}
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return nil, nil, &call.Refusal{Reason: call.ReasonUnauthorised, Field: "Authorization", Detail: "want: Bearer KEY"}
	}
	customer := doc.CustomerByKey(key)
	if customer == nil {
		return nil, nil, &call.Refusal{Reason: call.ReasonUnauthorised, Field: "Authorization", Detail: "the key is not known"}
	}
	return doc, customer, nil
}

// unclaimedState is the run state of a call that this instance turns away before
// it knows of other arrivals under the same key: one of them may have run.
func unclaimedState(c fiber.Ctx) call.RunState {
	if c.Get(headerIdempotencyKey) != "" && strings.HasPrefix(c.Path(), servicesPath) {
		return call.MayHaveRun
	}
	return call.NotRun
}

// renderError answers with the typed refusal behind err.
func (f *Server) renderError(c fiber.Ctx, err error) error {
	r := refusalOf(err)
	refusals.Add(string(r.Reason), 1)
	f.log.Info("Refused", zap.String("Reason", string(r.Reason)), zap.String("RunState", r.State.String()),
		zap.String("Field", r.Field), zap.String("Detail", r.Detail))
	if r.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, fmt.Sprint(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	c.Set(headerRunState, r.State.String())
	return c.Status(statusOf(r.Reason)).JSON(newErrorBody(r))
}

// refusalOf turns any error into a refusal.
func refusalOf(err error) *call.Refusal {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	var fe *fiber.Error
	if errors.As(err, &fe) {
		return httpRefusal(fe)
	}
	return &call.Refusal{Reason: call.ReasonBackendFailed, State: call.MayHaveRun, Detail: err.Error()}
}

func httpRefusal(fe *fiber.Error) *call.Refusal {
	switch fe.Code {
	case fiber.StatusRequestEntityTooLarge:
		return &call.Refusal{Reason: call.ReasonTooLarge, Field: "body", Detail: "the body is larger than this instance takes"}
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return &call.Refusal{Reason: call.ReasonUnknownPath, Field: "path", Detail: fe.Message}
	}
	return &call.Refusal{Reason: call.ReasonBadRequest, Detail: fe.Message}
}
