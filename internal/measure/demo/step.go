package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/preset"
	"github.com/kingcupyard/kingcupyard/internal/measure/load"
	"github.com/kingcupyard/kingcupyard/internal/standin/engine"
	"github.com/kingcupyard/kingcupyard/internal/standin/store"
)

// loadDuration is how long load is sent; the steps happen within it.
const loadDuration = 18 * time.Second

// coldShare is the inverse of the share of engines that turn cold at once.
const coldShare = 4

// The streams that a planned stop must not cut.
const (
	longStreamRate     = 60.0
	longStreamArrivals = 150 * time.Millisecond
	longStreamTokens   = 600
	longStreamSeed     = 1 << 32
)

// outageDuration is how long the platform's store is down.
const outageDuration = 2 * time.Second

// faultDuration is how long a passing fault lasts.
const faultDuration = time.Second

// step is one thing that operators do or that fails while load runs.
type step struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// steps lists what happens, in order of time.
func (r *run) steps() []step {
	d, op := r.settings.deployment, r.operator
	movedOut := d.DataCentres[1]
	return []step{
		{500 * time.Millisecond, "CreateCustomer", func(ctx context.Context) error {
			return op.CreateCustomer(ctx, configuration.Customer{
				Name: probeName, KeyHashes: []string{configuration.HashKey(KeyOf(probeName))}, Weight: 1,
				Allowed: []configuration.ModelAccess{{Model: modelBasic}}, OnWithdrawal: configuration.WithdrawalRefuse,
			})
		}},
		{time.Second, "LoseStoreAnswers", r.storeFault(func(f *store.Faults) { f.LoseAnswers = 3 })},
		{1500 * time.Millisecond, "ApplyPreset", func(ctx context.Context) error { return op.ApplyPreset(ctx, preset.Maintenance) }},
		{2 * time.Second, "StartRollout", func(ctx context.Context) error {
			return op.StartRollout(ctx, modelBasic, versionOne, versionTwo, []float64{0.2, 0.5, 1})
		}},
		{3 * time.Second, "Withdraw", func(ctx context.Context) error {
			return op.Withdraw(ctx, modelFine, versionTwo, "demo")
		}},
		{3500 * time.Millisecond, "Allow", func(ctx context.Context) error {
			return op.Allow(ctx, probeName, configuration.ModelAccess{Model: modelFine})
		}},
		{4 * time.Second, "TakeOut", func(ctx context.Context) error { return op.TakeOut(ctx, movedOut) }},
		{4500 * time.Millisecond, "ServerLeaves", func(context.Context) error {
			r.platform.Roster.Leave(fmt.Sprintf("%s-%02d", d.ModelService, 1))
			return nil
		}},
		{5 * time.Second, "TurnCold", r.turnCold},
		{6 * time.Second, "BreakStreams", r.engineFault(3, func(f *engine.Faults) { f.BreakAfterTokens = 5 })},
		{6*time.Second + faultDuration, "MendStreams", r.engineFault(3, func(f *engine.Faults) { f.BreakAfterTokens = 0 })},
		{7500 * time.Millisecond, "KillInstance", func(context.Context) error {
			r.fleet.kill(r.platform, r.fleet.list()[2])
			return nil
		}},
		{7800 * time.Millisecond, "ReplaceInstance", func(ctx context.Context) error {
			return r.fleet.start(ctx, d, r.platform, r.settings.Starter, instances)
		}},
		{8 * time.Second, "CrossAnswers", r.engineFault(5, func(f *engine.Faults) { f.CrossAnswers = true })},
		{8*time.Second + faultDuration, "MendAnswers", r.engineFault(5, func(f *engine.Faults) { f.CrossAnswers = false })},
		{9500 * time.Millisecond, "SilenceConnections", r.engineFault(6, func(f *engine.Faults) { f.Silence = true })},
		{11 * time.Second, "Return", func(ctx context.Context) error { return op.Return(ctx, movedOut) }},
		{12300 * time.Millisecond, "LongStreams", r.sendLongStreams},
		{12500 * time.Millisecond, "StopInstance", func(ctx context.Context) error {
			r.fleet.stop(ctx, r.platform, r.stopped())
			return nil
		}},
		{13 * time.Second, "ApplyPreset", func(ctx context.Context) error { return op.ApplyPreset(ctx, preset.Ordinary) }},
		{13500 * time.Millisecond, "Disallow", func(ctx context.Context) error { return op.Disallow(ctx, probeName, modelBasic) }},
		{14500 * time.Millisecond, "StoreDown", r.storeFault(func(f *store.Faults) { f.Down = true })},
		{14500*time.Millisecond + outageDuration, "StoreUp", r.storeFault(func(f *store.Faults) { f.Down = false })},
	}
}

// stopped is the instance that is stopped while load runs.
func (r *run) stopped() *member { return r.fleet.list()[1] }

// turnCold turns a share of the engines cold at once, with no warning.
func (r *run) turnCold(context.Context) error {
	for _, e := range r.platform.Engines[2 : 2+len(r.platform.Engines)/coldShare] {
		e.SetFaults(func(f *engine.Faults) { f.TurnCold = true })
	}
	return nil
}

// sendLongStreams begins streams that still run when the instance is stopped.
func (r *run) sendLongStreams(ctx context.Context) error {
	_, err := load.Run(ctx, load.Settings{
		Targets: []string{r.stopped().instance.Callers}, Callers: callers()[3:4], Models: []string{modelBasic},
		Rate: longStreamRate, Duration: longStreamArrivals, Seed: r.settings.Seed + longStreamSeed, Mix: load.Mix{Streamed: 1},
		MinTokens: longStreamTokens, MaxTokens: longStreamTokens, Timeout: requestTimeout,
		OnSent: r.recordSent, OnOutcome: r.recordEnded,
	}, r.clock)
	return err
}

func (r *run) storeFault(change func(*store.Faults)) func(context.Context) error {
	return func(context.Context) error {
		r.platform.Store.SetFaults(change)
		return nil
	}
}

func (r *run) engineFault(n int, change func(*engine.Faults)) func(context.Context) error {
	return func(context.Context) error {
		r.platform.Engines[n].SetFaults(change)
		return nil
	}
}

// perform carries the steps out at their times. A step runs beside the later
// ones if it takes long.
func (r *run) perform(ctx context.Context) {
	began := r.clock.Now()
	for _, s := range r.steps() {
		if wait := s.at - r.clock.Since(began); wait > 0 {
			select {
			case <-r.clock.After(wait):
			case <-ctx.Done():
				return
			}
		}
		r.stepsRunning.Go(func() {
			err := s.do(ctx)
			result := "Done"
			if err != nil {
				result = "Failed"
				r.fail(&StepError{s.name, err})
			}
			r.print("Event=Step Seconds=%.1f Name=%s Result=%s", r.clock.Since(began).Seconds(), s.name, result)
		})
	}
}

// StepError reports a step that could not be carried out.
type StepError struct {
	Name string
	Err  error
}

func (e *StepError) Error() string { return fmt.Sprintf("step %s: %v", e.Name, e.Err) }

func (e *StepError) Unwrap() error { return e.Err }
