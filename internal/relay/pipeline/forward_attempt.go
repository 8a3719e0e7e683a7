package pipeline

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/shedding"
)

const (
	// waitShare is the part of a route's goal that a call may wait for a
	// server: what waits longer is better off with a refusal.
	waitShare = 0.5
	// connectLimit bounds a connection's opening. It covers one lost packet
	// within a region, whose round trip is below 20 ms.
	connectLimit = 350 * time.Millisecond
	// patienceShare is the part of a route's goal after which an attempt that
	// shows nothing is given up for another server.
	patienceShare = 0.6
	// patienceFactor is how many times the predicted wait an attempt gets at
	// least.
	patienceFactor = 3
	// gapShare is the part of the longest pause of an answer that is on time
	// after which a stream goes on at another server.
	gapShare = 0.6
	// refusalRetryAfter is the shortest time that a refused caller is told to
	// wait; the longest is twice that, so that callers do not return together.
	refusalRetryAfter = 250 * time.Millisecond
)

// place waits until a server can take the call.
func (p *forwardFlight) place(ctx context.Context) (*dispatch.Assignment, error) {
	limit := p.clock.Now().Add(time.Duration(waitShare * float64(p.call.Route.Goal)))
	if limit.After(p.call.Deadline) {
		limit = p.call.Deadline
	}
	return await(ctx, p.clock, limit, p.fleet.Changed, func() (*dispatch.Assignment, error) {
		work, err := p.fleet.Place(p.ask(p.model, p.size))
		if err != nil && len(p.tried) > 0 {
			// A server that was tried before is better than none.
			p.tried = nil
			work, err = p.fleet.Place(p.ask(p.model, p.size))
		}
		if err != nil {
			return nil, err
		}
		if refusal := p.shed(work); refusal != nil {
			work.Done(dispatch.Inconclusive, p.clock.Now())
			return nil, refusal
		}
		return work, nil
	})
}

// shed turns the call away if no server can begin with it in time, before
// anything of it is sent.
func (p *forwardFlight) shed(w *dispatch.Assignment) *call.Refusal {
	if p.tries > 0 || p.model == "" {
		return nil
	}
	refuse, retryAfter := shedding.Decide(shedding.Request{PredictedWait: w.PredictedWait, TimeLeft: p.call.Deadline.Sub(p.clock.Now()), Jitter: p.random()})
	if !refuse {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonOverloaded, Detail: "the wait of " + w.PredictedWait.String() + " outlasts the deadline", RetryAfter: retryAfter}
}

// send carries out one attempt.
func (p *forwardFlight) send(ctx context.Context, w *dispatch.Assignment) (attempt.ForwardAnswer, error) {
	r := p.call.Route
	began := p.clock.Now()
	if p.tries == 0 {
		p.waited = began.Sub(p.call.ArrivedAt)
	}
	sink := &forwardSink{forwardFlight: p, work: w, began: began}
	silence := p.newSilencePolicy(w)
	stamp := AttemptMetadata{
		Server: w.Server.ID, Customer: p.call.Customer, Model: p.model, Priority: p.call.Priority, ResumeFrom: p.last,
		Timeout: p.call.Deadline.Sub(began) - returnMargin,
	}
	reply, err := p.carrier.Forward(ctx, attempt.Target{Server: w.Server.ID, Address: w.Server.Address, DataCentre: w.Server.DataCentre}, attempt.ForwardRequest{
		RequestID: p.call.ID, Method: p.call.Method, URI: p.call.URI, Host: p.call.Host, Body: p.call.Body,
		Header: p.envelope.Header(p.call.Header, stamp), Stream: r.Kind == route.Streaming, ResumeFrom: p.last,
		AllowReuse: p.mayPool(), Limits: p.limits(w, began), Dialect: p.dialect,
		BeforeWrite:    func() error { return p.check(w) },
		ConfirmTimeout: func(s attempt.Stall) bool { return silence.mayAbandon(ctx, s) },
	}, sink)
	p.account(w, reply, err, began)
	return reply, err
}

// mayPool reports whether the attempt may use a connection that was used
// before. A server may have closed it in this moment, which leaves in doubt
// whether the call ran and uses up the attempt; so calls that may not be
// repeated, and last attempts, dial anew.
func (p *forwardFlight) mayPool() bool { return !p.isLast() }

