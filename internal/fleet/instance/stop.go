package instance

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/member"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/fleet/pinning"
	"github.com/kingcupyard/kingcupyard/internal/platform/request"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	"github.com/kingcupyard/kingcupyard/internal/relay/attempt"
	"github.com/kingcupyard/kingcupyard/internal/relay/front"
	"github.com/kingcupyard/kingcupyard/internal/routing/admission"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
)

// lifecycle says whether the instance is on its way in or out.
type lifecycle struct {
	stopping atomic.Bool
	// superseded reports whether a later run has taken this one's name.
	superseded func() bool
	// reported is set once the load of servers of each service is known.
	reported atomic.Bool
}

// unready returns why the instance should get no requests from the balancer,
// empty if it may.
func (l *lifecycle) unready(b *board.Board, gate *admission.Admitter) string {
	if l.stopping.Load() {
		return "Stopping"
	}
	if l.superseded() {
		return "Superseded"
	}
	if l.reported.Load() {
		return ""
	}
	if !hasReports(b.Servers.Get(), b.Configuration.Get()) {
		return "NoServerReported"
	}
	if !gate.IsOpen() {
		return "NoCapacity"
	}
	l.reported.Store(true)
	return ""
}

// hasReports reports whether each service that has servers has one whose load
// is known.
func hasReports(servers *board.Servers, doc *configuration.Document) bool {
	if servers == nil || doc == nil {
		return false
	}
	listed, reported := map[string]bool{}, map[string]bool{}
	for i := range servers.List {
		s := &servers.List[i]
		if doc.Service(s.Service) != nil {
			listed[s.Service] = true
			reported[s.Service] = reported[s.Service] || !s.Report.ReceivedAt.IsZero()
		}
	}
	return len(listed) > 0 && lo.EveryBy(lo.Keys(listed), func(name string) bool { return reported[name] })
}

// Stop is the graceful shutdown: the instance turns unready, waits until the
// balancer has noticed, hands its duties over, finishes every request, flushes
// the ledger and leaves. It cuts requests only when the stop timeout is over,
// and then says so in its error.
func (i *Instance) Stop(ctx context.Context) error {
	i.log.Info("Stopping", zap.String("Instance", i.settings.Name))
	get[*lifecycle](i.injector).stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, i.settings.StopTimeout)
	defer cancel()
	select {
	case <-i.clock.After(i.settings.DrainDelay):
	case <-ctx.Done():
	}
	f := get[*front.Server](i.injector)
	f.Stop()
	err := f.App().ShutdownWithContext(ctx)
	if err != nil {
		err = fmt.Errorf("stop %s: requests were cut: %w", i.settings.Name, err)
	}
	err = errors.Join(err, i.handOver(ctx))
	i.close()
	i.log.Info("Stopped", zap.String("Instance", i.settings.Name), zap.Error(err))
	return err
}

// handOver gives up keeper duties and flushes what has to last.
func (i *Instance) handOver(ctx context.Context) error {
	get[*capacity.Controller](i.injector).Resign()
	err := get[*accounts](i.injector).flush(ctx)
	if err != nil {
		err = fmt.Errorf("stop %s: flush the ledger: %w", i.settings.Name, err)
	}
	if pins := get[*pinning.Service](i.injector).HandOver(ctx); pins != nil {
		err = errors.Join(err, fmt.Errorf("stop %s: hand sessions over: %w", i.settings.Name, pins))
	}
	get[*member.Controller](i.injector).Leave(ctx)
	return err
}

// Kill ends the instance at once, as a crash would: connections break, nothing
// is handed over or flushed.
func (i *Instance) Kill() {
	i.endWork()
	i.listeners.close()
	i.close()
}

// close stops controllers and listeners and closes connections.
func (i *Instance) close() {
	i.endControl()
	i.endWork()
	ctx, cancel := context.WithTimeout(context.Background(), headerTimeout)
	defer cancel()
	_ = get[*operator.API](i.injector).App().ShutdownWithContext(ctx)
	_ = get[*front.Server](i.injector).App().ShutdownWithContext(ctx)
	_ = i.peers.Close()
	i.controllers.Wait()
	i.serving.Wait()
	closeClients(i.injector)
}

func closeClients(in do.Injector) {
	get[*attempt.Client](in).Close()
	get[*peer.Client](in).Close()
	get[*store.Client](in).Close()
	get[*request.Client](in).Close()
}
