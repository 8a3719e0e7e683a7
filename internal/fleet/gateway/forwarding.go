package gateway

import (
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/allowance"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

func (g *Gateway) query(ask pipeline.PlacementRequest) *dispatch.Query {
	service := g.Table().Services[ask.Service]
	return &dispatch.Query{
		Service: ask.Service, Model: ask.Model, SizeRank: ask.SizeRank, PromptParts: ask.PromptParts, ExcludeServers: ask.ExcludeServers,
		Versions: g.releases.versions(ask.Service, ask.Session), ClosedDataCentres: g.fleet().ClosedDataCentres, Members: g.members(),
		MaxConnections: service.MaxConnections, ColdRate: service.ColdRate,
	}
}

// Place implements pipeline.Forwarding.
func (g *Gateway) Place(ask pipeline.PlacementRequest) (*dispatch.Assignment, error) {
	work, err := g.dispatcher.Place(g.follower.View.Servers.Get(), g.query(ask), g.Clock.Now())
	if err == nil {
		g.releases.place(ask.Service, ask.Session, work.Server.Version)
	}
	return work, err
}

// Predict implements pipeline.Forwarding.
func (g *Gateway) Predict(ask pipeline.PlacementRequest) (dispatch.Prediction, error) {
	return g.dispatcher.Predict(g.follower.View.Servers.Get(), g.query(ask), g.Clock.Now())
}

// StillEligible implements pipeline.Forwarding.
func (g *Gateway) StillEligible(w *dispatch.Assignment, ask pipeline.PlacementRequest) bool {
	return w.StillEligible(g.follower.View.Servers.Get(), g.releases.versions(ask.Service, ask.Session), g.fleet().ClosedDataCentres, g.Clock.Now())
}

func (g *Gateway) allowance(service string) *allowance.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.allowances[service]
	if a == nil {
		a = allowance.New(allowance.Settings{Ratio: g.bounds().RetryRatio, BaseRetries: g.bounds().RetrySlack, Window: g.bounds().RetryWindow})
		g.allowances[service] = a
	}
	return a
}

// stepReserve is the part of the allowance that steps up to a larger model
// leave to attempts that replace failed ones.
const stepReserve = 0.3

// RecordRequest implements pipeline.Forwarding.
func (g *Gateway) RecordRequest(service string) { g.allowance(service).RecordRequest(g.Clock.Now()) }

// TryRetry implements pipeline.Forwarding.
func (g *Gateway) TryRetry(service string, urgent bool) bool {
	reserve := stepReserve
	if urgent {
		reserve = 0
	}
	return g.allowance(service).TryRetry(g.Clock.Now(), len(g.members()), reserve)
}

// ObserveCall implements pipeline.Forwarding.
func (g *Gateway) ObserveCall(e pipeline.CallOutcome) {
	outcome := "Answered"
	g.bills.count(e)
	if e.Refusal != nil {
		outcome = string(e.Refusal.Reason) + " " + e.Refusal.State.String()
	}
	outcomes.Add(e.Route.Kind.String()+" "+outcome, 1)
	latencies.observe(e.Route.Kind.String()+" Whole", e.Elapsed)
	if e.QueueTime > 0 {
		latencies.observe(e.Route.Kind.String()+" Waiting", e.QueueTime)
	}
	if e.FirstEvent > 0 {
		latencies.observe(e.Route.Kind.String()+" First", e.FirstEvent)
	}
	if e.LongestPause > 0 {
		latencies.observe(e.Route.Kind.String()+" Pause", e.LongestPause)
	}
}

// ObserveAttempt implements pipeline.Forwarding.
func (g *Gateway) ObserveAttempt(o pipeline.AttemptOutcome) { g.releases.observe(o) }