// limits bounds one attempt. Where no other attempt can follow, a server's
// silence is no reason to end it before the deadline.
func (p *forwardFlight) limits(w *dispatch.Assignment, now time.Time) attempt.Limits {
	r := p.call.Route
	left := max(p.call.Deadline.Sub(now), time.Millisecond)
	l := attempt.Limits{Connect: min(connectLimit, left), Write: left, FirstByte: left, Progress: left}
	if p.isLast() {
		return l
	}
	patience := max(time.Duration(patienceShare*float64(r.Goal)), patienceFactor*w.PredictedWait)
	l.FirstByte = min(left, patience)
	l.Write = l.FirstByte
	if r.Kind == route.Streaming && r.Gap > 0 {
		l.Progress = min(left, time.Duration(gapShare*float64(r.Gap)))
	}
	return l
}

// check is the last one before the first byte: against the newest table and
// servers, not those that the call was planned under.
func (p *forwardFlight) check(w *dispatch.Assignment) error {
	if !p.fleet.IsConfirmed() {
		return &call.Refusal{Reason: call.ReasonNotReady, Detail: "the routing table in force can't be confirmed", RetryAfter: p.retryAfter()}
	}
	if err := p.checkTable(p.call, p.service); err != nil {
		return err
	}
	if !p.fleet.StillEligible(w, p.ask(p.model, p.size)) {
		return &movedError{errServerLeft}
	}
	return nil
}

var errServerLeft = errors.New("the server may not be used any more")

// checkTable refuses a call that the table in force no longer allows.
func (f *Forwarder) checkTable(c *ForwardRequest, service string) error {
	table := f.fleet.Table()
	r := table.Match(c.Host, c.Path)
	if r == nil {
		return &call.Refusal{Reason: call.ReasonUnknownPath, Detail: "the route was taken away"}
	}
	if table.NeedsKey(r) {
		if owner := table.Customer(c.APIKey); owner == nil || owner.Name != c.Customer {
			return &call.Refusal{Reason: call.ReasonUnauthorised, Detail: "the key was taken away"}
		}
	}
	if !r.Serves(service) {
		return &movedError{errServerLeft}
	}
	return nil
}

// renew takes the route from the table in force, if it still leads somewhere.
func (p *forwardFlight) renew() {
	if r := p.fleet.Table().Match(p.call.Host, p.call.Path); r != nil && r != p.call.Route {
		p.call.Route = r
		if !r.Serves(p.service) {
			p.service = r.Target(p.call.position())
		}
	}
}

// account takes the attempt off the account and notes how it went.
func (p *forwardFlight) account(w *dispatch.Assignment, reply attempt.ForwardAnswer, err error, began time.Time) {
	now := p.clock.Now()
	if l := reply.Metadata.Load; l != nil {
		w.RecordLoad(l.Running, l.Waiting, now)
	}
	var e *attempt.Error
	result := dispatch.Succeeded
	if errors.As(err, &e) {
		result = resultOf(e)
	} else if reply.FirstEvent > 0 {
		w.RecordFirstEvent(reply.FirstEvent)
	}
	p.settle(w.Server.ID, err)
	w.Done(result, now)
	p.fleet.ObserveAttempt(AttemptOutcome{
		Assignment: w, Route: p.call.Route.Name, Failed: e != nil && e.Kind == attempt.Status && result == dispatch.ServerFailed,
		FirstEvent: reply.FirstEvent, PredictedWait: w.PredictedWait,
	})
	fields := []zap.Field{
		zap.String("RequestId", p.call.ID), zap.String("Server", w.Server.ID), zap.String("Version", w.Server.Version), zap.String("Model", p.model),
		zap.Duration("Predicted", w.PredictedWait), zap.Duration("First", reply.FirstEvent), zap.Duration("Took", now.Sub(began)), zap.Int("Held", w.CachedTokens),
		zap.Int("Confidence", reply.Metadata.Confidence), zap.Int("Status", reply.Status), zap.Int("Last", reply.LastEvent),
	}
	if err != nil {
		p.log.Info("AttemptFailed", append(fields, zap.Error(err))...)
		return
	}
	p.log.Debug("AttemptAnswered", fields...)
}

// resultOf says what a failed attempt tells of its server.
func resultOf(e *attempt.Error) dispatch.Result {
	switch e.Kind {
	case attempt.NotStarted, attempt.Cancelled, attempt.Deadline, attempt.CallerGone, attempt.Unwanted, attempt.Misdirected, attempt.AnswerTooLarge:
		return dispatch.Inconclusive
	case attempt.Refused503:
		return dispatch.Inconclusive
	case attempt.Status:
		if e.Status < http.StatusInternalServerError {
			return dispatch.Succeeded
		}
		return dispatch.ServerFailed
	case attempt.DialRefused, attempt.DialTimeout, attempt.DialFailed, attempt.FirstByteTimeout, attempt.ProgressTimeout, attempt.WriteTimeout:
		return dispatch.NoAnswer
	}
	return dispatch.ServerFailed
}

