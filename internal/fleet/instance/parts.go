package instance

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/do/v2"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/console/settings"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/fleet/member"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/fleet/pinning"
	"github.com/kingcupyard/kingcupyard/internal/platform/rating"
	"github.com/kingcupyard/kingcupyard/internal/platform/request"
	"github.com/kingcupyard/kingcupyard/internal/platform/roster"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	"github.com/kingcupyard/kingcupyard/internal/relay/affinity"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/explanation"
	"github.com/kingcupyard/kingcupyard/internal/relay/feedback"
	"github.com/kingcupyard/kingcupyard/internal/relay/front"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/admission"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
	"github.com/kingcupyard/kingcupyard/internal/routing/cascade"
	"github.com/kingcupyard/kingcupyard/internal/routing/placement"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

const (
	// maxExplanationRecords is the maximum number of decision records that an
	// instance keeps.
	maxExplanationRecords = 4096
	// retryShare is the maximum ratio of retries to first attempts.
	retryShare = 0.1
	// retryBurst is the maximum number of unused retries that accumulate.
	retryBurst = 20
)

// provide returns an injector with a provider for each component. Components are
// built when they are first requested.
func (i *Instance) provide() do.Injector {
	in := do.New()
	do.ProvideValue(in, i.settings)
	do.ProvideValue(in, i.clock)
	do.ProvideValue(in, i.log)
	do.ProvideValue(in, new(board.Board))
	do.Provide(in, func(in do.Injector) (*lifecycle, error) {
		return &lifecycle{superseded: get[*member.Controller](in).IsSuperseded}, nil
	})
	providePlatform(in)
	i.provideFleet(in)
	provideRouting(in)
	i.provideRelay(in)
	provideConsole(in)
	return in
}

func get[T any](in do.Injector) T { return do.MustInvoke[T](in) }

func clockOf(in do.Injector) clockwork.Clock { return get[clockwork.Clock](in) }

func settingsOf(in do.Injector) *settings.Settings { return get[*settings.Settings](in) }

func providePlatform(in do.Injector) {
	do.Provide(in, func(in do.Injector) (*store.Client, error) {
		b := get[*board.Board](in)
		return store.New(settingsOf(in).Store, store.WithClock(clockOf(in)), store.WithMembers(func() int {
			if m := b.Members.Get(); m != nil {
				return len(m.List)
			}
			return 1
		})), nil
	})
	do.Provide(in, func(do.Injector) (*request.Client, error) {
		return request.New(), nil
	})
	do.Provide(in, func(in do.Injector) (*roster.Controller, error) {
		s := settingsOf(in)
		return roster.New(s.Name, s.InstanceList, get[*board.Board](in), get[*request.Client](in),
			roster.WithClock(clockOf(in)), roster.WithLog(get[*zap.Logger](in)), roster.WithPeers(get[*peer.Client](in))), nil
	})
}

func (i *Instance) provideFleet(in do.Injector) {
	do.Provide(in, func(in do.Injector) (*peer.Client, error) {
		return peer.NewClient(peer.WithSharedKey(settingsOf(in).PeerKey), peer.WithClock(clockOf(in))), nil
	})
	do.Provide(in, func(in do.Injector) (*member.Controller, error) {
		self := board.Member{
			Name: i.settings.Name, PeerAddress: i.peerAddress(), DataCentre: i.settings.DataCentre,
			Region: i.settings.Region, State: board.MemberAlive,
		}
		return member.New(self, get[*board.Board](in), get[*peer.Client](in),
			member.WithClock(clockOf(in)), member.WithLog(get[*zap.Logger](in))), nil
	})
	do.Provide(in, func(in do.Injector) (*distribution.Controller, error) {
		s := settingsOf(in)
		return distribution.New(s.Name, s.DataCentre, get[*board.Board](in), get[*store.Client](in), get[*peer.Client](in),
			distribution.WithClock(clockOf(in)), distribution.WithLog(get[*zap.Logger](in))), nil
	})
	do.Provide(in, func(in do.Injector) (*distribution.Editor, error) {
		return distribution.NewEditor(get[*distribution.Controller](in), get[*store.Client](in)), nil
	})
	do.Provide(in, newPeerServer)
}

