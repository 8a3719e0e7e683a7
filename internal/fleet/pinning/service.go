// Package pinning distributes the pins of named sessions over the instances. A
// pin fixes the version of a model that a session uses. Rendezvous hashing ranks
// the members for each session. The first member is the keeper of the session's
// pins and decides on them; the next ones hold copies and take over if the keeper
// fails. An instance that joins asks all others for the pins that it should hold.
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
	// holderCount is the number of members that hold a pin, including the keeper. A
	// pin is lost only if this many members fail before new copies are made.
	holderCount = 3
	// maxBatch is the maximum number of pins in one message.
	maxBatch     = 500
	syncInterval = time.Second
	copyTimeout  = time.Second
	// sessionsBegunKey is the store key that exists once a named session may have
	// begun.
	sessionsBegunKey = "kingcupyard/Sessions/Begun"
)

var counts = expvar.NewMap("Pinning")

// Peers sends requests about pins to other instances.
type Peers interface {
	Pin(ctx context.Context, address string, req *peer.PinRequest) (*peer.PinResponse, error)
	Pins(ctx context.Context, address string, req *peer.PinsRequest) (*peer.PinsResponse, error)
}

// Store creates keys in the platform's store.
type Store interface {
	Create(ctx context.Context, p store.Purpose, key string, value []byte) (created bool, rev int64, err error)
}

// Service resolves the pins of named sessions and stores those that this instance
// holds. It is safe for concurrent use.
type Service struct {
	board *board.Board
	pins  *session.Pins
	peers Peers
	store Store
	clock clockwork.Clock
	log   *zap.Logger

	mu sync.Mutex
	// complete is set once this instance has every pin that it should hold.
	complete bool
	// lastCandidates lists the candidates for holding pins at the last Sync.
	lastCandidates []string
}

// New returns a service that stores this instance's pins in pins.
func New(b *board.Board, pins *session.Pins, peers Peers, s Store, clock clockwork.Clock, log *zap.Logger) *Service {
	return &Service{board: b, pins: pins, peers: peers, store: s, clock: clock, log: log}
}

// Resolve returns the pin of a named session. It asks the session's keeper, or the
// holders of copies in their order if the keeper cannot be reached. The boolean
// reports whether the session began earlier. The error is a *call.Refusal.
func (s *Service) Resolve(ctx context.Context, req session.Request) (session.Pin, bool, error) {
	members := s.board.Members.Get()
	if members == nil {
		return s.resolveLocally(ctx, req)
	}
	for _, m := range rankedHolders(members, req.Customer, req.Session) {
		if m.Name == members.Self {
			return s.resolveLocally(ctx, req)
		}
		resp, err := s.peers.Pin(ctx, m.PeerAddress, &peer.PinRequest{Customer: req.Customer, Session: req.Session, Model: req.Model, Exact: req.ExactVersion})
		if err != nil {
			counts.Add("KeeperUnreachable", 1)
			continue
		}
		if resp.Reason != "" {
			return session.Pin{}, resp.Found, &call.Refusal{Reason: call.Reason(resp.Reason), Field: resp.Field, Detail: resp.Detail}
		}
		return session.Pin{Customer: req.Customer, Session: req.Session, Model: req.Model, Version: resp.Version}, resp.Found, nil
	}
	return session.Pin{}, false, &call.Refusal{Reason: call.ReasonNotReady, Field: "Session-Id", Detail: "no holder of the session can be reached", RetryAfter: time.Second}
}

// resolveLocally resolves a pin as the session's keeper. A new or changed pin is
// sent to the other holders before it is returned.
func (s *Service) resolveLocally(ctx context.Context, req session.Request) (session.Pin, bool, error) {
	doc := s.board.Configuration.Get()
	if doc == nil {
		return session.Pin{}, false, &call.Refusal{Reason: call.ReasonNotReady, Detail: "no configuration"}
	}
	customer := doc.Customer(req.Customer)
	if customer == nil {
		return session.Pin{}, false, &call.Refusal{Reason: call.ReasonNotAllowed, Detail: "the customer is not configured any more"}
	}
	previous, found := s.pins.Find(req)
	pin, err := s.pins.Resolve(doc, customer, req)
	if err == nil && (!found || previous.Version != pin.Version) {
		s.copyToHolders(ctx, pin)
	}
	return pin, found, err
}

