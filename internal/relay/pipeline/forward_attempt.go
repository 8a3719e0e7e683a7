package pipeline

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/route"
	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
	"github.com/kingcupyard/kingcupyard/internal/routing/shedding"
	"github.com/kingcupyard/kingcupyard/internal/routing/sizing"
	"github.com/kingcupyard/kingcupyard/internal/routing/turn"
)

const (
	// maxQueueShare is the share of a route's goal that a call may wait for a
	// server. A call that waits longer is better refused.
	maxQueueShare = 0.5
	// connectTimeout bounds the opening of a connection. It allows for one lost
	// packet within a region, where the round trip is below 20 ms.
	connectTimeout = 350 * time.Millisecond
	// firstEventTimeoutShare is the share of a route's goal after which an attempt
	// without a first event is abandoned for another server.
	firstEventTimeoutShare = 0.6
	// firstEventTimeoutFactor is the minimum time for the first event, as a multiple
	// of the predicted wait.
	firstEventTimeoutFactor = 3
	// stallShare is the share of the longest pause that the route allows between
	// events after which a stream is resumed at another server.
	stallShare = 0.6
	// maxCrashesPerCall is the number of servers that may crash under a call before it
	// is given up, since its prompt may be the cause.
	maxCrashesPerCall = 2
	// freeRefusedDials is the number of refused connections in a row after which an attempt
	// waits for news of the servers, refusedDialDelay at most, doubled for each further one.
	freeRefusedDials = 2
	refusedDialDelay = 20 * time.Millisecond
	// crashProbeTimeout bounds the check whether a server has crashed. It is several
	// round trips within a region.
	crashProbeTimeout = 100 * time.Millisecond
	// quarantineRetryAfter is how long a caller is told to wait whose prompt is
	// quarantined.
	quarantineRetryAfter = time.Minute
	// refusalRetryAfter is the shortest time that a refused caller is told to wait.
	// The longest is twice that, so that callers do not retry at the same time.
	refusalRetryAfter = 250 * time.Millisecond
)

// place returns a server that can take the call. It waits for one for at most
// maxQueueShare of the goal of the route, and not past the deadline.
func (ex *forwardExecution) place(ctx context.Context) (*dispatch.Assignment, error) {
	limit := ex.clock.Now().Add(time.Duration(maxQueueShare * float64(ex.call.Route.LatencyTarget)))
	if limit.After(ex.call.Deadline) {
		limit = ex.call.Deadline
	}
	return awaitPlacement(ctx, ex.clock, limit, ex.fleet.Changed, func() (*dispatch.Assignment, error) {
		assigned, err := ex.fleet.Place(ex.placementRequest(ex.model, ex.sizeRank))
		if err != nil && len(ex.failedServers) > 0 {
			// No server is left without failures: use one that failed before.
			ex.failedServers = nil
			assigned, err = ex.fleet.Place(ex.placementRequest(ex.model, ex.sizeRank))
		}
		var none *dispatch.NoServerError
		if errors.As(err, &none) && none.PausedFor > limit.Sub(ex.clock.Now()) {
			return nil, &call.Refusal{Reason: call.ReasonNoServer, State: ex.state, Detail: err.Error(), RetryAfter: ex.retryAfter()}
		}
		if err != nil {
			return nil, err
		}
		if refusal := ex.shed(assigned); refusal != nil {
			assigned.Done(dispatch.Inconclusive, ex.clock.Now())
			return nil, refusal
		}
		return assigned, nil
	})
}

