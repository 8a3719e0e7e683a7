package gateway

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/verdict"
	"github.com/kingcupyard/kingcupyard/internal/routing/dispatch"
)

// rollouts chooses the version that a session runs on during a rollout and
// collects evidence on how the versions perform. On the driver it also decides
// how the rollout goes on.
type rollouts struct {
	gateway *Gateway

	mu sync.Mutex
	// local holds this instance's state of the rollouts, by service.
	local map[string]*localRollout
	// peerEvidence holds, on the driver, the other instances' evidence by
	// service and run of the instance.
	peerEvidence map[string]map[senderRun]evidenceMessage
	// pins holds the version that each session last ran on.
	pins map[string]pin
	// usual holds the usual times of the versions that aren't the target of a rollout.
	usual   usualTimes
	driving driving
}

// localRollout is one rollout as this instance knows it.
type localRollout struct {
	order       revision.Revision
	target      string
	duration    time.Duration
	firstSeenAt time.Time
	evidence    verdict.Evidence
	// servers holds the target's counts by server while it is on trial.
	servers map[string]verdict.Counts
	// sent counts the requests that this instance sent.
	sent verdict.Traffic
	// recordedSent is what the last progress record says of the fleet.
	recordedSent verdict.Traffic
	// trial holds the servers of the trial.
	trial trial
	// rate belongs to rollouts.run.
	rate verdict.Rate
	// startedAt is the earliest known time of the order: when this instance
	// first saw it, or what the elapsed time in a progress record implies.
	startedAt time.Time
	// progressRevision is the revision of the last progress record seen.
	progressRevision revision.Revision
	// nextDecisionAt is the time before which the driver decides nothing, as
	// the watch has yet to bring the record that it wrote.
	nextDecisionAt time.Time
	// distrusted reports that this instance's own evidence shows a regression
	// of the target.
	distrusted bool
	// retrial reports that the servers of the trial may be at fault for such a regression.
	retrial bool
	// evidenceChanged reports that there is evidence that was not yet sent.
	evidenceChanged bool
	// ended reports that the rollout is complete or reverted.
	ended bool
}

// trial holds the servers of a trial, chosen by a view of the fleet, a listing and whether
// this instance wants other servers than at first.
type trial struct {
	fleet   *follower.Fleet
	listing *backend.Listing
	retrial bool
	servers []string
}

// senderRun is one run of another instance. A restarted one counts from zero.
type senderRun struct {
	instance string
	run      int64
}

// pin is the version that a session's last request ran on.
type pin struct {
	version  string
	lastUsed time.Time
}

const (
	// rolloutInterval is the time between checks of the rollouts.
	rolloutInterval = 300 * time.Millisecond
	// progressRecordsPerRollout is the number of progress records during a
	// rollout. The last 0.18 of its time is reserved for the progress since the
	// last record, which a new driver does not know.
	progressRecordsPerRollout = 8
	// maxPins bounds the number of sessions whose version is remembered.
	maxPins = 20000
	// A stream is slow if its first event takes more than slowFactor times the prediction
	// and more than minSlowLatency. Its pace is slow if its events come slowPaceFactor times
	// slower than usual and more than minSlowPace apart. The prediction has learned how slow
	// a server is and what waits there, the usual pace hasn't.
	slowFactor     = 4
	minSlowLatency = 250 * time.Millisecond
	slowPaceFactor = 2.5
	minSlowPace    = 40 * time.Millisecond
	// An answer without events is slow if it takes slowAnswerFactor times as long as usual
	// and minSlowDelay longer. While its usual time isn't known, it is slow as the first
	// event of a stream is.
	slowAnswerFactor = 2
	minSlowDelay     = 10 * time.Millisecond
)

// newRollouts returns the rollouts of a gateway, without evidence or pins.
func newRollouts(g *Gateway) *rollouts {
	return &rollouts{gateway: g, local: map[string]*localRollout{}, peerEvidence: map[string]map[senderRun]evidenceMessage{}, pins: map[string]pin{}, usual: usualTimes{}}
}

