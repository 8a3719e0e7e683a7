package pinning

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// Run calls Sync once per syncInterval until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	for {
		if members := s.board.Members.Get(); members != nil {
			s.Sync(ctx, members)
		}
		select {
		case <-s.clock.After(syncInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// Sync fetches the pins that this instance should hold until it has all of them,
// and copies pins to new holders when the membership has changed.
func (s *Service) Sync(ctx context.Context, members *board.Members) {
	if !s.isComplete() && s.fetchPins(ctx, members) {
		s.pins.MarkComplete()
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
		s.log.Info("PinsComplete", zap.Int("Pins", s.pins.Len()))
	}
	candidates := holderCandidates(members)
	s.mu.Lock()
	previous := s.lastCandidates
	s.lastCandidates = candidates
	s.mu.Unlock()
	if previous != nil && !slices.Equal(previous, candidates) {
		s.copyToNewHolders(ctx, members, previous)
	}
}

// fetchPins requests the pins that this instance should hold from all members that
// are alive. It reports whether no pin can be missing: all of them have answered,
// and either one of them has all its pins or there has never been a named session.
func (s *Service) fetchPins(ctx context.Context, members *board.Members) bool {
	anyComplete := false
	for _, m := range members.List {
		if m.Name == members.Self || m.State != board.MemberAlive {
			continue
		}
		resp, err := s.peers.Pins(ctx, m.PeerAddress, &peer.PinsRequest{Member: members.Self, Wanted: true})
		if err != nil {
			counts.Add("FillFailed", 1)
			return false
		}
		if err := s.pins.Import(fromRecords(resp.Pins)); err != nil {
			return false
		}
		anyComplete = anyComplete || resp.Complete
	}
	return anyComplete || s.isFirstStart(ctx)
}

// isFirstStart reports whether no named session can have begun before, which is the
// case if sessionsBegunKey does not exist yet. It creates the key.
func (s *Service) isFirstStart(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	created, _, err := s.store.Create(ctx, store.Statistics, sessionsBegunKey, []byte(s.clock.Now().UTC().Format(time.RFC3339)))
	return err == nil && created
}

// copyToNewHolders sends the pins held here to the members that have become their
// holders since the candidates changed from those in previous.
func (s *Service) copyToNewHolders(ctx context.Context, members *board.Members, previous []string) {
	candidates := holderCandidates(members)
	for _, m := range members.List {
		if m.Name == members.Self {
			continue
		}
		pins := s.pins.Export(func(customer, name string) bool {
			key := rankKey(customer, name)
			return slices.Contains(board.Rank(key, candidates, holderCount), m.Name) && !slices.Contains(board.Rank(key, previous, holderCount), m.Name)
		})
		_ = s.sendPins(ctx, m, pins)
	}
}

// HandOver sends this instance's pins to the members that become their holders
// when it leaves. Graceful shutdown calls it before the instance leaves the
// membership. It tries all members and returns the last error.
func (s *Service) HandOver(ctx context.Context) error {
	members := s.board.Members.Get()
	if members == nil {
		return nil
	}
	candidates := holderCandidates(members)
	remaining := slices.DeleteFunc(slices.Clone(candidates), func(n string) bool { return n == members.Self })
	var lastErr error
	for _, name := range remaining {
		pins := s.pins.Export(func(customer, session string) bool {
			key := rankKey(customer, session)
			return slices.Contains(board.Rank(key, remaining, holderCount), name) && !slices.Contains(board.Rank(key, candidates, holderCount), name)
		})
		if err := s.sendPins(ctx, *members.Find(name), pins); err != nil {
			lastErr = err
		}
	}
	return lastErr
}
