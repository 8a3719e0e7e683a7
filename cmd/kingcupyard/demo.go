package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/change"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/console/logline"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/console/settings"
	"github.com/kingcupyard/kingcupyard/internal/fleet/instance"
	"github.com/kingcupyard/kingcupyard/internal/measure/demo"
)

// demoCommand runs the whole system against stand-ins in this process.
type demoCommand struct {
	access
	seed       uint64
	deployment string
	trace      string
	logLevel   string
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run the whole system against stand-ins and judge it" }
func (*demoCommand) Usage() string {
	return "demo [-Seed N] [-Deployment Pottyround|Csatornakep]: run the whole system against stand-ins and judge it\n"
}

func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.Uint64Var(&c.seed, "Seed", 1, "seed of the load")
	f.StringVar(&c.deployment, "Deployment", "Pottyround", "Pottyround or Csatornakep")
	f.StringVar(&c.trace, "Trace", "", "file to write the judged trace to, as JSON lines")
	f.StringVar(&c.logLevel, "LogLevel", "error", "level of the instances' logs")
}

func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	if _, err := demo.FindDeployment(c.deployment); err != nil {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Deployment", Value: c.deployment, Allowed: "Pottyround or Csatornakep"})
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	run := demo.Settings{
		Seed: c.seed, Deployment: c.deployment, Starter: instanceStarter{logline.New(os.Stderr, c.logLevel)},
		Operators: newDemoOperator, Bills: demo.LedgerBills, Output: os.Stdout,
	}
	if c.trace != "" {
		file, err := os.Create(c.trace)
		if err != nil {
			return c.fail(err)
		}
		defer file.Close()
		run.Trace = file
	}
	summary, err := demo.Run(ctx, run, clockwork.NewRealClock())
	if err != nil {
		return c.fail(err)
	}
	if n := summary.Violations(); n > 0 {
		return c.fail(fmt.Errorf("%d violations", n))
	}
	return subcommands.ExitSuccess
}

// instanceStarter starts real instances on loopback.
type instanceStarter struct {
	log *zap.Logger
}

// demoDrainDelay is above the time in which the demo's balancer notices.
const demoDrainDelay = 1500 * time.Millisecond

// Start implements demo.Starter.
func (s instanceStarter) Start(_ context.Context, d demo.InstanceSettings) (demo.Instance, error) {
	const anyPort = "127.0.0.1:0"
	i := instance.New(&settings.Settings{
		Name: d.Name, DataCentre: d.DataCentre, Region: d.Region,
		Callers: anyPort, Operators: anyPort, Peers: anyPort,
		Store: d.Store, InstanceList: d.InstanceList, Rating: d.Rating, Weights: d.Weights,
		OperatorKeyHash: d.OperatorKeyHash, PeerKey: d.PeerKey,
		MaxBodyBytes: 1 << 20, RequestTimeout: 10 * time.Second,
		DrainDelay: demoDrainDelay, StopTimeout: 20 * time.Second,
		ConnectTimeout: 500 * time.Millisecond, FirstTokenTimeout: time.Second, TokenTimeout: time.Second,
	}, instance.WithLogger(s.log.With(zap.String("Instance", d.Name))))
	if err := i.Start(); err != nil {
		return demo.Instance{}, err
	}
	a := i.Addresses()
	return demo.Instance{Callers: a.Callers, Operators: a.Operators, Peers: a.Peers, Stop: i.Stop, Kill: i.Kill}, nil
}

// demoOperator performs changes through the operator API.
type demoOperator struct {
	client *operator.Client
}

func newDemoOperator(address, key string) demo.Operator {
	return demoOperator{operator.NewClient("http://"+address, key)}
}

func (o demoOperator) change(ctx context.Context, c change.Command) error {
	_, err := o.client.Change(ctx, operator.Change{Operator: "demo", Command: c})
	return err
}

// CreateCustomer implements demo.Operator.
func (o demoOperator) CreateCustomer(ctx context.Context, c configuration.Customer) error {
	err := o.change(ctx, change.Command{
		Kind: change.CustomerCreate, Customer: c.Name, KeyHash: c.KeyHashes[0], Weight: c.Weight,
		Priority: c.Priority, OnWithdraw: string(c.OnWithdrawal),
	})
	for _, a := range c.Allowed {
		if err == nil {
			err = o.Allow(ctx, c.Name, a)
		}
	}
	return err
}

// Allow implements demo.Operator.
func (o demoOperator) Allow(ctx context.Context, customer string, a configuration.ModelAccess) error {
	return o.change(ctx, change.Command{Kind: change.CustomerAllow, Customer: customer, Model: a.Model, Versions: a.Versions})
}

// Disallow implements demo.Operator.
func (o demoOperator) Disallow(ctx context.Context, customer, model string) error {
	return o.change(ctx, change.Command{Kind: change.CustomerDisallow, Customer: customer, Model: model})
}

// StartRollout implements demo.Operator.
func (o demoOperator) StartRollout(ctx context.Context, model, _, to string, stages []float64) error {
	return o.change(ctx, change.Command{Kind: change.RolloutStart, Model: model, Version: to, Stages: stages})
}

// Withdraw implements demo.Operator.
func (o demoOperator) Withdraw(ctx context.Context, model, version, reason string) error {
	return o.change(ctx, change.Command{Kind: change.VersionWithdraw, Model: model, Version: version, Reason: reason})
}

// TakeOut implements demo.Operator.
func (o demoOperator) TakeOut(ctx context.Context, dataCentre string) error {
	return o.change(ctx, change.Command{Kind: change.DataCentreTakeOut, DataCentre: dataCentre})
}

// Return implements demo.Operator.
func (o demoOperator) Return(ctx context.Context, dataCentre string) error {
	return o.change(ctx, change.Command{Kind: change.DataCentreReturn, DataCentre: dataCentre})
}

// ApplyPreset implements demo.Operator.
func (o demoOperator) ApplyPreset(ctx context.Context, name string) error {
	return o.change(ctx, change.Command{Kind: change.PresetApply, Preset: name})
}
