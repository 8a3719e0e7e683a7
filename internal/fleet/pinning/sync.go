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

// Run completes this instance's pins after its start, and makes copies anew
// when members come and go, until the context ends.
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

// Sync does what the membership asks for.
func (s *Service) Sync(ctx context.Context, members *board.Members) {
	if !s.isComplete() && s.fill(ctx, members) {
		s.pins.MarkComplete()
		s.mu.Lock()
		s.complete = true
		s.mu.Unlock()
		s.log.Info("PinsComplete", zap.Int("Pins", s.pins.Len()))
	}
	names := nameList(members)
	s.mu.Lock()
	before := s.seen
	s.seen = names
	s.mu.Unlock()
	if before != nil && !slices.Equal(before, names) {
		s.recopy(ctx, members, before)
	}
}

// fill asks the others for the pins to hold. It reports whether nothing can be
// missing: the others know all their sessions and have answered, or there has
// never been a session.
func (s *Service) fill(ctx context.Context, members *board.Members) bool {
	vouched := false
	for _, m := range members.List {
		if m.Name == members.Self || m.State != board.MemberAlive {
			continue
		}
		resp, err := s.peers.Pins(ctx, m.PeerAddress, &peer.PinsRequest{Member: members.Self, Wanted: true})
		if err != nil {
			counts.Add("FillFailed", 1)
			return false
		}
		if err := s.pins.Import(pinsOf(resp.Pins)); err != nil {
			return false
		}
		vouched = vouched || resp.Complete
	}
	return vouched || s.isFirst(ctx)
}

// isFirst reports whether no instance can have had a session before: the key
// that notes it did not exist.
func (s *Service) isFirst(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	created, _, err := s.store.Create(ctx, store.Statistics, begunKey, []byte(s.clock.Now().UTC().Format(time.RFC3339)))
	return err == nil && created
}

// recopy offers the pins held here to members that have become holders.
func (s *Service) recopy(ctx context.Context, members *board.Members, before []string) {
	names := nameList(members)
	for _, m := range members.List {
		if m.Name == members.Self {
			continue
		}
		pins := s.pins.Export(func(customer, name string) bool {
			key := rankKey(customer, name)
			return slices.Contains(board.Rank(key, names, holders), m.Name) && !slices.Contains(board.Rank(key, before, holders), m.Name)
		})
		_ = s.offer(ctx, m, pins)
	}
}

// HandOver gives this instance's pins to those that hold them without it. A
// planned stop calls it before the instance leaves.
func (s *Service) HandOver(ctx context.Context) error {
	members := s.board.Members.Get()
	if members == nil {
		return nil
	}
	names := nameList(members)
	without := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == members.Self })
	var failed error
	for _, name := range without {
		pins := s.pins.Export(func(customer, session string) bool {
			key := rankKey(customer, session)
			return slices.Contains(board.Rank(key, without, holders), name) && !slices.Contains(board.Rank(key, names, holders), name)
		})
		if err := s.offer(ctx, *members.Find(name), pins); err != nil {
			failed = err
		}
	}
	return failed
}
