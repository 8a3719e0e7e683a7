// Package front implements the caller-facing HTTP API: chat completions, the
// list of models, and plain services, which are services that run no model. It
// authenticates customers by their API keys, validates requests, passes them to
// the pipeline, and renders answers and refusals.
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

// Pipeline runs requests on backend servers. *pipeline.Pipeline implements it.
type Pipeline interface {
	Chat(ctx context.Context, c *pipeline.ChatRequest, out pipeline.ResponseWriter) error
	Plain(ctx context.Context, p *pipeline.PlainRequest) (*pipeline.PlainAnswer, error)
}

// Server is the HTTP server of the caller-facing API. Use New to create one.
type Server struct {
	board          *board.Board
	pipeline       Pipeline
	clock          clockwork.Clock
	log            *zap.Logger
	maxBodyBytes   int
	requestTimeout time.Duration
	stopping       atomic.Bool
	active         atomic.Int64
	baseCtx        context.Context
	app            *fiber.App
}

// servicesPath is the path prefix of plain services.
const servicesPath = "/services/"

const (
	defaultMaxBodyBytes   = 1 << 20
	defaultRequestTimeout = time.Minute
	idleTimeout           = 30 * time.Second
	readTimeout           = 30 * time.Second
)

var refusals = expvar.NewMap("Refusals")

// Option configures a Server in New.
type Option func(*Server)

// WithMaxBodyBytes limits the size of a request body.
func WithMaxBodyBytes(n int) Option { return func(s *Server) { s.maxBodyBytes = n } }

// WithRequestTimeout limits the time until the answer to a request begins. A
// caller can lower it for one request with the X-Timeout-Ms header.
func WithRequestTimeout(d time.Duration) Option { return func(s *Server) { s.requestTimeout = d } }

// WithClock sets the clock. The default is the real clock.
func WithClock(c clockwork.Clock) Option { return func(s *Server) { s.clock = c } }

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l *zap.Logger) Option { return func(s *Server) { s.log = l } }

// New returns a Server. Requests run under baseCtx, which must not be
// cancelled during a graceful shutdown until all requests have finished.
func New(baseCtx context.Context, b *board.Board, p Pipeline, opts ...Option) *Server {
	s := &Server{
		board: b, pipeline: p, baseCtx: baseCtx,
		clock: clockwork.NewRealClock(), log: zap.NewNop(),
		maxBodyBytes: defaultMaxBodyBytes, requestTimeout: defaultRequestTimeout,
	}
	for _, opt := range opts {
		opt(s)
	}
	s.app = s.newApp()
	return s
}

// App returns the Fiber application that serves the API. The owner of the
// Server starts its listener and shuts it down.
func (s *Server) App() *fiber.App { return s.app }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// Stop makes the server refuse new requests. Requests in progress continue.
func (s *Server) Stop() { s.stopping.Store(true) }

func (s *Server) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		AppName:      "kingcupyard",
		BodyLimit:    s.maxBodyBytes,
		Immutable:    true,
		IdleTimeout:  idleTimeout,
		ReadTimeout:  readTimeout,
		ErrorHandler: s.renderError,
	})
	app.Use(s.closeWhenStopping)
	app.Post("/v1/chat/completions", s.handleChat)
	app.Get("/v1/models", s.handleModels)
	app.All(servicesPath+":name/*", s.handlePlain)
	app.All(servicesPath+":name", s.handlePlain)
	return app
}

// closeWhenStopping closes connections after their current request during a
// graceful shutdown, so that the load balancer does not keep them open.
func (s *Server) closeWhenStopping(c fiber.Ctx) error {
	if s.stopping.Load() {
		c.Set(fiber.HeaderConnection, "close")
	}
	return c.Next()
}

// authenticate returns the current configuration and the customer that the API key
// of the request belongs to. It refuses all requests while the instance has no
// confirmed configuration.
func (s *Server) authenticate(c fiber.Ctx) (*configuration.Document, *configuration.Customer, error) {
	doc, confirmed := s.board.Configuration.Get(), s.board.Confirmation.Get()
	if doc == nil || !confirmed.AllowsNewWork(s.clock.Now()) {
		return nil, nil, &call.Refusal{Reason: call.ReasonNotReady, State: runStateBeforeClaim(c), Detail: "this instance has no confirmed configuration", RetryAfter: time.Second}
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

// runStateBeforeClaim returns the run state of a request that is refused before its
// idempotency key is claimed. Another request with the same key may have run, so
// the state of a plain request with a key is MayHaveRun.
func runStateBeforeClaim(c fiber.Ctx) call.RunState {
	if c.Get(headerIdempotencyKey) != "" && strings.HasPrefix(c.Path(), servicesPath) {
		return call.MayHaveRun
	}
	return call.NotRun
}

// renderError writes err to the response as a refusal. It is the error handler of
// the Fiber application.
func (s *Server) renderError(c fiber.Ctx, err error) error {
	r := refusalOf(err)
	refusals.Add(string(r.Reason), 1)
	s.log.Info("Refused", zap.String("Reason", string(r.Reason)), zap.String("RunState", r.State.String()),
		zap.String("Field", r.Field), zap.String("Detail", r.Detail))
	if r.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, fmt.Sprint(int((r.RetryAfter+time.Second-1)/time.Second)))
	}
	c.Set(headerRunState, r.State.String())
	return c.Status(httpStatus(r.Reason)).JSON(newErrorBody(r))
}

// refusalOf returns the refusal that err wraps, or converts err to one. The state
// of an unknown error is MayHaveRun.
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

// httpRefusal converts an error of Fiber, such as an unknown path, to a refusal.
func httpRefusal(fe *fiber.Error) *call.Refusal {
	switch fe.Code {
	case fiber.StatusRequestEntityTooLarge:
		return &call.Refusal{Reason: call.ReasonTooLarge, Field: "body", Detail: "the body is larger than this instance takes"}
	case fiber.StatusNotFound, fiber.StatusMethodNotAllowed:
		return &call.Refusal{Reason: call.ReasonUnknownPath, Field: "path", Detail: fe.Message}
	}
	return &call.Refusal{Reason: call.ReasonBadRequest, Detail: fe.Message}
}