// awaitTurn waits until the call may be sent to a plain service. Servers that run models take
// all requests, and order them by themselves.
func (ex *forwardExecution) awaitTurn(ctx context.Context) error {
	if ex.model != "" {
		return nil
	}
	c := ex.call
	err := ex.fleet.Line(ex.service).Wait(ctx, &turn.Call{Priority: c.Priority, ArrivedAt: c.ArrivedAt, Target: c.ArrivedAt.Add(c.Route.LatencyTarget), Deadline: c.Deadline})
	var refused *turn.RefusedError
	switch {
	case errors.As(err, &refused):
		sheds.Add("Full", 1)
		return &call.Refusal{Reason: call.ReasonOverloaded, State: ex.state, Detail: err.Error(), RetryAfter: shedding.RetryAfter(refused.RetryAfter, c.Deadline.Sub(ex.clock.Now()), ex.random())}
	case err != nil:
		return &call.Refusal{Reason: call.ReasonCallerGone, State: ex.state, Detail: err.Error()}
	}
	return nil
}

// awaitNews waits for a change of the servers if some have refused connections in a row: those
// of a version that is complete stop all at once, and instances learn of that a moment later.
func (ex *forwardExecution) awaitNews(ctx context.Context) {
	n := ex.refusedDials - freeRefusedDials
	if n < 0 {
		return
	}
	changed := ex.fleet.Changed()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-ex.clock.After(refusedDialDelay << n):
	}
	ex.replan()
}

// recordTurn tells the service's line that a server has taken the call, and notes if it was
// full.
func (ex *forwardExecution) recordTurn(e *attempt.Error, leaving bool, took time.Duration) {
	if ex.model != "" {
		return
	}
	switch {
	case e == nil || e.Kind == attempt.Status:
		ex.fleet.Line(ex.service).Taken(took)
	case e.Kind == attempt.Refused503 && !leaving:
		ex.foundFull = true
	}
	ex.reportFull()
}

// reportFull tells the service's line that its servers are full, once no server is left that
// hasn't refused or failed the call. A single server that refuses calls is passed by.
func (ex *forwardExecution) reportFull() {
	if !ex.foundFull {
		return
	}
	if _, err := ex.fleet.Predict(ex.placementRequest(ex.model, ex.sizeRank)); err != nil {
		ex.foundFull = false
		ex.fleet.Line(ex.service).Full()
	}
}

// shed returns a refusal if the call is not to be served for lack of room. It refuses
// only before the first attempt, when nothing of the call has been sent.
func (ex *forwardExecution) shed(assigned *dispatch.Assignment) *call.Refusal {
	if ex.totalAttempts > 0 {
		return nil
	}
	now, pricer, r := ex.clock.Now(), ex.fleet.Pricer(ex.service), ex.roomRequest(assigned)
	ex.fleet.ObserveUse(ex.service, ex.call.Customer, r.Work)
	overShare, exceeded := ex.fleet.ExceedsShare(ex.service, ex.call.Customer)
	r.OverShare = overShare
	room := pricer.Room(now).WithShares(exceeded)
	pricer.ObserveRequest(r, ex.call.Route.LatencyTarget, now)
	decision := shedding.Decide(r, room)
	if decision.Reason == "" {
		return nil
	}
	sheds.Add(string(decision.Reason), 1)
	detail := fmt.Sprintf("%s: a wait of %v, %v to the deadline, room at %.2f of its usual value", decision.Reason, r.PredictedWait, r.TimeLeft, room.Level())
	return &call.Refusal{Reason: call.ReasonOverloaded, Detail: detail, RetryAfter: decision.RetryAfter}
}

// sheds counts the calls that were refused for lack of room, by reason.
var sheds = expvar.NewMap("Shedding")

// returnedShare is the share of the route's timeout below which a call's time suggests
// that its caller has used up the rest in an attempt before.
const returnedShare = 0.95

// roomRequest returns what decides whether the call is served in a shortage.
func (ex *forwardExecution) roomRequest(assigned *dispatch.Assignment) shedding.Request {
	c, now := ex.call, ex.clock.Now()
	value := sizing.Request{PromptTokens: c.PromptTokens, CompletionTokens: c.CompletionTokens, MeanSize: ex.sizes.Mean(c.Route.Name)}
	return shedding.Request{
		PredictedWait: assigned.PredictedWait, TimeToTarget: c.ArrivedAt.Add(c.Route.LatencyTarget).Sub(now), TimeLeft: c.Deadline.Sub(now),
		Priority: c.Priority, Work: assigned.Work(), Value: value.Value(), Concurrent: ex.model == "",
		Returned: float64(c.Deadline.Sub(c.ArrivedAt)) < returnedShare*float64(c.Route.Timeout), Jitter: ex.random(), Draw: ex.random(),
	}
}