// allowedVersions returns the versions that a request of a session may run on.
func (r *rollouts) allowedVersions(service, session string) dispatch.VersionConstraint {
	fleet := r.gateway.fleet()
	progress, recorded := fleet.Rollouts[service]
	order, ordered := fleet.Orders[service]
	if ordered && (!recorded || progress.Order != order.Revision.Number) {
		return dispatch.VersionConstraint{Except: order.Target}
	}
	if !recorded {
		return dispatch.VersionConstraint{}
	}
	switch progress.State {
	case follower.RolloutReverted:
		return dispatch.VersionConstraint{Except: progress.Target}
	case follower.RolloutComplete:
		if r.readyServers(service, progress.Target) > 0 {
			return dispatch.VersionConstraint{Only: progress.Target}
		}
		return dispatch.VersionConstraint{}
	}
	if r.usesNewVersion(progress, service, session) {
		return dispatch.VersionConstraint{Only: progress.Target}
	}
	return dispatch.VersionConstraint{Except: progress.Target}
}

// mayBeComplete reports whether a rollout may be complete although this instance hasn't heard
// of it: the servers of the old version stop at that moment.
func (r *rollouts) mayBeComplete(service string) bool {
	progress, recorded := r.gateway.fleet().Rollouts[service]
	if !recorded || progress.State != follower.RolloutActive || r.readyServers(service, progress.Target) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[service]
	if ro == nil || ro.order.Number != progress.Order || ro.distrusted {
		return false
	}
	return !verdict.IsTrial(progress.Share) || verdict.IsEnding(max(progress.Elapsed, r.gateway.Clock.Since(ro.startedAt)), ro.duration)
}

// usesNewVersion reports whether a session runs on the target of a rollout in
// progress. Sessions are selected by the hash of their names, so that all
// instances agree and a growing share moves no session back to the old version.
// In the first half of the rollout a session in progress stays on its version: the canary
// phase.
func (r *rollouts) usesNewVersion(progress follower.RolloutProgress, service, session string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[service]
	if ro == nil || ro.order.Number != progress.Order || ro.distrusted {
		return false
	}
	if !isInShare(session, progress.Share) {
		return false
	}
	if !verdict.IsTrial(progress.Share) || verdict.IsSecondTrial(max(progress.Elapsed, r.gateway.Clock.Since(ro.startedAt)), ro.duration) {
		return true
	}
	p, pinned := r.pins[session]
	if pinned && p.version == progress.Target {
		return true
	}
	// In the canary phase a session in progress stays on its version. After the
	// longest pause of a session this instance has heard of every session that
	// is in progress at another instance.
	window := r.gateway.currentSettings().SessionIdleTimeout + sessionMargin
	if r.gateway.Clock.Since(ro.firstSeenAt) < window {
		return false
	}
	return !pinned || r.gateway.Clock.Since(p.lastUsed) >= window
}

// sessionMargin covers the time between the placement of a request and the end of
// its answer.
const sessionMargin = 3 * time.Second

// isInShare reports whether a session is among the given share of all sessions.
func isInShare(session string, share float64) bool {
	return float64(xxhash.Sum64String(session))/math.MaxUint64 < share
}

// recordPlacement notes the version that a session's request is sent to, and
// tells the other instances, if the session may be part of a canary phase.
func (r *rollouts) recordPlacement(service, session, version string) {
	r.mu.Lock()
	ro := r.local[service]
	inCanary := ro != nil && !ro.ended && isInShare(session, r.gateway.currentSettings().ExposureShare)
	if inCanary {
		r.setPin(session, version)
	}
	r.mu.Unlock()
	if inCanary {
		r.gateway.peers.broadcast(&message{Sessions: []sessionMessage{{service, session, version}}})
	}
}

// recordSent counts a request that is sent to a version of a service.
func (r *rollouts) recordSent(service, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[service]
	switch {
	case ro == nil || ro.ended:
		return
	case version == ro.target:
		ro.sent.New++
	default:
		ro.sent.Old++
	}
	ro.evidenceChanged = true
}

