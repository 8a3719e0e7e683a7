// Package pinning spreads the pins of named sessions over instances. A pin is
// held by the members that rendezvous hashing ranks first for its session: the
// first is the keeper and decides, the next ones hold copies and take over. A
// joining instance asks all others for the pins that it should hold.
package pinning

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/routing/session"
)

const (
	// holders is how many members hold a pin, the keeper included. Pins are
	// lost only if as many fail before their copies are made anew.
	holders = 3
	// batch bounds the pins in one message.
	batch        = 500
	syncInterval = time.Second
	copyTimeout  = time.Second
	// begunKey exists once there may have been a named session.
	begunKey = "kingcupyard/Sessions/Begun"
)

var counts = expvar.NewMap("Pinning")

// Peers is what the service needs of other instances.
type Peers interface {
	Pin(ctx context.Context, address string, req *peer.PinRequest) (*peer.PinResponse, error)
	Pins(ctx context.Context, address string, req *peer.PinsRequest) (*peer.PinsResponse, error)
}

// Store is what the service needs of the platform's service.
type Store interface {
	Create(ctx context.Context, p store.Purpose, key string, value []byte) (created bool, rev int64, err error)
}

// Service finds and keeps pins of named sessions. It is safe for concurrent use.
type Service struct {
	board *board.Board
	pins  *session.Pins
	peers Peers
	store Store
	clock clockwork.Clock
	log   *zap.Logger

	mu sync.Mutex
	// complete is set once every session that this instance should hold is
	// known to it.
	complete bool
	// seen is the membership that copies were last made for.
	seen []string
}

// New returns the service over the instance's own pins.
func New(b *board.Board, pins *session.Pins, peers Peers, s Store, clock clockwork.Clock, log *zap.Logger) *Service {
	return &Service{board: b, pins: pins, peers: peers, store: s, clock: clock, log: log}
}

// Resolve returns the pin of a named session, asking its keeper, or those that
// hold copies if the keeper can't be reached. Found says that the session began
// earlier. The error is a *call.Refusal.
func (s *Service) Resolve(ctx context.Context, ask session.Request) (session.Pin, bool, error) {
	members := s.board.Members.Get()
	if members == nil {
		return s.resolveHere(ctx, ask)
	}
	for _, m := range ranked(members, ask.Customer, ask.Session) {
		if m.Name == members.Self {
			return s.resolveHere(ctx, ask)
		}
		resp, err := s.peers.Pin(ctx, m.PeerAddress, &peer.PinRequest{Customer: ask.Customer, Session: ask.Session, Model: ask.Model, Exact: ask.ExactVersion})
		if err != nil {
			counts.Add("KeeperUnreachable", 1)
			continue
		}
		if resp.Reason != "" {
			return session.Pin{}, resp.Found, &call.Refusal{Reason: call.Reason(resp.Reason), Field: resp.Field, Detail: resp.Detail}
		}
		return session.Pin{Customer: ask.Customer, Session: ask.Session, Model: ask.Model, Version: resp.Version}, resp.Found, nil
	}
	return session.Pin{}, false, &call.Refusal{Reason: call.ReasonNotReady, Field: "Session-Id", Detail: "no holder of the session can be reached", RetryAfter: time.Second}
}

// resolveHere decides as the keeper. A new or changed pin is copied before it
// is used.
func (s *Service) resolveHere(ctx context.Context, ask session.Request) (session.Pin, bool, error) {
	doc := s.board.Configuration.Get()
	if doc == nil {
		return session.Pin{}, false, &call.Refusal{Reason: call.ReasonNotReady, Detail: "no configuration"}
	}
	customer := doc.Customer(ask.Customer)
	if customer == nil {
		return session.Pin{}, false, &call.Refusal{Reason: call.ReasonNotAllowed, Detail: "the customer is not configured any more"}
	}
	before, found := s.pins.Find(ask)
	pin, err := s.pins.Resolve(doc, customer, ask)
	if err == nil && (!found || before.Version != pin.Version) {
		s.copyOut(ctx, pin)
	}
	return pin, found, err
}

// copyOut leaves a pin with its other holders.
func (s *Service) copyOut(ctx context.Context, pin session.Pin) {
	members := s.board.Members.Get()
	if members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range ranked(members, pin.Customer, pin.Session) {
		if m.Name != members.Self {
			wg.Go(func() { _ = s.offer(ctx, m, []session.Pin{pin}) })
		}
	}
	wg.Wait()
}

// offer hands pins to a member, in batches.
func (s *Service) offer(ctx context.Context, m board.Member, pins []session.Pin) error {
	for part := range slices.Chunk(pins, batch) {
		if _, err := s.peers.Pins(ctx, m.PeerAddress, &peer.PinsRequest{Offered: records(part)}); err != nil {
			counts.Add("OfferFailed", 1)
			return err
		}
		counts.Add("Offered", int64(len(part)))
	}
	return nil
}

// Pin implements peer.Pinner: it decides for another instance.
func (s *Service) Pin(ctx context.Context, req *peer.PinRequest) (*peer.PinResponse, error) {
	pin, found, err := s.resolveHere(ctx, session.Request{Customer: req.Customer, Session: req.Session, Model: req.Model, ExactVersion: req.Exact})
	resp := &peer.PinResponse{Version: pin.Version, Found: found}
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		resp.Reason, resp.Field, resp.Detail = string(refusal.Reason), refusal.Field, refusal.Detail
		return resp, nil
	}
	return resp, err
}

// Pins implements peer.PinHolder: it takes pins in, and gives those that the
// asking member should hold.
func (s *Service) Pins(_ context.Context, req *peer.PinsRequest) (*peer.PinsResponse, error) {
	if err := s.pins.Import(pinsOf(req.Offered)); err != nil {
		return nil, err
	}
	resp := &peer.PinsResponse{Complete: s.isComplete()}
	members := s.board.Members.Get()
	if !req.Wanted || members == nil {
		return resp, nil
	}
	names := append(nameList(members), req.Member)
	resp.Pins = records(s.pins.Export(func(customer, name string) bool {
		return slices.Contains(board.Rank(rankKey(customer, name), lo.Uniq(names), holders), req.Member)
	}))
	return resp, nil
}

func (s *Service) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// ranked returns the members that hold the session's pins, the keeper first.
func ranked(members *board.Members, customer, name string) []board.Member {
	list := board.Rank(rankKey(customer, name), nameList(members), holders)
	return lo.FilterMap(list, func(name string, _ int) (board.Member, bool) {
		m := members.Find(name)
		if m == nil {
			return board.Member{}, false
		}
		return *m, true
	})
}

func rankKey(customer, name string) string { return "Session/" + customer + "/" + name }

// nameList lists the members that may hold pins: all but those on their way out.
func nameList(members *board.Members) []string {
	return lo.FilterMap(members.List, func(m board.Member, _ int) (string, bool) {
		return m.Name, m.State != board.MemberLeaving
	})
}

func records(pins []session.Pin) []*peer.PinRecord {
	return lo.Map(pins, func(p session.Pin, _ int) *peer.PinRecord {
		return &peer.PinRecord{Customer: p.Customer, Session: p.Session, Model: p.Model, Version: p.Version, StartedUnixMilliseconds: p.StartedAt.UnixMilli()}
	})
}

func pinsOf(list []*peer.PinRecord) []session.Pin {
	return lo.Map(list, func(r *peer.PinRecord, _ int) session.Pin {
		return session.Pin{Customer: r.Customer, Session: r.Session, Model: r.Model, Version: r.Version, StartedAt: time.UnixMilli(r.StartedUnixMilliseconds)}
	})
}
