package instance

import (
	"context"
	"time"

	"github.com/samber/do/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

// pinPeers keeps the pins of named sessions at the session's keeper.
type pinPeers struct {
	in do.Injector
}

// Pin implements affinity.Pins.
func (p *pinPeers) Pin(ctx context.Context, proposed session.Pin) (session.Pin, bool, error) {
	members := get[*board.Board](p.in).Members.Get()
	k, ok := keeper.Of(members.List, proposed.Customer+"/"+proposed.Session)
	if !ok || k.Name == members.Self {
		return p.keep(proposed)
	}
	resp, err := get[*peer.Client](p.in).Pin(ctx, k.PeerAddress, &peer.PinRequest{
		Customer: proposed.Customer, Session: proposed.Session, Model: proposed.Model, Version: proposed.Version,
		StartedUnixMilliseconds: proposed.StartedAt.UnixMilli(),
	})
	if err != nil {
		return session.Pin{}, false, err
	}
	proposed.Version = resp.Version
	return proposed, resp.Found, nil
}

// Service answers the pins' calls of other instances.
func (p *pinPeers) service() peer.Pinner { return pinService{p} }

type pinService struct {
	*pinPeers
}

// Pin implements peer.Pinner.
func (s pinService) Pin(_ context.Context, req *peer.PinRequest) (*peer.PinResponse, error) {
	kept, found, err := s.keep(session.Pin{
		Customer: req.Customer, Session: req.Session, Model: req.Model, Version: req.Version,
		StartedAt: time.UnixMilli(req.StartedUnixMilliseconds),
	})
	if err != nil {
		return nil, err
	}
	return &peer.PinResponse{Version: kept.Version, Found: found}, nil
}

func (p *pinPeers) keep(proposed session.Pin) (session.Pin, bool, error) {
	return proposed, false, nil
}
