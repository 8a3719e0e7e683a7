package member

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// heartbeat exchanges one heartbeat with a member.
func (c *Controller) heartbeat(ctx context.Context, m board.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := c.clock.Now()
	req := c.request(m.Name)
	resp, err := c.peers.Heartbeat(ctx, m.PeerAddress, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from, ok := fromMessage(resp.GetFrom())
	if err != nil || !ok {
		counts.Add("HeartbeatFailed", 1)
		c.view.missed(m.Name, now)
		return
	}
	c.view.lastAnswer = now
	if from.Name != m.Name {
		// Another instance has this address now.
		counts.Add("WrongName", 1)
		c.view.missed(m.Name, now)
	}
	c.view.heard(from, now)
	c.takeUpdates(resp.Updates, now)
	c.sight(from, told{resp.Revision, resp.ConfirmedAgeMilliseconds, resp.ListingStamp, resp.ListingAgeMilliseconds}, sent, now)
	c.publish()
}

func (c *Controller) request(to string) *peer.HeartbeatRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, age := c.confirmed()
	stamp, listed := c.listing()
	return &peer.HeartbeatRequest{
		From: toMessage(c.view.self), Revision: revision,
		ConfirmedAgeMilliseconds: age, Updates: c.view.news(to, c.rng),
		ListingStamp: stamp, ListingAgeMilliseconds: listed,
	}
}

// unconfirmed is the age sent before the store has confirmed anything.
const unconfirmed = -1

// confirmed returns the revision in force here and how long ago the store
// confirmed it, in milliseconds.
func (c *Controller) confirmed() (revision, age int64) {
	if doc := c.board.Configuration.Get(); doc != nil {
		revision = doc.Revision
	}
	confirmation := c.board.Confirmation.Get()
	if confirmation == nil || confirmation.StoreConfirmedAt.IsZero() || confirmation.Revision != revision {
		return revision, unconfirmed
	}
	return revision, c.clock.Since(confirmation.StoreConfirmedAt).Milliseconds()
}

// Heartbeat answers a peer.
func (c *Controller) Heartbeat(_ context.Context, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from, ok := fromMessage(req.From)
	if ok {
		c.view.heard(from, now)
		c.sight(from, told{req.Revision, unconfirmed, req.ListingStamp, unconfirmed}, time.Time{}, now)
	}
	c.takeUpdates(req.Updates, now)
	revision, age := c.confirmed()
	stamp, listed := c.listing()
	resp := &peer.HeartbeatResponse{
		From: toMessage(c.view.self), Revision: revision,
		ConfirmedAgeMilliseconds: age, Updates: c.view.news(from.Name, c.rng),
		ListingStamp: stamp, ListingAgeMilliseconds: listed,
	}
	c.publish()
	return resp, nil
}

// listing returns the stamp of the instance list held here and how long ago it
// was the platform's, in milliseconds.
func (c *Controller) listing() (stamp, age int64) {
	listing := c.board.InstanceList.Get()
	if listing == nil {
		return 0, unconfirmed
	}
	return listing.Revision, c.clock.Since(listing.ListedAt).Milliseconds()
}

func (c *Controller) takeUpdates(updates []*peer.Member, now time.Time) {
	for _, u := range updates {
		if s, ok := fromMessage(u); ok {
			c.view.told(s, now)
		} else {
			counts.Add("UpdateUnreadable", 1)
		}
	}
}

// told is what a peer said of its documents.
type told struct {
	revision     int64
	age          int64
	listingStamp int64
	listingAge   int64
}

// sight records what a peer said of its documents; sent is zero for a request
// of the peer's own.
func (c *Controller) sight(from statement, t told, sent, now time.Time) {
	s := board.PeerStatus{
		Name: from.Name, PeerAddress: from.PeerAddress, Revision: t.revision,
		InstanceListRevision: t.listingStamp, RequestedAt: sent, HeardAt: now,
	}
	old := c.sightings[from.Name]
	if sent.IsZero() {
		s.RequestedAt, s.ConfirmedAt = old.RequestedAt, old.ConfirmedAt
		s.Revision = max(s.Revision, old.Revision)
	} else {
		s.ConfirmedAt = before(sent, t.age)
		s.ListedAt = before(sent, t.listingAge)
	}
	c.sightings[from.Name] = s
	latest := &board.PeerStatuses{LastAnswer: c.view.lastAnswer}
	for name, s := range c.sightings {
		if now.Sub(s.HeardAt) > sightingAge {
			delete(c.sightings, name)
			continue
		}
		latest.List = append(latest.List, s)
	}
	c.board.PeerStatuses.Publish(latest)
}

// before returns the time an age before, zero for an age that is not known.
func before(t time.Time, ageMilliseconds int64) time.Time {
	if ageMilliseconds < 0 {
		return time.Time{}
	}
	return t.Add(-time.Duration(ageMilliseconds) * time.Millisecond)
}
