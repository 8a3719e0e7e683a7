package instance

import (
	"context"
	"errors"

	"github.com/samber/do/v2"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/member"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// ledgerPeers sends ledger requests to other instances.
type ledgerPeers struct {
	client *peer.Client
}

// SendRecords implements ledger.Peers.
func (p ledgerPeers) SendRecords(ctx context.Context, to board.Member, req ledger.Request) (ledger.Response, error) {
	message, err := req.ToPeer()
	if err != nil {
		return ledger.Response{}, err
	}
	resp, err := p.client.Ledger(ctx, to.PeerAddress, message)
	if err != nil {
		return ledger.Response{}, err
	}
	return ledger.ResponseFromPeer(resp)
}

// SendCopies implements ledger.Peers.
func (p ledgerPeers) SendCopies(ctx context.Context, to board.Member, req ledger.CopyRequest) (int, error) {
	message, err := req.ToPeer()
	if err != nil {
		return 0, err
	}
	resp, err := p.client.Copies(ctx, to.PeerAddress, message)
	if err != nil {
		return 0, err
	}
	return int(resp.Held), nil
}

// ledgerService holds the ledger of an instance, which records bills and claims.
// It answers the ledger requests of other instances.
type ledgerService struct {
	ledger *ledger.Ledger
	keeper *ledger.Keeper
	holder *ledger.CopyHolder
	store  ledger.Store
}

func newLedgerService(in do.Injector) (*ledgerService, error) {
	s, b := settingsOf(in), get[*board.Board](in)
	self := ledger.Origin{Instance: s.Name, Generation: get[*member.Controller](in).Generation()}
	st := ledger.NewPlatformStore(get[*store.Client](in))
	keeper := ledger.NewKeeper(st, self, &b.Members, ledger.WithKeeperClock(clockOf(in)))
	l := ledger.New(self, &b.Members, ledgerPeers{get[*peer.Client](in)}, keeper, ledger.WithClock(clockOf(in)))
	return &ledgerService{l, keeper, ledger.NewCopyHolder(l), st}, nil
}

// Ledger implements peer.LedgerHandler.
func (a *ledgerService) Ledger(ctx context.Context, message *peer.LedgerRequest) (*peer.LedgerResponse, error) {
	req, err := ledger.RequestFromPeer(message)
	if err != nil {
		return nil, err
	}
	return a.keeper.Handle(ctx, req).ToPeer(req)
}

// Copies implements peer.CopiesHandler.
func (a *ledgerService) Copies(_ context.Context, message *peer.CopiesRequest) (*peer.CopiesResponse, error) {
	req, err := ledger.CopyRequestFromPeer(message)
	if err != nil {
		return nil, err
	}
	return &peer.CopiesResponse{Held: int32(a.holder.Store(req))}, nil
}

// Audit implements operator.Accounts.
func (a *ledgerService) Audit(ctx context.Context) (ledger.Audit, error) {
	return ledger.ReadAudit(ctx, a.store, ledger.DefaultRetention())
}

// flush hands over the copies held for peers and waits until the ledger has no
// pending records. Only then does the keeper give up its shards, because without
// a successor this instance's own keeper is the one that commits the records.
func (a *ledgerService) flush(ctx context.Context) error {
	a.holder.HandOver()
	err := errors.Join(a.ledger.Flush(ctx), a.keeper.Drain(ctx))
	a.ledger.Stop()
	return err
}

// runKeeper runs the ledger's keeper until ctx is done.
func (a *ledgerService) runKeeper(ctx context.Context) error {
	a.keeper.Run(ctx)
	return nil
}

// runHolder runs the holder of peers' copies until ctx is done.
func (a *ledgerService) runHolder(ctx context.Context) error {
	a.holder.Run(ctx)
	return nil
}