// move implements policy: the table may have changed with the server.
func (p *forwardFlight) move() {
	p.renew()
	p.idempotent, p.maxAttempts = p.call.Route.Idempotent(), p.call.Route.MaxAttempts
}

// repeat implements policy. An attempt that reached no server is no arrival
// there, and one that was given up for silence has paid for the next.
func (p *forwardFlight) repeat(e *attempt.Error) bool {
	if e.Kind == attempt.DialRefused || e.Kind == attempt.DialTimeout || e.Kind == attempt.DialFailed {
		return true
	}
	return p.prepaid.Swap(false) || p.fleet.TryRetry(p.service, true)
}

// stepUp implements policy: it goes on with the largest model.
func (p *forwardFlight) stepUp() bool {
	p.size = len(p.call.Route.Models) - 1
	p.model = p.call.Route.Models[p.size]
	return true
}

// giveUp turns the end of the last attempt into what the caller sees.
func (p *forwardFlight) giveUp(ctx context.Context, err error) error {
	if p.failure != nil && !p.begun && ctx.Err() == nil {
		return p.deliver(*p.failure)
	}
	refusal := p.refuse(err, p.begun, p.retryAfter())
	if !p.clock.Now().Before(p.call.Deadline) {
		refusal.Reason = call.ReasonDeadline
	}
	if refusal.State == call.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = p.retryAfter()
	}
	return refusal
}

// retryAfter spreads callers that are refused at the same moment.
func (p *forwardFlight) retryAfter() time.Duration {
	return refusalRetryAfter + time.Duration(p.random()*float64(refusalRetryAfter))
}

// note logs how the call ended.
func (p *forwardFlight) note(err error) {
	fields := []zap.Field{
		zap.String("RequestId", p.call.ID), zap.String("Route", p.call.Route.Name), zap.String("Customer", p.call.Customer),
		zap.String("Model", p.model), zap.Int("Attempts", p.attempts), zap.Int("Tries", p.tries), zap.String("RunState", p.state.String()),
		zap.Int64("TableVersion", p.fleet.Table().Version), zap.Duration("Elapsed", p.clock.Since(p.call.ArrivedAt)), zap.Int("LastEvent", p.last),
		zap.Duration("LongestPause", p.longestPause), zap.Int("Confidence", p.confidence),
	}
	ended := CallOutcome{
		Route: p.call.Route, Service: p.service, Customer: p.call.Customer, Model: p.model, PromptTokens: p.call.PromptTokens,
		Events: p.last - p.call.ResumeFrom, Failed: p.failed, QueueTime: p.waited, Elapsed: p.clock.Since(p.call.ArrivedAt), FirstEvent: p.firstAfter, LongestPause: p.longestPause,
	}
	if !errors.As(err, &ended.Refusal) {
		ended.Refusal = nil
	}
	p.fleet.ObserveCall(ended)
	if err != nil {
		p.log.Info("RequestEnded", append(fields, zap.Error(err))...)
		return
	}
	p.log.Info("RequestAnswered", fields...)
}

// forwardSink hands the events of one attempt to the caller.
type forwardSink struct {
	*forwardFlight
	work  *dispatch.Assignment
	began time.Time
	head  attempt.Head
	first bool
}

// Head implements attempt.EventSink.
func (s *forwardSink) Head(h attempt.Head) error {
	if err := s.decide(h); err != nil {
		return err
	}
	s.head, s.confidence = h, h.Metadata.Confidence
	return nil
}

// Event implements attempt.EventSink.
func (s *forwardSink) Event(number int, raw []byte) error {
	if !s.first {
		s.first = true
		s.work.RecordFirstEvent(s.clock.Since(s.began))
	}
	if !s.begun {
		s.begun = true
		if err := s.out.WriteHead(s.head); err != nil {
			return err
		}
	}
	if err := s.out.WriteEvent(raw); err != nil {
		return err
	}
	now := s.clock.Now()
	if s.eventAt.IsZero() {
		s.firstAfter = now.Sub(s.call.ArrivedAt)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.eventAt))
	}
	s.eventAt = now
	if number > 0 {
		s.last = number
	}
	return nil
}