// trialServers returns the servers that the requests of a trial of the only version allowed
// are sent to, and nil if there is no trial.
func (r *rollouts) trialServers(service string, versions dispatch.VersionConstraint) []string {
	if versions.Only == "" {
		return nil
	}
	fleet, listing := r.gateway.follower.View.Fleet.Get(), r.gateway.follower.View.Servers.Get()
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[service]
	if ro == nil || ro.ended || fleet == nil || listing == nil {
		return nil
	}
	if ro.trial.fleet != fleet || ro.trial.listing != listing || ro.trial.retrial != ro.retrial {
		progress := fleet.Rollouts[service]
		progress.Retrial = progress.Retrial || ro.retrial
		ro.trial = trial{fleet, listing, ro.retrial, chooseTrialServers(fleet, listing.ByService[service], progress)}
	}
	return ro.trial.servers
}

// chooseTrialServers returns the IDs of the servers that take part in a trial, which all
// instances choose alike, and nil if there is no trial.
func chooseTrialServers(fleet *follower.Fleet, servers []*backend.Server, progress follower.RolloutProgress) []string {
	if progress.State != follower.RolloutActive || !verdict.IsTrial(progress.Share) {
		return nil
	}
	var ids []string
	others := 0
	for _, s := range servers {
		switch {
		case s.State != backend.Ready || fleet.ClosedDataCentres[s.DataCentre]:
		case s.Version == progress.Target:
			ids = append(ids, s.ID)
		default:
			others++
		}
	}
	if others == 0 {
		return nil // there is no usual load to compare with
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	n := min(len(ids), verdict.TrialServers(progress.Share, others))
	if progress.Retrial {
		return ids[min(n, len(ids)-n):][:n]
	}
	return ids[:n]
}

// readyServers counts a service's servers of a version that accept requests.
func (r *rollouts) readyServers(service, version string) int {
	n, _ := r.countServers(service, version)
	return n
}

// countServers counts a service's servers that accept requests, those of a version and the
// others.
func (r *rollouts) countServers(service, version string) (ofVersion, others int) {
	listing := r.gateway.follower.View.Servers.Get()
	if listing == nil {
		return 0, 0
	}
	for _, s := range listing.ByService[service] {
		switch {
		case s.State != backend.Ready:
		case s.Version == version:
			ofVersion++
		default:
			others++
		}
	}
	return ofVersion, others
}

// lateAfter returns how long after its request was sent an answer without events is late,
// which the usual time of the other versions tells: that of the server's own answers would
// hide how slow its version is.
func (r *rollouts) lateAfter(o pipeline.AnswerObservation) (time.Duration, bool) {
	if o.Stream {
		return 0, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	usual, known := r.usual.of(o).get(minAnswerSamples)
	return r.gateway.roundTrip(o.Server) + max(time.Duration(slowAnswerFactor*float64(usual)), usual+minSlowDelay), known
}

// isSlowPace reports whether a time between events is much longer than the usual one.
func isSlowPace(pace time.Duration, usual *usualTime) bool {
	d, known := usual.get(minPaceSamples)
	return known && pace > minSlowPace && float64(pace) > slowPaceFactor*float64(d)
}

// observe adds an answer to the evidence on its service's rollout and to the usual times.
func (r *rollouts) observe(o pipeline.AnswerObservation) {
	server := o.Server
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[server.Service]
	counts := verdict.Counts{Answers: 1}
	switch {
	case o.Failed:
		counts.Failed = 1
	case o.Late:
		counts.Slow = 1
	}
	usual := r.usual.of(o)
	if o.Pace > 0 {
		counts.Paced = 1
		if isSlowPace(o.Pace, usual) {
			counts.SlowPaced = 1
		}
	}
	if ro == nil || ro.ended || server.Version != ro.target {
		switch {
		case o.Pace > 0:
			usual.observe(o.Pace)
		case o.Took > 0 && !o.Stream:
			usual.observe(o.Took - r.gateway.roundTrip(server))
		}
	}
	if ro == nil || o.Repeat {
		return
	}
	comparison := verdict.Comparison{Old: counts}
	if server.Version == ro.target {
		comparison = verdict.Comparison{New: counts}
		// Few streams say nothing about a server: their models and lengths differ.
		if !o.Stream && ro.evidence[o.Route].IsTelling() {
			ro.addServer(server.ID, counts)
		}
	}
	ro.evidence.Add(verdict.Evidence{o.Route: comparison})
	ro.evidenceChanged = true
	if !ro.distrusted && verdict.IsRegression(ro.evidence) {
		r.distrust(ro, server)
	}
}

// distrust keeps requests off the target, whose answers are worse at this instance, or off the
// servers of the trial if these may be at fault. The caller holds r.mu.
func (r *rollouts) distrust(ro *localRollout, server *backend.Server) {
	fault := verdict.FindFault(ro.evidence, ro.servers, r.readyServers(server.Service, ro.target))
	if fault != verdict.VersionFault && ro.retrial {
		return
	}
	ro.retrial, ro.distrusted = true, fault == verdict.VersionFault
	r.gateway.Log.Warn("VersionDistrusted", zap.String("Service", server.Service), zap.String("Version", ro.target), zap.String("Server", server.ID),
		zap.Bool("Distrusted", ro.distrusted), zap.String("Evidence", fmt.Sprintf("%+v", ro.evidence)), zap.String("Servers", fmt.Sprintf("%+v", ro.servers)))
}

// maxTrialServers bounds the servers whose answers are counted apart.
const maxTrialServers = 32

// addServer adds the counts of a server of the target. Those beyond maxTrialServers are
// counted together.
func (ro *localRollout) addServer(id string, counts verdict.Counts) {
	if _, ok := ro.servers[id]; !ok && len(ro.servers) >= maxTrialServers {
		id = ""
	}
	sum := ro.servers[id]
	sum.Add(counts)
	ro.servers[id] = sum
}

// run advances the rollouts until the context ends.
func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.gateway.protect("Rollouts", func() { r.tick(ctx) })
		select {
		case <-ctx.Done():
		case <-r.gateway.Clock.After(rolloutInterval):
		}
	}
}