// copyToHolders sends a pin to its other holders and waits at most copyTimeout.
// Failures are only counted.
func (s *Service) copyToHolders(ctx context.Context, pin session.Pin) {
	members := s.board.Members.Get()
	if members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), copyTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, m := range rankedHolders(members, pin.Customer, pin.Session) {
		if m.Name != members.Self {
			wg.Go(func() { _ = s.sendPins(ctx, m, []session.Pin{pin}) })
		}
	}
	wg.Wait()
}

// sendPins sends pins to a member in batches. It stops at the first error.
func (s *Service) sendPins(ctx context.Context, m board.Member, pins []session.Pin) error {
	for chunk := range slices.Chunk(pins, maxBatch) {
		if _, err := s.peers.Pins(ctx, m.PeerAddress, &peer.PinsRequest{Offered: toRecords(chunk)}); err != nil {
			counts.Add("OfferFailed", 1)
			return err
		}
		counts.Add("Offered", int64(len(chunk)))
	}
	return nil
}

// Pin implements peer.PinHandler. It resolves a pin for another instance.
func (s *Service) Pin(ctx context.Context, req *peer.PinRequest) (*peer.PinResponse, error) {
	pin, found, err := s.resolveLocally(ctx, session.Request{Customer: req.Customer, Session: req.Session, Model: req.Model, ExactVersion: req.Exact})
	resp := &peer.PinResponse{Version: pin.Version, Found: found}
	var refusal *call.Refusal
	if errors.As(err, &refusal) {
		resp.Reason, resp.Field, resp.Detail = string(refusal.Reason), refusal.Field, refusal.Detail
		return resp, nil
	}
	return resp, err
}

// Pins implements peer.PinsHandler. It stores the offered pins and, if the request
// wants pins, returns those that the requesting member should hold.
func (s *Service) Pins(_ context.Context, req *peer.PinsRequest) (*peer.PinsResponse, error) {
	if err := s.pins.Import(fromRecords(req.Offered)); err != nil {
		return nil, err
	}
	resp := &peer.PinsResponse{Complete: s.isComplete()}
	members := s.board.Members.Get()
	if !req.Wanted || members == nil {
		return resp, nil
	}
	candidates := append(holderCandidates(members), req.Member)
	resp.Pins = toRecords(s.pins.Export(func(customer, name string) bool {
		return slices.Contains(board.Rank(rankKey(customer, name), lo.Uniq(candidates), holderCount), req.Member)
	}))
	return resp, nil
}

// isComplete reports whether this instance has every pin that it should hold.
func (s *Service) isComplete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.complete
}

// rankedHolders returns the members that hold the pins of a customer's session,
// the keeper first.
func rankedHolders(members *board.Members, customer, name string) []board.Member {
	list := board.Rank(rankKey(customer, name), holderCandidates(members), holderCount)
	return lo.FilterMap(list, func(name string, _ int) (board.Member, bool) {
		m := members.Find(name)
		if m == nil {
			return board.Member{}, false
		}
		return *m, true
	})
}

func rankKey(customer, name string) string { return "Session/" + customer + "/" + name }

// holderCandidates returns the names of the members that may hold pins: all that
// are not leaving.
func holderCandidates(members *board.Members) []string {
	return lo.FilterMap(members.List, func(m board.Member, _ int) (string, bool) {
		return m.Name, m.State != board.MemberLeaving
	})
}

func toRecords(pins []session.Pin) []*peer.PinRecord {
	return lo.Map(pins, func(p session.Pin, _ int) *peer.PinRecord {
		return &peer.PinRecord{Customer: p.Customer, Session: p.Session, Model: p.Model, Version: p.Version, StartedUnixMilliseconds: p.StartedAt.UnixMilli()}
	})
}

func fromRecords(list []*peer.PinRecord) []session.Pin {
	return lo.Map(list, func(r *peer.PinRecord, _ int) session.Pin {
		return session.Pin{Customer: r.Customer, Session: r.Session, Model: r.Model, Version: r.Version, StartedAt: time.UnixMilli(r.StartedUnixMilliseconds)}
	})
}
