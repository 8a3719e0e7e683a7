package pipeline

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/explanation"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
	"github.com/kingcupyard/kingcupyard/internal/routing/placement"
)

const (
	// maxAttempts bounds the attempts that may reach a server in one request.
	maxAttempts = 4
	// retryAfter is how long a refused caller is told to wait.
	retryAfter = time.Second
)

// assignment is a backend server with a permit to start one request there.
type assignment struct {
	server *board.Server
	permit *capacity.Permit
	// ruledOut counts the servers that were ruled out, by reason.
	ruledOut placement.RuleOutCounts
}

// serverSelection holds the placement query for the attempts of one step,
// including the servers and data centres to avoid.
type serverSelection struct {
	query placement.Query
}

func (p *Pipeline) newServerSelection(service, model, version string, prefix []uint64) *serverSelection {
	return &serverSelection{query: placement.Query{
		Service: service, Model: model, Version: version, DataCentre: p.DataCentre, Prefix: prefix, Plain: version == "",
	}}
}

// avoidDataCentreOf makes the next attempt prefer another data centre than that
// of s.
func (sel *serverSelection) avoidDataCentreOf(s *board.Server) {
	if !slices.Contains(sel.query.AvoidDataCentres, s.DataCentre) {
		sel.query.AvoidDataCentres = append(sel.query.AvoidDataCentres, s.DataCentre)
	}
}

// place returns a server that can take the request. It waits for one until the
// deadline of the request.
func (p *Pipeline) place(ctx context.Context, ex *execution, sel *serverSelection) (assignment, error) {
	assigned, err := awaitPlacement(ctx, p.Clock, ex.deadline, neverChanged, func() (assignment, error) { return p.tryPlace(ex, sel) })
	if err != nil && ctx.Err() == nil {
		p.recordStep(ex, sel, "", "no server: "+err.Error(), assignment{})
		err = placementRefusal(err)
	}
	return assigned, err
}

// neverChanged returns a channel that is never closed, for callers of
// awaitPlacement that only poll.
func neverChanged() <-chan struct{} { return nil }

// tryPlace tries the servers, best first, until the limiter grants a permit for
// one.
func (p *Pipeline) tryPlace(ex *execution, sel *serverSelection) (assignment, error) {
	sel.query.ExcludeServers = append(sel.query.ExcludeServers[:0], ex.failedServers...)
	for {
		choice, err := p.Placer.Choose(&sel.query, ex.rng)
		if err != nil {
			return assignment{}, err
		}
		permit, ok := p.Limiter.Acquire(choice.Server.Name, p.Clock.Now())
		if ok {
			return assignment{choice.Server, permit, choice.RuledOut}, nil
		}
		sel.query.ExcludeServers = append(sel.query.ExcludeServers, choice.Server.Name)
	}
}

func placementRefusal(err error) error {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &call.Refusal{Reason: call.ReasonNoServer, Detail: err.Error(), RetryAfter: retryAfter}
}

// recheck checks right before the first byte is sent that the request and the
// chosen server are still allowed by the newest configuration and list of
// servers, which may differ from those that the request was planned with.
func (p *Pipeline) recheck(ex *execution, sel *serverSelection, assigned assignment) error {
	now := p.Clock.Now()
	if !p.Board.Confirmation.Get().AllowsNewWork(now) {
		return &call.Refusal{Reason: call.ReasonNotReady, Detail: "the configuration in force can't be confirmed", RetryAfter: retryAfter}
	}
	doc := p.Board.Configuration.Get()
	if sel.query.Plain {
		if c := doc.Customer(ex.request.Customer); c == nil || !c.IsServiceAllowed(sel.query.Service) {
			return &call.Refusal{Reason: call.ReasonNotAllowed, Detail: "the service is not allowed any more"}
		}
	} else if err := checkVersion(doc, ex.request.Customer, sel.query.Model, sel.query.Version); err != nil {
		return err
	}
	if err := p.Placer.Recheck(&sel.query, assigned.server.Name); err != nil {
		return &stalePlacementError{err}
	}
	if !assigned.permit.Confirm(now) {
		return &stalePlacementError{errPermitExpired}
	}
	return nil
}

var errPermitExpired = errors.New("the right to start work there has lapsed")

func checkVersion(doc *configuration.Document, customer, model, version string) error {
	if doc.MayRun(customer, model, version) {
		return nil
	}
	c, m := doc.Customer(customer), doc.Model(model)
	if c == nil || m == nil || !c.IsAllowed(model, version) {
		return &call.Refusal{Reason: call.ReasonNotAllowed, Field: "model", Detail: model + "@" + version + " is not allowed any more"}
	}
	return &call.Refusal{Reason: call.ReasonVersionWithdrawn, Field: "model", Detail: model + "@" + version + " is not active any more"}
}

// recordServerOutcome releases the permit and passes the result of the attempt to
// the health tracking and the limiter.
func (p *Pipeline) recordServerOutcome(assigned assignment, answer attempt.Answer, err error) {
	assigned.permit.Release()
	var e *attempt.Error
	if failed := errors.As(err, &e) && isServerFault(e); failed {
		p.Health.Record(assigned.server.Name, false, p.poolSize(assigned.server.Service), p.Clock.Now())
	} else if err == nil {
		p.Health.Record(assigned.server.Name, true, 0, p.Clock.Now())
	}
	if e != nil && suggestsRestart(e) {
		p.Limiter.Suspect(assigned.server.Name, p.Clock.Now())
	}
	if answer.FirstToken > 0 {
		p.Limiter.Observe(assigned.server.Name, answer.FirstToken, p.Clock.Now())
	}
}

// poolSize returns the number of live servers of a service.
func (p *Pipeline) poolSize(service string) int {
	return lo.CountBy(p.Board.Servers.Get().List, func(s board.Server) bool {
		return s.Service == service && s.State == board.ServerLive
	})
}

// recordStep adds a step to the request's decision record.
func (p *Pipeline) recordStep(ex *execution, sel *serverSelection, attemptID, outcome string, assigned assignment) {
	step := explanation.Step{At: p.Clock.Now(), Model: sel.query.Model, Version: sel.query.Version, AttemptID: attemptID, Outcome: outcome}
	if assigned.server != nil {
		step.Server = assigned.server.Name
		step.RuledOut = nonZeroCounts(assigned.ruledOut)
	}
	ex.record.Steps = append(ex.record.Steps, step)
}

// nonZeroCounts returns the counts that are not zero, by reason.
func nonZeroCounts(c placement.RuleOutCounts) map[string]int {
	counts := map[string]int{"Excluded": c.Excluded, "Ejected": c.Ejected, "Limited": c.Limited, "Examined": c.Examined}
	return lo.PickBy(counts, func(_ string, n int) bool { return n > 0 })
}