// peerAddress returns the address at which other instances reach this one: the
// advertised address, or the listener's address if none is set.
func (i *Instance) peerAddress() string {
	if i.settings.Advertise != "" {
		return i.settings.Advertise
	}
	return i.Addresses().Peers
}

func newPeerServer(in do.Injector) (*peer.Server, error) {
	return peer.NewServer(
		peer.WithKey(settingsOf(in).PeerKey),
		peer.WithHeartbeatHandler(get[*member.Controller](in)),
		peer.WithConfigurationHandler(get[*distribution.Controller](in)),
		peer.WithReportsHandler(get[*roster.Controller](in)),
		peer.WithListingHandler(get[*roster.Controller](in)),
		peer.WithLedgerHandler(get[*ledgerService](in)),
		peer.WithCopiesHandler(get[*ledgerService](in)),
		peer.WithEvidenceHandler(get[*evidenceExchange](in)),
		peer.WithPinHandler(get[*pinning.Service](in)),
		peer.WithPinsHandler(get[*pinning.Service](in)),
		peer.WithCreditHandler(creditKeeper{get[*capacity.Controller](in)}),
		peer.WithExplainHandler(peerStatusService{operatorFleet{in}}),
		peer.WithStatusHandler(peerStatusService{operatorFleet{in}}),
	), nil
}

func provideRouting(in do.Injector) {
	do.Provide(in, func(in do.Injector) (*capacity.Controller, error) {
		return capacity.NewController(get[*board.Board](in), creditPeers{get[*peer.Client](in)}, clockOf(in), capacity.DefaultSettings()), nil
	})
	do.Provide(in, func(do.Injector) (*admission.Ejector, error) { return admission.NewEjector(), nil })
	do.Provide(in, func(in do.Injector) (*admission.Admitter, error) { return admission.NewAdmitter(clockOf(in)), nil })
	do.Provide(in, func(do.Injector) (*admission.RetryBudget, error) {
		return admission.NewRetryBudget(retryShare, retryBurst), nil
	})
	do.Provide(in, func(do.Injector) (*placement.PrefixTable, error) { return new(placement.PrefixTable), nil })
	do.Provide(in, func(in do.Injector) (*placement.Placer, error) {
		l := placementLoad{get[*capacity.Controller](in).Limiter(), get[*admission.Ejector](in)}
		return placement.New(get[*board.Board](in), l, placement.WithClock(clockOf(in)), placement.WithPrefixTable(get[*placement.PrefixTable](in))), nil
	})
	do.Provide(in, func(do.Injector) (*cascade.Decider, error) { return cascade.New(), nil })
	do.Provide(in, func(in do.Injector) (*cascade.Exchange, error) {
		return cascade.NewExchange(get[*cascade.Decider](in), settingsOf(in).Name, get[*member.Controller](in).Generation()), nil
	})
	do.Provide(in, func(in do.Injector) (*rollout.Evidence, error) {
		b := get[*board.Board](in)
		return rollout.NewEvidence(settingsOf(in).Name, get[*member.Controller](in).Generation(), b.Configuration.Get), nil
	})
}

// placementLoad provides placement with the load and the outlier ejections that
// this instance has recorded.
type placementLoad struct {
	*capacity.Limiter
	ejector *admission.Ejector
}

// Ejected implements placement.Load.
func (l placementLoad) Ejected(server string, now time.Time) bool {
	return l.ejector.Ejected(server, now)
}

