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
	// maxAttempts bounds the attempts of one step.
	maxAttempts = 4
	// retryAfter is what a refused caller is told to wait.
	retryAfter = time.Second
)

// place is a backend server with the right to start one request there.
type place struct {
	server *board.Server
	permit *capacity.Permit
	// counts says why other servers were ruled out.
	counts placement.RuleOutCounts
}

// itinerary is where the attempts of one step may go and where they went.
type itinerary struct {
	query placement.Query
}

func (p *Pipeline) newItinerary(service, model, version string, prefix []uint64) *itinerary {
	return &itinerary{query: placement.Query{
		Service: service, Model: model, Version: version, DataCentre: p.DataCentre, Prefix: prefix, Plain: version == "",
	}}
}

// failed makes the next attempt go to another data centre if there is one.
func (r *itinerary) failed(s *board.Server) {
	if !slices.Contains(r.query.AvoidDataCentres, s.DataCentre) {
		r.query.AvoidDataCentres = append(r.query.AvoidDataCentres, s.DataCentre)
	}
}

// place waits until a server can take the request, up to its deadline.
func (p *Pipeline) place(ctx context.Context, f *flight, r *itinerary) (place, error) {
	at, err := await(ctx, p.Clock, f.deadline, noSignal, func() (place, error) { return p.tryPlace(f, r) })
	if err != nil && ctx.Err() == nil {
		p.note(f, r, "", "no server: "+err.Error(), place{})
		err = refusePlace(err)
	}
	return at, err
}

// noSignal stands for a board whose changes wake nobody.
func noSignal() <-chan struct{} { return nil }

// tryPlace goes through the servers, best first, until one grants a permit.
func (p *Pipeline) tryPlace(f *flight, r *itinerary) (place, error) {
	r.query.ExcludeServers = append(r.query.ExcludeServers[:0], f.tried...)
	for {
		choice, err := p.Placer.Choose(&r.query, f.rnd)
		if err != nil {
			return place{}, err
		}
		permit, ok := p.Limiter.Acquire(choice.Server.Name, p.Clock.Now())
		if ok {
			return place{choice.Server, permit, choice.RuledOut}, nil
		}
		r.query.ExcludeServers = append(r.query.ExcludeServers, choice.Server.Name)
	}
}

func refusePlace(err error) error {
	var r *call.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &call.Refusal{Reason: call.ReasonNoServer, Detail: err.Error(), RetryAfter: retryAfter}
}

// check is the second check, right before the first byte: against the newest
// configuration and list of servers, not those the request was planned under.
func (p *Pipeline) check(f *flight, r *itinerary, at place) error {
	now := p.Clock.Now()
	if !p.Board.Confirmation.Get().Allows(now) {
		return &call.Refusal{Reason: call.ReasonNotReady, Detail: "the configuration in force can't be confirmed", RetryAfter: retryAfter}
	}
	doc := p.Board.Configuration.Get()
	if r.query.Plain {
		if c := doc.Customer(f.request.Customer); c == nil || !c.IsServiceAllowed(r.query.Service) {
			return &call.Refusal{Reason: call.ReasonNotAllowed, Detail: "the service is not allowed any more"}
		}
	} else if err := checkVersion(doc, f.request.Customer, r.query.Model, r.query.Version); err != nil {
		return err
	}
	if err := p.Placer.Recheck(&r.query, at.server.Name); err != nil {
		return &movedError{err}
	}
	if !at.permit.Confirm(now) {
		return &movedError{errPermitLapsed}
	}
	return nil
}

var errPermitLapsed = errors.New("the right to start work there has lapsed")

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

// settle gives the permit back and tells what the server's answer was like.
func (p *Pipeline) settle(at place, answer attempt.Answer, err error) {
	at.permit.Release()
	var e *attempt.Error
	if failed := errors.As(err, &e) && isServerFault(e); failed {
		p.Health.Record(at.server.Name, false, p.poolSize(at.server.Service), p.Clock.Now())
	} else if err == nil {
		p.Health.Record(at.server.Name, true, 0, p.Clock.Now())
	}
	if e != nil && isRestartSign(e) {
		p.Limiter.Suspect(at.server.Name, p.Clock.Now())
	}
	if answer.FirstToken > 0 {
		p.Limiter.Observe(at.server.Name, answer.FirstToken, p.Clock.Now())
	}
}

// poolSize counts the live servers of a service.
func (p *Pipeline) poolSize(service string) int {
	return lo.CountBy(p.Board.Servers.Get().List, func(s board.Server) bool {
		return s.Service == service && s.State == board.ServerLive
	})
}

// note adds one step to the request's decision record.
func (p *Pipeline) note(f *flight, r *itinerary, attemptID, outcome string, at place) {
	step := explanation.Step{At: p.Clock.Now(), Model: r.query.Model, Version: r.query.Version, AttemptID: attemptID, Outcome: outcome}
	if at.server != nil {
		step.Server = at.server.Name
		step.RuledOut = ruledOut(at.counts)
	}
	f.record.Steps = append(f.record.Steps, step)
}

// ruledOut lists the counts that are not zero.
func ruledOut(c placement.RuleOutCounts) map[string]int {
	counts := map[string]int{"Excluded": c.Excluded, "Ejected": c.Ejected, "Limited": c.Limited, "Examined": c.Examined}
	return lo.PickBy(counts, func(_ string, n int) bool { return n > 0 })
}
