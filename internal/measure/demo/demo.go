package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/measure/invariant"
	"github.com/kingcupyard/kingcupyard/internal/measure/load"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
	"github.com/kingcupyard/kingcupyard/internal/standin/store"
)

const (
	instances = 3
	// serverRate is the load in requests a second for each engine.
	serverRate     = 6.0
	duplicateShare = 0.3
	maxTokens      = 64
	// requestTimeout is above the instances' own, so that callers see their
	// refusals.
	requestTimeout = 12 * time.Second
	stopTimeout    = 20 * time.Second
	tokensPerPrice = 1000
)

// Bill is one bill as found in the store.
type Bill struct {
	RequestID string
	Customer  string
}

// Bills reads the bills out of all writes of the ledger, in order; a bill that
// was written twice must be returned twice.
type Bills func(entries []store.Entry) ([]Bill, error)

// Settings describe one run of the demo.
type Settings struct {
	Seed       uint64
	Deployment string
	Starter    Starter
	Operators  Operators
	Bills      Bills
	// Output gets the lines of progress and result.
	Output io.Writer
	// Trace gets the judged trace as JSON lines, if set.
	Trace io.Writer

	deployment Deployment
}

// Summary is what a run came to.
type Summary struct {
	Load    load.Report
	Cost    float64
	Results []invariant.Result
}

// Violations counts the violations of all checks, and each check that had
// nothing to judge as one.
func (s Summary) Violations() int {
	n := 0
	for _, r := range s.Results {
		n += r.Violations
		if r.Checked == 0 {
			n++
		}
	}
	return n
}

// run is one run in progress.
type run struct {
	settings     Settings
	clock        clockwork.Clock
	platform     *Platform
	fleet        *fleet
	operator     Operator
	stepsRunning sync.WaitGroup

	mu    sync.Mutex
	trace invariant.Trace
	errs  []error
}

// Run performs the demo and prints the result. The error is that of a run that
// could not be carried out; violations are in the summary.
func Run(ctx context.Context, settings Settings, clock clockwork.Clock) (Summary, error) {
	var err error
	if settings.deployment, err = FindDeployment(settings.Deployment); err != nil {
		return Summary{}, err
	}
	r := &run{settings: settings, clock: clock}
	if r.platform, err = StartPlatform(settings.deployment, settings.Seed, Addresses{}); err != nil {
		return Summary{}, err
	}
	defer r.platform.Close()
	r.fleet, err = startFleet(ctx, settings.deployment, r.platform, settings.Starter, instances, clock, r.record)
	if err != nil {
		return Summary{}, err
	}
	r.operator = settings.Operators(r.fleet.members[0].instance.Operators, operatorKey)
	r.print("Event=Started Deployment=%s Seed=%d Instances=%d Engines=%d PlainServers=%d", settings.Deployment, settings.Seed, instances, len(r.platform.Engines), len(r.platform.Plain))
	report, err := r.sendLoad(ctx)
	if err != nil {
		return Summary{}, err
	}
	return r.conclude(ctx, report)
}

// sendLoad sends the load, performs the steps beside it and stops the
// instances at the end.
func (r *run) sendLoad(ctx context.Context) (load.Report, error) {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	var watch sync.WaitGroup
	watch.Go(func() { r.fleet.watch(watching) })
	r.stepsRunning.Go(func() { r.perform(ctx) })
	d := r.settings.deployment
	report, err := load.Run(ctx, load.Settings{
		Callers: callers(), Rate: serverRate * float64(d.ModelServers), Duration: loadDuration, Seed: r.settings.Seed,
		Service: d.PlainService, PlainPath: d.PlainPath, NonIdempotentPath: d.NonIdempotentPath,
		MaxTokens: maxTokens, Timeout: requestTimeout, DuplicateShare: duplicateShare, Pick: r.fleet.pick, OnSent: r.recordSent, OnOutcome: r.recordEnded,
	}, r.clock)
	r.stepsRunning.Wait()
	stopWatching()
	watch.Wait()
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	r.fleet.stopAll(stopping, r.platform)
	return report, err
}

