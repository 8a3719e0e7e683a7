package instance

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/routing/capacity"
)

// creditPeers sends credit requests to other instances.
type creditPeers struct {
	client *peer.Client
}

// Credit implements capacity.Peers.
func (p creditPeers) Credit(ctx context.Context, member board.Member, req capacity.CreditRequest) (capacity.CreditResponse, error) {
	resp, err := p.client.Credit(ctx, member.PeerAddress, &peer.CreditRequest{
		Member: req.Member, Generation: req.Generation, Sequence: req.Sequence,
		Asks: lo.Map(req.Asks, func(a capacity.CreditAsk, _ int) *peer.CreditAsk {
			return &peer.CreditAsk{Server: a.Server, InUse: int32(a.InUse), Limit: int32(a.Limit), Wanted: int32(a.Wanted), Epoch: a.Epoch, Cold: a.Cold}
		}),
	})
	if err != nil {
		return capacity.CreditResponse{}, err
	}
	return capacity.CreditResponse{Grants: lo.Map(resp.Grants, func(g *peer.CreditGrant, _ int) capacity.CreditGrant {
		return capacity.CreditGrant{
			Server: g.Server, Count: int(g.Count), Epoch: g.Epoch,
			Valid: time.Duration(g.ValidMilliseconds) * time.Millisecond, Refusal: capacity.GrantRefusal(g.Refusal),
		}
	})}, nil
}

// creditKeeper answers credit requests of other instances.
type creditKeeper struct {
	controller *capacity.Controller
}

// Credit implements peer.CreditHandler.
func (k creditKeeper) Credit(_ context.Context, req *peer.CreditRequest) (*peer.CreditResponse, error) {
	resp := k.controller.Grant(capacity.CreditRequest{
		Member: req.Member, Generation: req.Generation, Sequence: req.Sequence,
		Asks: lo.Map(req.Asks, func(a *peer.CreditAsk, _ int) capacity.CreditAsk {
			return capacity.CreditAsk{Server: a.Server, InUse: int(a.InUse), Limit: int(a.Limit), Wanted: int(a.Wanted), Epoch: a.Epoch, Cold: a.Cold}
		}),
	})
	return &peer.CreditResponse{Grants: lo.Map(resp.Grants, func(g capacity.CreditGrant, _ int) *peer.CreditGrant {
		return &peer.CreditGrant{
			Server: g.Server, Count: int32(g.Count), Epoch: g.Epoch,
			ValidMilliseconds: g.Valid.Milliseconds(), Refusal: string(g.Refusal),
		}
	})}, nil
}
