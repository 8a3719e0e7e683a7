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

// lifecycle tracks whether the instance is starting, serving or stopping.
type lifecycle struct {
	stopping atomic.Bool
	// superseded reports whether a later run with this instance's name exists.
	superseded func() bool
	// wasReady is set once every service with servers has a server whose load is
	// known and the admitter is open. It is never reset.
	wasReady atomic.Bool
}

// unreadyReason returns the reason why the load balancer should not send requests
// to the instance, or "" if it may.
func (l *lifecycle) unreadyReason(b *board.Board, admitter *admission.Admitter) string {
	if l.stopping.Load() {
		return "Stopping"
	}
	if l.superseded() {
		return "Superseded"
	}
	if l.wasReady.Load() {
		return ""
	}
	if !hasReports(b.Servers.Get(), b.Configuration.Get()) {
		return "NoServerReported"
	}
	if !admitter.IsOpen() {
		return "NoCapacity"
	}
	l.wasReady.Store(true)
	return ""
}

// hasReports reports whether there is a configured service with servers, and
// each such service has at least one server whose load is known.
func hasReports(servers *board.Servers, doc *configuration.Document) bool {
	if servers == nil || doc == nil {
		return false
	}
	hasServers, reported := map[string]bool{}, map[string]bool{}
	for i := range servers.List {
		s := &servers.List[i]
		if doc.Service(s.Service) != nil {
			hasServers[s.Service] = true
			reported[s.Service] = reported[s.Service] || !s.Report.ReceivedAt.IsZero()
		}
	}
	return len(hasServers) > 0 && lo.EveryBy(lo.Keys(hasServers), func(name string) bool { return reported[name] })
}

// Stop shuts the instance down gracefully. The instance becomes unready, waits
// for the drain delay so that the load balancer notices, completes the requests
// in flight, gives up its keeper duties, flushes the ledger and leaves the
// membership. Requests that are still in flight after the stop timeout are
// aborted, and the returned error says so.
func (i *Instance) Stop(ctx context.Context) error {
	i.log.Info("Stopping", zap.String("Instance", i.settings.Name))
	get[*lifecycle](i.injector).stopping.Store(true)
	ctx, cancel := context.WithTimeout(ctx, i.settings.StopTimeout)
	defer cancel()
	select {
	case <-i.clock.After(i.settings.DrainDelay):
	case <-ctx.Done():
	}
	server := get[*front.Server](i.injector)
	server.Stop()
	err := server.App().ShutdownWithContext(ctx)
	if err != nil {
		err = fmt.Errorf("stop %s: requests were cut: %w", i.settings.Name, err)
	}
	err = errors.Join(err, i.handOver(ctx))
	i.close()
	i.log.Info("Stopped", zap.String("Instance", i.settings.Name), zap.Error(err))
	return err
}

// handOver gives up the keeper duties, flushes the ledger, hands over the session
// pins and leaves the membership.
func (i *Instance) handOver(ctx context.Context) error {
	get[*capacity.Controller](i.injector).Resign()
	err := get[*ledgerService](i.injector).flush(ctx)
	if err != nil {
		err = fmt.Errorf("stop %s: flush the ledger: %w", i.settings.Name, err)
	}
	if pinErr := get[*pinning.Service](i.injector).HandOver(ctx); pinErr != nil {
		err = errors.Join(err, fmt.Errorf("stop %s: hand over session pins: %w", i.settings.Name, pinErr))
	}
	get[*member.Controller](i.injector).Leave(ctx)
	return err
}

// Kill stops the instance immediately, as a crash would. Connections break, and
// nothing is handed over or flushed.
func (i *Instance) Kill() {
	i.cancelWork()
	i.listeners.close()
	i.close()
}

// close stops the controllers and servers and closes the clients' connections.
func (i *Instance) close() {
	i.cancelControl()
	i.cancelWork()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
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
