// Package instance assembles and runs one instance. It builds the components
// from the settings, binds the listeners, runs the controllers and performs the
// graceful shutdown. All instances run the same components; leases and hashing
// decide which instance performs a role.
package instance

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/console/settings"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/relay/front"
)

// Instance is one instance of the system. Build it with New and run it with
// Start.
type Instance struct {
	settings *settings.Settings
	injector do.Injector
	clock    clockwork.Clock
	log      *zap.Logger

	listeners listeners
	peers     *http.Server
	// work is cancelled when requests in flight may be aborted, control when the
	// controllers stop.
	work          context.Context
	cancelWork    context.CancelFunc
	control       context.Context
	cancelControl context.CancelFunc
	controllers   sync.WaitGroup
	serving       sync.WaitGroup
}

// listeners holds the listening sockets of an instance.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
}

// Addresses holds the addresses on which an instance listens for callers,
// operators and other instances.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// Option configures an Instance built by New.
type Option func(*Instance)

// WithClock sets the clock. The default is the system clock.
func WithClock(c clockwork.Clock) Option { return func(i *Instance) { i.clock = c } }

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l *zap.Logger) Option { return func(i *Instance) { i.log = l } }

// New returns an instance with the given settings. Nothing runs before Start.
func New(s *settings.Settings, opts ...Option) *Instance {
	i := &Instance{settings: s, clock: clockwork.NewRealClock(), log: zap.NewNop()}
	for _, opt := range opts {
		opt(i)
	}
	i.work, i.cancelWork = context.WithCancel(context.Background())
	i.control, i.cancelControl = context.WithCancel(context.Background())
	return i
}

// Start binds the listeners, starts the controllers and begins to serve in the
// background. If it returns an error, nothing is left running.
func (i *Instance) Start() error {
	if err := i.bind(); err != nil {
		return err
	}
	i.injector = i.provide()
	server, err := do.Invoke[*peer.Server](i.injector)
	if err != nil {
		i.listeners.close()
		return fmt.Errorf("build instance %s: %w", i.settings.Name, err)
	}
	i.peers = server.HTTPServer()
	i.serve(func() error { return i.peers.Serve(i.listeners.peers) })
	i.runControllers()
	i.serveHTTP(do.MustInvoke[*operator.API](i.injector).App(), i.listeners.operators)
	i.serveHTTP(do.MustInvoke[*front.Server](i.injector).App(), i.listeners.callers)
	a := i.Addresses()
	i.log.Info("Started", zap.String("Instance", i.settings.Name), zap.String("DataCentre", i.settings.DataCentre),
		zap.String("Callers", a.Callers), zap.String("Operators", a.Operators), zap.String("Peers", a.Peers))
	return nil
}

// shutdownTimeout bounds the shutdown of the HTTP servers in close.
const shutdownTimeout = 5 * time.Second

// Addresses returns the addresses on which the instance listens. The listeners
// must be bound.
func (i *Instance) Addresses() Addresses {
	return Addresses{
		Callers:   i.listeners.callers.Addr().String(),
		Operators: i.listeners.operators.Addr().String(),
		Peers:     i.listeners.peers.Addr().String(),
	}
}

func (i *Instance) bind() error {
	var err error
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{i.settings.Callers, &i.listeners.callers},
		{i.settings.Operators, &i.listeners.operators},
		{i.settings.Peers, &i.listeners.peers},
	} {
		if *l.listener, err = net.Listen("tcp", l.address); err != nil {
			i.listeners.close()
			return fmt.Errorf("listen: %w", err)
		}
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serve runs f in the background and logs its error unless the server or its
// listener was closed.
func (i *Instance) serve(f func() error) {
	i.serving.Go(func() {
		if err := f(); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			i.log.Error("ListenerFailed", zap.Error(err))
		}
	})
}

func (i *Instance) serveHTTP(app *fiber.App, l net.Listener) {
	i.serve(func() error {
		return app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// runControllers starts all controllers. They run until control is cancelled.
func (i *Instance) runControllers() {
	for _, c := range controllers(i.injector) {
		i.controllers.Go(func() {
			if err := c.run(i.control); err != nil && i.control.Err() == nil {
				i.log.Error("ControllerFailed", zap.String("Controller", c.name), zap.Error(err))
			}
		})
	}
}

// controller is a named background loop of the instance.
type controller struct {
	name string
	run  func(ctx context.Context) error
}