func (i *Instance) provideRelay(in do.Injector) {
	do.Provide(in, func(do.Injector) (*explanation.Ring, error) { return explanation.New(maxExplanationRecords), nil })
	do.Provide(in, func(in do.Injector) (*attempt.Client, error) {
		s := settingsOf(in)
		return attempt.New(attempt.WithClock(clockOf(in)), attempt.WithLimits(attempt.Limits{
			Connect: s.ConnectTimeout, FirstByte: s.FirstTokenTimeout, Progress: s.TokenTimeout,
		})), nil
	})
	do.Provide(in, func(in do.Injector) (*affinity.Resolver, error) {
		return affinity.New(get[*pinning.Service](in), get[*rollout.Guard](in)), nil
	})
	do.Provide(in, newDriverLease)
	do.Provide(in, newDriver)
	do.Provide(in, newEvidenceExchange)
	do.Provide(in, func(in do.Injector) (*rollout.Guard, error) {
		return rollout.NewGuard(get[*board.Board](in), get[*rollout.Evidence](in), clockOf(in)), nil
	})
	do.Provide(in, func(in do.Injector) (*session.Pins, error) { return session.NewPins(clockOf(in)), nil })
	do.Provide(in, func(in do.Injector) (*pinning.Service, error) {
		return pinning.New(get[*board.Board](in), get[*session.Pins](in), get[*peer.Client](in), get[*store.Client](in), clockOf(in), get[*zap.Logger](in)), nil
	})
	do.Provide(in, newLedgerService)
	do.Provide(in, func(in do.Injector) (*feedback.Collector, error) {
		s := settingsOf(in)
		return feedback.New(s.Name, rating.New(s.Rating, get[*request.Client](in)), get[*rollout.Evidence](in),
			get[*cascade.Decider](in), clockOf(in), get[*zap.Logger](in)), nil
	})
	do.Provide(in, newPipeline)
	do.Provide(in, func(in do.Injector) (*front.Server, error) {
		s := settingsOf(in)
		return front.New(i.work, get[*board.Board](in), get[*pipeline.Pipeline](in), front.WithClock(clockOf(in)),
			front.WithLogger(get[*zap.Logger](in)), front.WithMaxBodyBytes(s.MaxBodyBytes), front.WithRequestTimeout(s.RequestTimeout)), nil
	})
}

func newPipeline(in do.Injector) (*pipeline.Pipeline, error) {
	s := settingsOf(in)
	deps := pipeline.Dependencies{
		Instance: s.Name, DataCentre: s.DataCentre, Board: get[*board.Board](in),
		Admission: get[*admission.Admitter](in), RetryBudget: get[*admission.RetryBudget](in), Placer: get[*placement.Placer](in),
		Limiter: get[*capacity.Controller](in).Limiter(), Health: get[*admission.Ejector](in),
		PrefixTable: get[*placement.PrefixTable](in), Client: get[*attempt.Client](in), Ledger: get[*ledgerService](in).ledger, Cascade: get[*cascade.Decider](in),
		Sessions: get[*affinity.Resolver](in), Evidence: get[*rollout.Evidence](in), DecisionLog: get[*explanation.Ring](in),
		Clock: clockOf(in), Log: get[*zap.Logger](in), Seed: get[*member.Controller](in).Generation(),
	}
	if s.Rating != "" {
		collector := get[*feedback.Collector](in)
		deps.Judge, deps.Ratings = collector, collector
	}
	return pipeline.New(deps), nil
}

func provideConsole(in do.Injector) {
	do.Provide(in, func(in do.Injector) (*operator.API, error) {
		b := get[*board.Board](in)
		document := func() *configuration.Document { return b.Configuration.Get() }
		return operator.New(settingsOf(in).OperatorKeyHash, document, get[*distribution.Editor](in), operatorFleet{in}, get[*ledgerService](in), clockOf(in), get[*zap.Logger](in)), nil
	})
}

// controllers returns the background loops of the instance.
func controllers(in do.Injector) []controller {
	admitter, b := get[*admission.Admitter](in), get[*board.Board](in)
	list := []controller{
		{"roster", get[*roster.Controller](in).Run},
		{"member", get[*member.Controller](in).Run},
		{"distribution", get[*distribution.Controller](in).Run},
		{"placement", get[*placement.Placer](in).Run},
		{"capacity", get[*capacity.Controller](in).Run},
		{"rollout driver", get[*rollout.Driver](in).Run},
		{"rollout guard", get[*rollout.Guard](in).Run},
		{"cascade changes", changeWatcher{b, get[*cascade.Decider](in)}.Run},
		{"evidence", get[*evidenceExchange](in).Run},
		{"pinning", get[*pinning.Service](in).Run},
		{"ledger keeper", get[*ledgerService](in).runKeeper},
		{"ledger holder", get[*ledgerService](in).runHolder},
		{"admission", func(ctx context.Context) error { return admitter.Run(ctx, b) }},
	}
	if settingsOf(in).Rating != "" {
		list = append(list, controller{"feedback", get[*feedback.Collector](in).Run})
	}
	return list
}
