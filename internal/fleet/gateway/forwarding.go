package gateway

import (
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/routing/allowance"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// dispatchQuery adds what this instance knows of the fleet to a placement
// request.
func (g *Gateway) dispatchQuery(req pipeline.PlacementRequest) *dispatch.Query {
	service := g.Table().Services[req.Service]
	now := g.Clock.Now()
	knownFor := g.knownFor(now)
	versions := g.rollouts.allowedVersions(req.Service, req.Session)
	if req.Refused && g.rollouts.mayBeComplete(req.Service) {
		versions = dispatch.VersionConstraint{Only: g.fleet().Rollouts[req.Service].Target}
	}
	return &dispatch.Query{
		Service: req.Service, Model: req.Model, SizeRank: req.SizeRank, PromptParts: req.PromptParts, OutputTokens: req.OutputTokens, Goal: req.Goal, ExcludeServers: req.ExcludeServers,
		Versions: versions, OnlyServers: g.rollouts.trialServers(req.Service, versions), ClosedDataCentres: g.fleet().ClosedDataCentres,
		Members: g.members(now), KnownFor: knownFor,
		MaxConnections: service.MaxConnections, ColdRate: service.ColdRate,
	}
}

// askDispatcher asks about a request, if need be about servers besides those of a trial.
func askDispatcher[T any](g *Gateway, req pipeline.PlacementRequest, ask func(*backend.Listing, *dispatch.Query, time.Time) (T, error)) (T, error) {
	query := g.dispatchQuery(req)
	answer, err := ask(g.follower.View.Servers.Get(), query, g.Clock.Now())
	if err != nil && len(query.OnlyServers) > 0 {
		query.OnlyServers = nil
		answer, err = ask(g.follower.View.Servers.Get(), query, g.Clock.Now())
	}
	return answer, err
}

// Place implements pipeline.Fleet.
func (g *Gateway) Place(req pipeline.PlacementRequest) (*dispatch.Assignment, error) {
	assigned, err := askDispatcher(g, req, g.dispatcher.Place)
	if err == nil {
		g.rollouts.recordPlacement(req.Service, req.Session, assigned.Server.Version)
	}
	return assigned, err
}

// Predict implements pipeline.Fleet.
func (g *Gateway) Predict(req pipeline.PlacementRequest) (dispatch.Prediction, error) {
	return askDispatcher(g, req, g.dispatcher.Predict)
}

// StillEligible implements pipeline.Fleet.
func (g *Gateway) StillEligible(assigned *dispatch.Assignment, req pipeline.PlacementRequest) bool {
	servers, q, now := g.follower.View.Servers.Get(), g.dispatchQuery(req), g.Clock.Now()
	if !assigned.StillEligible(servers, q.Versions, q.ClosedDataCentres, now) || !assigned.Send(servers, q, now) {
		return false
	}
	g.rollouts.recordSent(req.Service, assigned.Server.Version)
	return true
}

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *allowance.RetryBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	budget := g.retryBudgets[service]
	if budget == nil {
		budget = allowance.New(allowance.Settings{Ratio: g.currentSettings().RetryRatio, BaseRetries: g.currentSettings().BaseRetries, Window: g.currentSettings().RetryWindow})
		g.retryBudgets[service] = budget
	}
	return budget
}

// escalationReserve is the fraction of the retry budget that escalations to a
// larger model leave for attempts that replace failed ones.
const escalationReserve = 0.15

// RecordRequest implements pipeline.Fleet.
func (g *Gateway) RecordRequest(service string) { g.retryBudget(service).RecordRequest(g.Clock.Now()) }

// TryRetry implements pipeline.Fleet.
func (g *Gateway) TryRetry(service string, urgent bool) bool {
	reserve := escalationReserve
	if urgent {
		reserve = 0
	}
	now := g.Clock.Now()
	g.index()
	return g.retryBudget(service).TryRetry(now, g.tenure.LastingShare(g.currentSettings().RetryWindow, now), reserve)
}

// ObserveCall implements pipeline.Fleet.
func (g *Gateway) ObserveCall(o pipeline.CallOutcome) {
	outcome := "Answered"
	g.billing.countRequest(o)
	if o.Refusal != nil {
		outcome = string(o.Refusal.Reason) + " " + o.Refusal.State.String()
	}
	requestCounters.Add(o.Route.Kind.String()+" "+outcome, 1)
	latencies.observe(o.Route.Kind.String()+" Whole", o.Elapsed)
	if o.QueueTime > 0 {
		latencies.observe(o.Route.Kind.String()+" Waiting", o.QueueTime)
	}
	if o.FirstEvent > 0 {
		latencies.observe(o.Route.Kind.String()+" First", o.FirstEvent)
	}
	if o.LongestPause > 0 {
		latencies.observe(o.Route.Kind.String()+" Pause", o.LongestPause)
	}
}

// ObserveAttempt implements pipeline.Fleet.
func (g *Gateway) ObserveAttempt(o pipeline.AttemptOutcome) { g.crashes.observe(o) }

// LateAfter implements pipeline.Fleet.
func (g *Gateway) LateAfter(o pipeline.AnswerObservation, predictedWait time.Duration) time.Duration {
	if after, known := g.rollouts.lateAfter(o); known {
		return after
	}
	return max(minSlowLatency, slowFactor*predictedWait)
}

// roundTrip returns the usual round-trip time to a server.
func (g *Gateway) roundTrip(s *backend.Server) time.Duration {
	if s.DataCentre == g.Settings.DataCentre {
		return localRoundTrip
	}
	return remoteRoundTrip
}

// ObserveAnswer implements pipeline.Fleet.
func (g *Gateway) ObserveAnswer(o pipeline.AnswerObservation) { g.rollouts.observe(o) }

// IsQuarantined implements pipeline.Fleet.
func (g *Gateway) IsQuarantined(parts []dispatch.PromptPart) bool {
	quarantined := g.fleet().QuarantinedParts
	return len(quarantined) > 0 && slices.ContainsFunc(sharedParts(parts), func(id string) bool { return quarantined[id] })
}