// send carries out one attempt at the assigned server.
func (ex *forwardExecution) send(ctx context.Context, assigned *dispatch.Assignment) (attempt.ForwardAnswer, error) {
	r := ex.call.Route
	startedAt := ex.clock.Now()
	if ex.totalAttempts == 0 {
		ex.queueTime = startedAt.Sub(ex.call.ArrivedAt)
	}
	observer := newAnswerObserver(ex.Forwarder, AnswerObservation{Server: assigned.Server, Route: r.Name, Model: ex.model, Stream: r.Kind == route.Streaming, Repeat: ex.answeredBadly}, assigned.PredictedWait)
	sink := &eventSink{forwardExecution: ex, assignment: assigned, startedAt: startedAt, observer: observer}
	stall := ex.newStallPolicy(assigned)
	metadata := AttemptMetadata{
		Server: assigned.Server.ID, Customer: ex.call.Customer, Model: ex.model, Priority: ex.call.Priority, ResumeFrom: ex.lastEvent,
		Timeout: ex.call.Deadline.Sub(startedAt) - responseMargin,
	}
	answer, err := ex.client.Forward(ctx, attempt.Target{Server: assigned.Server.ID, Address: assigned.Server.Address, DataCentre: assigned.Server.DataCentre}, attempt.ForwardRequest{
		RequestID: ex.call.ID, Method: ex.call.Method, URI: ex.call.URI, Host: ex.call.Host, Body: ex.call.Body,
		Header: ex.headers.Header(ex.call.Header, metadata), Stream: r.Kind == route.Streaming, ResumeFrom: ex.lastEvent,
		AllowReuse: ex.mayReuseConnection(assigned.Server.ID), Limits: ex.limits(assigned, startedAt), Dialect: ex.dialect, Memory: ex.memory,
		BeforeWrite: func() error {
			if err := ex.recheck(assigned); err != nil {
				return err
			}
			observer.sent()
			return nil
		},
		HeadArrived:    func(h attempt.Head) { ex.recordNotice(assigned, h.Metadata, startedAt) },
		ConfirmTimeout: func(s attempt.Stall) bool { return stall.confirmTimeout(ctx, s) },
	}, sink)
	var e *attempt.Error
	failed := errors.As(err, &e) && (e.Kind == attempt.Status || e.Kind == attempt.UnprovenRefusal) && assignmentResult(e) == dispatch.ServerFailed
	observer.ended(answer.FirstEvent > 0, failed, err == nil)
	ex.answeredBadly = ex.answeredBadly || observer.reportedBad()
	ex.recordOutcome(ctx, assigned, answer, sink.firstSeen, err, startedAt)
	return answer, err
}

// recordNotice records what the server says about itself in the head of its answer to the
// attempt that began at startedAt.
func (ex *forwardExecution) recordNotice(assigned *dispatch.Assignment, m attempt.Metadata, startedAt time.Time) {
	if m.Misdirected {
		return // the answer is another server's
	}
	if m.Load != nil {
		assigned.RecordLoad(*m.Load, ex.clock.Now())
		ex.fleet.Pricer(ex.service).ObserveLoad(*m.Load, ex.clock.Now())
	}
	if assigned.RecordNotice(m.Notice, m.Signed || m.NotRun, startedAt, ex.clock.Now()) {
		ex.log.Info("ServerNotice", zap.String("Server", assigned.Server.ID), zap.Bool("Leaving", m.Notice.Leaving), zap.Bool("Limited", m.Notice.Limited), zap.Float64("Limit", m.Notice.Limit), zap.Duration("RetryAfter", m.Notice.RetryAfter))
	}
}