// syncOrders brings the local state in line with the orders in the fleet's view. It returns
// the orders that are still undecided, and the decisions that the store has lost.
func (r *rollouts) syncOrders(fleet follower.Fleet) (orders []follower.RolloutOrder, lost []follower.RolloutProgress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, ro := range r.local {
		if _, ok := fleet.Orders[service]; !ok {
			ro.order.Era = r.gateway.follower.Era() // a later order is another one
		}
	}
	for service, order := range fleet.Orders {
		progress := fleet.Rollouts[service]
		ro := r.local[service]
		if ro != nil && ro.isFor(order) {
			ro.order = order.Revision
		}
		if progress.Order == order.Revision.Number && progress.State != follower.RolloutActive {
			if ro != nil {
				ro.ended = true
			}
			if progress.Lost {
				lost = append(lost, progress)
			}
			continue
		}
		orders = append(orders, order)
		now := r.gateway.Clock.Now()
		if ro == nil || ro.order != order.Revision {
			ro = &localRollout{order: order.Revision, target: order.Target, duration: order.Duration, firstSeenAt: now, startedAt: now, evidence: verdict.Evidence{}, servers: map[string]verdict.Counts{}}
			r.local[service] = ro
			delete(r.peerEvidence, service)
		}
		if progress.Order == order.Revision.Number {
			ro.applyProgress(progress, now)
		}
	}
	return orders, lost
}

// isFor reports whether the rollout is for an order: the same one, or one that the operator has
// written again after the store came back from a copy that lacks it.
func (ro *localRollout) isFor(order follower.RolloutOrder) bool {
	isWrittenAgain := ro.order.Era < order.Revision.Era && ro.duration == order.Duration
	return ro.target == order.Target && (ro.order.Number == order.Revision.Number || isWrittenAgain)
}