// conclude gathers the trace, judges it and prints the result.
func (r *run) conclude(ctx context.Context, report load.Report) (Summary, error) {
	if err := ctx.Err(); err != nil {
		return Summary{}, err
	}
	summary := Summary{Load: report}
	if err := r.gather(&summary); err != nil {
		return summary, err
	}
	if r.settings.Trace != nil {
		if err := r.trace.Write(r.settings.Trace); err != nil {
			return summary, err
		}
	}
	summary.Results = invariant.Judge(r.trace)
	for _, result := range summary.Results {
		for _, detail := range result.Details {
			r.print("Event=Violation Name=%s Detail=%q", result.Name, detail)
		}
	}
	r.print("%s", report)
	r.print("Event=Summary Requests=%d Answered=%d Refused=%d Failed=%d FirstTokenP95=%s Cost=%.2f",
		report.Requests, report.Answered, report.Refused, report.Failed, report.FirstToken.P95, summary.Cost)
	for _, result := range summary.Results {
		r.print("%s", result)
	}
	return summary, errors.Join(r.errs...)
}

// gather joins what callers, stand-ins and the store saw.
func (r *run) gather(summary *Summary) error {
	seen, gap := r.platform.log.After(0)
	if gap {
		return fmt.Errorf("the stand-ins saw more than their log keeps")
	}
	for _, ev := range seen {
		r.record(fromStandin(ev))
		summary.Cost += cost(ev)
	}
	commits, ledger := r.platform.committed()
	bills, err := r.settings.Bills(ledger)
	if err != nil {
		return fmt.Errorf("read the bills: %w", err)
	}
	for _, b := range bills {
		r.record(invariant.Event{At: r.clock.Now(), Kind: invariant.KindBilled, RequestID: b.RequestID, Customer: b.Customer})
	}
	r.trace = slices.Concat(commits, r.trace)
	r.trace.Sort()
	return nil
}

// cost is what the tokens of one piece of work cost.
func cost(ev observation.Event) float64 {
	price := 0.0
	switch ev.Model {
	case modelBasic:
		price = priceBasic
	case modelFine:
		price = priceFine
	}
	return price * float64(ev.Tokens) / tokensPerPrice
}

func fromStandin(ev observation.Event) invariant.Event {
	return invariant.Event{
		At: ev.At, Kind: invariant.Kind(ev.Kind), Server: ev.Server, DataCentre: ev.DataCentre, Customer: ev.Customer,
		Tag: ev.Tag, RequestID: ev.RequestID, Model: ev.Model, Version: ev.Version, Tokens: ev.Tokens,
		Cold: ev.Cold, Running: ev.Running, Limit: ev.Limit, Unannounced: ev.Unannounced, State: ev.Detail,
	}
}

func (r *run) fromOutcome(o load.Outcome, kind invariant.Kind, at time.Time) invariant.Event {
	return invariant.Event{
		At: at, Kind: kind, Instance: r.fleet.nameOf(o.Target), Customer: o.Customer, Tag: o.Tag, RequestID: o.RouterID,
		Call: string(o.Kind), Model: o.Model, Version: o.Version, Session: o.Session, Turn: o.Turn,
		Result: string(o.Result), Reason: o.Reason, RunState: o.RunState, Asked: o.Asked, Tokens: o.Tokens, Own: o.Own, Detail: o.Detail,
	}
}

func (r *run) recordSent(o load.Outcome) { r.record(r.fromOutcome(o, invariant.KindSent, o.SentAt)) }

func (r *run) recordEnded(o load.Outcome) { r.record(r.fromOutcome(o, invariant.KindEnded, o.EndedAt)) }

func (r *run) record(e invariant.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trace = append(r.trace, e)
}

func (r *run) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errs = append(r.errs, err)
}

func (r *run) print(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.settings.Output, format+"\n", args...)
}