// mayReuseConnection reports whether the attempt may use a pooled connection. The
// server may close such a connection just as the call is sent, which leaves in
// doubt whether the call ran and uses up the attempt. So calls that are not
// idempotent, and last attempts, open a new connection. So does a further attempt at the
// same server, which may repeat its answer to the one before, with the same ID.
func (ex *forwardExecution) mayReuseConnection(server string) bool {
	return !ex.isLastAttempt() && !slices.Contains(ex.triedServers, server)
}

// limits returns the time limits of one attempt. Once it is connected, a last
// attempt is bounded only by the deadline: with no other attempt to follow, a silent
// server is no reason to end it earlier.
func (ex *forwardExecution) limits(assigned *dispatch.Assignment, now time.Time) attempt.Limits {
	r := ex.call.Route
	left := max(ex.call.Deadline.Sub(now), time.Millisecond)
	l := attempt.Limits{Connect: min(connectTimeout, left), Write: left, FirstByte: left, Progress: left}
	if ex.isLastAttempt() {
		return l
	}
	timeout := max(time.Duration(firstEventTimeoutShare*float64(r.LatencyTarget)), firstEventTimeoutFactor*assigned.PredictedWait)
	l.FirstByte = min(left, timeout)
	l.Write = l.FirstByte
	if r.Kind == route.Streaming && r.MaxEventGap > 0 {
		l.Progress = min(left, time.Duration(stallShare*float64(r.MaxEventGap)))
	}
	return l
}

// recheck checks right before the first byte is sent that the call and the assigned
// server are still allowed by the newest table and servers, which may differ from
// those that the call was planned with.
func (ex *forwardExecution) recheck(assigned *dispatch.Assignment) error {
	if !ex.fleet.IsConfirmed() {
		return &call.Refusal{Reason: call.ReasonNotReady, Detail: "the routing table in force can't be confirmed", RetryAfter: ex.retryAfter()}
	}
	if err := ex.checkRoutingTable(ex.call, ex.service); err != nil {
		return err
	}
	if err := ex.checkQuarantine(); err != nil {
		return err
	}
	if !ex.fleet.StillEligible(assigned, ex.placementRequest(ex.model, ex.sizeRank)) {
		return &stalePlacementError{errServerIneligible}
	}
	return nil
}

// checkQuarantine returns a refusal if the call's prompt is quarantined.
func (ex *forwardExecution) checkQuarantine() error {
	if !ex.fleet.IsQuarantined(ex.call.PromptParts) {
		return nil
	}
	return &call.Refusal{Reason: call.ReasonPromptQuarantined, State: ex.state, Detail: "a part of the prompt crashes servers", RetryAfter: quarantineRetryAfter}
}

// findCrashes returns the servers that have crashed under the call: the attempt's server,
// if it refuses connections right after it lost an answer that hadn't begun, and those
// whose answers were declined before, which may crash once they begin.
func (ex *forwardExecution) findCrashes(ctx context.Context, server *backend.Server, begun bool, e *attempt.Error) []*backend.Server {
	if e != nil && e.Kind == attempt.Unwanted {
		ex.declinedServers = append(ex.declinedServers, server)
		return nil
	}
	if e == nil || begun || !e.LostAnswer() || len(ex.call.PromptParts) < 2 || !ex.client.Refuses(ctx, server.Address, crashProbeTimeout) {
		return nil
	}
	crashed := []*backend.Server{server}
	for _, s := range ex.declinedServers {
		if ex.client.Refuses(ctx, s.Address, crashProbeTimeout) {
			crashed = append(crashed, s)
		}
	}
	ex.declinedServers = nil
	ex.crashes += len(crashed)
	return crashed
}

var errServerIneligible = errors.New("the server may not be used any more")

// checkRoutingTable returns an error if the table in force no longer allows the call.
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