// applyProgress takes the elapsed time from a progress record that is new to
// this instance, which may have started long after the order.
func (ro *localRollout) applyProgress(progress follower.RolloutProgress, now time.Time) {
	if progress.Revision == ro.progressRevision {
		return
	}
	ro.progressRevision = progress.Revision
	// Drivers of earlier versions record no traffic.
	ro.recordedSent.Old, ro.recordedSent.New = max(ro.recordedSent.Old, progress.SentOld), max(ro.recordedSent.New, progress.SentNew)
	if startedAt := now.Add(-progress.Elapsed); startedAt.Before(ro.startedAt) {
		ro.startedAt = startedAt
	}
}

// tick performs one check of the rollouts. The driver decides, any other
// instance sends its evidence to the driver or, if there is none, tries to
// become it.
func (r *rollouts) tick(ctx context.Context) {
	fleet := r.gateway.fleet()
	orders, lost := r.syncOrders(fleet)
	if len(orders)+len(lost) == 0 {
		r.driving.missingSince = time.Time{}
		return
	}
	if d := r.driving; d.lease != (Lease{}) && d.entry.Revision.After(revision.Latest(fleet.Driver.Revision, r.gateway.follower.Revision())) {
		fleet.Driver = d.entry // the view doesn't show it yet
	}
	switch fleet.Driver.Instance {
	case "":
		r.tryBecomeDriver(ctx)
	case r.gateway.Settings.Instance:
		if !r.keepDriving(ctx, fleet.Driver) {
			return
		}
		for _, progress := range lost {
			recorded, err := r.gateway.Store.RecordProgress(ctx, progress, fleet.Driver)
			r.gateway.Log.Info("StageRecordedAgain", zap.Bool("Done", recorded), zap.String("Stage", fmt.Sprintf("%+v", progress)), zap.Error(err))
		}
		for _, order := range orders {
			r.decide(ctx, order, fleet)
		}
	default:
		r.driving.missingSince = time.Time{}
		for _, order := range orders {
			r.sendEvidence(order, fleet.Instances[fleet.Driver.Instance].PeerAddress)
		}
	}
}

// decide decides on one rollout and records the decision.
func (r *rollouts) decide(ctx context.Context, order follower.RolloutOrder, fleet follower.Fleet) {
	g := r.gateway
	progress := fleet.Rollouts[order.Service]
	recordedAt := progress.Revision
	if progress.Order != order.Revision.Number {
		progress = follower.RolloutProgress{}
	}
	settings := g.currentSettings()
	in, nextDecisionAt := r.decisionInput(order.Service)
	if g.Clock.Now().Before(nextDecisionAt) {
		return
	}
	in.Duration, in.MaxExposure, in.BaseExposure, in.Share = order.Duration, settings.ExposureShare, settings.BaseExposure, progress.Share
	in.Retrial = progress.Retrial
	in.Ready, in.OldServers = r.countServers(order.Service, order.Target)
	decision := verdict.Decide(in)
	next := follower.RolloutProgress{
		Service: order.Service, Order: order.Revision.Number, Target: order.Target, State: follower.RolloutActive, Share: decision.Share, Retrial: decision.Retrial,
		Elapsed: in.Elapsed, SentOld: in.Sent.Old, SentNew: in.Sent.New, Revision: recordedAt,
	}
	switch {
	case decision.Revert:
		next.State, next.Share = follower.RolloutReverted, 0
	case decision.Complete:
		next.State, next.Share = follower.RolloutComplete, 1
	}
	if !shouldRecord(progress, next, order.Duration) {
		return
	}
	recorded, err := g.Store.RecordProgress(ctx, next, fleet.Driver)
	g.Log.Info("StageRecorded", zap.Bool("Done", recorded), zap.String("Stage", fmt.Sprintf("%+v", next)), zap.String("Evidence", fmt.Sprintf("%+v", in.Evidence)), zap.String("Servers", fmt.Sprintf("%+v", in.Servers)), zap.Float64("PerSecond", in.PerSecond), zap.Error(err))
	if err == nil {
		r.delayNextDecision(order.Service)
	}
}

