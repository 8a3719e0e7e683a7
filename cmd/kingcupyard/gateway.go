package main

import (
	"context"
	"flag"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/console/logline"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/fleet/gateway"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/platform"
)

// metricsPort is the one that deploy/system.toml names.
const metricsPort = "9464"

// gatewayCommand runs one instance on the users' platform.
type gatewayCommand struct {
	access
	settings string
	level    string
}

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run an instance on the users' platform" }
func (*gatewayCommand) Usage() string {
	return "gateway [-Settings FILE] [-LogLevel LEVEL]: run an instance until SIGTERM\n"
}

func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "Settings", os.Getenv(platform.SettingsVariable), "the platform's settings file (TOML)")
	f.StringVar(&c.level, "LogLevel", "info", "debug, info, warn or error")
}

func (c *gatewayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	if c.settings == "" {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Settings", Allowed: "a settings file"})
	}
	settings, err := platform.LoadSettings(c.settings)
	if err != nil {
		return c.fail(badInput(err))
	}
	log := logline.New(os.Stdout, c.level).With(zap.String("Instance", settings.Instance))
	g := newGateway(settings, log)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reload(ctx, c.settings, g, log)
	err = g.Run(ctx)
	// An output that takes no lines is no reason to stay.
	_ = log.Sync()
	if err != nil {
		return c.fail(err)
	}
	return subcommands.ExitSuccess
}

// newGateway puts an instance together from its settings.
func newGateway(settings gateway.Settings, log *zap.Logger) *gateway.Gateway {
	clock := clockwork.NewRealClock()
	return gateway.New(gateway.Dependencies{
		Settings: settings, Store: platform.NewStore(settings.StoreAddress, platform.WithStoreLogger(log)), Codec: platform.Codec{}, Decode: platform.Decode,
		NewHandler: func(a gateway.Admission, f *pipeline.Forwarder) http.Handler {
			return &platform.Handler{Admission: a, Forwarder: f, Clock: clock, Log: log}
		},
		ReadyPath: platform.ReadyPath, MetricsAddress: net.JoinHostPort(settings.Address, metricsPort), Clock: clock, Log: log,
	})
}