// refreshRoute replaces the route by that of the table in force, if one matches.
func (ex *forwardExecution) refreshRoute() {
	if r := ex.fleet.Table().Match(ex.call.Host, ex.call.Path); r != nil && r != ex.call.Route {
		ex.call.Route = r
		if !r.Serves(ex.service) {
			ex.service = r.Target(ex.call.splitHash())
		}
	}
}

// recordOutcome ends the assignment of an attempt and reports and logs its
// outcome. begun is set if an event of the answer arrived.
func (ex *forwardExecution) recordOutcome(ctx context.Context, assigned *dispatch.Assignment, answer attempt.ForwardAnswer, begun bool, err error, startedAt time.Time) {
	now := ex.clock.Now()
	pricer := ex.fleet.Pricer(ex.service)
	var e *attempt.Error
	result := dispatch.Succeeded
	if errors.As(err, &e) {
		result = assignmentResult(e)
		if e.Kind == attempt.Refused503 && !answer.Metadata.Notice.Leaving {
			pricer.ObserveFull(ex.call.Priority, now)
		}
	} else if answer.FirstEvent > 0 {
		assigned.RecordFirstEvent(answer.FirstEvent)
		pricer.ObserveFirstEvent(shedding.Request{Priority: ex.call.Priority, Work: assigned.Work()}, answer.FirstEvent, ex.call.Route.LatencyTarget, now)
	}
	if e != nil && e.Kind == attempt.DialRefused {
		ex.refusedDials++
	} else {
		ex.refusedDials = 0
	}
	ex.triedServers = append(ex.triedServers, assigned.Server.ID)
	ex.recordResult(assigned.Server.ID, err)
	ex.recordTurn(e, answer.Metadata.Notice.Leaving, now.Sub(startedAt))
	assigned.Done(result, now)
	ex.fleet.ObserveAttempt(AttemptOutcome{PromptParts: ex.call.PromptParts, Begun: begun, Crashed: ex.findCrashes(ctx, assigned.Server, begun, e)})
	if ex.crashes >= maxCrashesPerCall {
		ex.maxAttempts = ex.serverAttempts
	}
	fields := []zap.Field{
		zap.String("RequestId", ex.call.ID), zap.String("Server", assigned.Server.ID), zap.String("Version", assigned.Server.Version), zap.String("Model", ex.model),
		zap.Duration("Predicted", assigned.PredictedWait), zap.Duration("First", answer.FirstEvent), zap.Duration("Took", now.Sub(startedAt)), zap.Int("Held", assigned.CachedTokens),
		zap.Int("Confidence", answer.Metadata.Confidence), zap.Int("Status", answer.Status), zap.Int("Last", answer.LastEvent), zap.Int("Priority", ex.call.Priority),
	}
	if l := answer.Metadata.Load; l != nil {
		fields = append(fields, zap.Int("Running", l.Running), zap.Int("Queued", l.Waiting))
	}
	if err != nil {
		if e != nil && e.LostAnswer() {
			fields = append(fields, zap.Strings("Parts", promptPartIDs(ex.call.PromptParts)))
		}
		ex.log.Info("AttemptFailed", append(fields, zap.Error(err))...)
		return
	}
	ex.log.Debug("AttemptAnswered", fields...)
}