// shouldRecord reports whether the next progress is to be written: because of a
// new decision, because the store has lost the last record, or because so much time has passed since the last record that a
// new driver would be late without it.
func shouldRecord(recorded, next follower.RolloutProgress, duration time.Duration) bool {
	return recorded.Lost || recorded.Order != next.Order || recorded.State != next.State || recorded.Share != next.Share || recorded.Retrial != next.Retrial ||
		next.Elapsed-recorded.Elapsed >= duration/progressRecordsPerRollout
}

// delayNextDecision leaves time for the watch to bring a record just written, or the one
// that was in its way.
func (r *rollouts) delayNextDecision(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.local[service].nextDecisionAt = r.gateway.Clock.Now().Add(2 * rolloutInterval)
}

// decisionInput returns what all instances know of a service's rollout, and the time before
// which nothing is to be decided.
func (r *rollouts) decisionInput(service string) (in verdict.DecisionInput, nextDecisionAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[service]
	in.Elapsed = r.gateway.Clock.Since(ro.startedAt)
	in.Evidence, in.Sent = verdict.Evidence{}, ro.sent
	in.Evidence.Add(ro.evidence)
	in.Servers = maps.Clone(ro.servers)
	for _, m := range r.peerEvidence[service] {
		in.Evidence.Add(m.Evidence)
		in.Sent.Add(m.sent())
		for id, counts := range m.Servers {
			sum := in.Servers[id]
			sum.Add(counts)
			in.Servers[id] = sum
		}
	}
	// A new driver doesn't know what instances sent that are gone.
	in.Sent.Old, in.Sent.New = max(in.Sent.Old, ro.recordedSent.Old), max(in.Sent.New, ro.recordedSent.New)
	ro.rate.Observe(in.Elapsed, in.Sent.Old+in.Sent.New)
	in.PerSecond = ro.rate.PerSecond()
	return in, ro.nextDecisionAt
}

// sendEvidence sends this instance's evidence to the driver if it has changed
// since it was last sent.
func (r *rollouts) sendEvidence(order follower.RolloutOrder, address string) {
	if m := r.takeEvidence(order.Service); m != nil {
		r.gateway.peers.send(address, &message{Evidence: m})
	}
}

// takeEvidence returns this instance's evidence on a service's rollout if it has changed
// since the last call, else nil.
func (r *rollouts) takeEvidence(service string) *evidenceMessage {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[service]
	if ro == nil || !ro.evidenceChanged {
		return nil
	}
	ro.evidenceChanged = false
	evidence := verdict.Evidence{}
	evidence.Add(ro.evidence)
	return &evidenceMessage{Service: service, Order: ro.order.Number, Evidence: evidence, Servers: maps.Clone(ro.servers), Sent: ro.sent, Elapsed: r.gateway.Clock.Since(ro.startedAt)}
}

// storePeerEvidence replaces the stored evidence of another instance. Evidence
// on another order is ignored.
func (r *rollouts) storePeerEvidence(from senderRun, msg evidenceMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.local[msg.Service]
	if ro == nil || ro.order.Number != msg.Order {
		return
	}
	if startedAt := r.gateway.Clock.Now().Add(-min(msg.Elapsed, ro.duration)); startedAt.Before(ro.startedAt) {
		ro.startedAt = startedAt // another instance has seen the order sooner
	}
	if r.peerEvidence[msg.Service] == nil {
		r.peerEvidence[msg.Service] = map[senderRun]evidenceMessage{}
	}
	if known := r.peerEvidence[msg.Service][from].Sent; known.Old+known.New > msg.Sent.Old+msg.Sent.New {
		return // it was overtaken
	}
	r.peerEvidence[msg.Service][from] = msg
}

// recordPeerSession notes the version that a session's request ran on at
// another instance.
func (r *rollouts) recordPeerSession(s sessionMessage) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setPin(s.Session, s.Version)
}

// setPin notes the version that a session runs on. It first drops all pins if
// there are maxPins. The caller holds r.mu.
func (r *rollouts) setPin(session, version string) {
	if len(r.pins) >= maxPins {
		clear(r.pins)
	}
	r.pins[session] = pin{version, r.gateway.Clock.Now()}
}
