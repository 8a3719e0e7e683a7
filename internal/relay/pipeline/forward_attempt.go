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
	// maxQueueShare is the part of a route's goal that a call may wait for a
	// server: what waits longer is better off with a refusal.
	maxQueueShare = 0.5
	// connectTimeout bounds a connection's opening. It covers one lost packet
	// within a region, whose round trip is below 20 ms.
	connectTimeout = 350 * time.Millisecond
	// firstEventTimeoutShare is the part of a route's goal after which an attempt that
	// shows nothing is given up for another server.
	firstEventTimeoutShare = 0.6
	// firstEventTimeoutFactor is how many times the predicted wait an attempt gets at
	// least.
	firstEventTimeoutFactor = 3
	// stallShare is the part of the longest pause of an answer that is on time
	// after which a stream goes on at another server.
	stallShare = 0.6
	// refusalRetryAfter is the shortest time that a refused caller is told to
	// wait; the longest is twice that, so that callers do not return together.
	refusalRetryAfter = 250 * time.Millisecond
)

// place waits until a server can take the call.
func (p *forwardExecution) place(ctx context.Context) (*dispatch.Assignment, error) {
	limit := p.clock.Now().Add(time.Duration(maxQueueShare * float64(p.call.Route.Goal)))
	if limit.After(p.call.Deadline) {
		limit = p.call.Deadline
	}
	return awaitPlacement(ctx, p.clock, limit, p.fleet.Changed, func() (*dispatch.Assignment, error) {
		work, err := p.fleet.Place(p.placementRequest(p.model, p.sizeRank))
		if err != nil && len(p.failedServers) > 0 {
			// A server that was tried before is better than none.
			p.failedServers = nil
			work, err = p.fleet.Place(p.placementRequest(p.model, p.sizeRank))
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
func (p *forwardExecution) shed(w *dispatch.Assignment) *call.Refusal {
	if p.totalAttempts > 0 || p.model == "" {
		return nil
	}
	refuse, retryAfter := shedding.Decide(shedding.Request{PredictedWait: w.PredictedWait, TimeLeft: p.call.Deadline.Sub(p.clock.Now()), Jitter: p.random()})
	if !refuse {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonOverloaded, Detail: "the wait of " + w.PredictedWait.String() + " outlasts the deadline", RetryAfter: retryAfter}
}

// send carries out one attempt.
func (p *forwardExecution) send(ctx context.Context, w *dispatch.Assignment) (attempt.ForwardAnswer, error) {
	r := p.call.Route
	began := p.clock.Now()
	if p.totalAttempts == 0 {
		p.queueTime = began.Sub(p.call.ArrivedAt)
	}
	sink := &eventSink{forwardExecution: p, work: w, began: began}
	silence := p.newStallPolicy(w)
	stamp := AttemptMetadata{
		Server: w.Server.ID, Customer: p.call.Customer, Model: p.model, Priority: p.call.Priority, ResumeFrom: p.lastEvent,
		Timeout: p.call.Deadline.Sub(began) - responseMargin,
	}
	reply, err := p.client.Forward(ctx, attempt.Target{Server: w.Server.ID, Address: w.Server.Address, DataCentre: w.Server.DataCentre}, attempt.ForwardRequest{
		RequestID: p.call.ID, Method: p.call.Method, URI: p.call.URI, Host: p.call.Host, Body: p.call.Body,
		Header: p.headers.Header(p.call.Header, stamp), Stream: r.Kind == route.Streaming, ResumeFrom: p.lastEvent,
		AllowReuse: p.mayReuseConnection(), Limits: p.limits(w, began), Dialect: p.dialect,
		BeforeWrite:    func() error { return p.recheck(w) },
		ConfirmTimeout: func(s attempt.Stall) bool { return silence.confirmTimeout(ctx, s) },
	}, sink)
	p.recordOutcome(w, reply, err, began)
	return reply, err
}

// mayReuseConnection reports whether the attempt may use a connection that was used
// before. A server may have closed it in this moment, which leaves in doubt
// whether the call ran and uses up the attempt; so calls that may not be
// repeated, and last attempts, dial anew.
func (p *forwardExecution) mayReuseConnection() bool { return !p.isLastAttempt() }

// limits bounds one attempt. Where no other attempt can follow, a server's
// silence is no reason to end it before the deadline.
func (p *forwardExecution) limits(w *dispatch.Assignment, now time.Time) attempt.Limits {
	r := p.call.Route
	left := max(p.call.Deadline.Sub(now), time.Millisecond)
	l := attempt.Limits{Connect: min(connectTimeout, left), Write: left, FirstByte: left, Progress: left}
	if p.isLastAttempt() {
		return l
	}
	patience := max(time.Duration(firstEventTimeoutShare*float64(r.Goal)), firstEventTimeoutFactor*w.PredictedWait)
	l.FirstByte = min(left, patience)
	l.Write = l.FirstByte
	if r.Kind == route.Streaming && r.Gap > 0 {
		l.Progress = min(left, time.Duration(stallShare*float64(r.Gap)))
	}
	return l
}

// recheck is the last one before the first byte: against the newest table and
// servers, not those that the call was planned under.
func (p *forwardExecution) recheck(w *dispatch.Assignment) error {
	if !p.fleet.IsConfirmed() {
		return &call.Refusal{Reason: call.ReasonNotReady, Detail: "the routing table in force can't be confirmed", RetryAfter: p.retryAfter()}
	}
	if err := p.checkRoutingTable(p.call, p.service); err != nil {
		return err
	}
	if !p.fleet.StillEligible(w, p.placementRequest(p.model, p.sizeRank)) {
		return &stalePlacementError{errServerIneligible}
	}
	return nil
}

var errServerIneligible = errors.New("the server may not be used any more")

// checkRoutingTable refuses a call that the table in force no longer allows.
func (f *Forwarder) checkRoutingTable(c *ForwardRequest, service string) error {
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
		return &stalePlacementError{errServerIneligible}
	}
	return nil
}

// refreshRoute takes the route from the table in force, if it still leads somewhere.
func (p *forwardExecution) refreshRoute() {
	if r := p.fleet.Table().Match(p.call.Host, p.call.Path); r != nil && r != p.call.Route {
		p.call.Route = r
		if !r.Serves(p.service) {
			p.service = r.Target(p.call.splitHash())
		}
	}
}

// recordOutcome takes the attempt off the recordOutcome and notes how it went.
func (p *forwardExecution) recordOutcome(w *dispatch.Assignment, reply attempt.ForwardAnswer, err error, began time.Time) {
	now := p.clock.Now()
	if l := reply.Metadata.Load; l != nil {
		w.RecordLoad(l.Running, l.Waiting, now)
	}
	var e *attempt.Error
	result := dispatch.Succeeded
	if errors.As(err, &e) {
		result = assignmentResult(e)
	} else if reply.FirstEvent > 0 {
		w.RecordFirstEvent(reply.FirstEvent)
	}
	p.recordResult(w.Server.ID, err)
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

// assignmentResult says what a failed attempt tells of its server.
func assignmentResult(e *attempt.Error) dispatch.Result {
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

// replan implements policy: the table may have changed with the server.
func (p *forwardExecution) replan() {
	p.refreshRoute()
	p.idempotent, p.maxAttempts = p.call.Route.Idempotent(), p.call.Route.MaxAttempts
}

// takeRetry implements policy. An attempt that reached no server is no arrival
// there, and one that was given up for silence has paid for the next.
func (p *forwardExecution) takeRetry(e *attempt.Error) bool {
	if e.Kind == attempt.DialRefused || e.Kind == attempt.DialTimeout || e.Kind == attempt.DialFailed {
		return true
	}
	return p.retryPrepaid.Swap(false) || p.fleet.TryRetry(p.service, true)
}

// escalate implements policy: it goes on with the largest model.
func (p *forwardExecution) escalate() bool {
	p.sizeRank = len(p.call.Route.Models) - 1
	p.model = p.call.Route.Models[p.sizeRank]
	return true
}

// finalError turns the end of the last attempt into what the caller sees.
func (p *forwardExecution) finalError(ctx context.Context, err error) error {
	if p.failureAnswer != nil && !p.headWritten && ctx.Err() == nil {
		return p.deliver(*p.failureAnswer)
	}
	refusal := p.refusalFor(err, p.headWritten, p.retryAfter())
	if !p.clock.Now().Before(p.call.Deadline) {
		refusal.Reason = call.ReasonDeadline
	}
	if refusal.State == call.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = p.retryAfter()
	}
	return refusal
}

// retryAfter spreads callers that are refused at the same moment.
func (p *forwardExecution) retryAfter() time.Duration {
	return refusalRetryAfter + time.Duration(p.random()*float64(refusalRetryAfter))
}

// recordCall logs how the call ended.
func (p *forwardExecution) recordCall(err error) {
	fields := []zap.Field{
		zap.String("RequestId", p.call.ID), zap.String("Route", p.call.Route.Name), zap.String("Customer", p.call.Customer),
		zap.String("Model", p.model), zap.Int("Attempts", p.serverAttempts), zap.Int("Tries", p.totalAttempts), zap.String("RunState", p.state.String()),
		zap.Int64("TableVersion", p.fleet.Table().Version), zap.Duration("Elapsed", p.clock.Since(p.call.ArrivedAt)), zap.Int("LastEvent", p.lastEvent),
		zap.Duration("LongestPause", p.longestPause), zap.Int("Confidence", p.confidence),
	}
	ended := CallOutcome{
		Route: p.call.Route, Service: p.service, Customer: p.call.Customer, Model: p.model, PromptTokens: p.call.PromptTokens,
		Events: p.lastEvent - p.call.ResumeFrom, Failed: p.serverFailure, QueueTime: p.queueTime, Elapsed: p.clock.Since(p.call.ArrivedAt), FirstEvent: p.firstEvent, LongestPause: p.longestPause,
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

// eventSink hands the events of one attempt to the caller.
type eventSink struct {
	*forwardExecution
	work  *dispatch.Assignment
	began time.Time
	head  attempt.Head
	first bool
}

// Head implements attempt.EventSink.
func (s *eventSink) Head(h attempt.Head) error {
	if err := s.checkConfidence(h); err != nil {
		return err
	}
	s.head, s.confidence = h, h.Metadata.Confidence
	return nil
}

// Event implements attempt.EventSink.
func (s *eventSink) Event(number int, raw []byte) error {
	if !s.first {
		s.first = true
		s.work.RecordFirstEvent(s.clock.Since(s.began))
	}
	if !s.headWritten {
		s.headWritten = true
		if err := s.out.WriteHead(s.head); err != nil {
			return err
		}
	}
	if err := s.out.WriteEvent(raw); err != nil {
		return err
	}
	now := s.clock.Now()
	if s.lastEventAt.IsZero() {
		s.firstEvent = now.Sub(s.call.ArrivedAt)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if number > 0 {
		s.lastEvent = number
	}
	return nil
}