// promptPartIDs returns the IDs of the parts of a prompt.
func promptPartIDs(parts []dispatch.PromptPart) []string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// assignmentResult returns what a failed attempt says about its server.
func assignmentResult(e *attempt.Error) dispatch.Result {
	switch e.Kind {
	case attempt.NotStarted, attempt.Cancelled, attempt.Deadline, attempt.CallerGone, attempt.CallerSlow, attempt.Unwanted, attempt.Misdirected, attempt.AnswerTooLarge, attempt.OutOfMemory:
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

// replan implements retryPolicy. It takes in the table in force, which may have
// changed along with the servers.
func (ex *forwardExecution) replan() {
	ex.refreshRoute()
	ex.idempotent, ex.maxAttempts = ex.call.Route.IsIdempotent(), ex.call.Route.MaxAttempts
}

// takeRetry implements retryPolicy. An attempt that reached no server added no load,
// so its retry is free. The retry after a stalled attempt was taken out of the
// budget when the attempt was abandoned.
func (ex *forwardExecution) takeRetry(e *attempt.Error) bool {
	if e.Kind == attempt.DialRefused || e.Kind == attempt.DialTimeout || e.Kind == attempt.DialFailed {
		return true
	}
	return ex.retryReserved.Swap(false) || ex.fleet.TryRetry(ex.service, true)
}

// escalate implements retryPolicy. It switches to the largest model.
func (ex *forwardExecution) escalate() bool {
	ex.sizeRank = len(ex.call.Route.Models) - 1
	ex.model = ex.call.Route.Models[ex.sizeRank]
	return true
}

// finalError returns the error for the caller after the last attempt failed with
// err. It is nil if an earlier error answer of a server could be delivered.
func (ex *forwardExecution) finalError(ctx context.Context, err error) error {
	stopping := errors.Is(context.Cause(ctx), ErrStopping)
	if ex.failureAnswer != nil && !ex.headWritten && (ctx.Err() == nil || stopping) {
		return ex.deliver(*ex.failureAnswer)
	}
	refusal := ex.refusalFor(err, ex.headWritten, ex.retryAfter())
	switch {
	case !ex.clock.Now().Before(ex.call.Deadline):
		refusal.Reason = call.ReasonDeadline
	case stopping:
		refusal.Reason = call.ReasonStopping
	}
	if refusal.State == call.NotRun && refusal.RetryAfter == 0 {
		refusal.RetryAfter = ex.retryAfter()
	}
	return refusal
}

// retryAfter returns a random wait, so that callers which are refused at the same
// time do not retry at the same time.
func (ex *forwardExecution) retryAfter() time.Duration {
	return refusalRetryAfter + time.Duration(ex.random()*float64(refusalRetryAfter))
}

// recordCall logs and reports the outcome of the call.
func (ex *forwardExecution) recordCall(err error) {
	fields := []zap.Field{
		zap.String("RequestId", ex.call.ID), zap.String("Route", ex.call.Route.Name), zap.String("Customer", ex.call.Customer),
		zap.String("Model", ex.model), zap.Int("Attempts", ex.serverAttempts), zap.Int("Tries", ex.totalAttempts), zap.String("RunState", ex.state.String()),
		zap.Int64("TableVersion", ex.fleet.Table().Version), zap.Duration("Elapsed", ex.clock.Since(ex.call.ArrivedAt)), zap.Int("LastEvent", ex.lastEvent),
		zap.Duration("FirstEvent", ex.firstEvent), zap.Duration("LongestPause", ex.longestPause), zap.Int("Confidence", ex.confidence),
	}
	outcome := CallOutcome{
		Route: ex.call.Route, Service: ex.service, Customer: ex.call.Customer, Model: ex.model, PromptTokens: ex.call.PromptTokens,
		Events: ex.lastEvent - ex.call.ResumeFrom, Failed: ex.serverFailure, QueueTime: ex.queueTime, Elapsed: ex.clock.Since(ex.call.ArrivedAt), FirstEvent: ex.firstEvent, LongestPause: ex.longestPause,
	}
	if !errors.As(err, &outcome.Refusal) {
		outcome.Refusal = nil
	}
	ex.fleet.ObserveCall(outcome)
	if err != nil {
		ex.log.Info("RequestEnded", append(fields, zap.Error(err))...)
		return
	}
	ex.log.Info("RequestAnswered", fields...)
}

// eventSink writes the events of one attempt to the caller.
type eventSink struct {
	*forwardExecution
	assignment *dispatch.Assignment
	startedAt  time.Time
	observer   *answerObserver
	head       attempt.Head
	firstSeen  bool
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
	s.observer.event()
	if !s.firstSeen {
		s.firstSeen = true
		s.assignment.RecordFirstEvent(s.clock.Since(s.startedAt))
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
