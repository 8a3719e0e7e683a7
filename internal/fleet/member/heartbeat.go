package member

import (
	"context"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// heartbeat sends one heartbeat to a member and applies the answer. An answer from
// an instance with another name also counts as a miss of the member.
func (c *Controller) heartbeat(ctx context.Context, m board.Member) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := c.clock.Now()
	req := c.buildRequest(m.Name)
	resp, err := c.peers.Heartbeat(ctx, m.PeerAddress, req)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from, ok := fromMessage(resp.GetFrom())
	if err != nil || !ok {
		counts.Add("HeartbeatFailed", 1)
		c.view.recordMiss(m.Name, now)
		return
	}
	c.view.lastAnswer = now
	if from.Name != m.Name {
		// Another instance has this address now.
		counts.Add("WrongName", 1)
		c.view.recordMiss(m.Name, now)
	}
	c.view.applyDirect(from, now)
	c.applyUpdates(resp.Updates, now)
	c.recordPeerStatus(from, peerReport{resp.Revision, resp.ConfirmedAgeMilliseconds, resp.ListingStamp, resp.ListingAgeMilliseconds}, sent, now)
	c.publish()
}

// buildRequest returns the heartbeat to send to the named member.
func (c *Controller) buildRequest(to string) *peer.HeartbeatRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	revision, age := c.confirmedRevision()
	listRev, listAge := c.listRevision()
	return &peer.HeartbeatRequest{
		From: toMessage(c.view.self), Revision: revision,
		ConfirmedAgeMilliseconds: age, Updates: c.view.selectUpdates(to, c.rng),
		ListingStamp: listRev, ListingAgeMilliseconds: listAge,
	}
}

// unknownAge stands for an age that is not known. It is sent if the store has not
// confirmed the revision or if there is no instance list.
const unknownAge = -1

// confirmedRevision returns the revision of the configuration that this instance
// has applied and the time since the store confirmed it, in milliseconds.
func (c *Controller) confirmedRevision() (revision, age int64) {
	if doc := c.board.Configuration.Get(); doc != nil {
		revision = doc.Revision
	}
	confirmation := c.board.Confirmation.Get()
	if confirmation == nil || confirmation.StoreConfirmedAt.IsZero() || confirmation.Revision != revision {
		return revision, unknownAge
	}
	return revision, c.clock.Since(confirmation.StoreConfirmedAt).Milliseconds()
}

// Heartbeat handles a heartbeat of a peer and returns the answer. The error is
// always nil.
func (c *Controller) Heartbeat(_ context.Context, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	from, ok := fromMessage(req.From)
	if ok {
		c.view.applyDirect(from, now)
		c.recordPeerStatus(from, peerReport{req.Revision, unknownAge, req.ListingStamp, unknownAge}, time.Time{}, now)
	}
	c.applyUpdates(req.Updates, now)
	revision, age := c.confirmedRevision()
	listRev, listAge := c.listRevision()
	resp := &peer.HeartbeatResponse{
		From: toMessage(c.view.self), Revision: revision,
		ConfirmedAgeMilliseconds: age, Updates: c.view.selectUpdates(from.Name, c.rng),
		ListingStamp: listRev, ListingAgeMilliseconds: listAge,
	}
	c.publish()
	return resp, nil
}

// listRevision returns the revision of the instance list held here and the time
// since the platform last returned it, in milliseconds.
func (c *Controller) listRevision() (revision, age int64) {
	instanceList := c.board.InstanceList.Get()
	if instanceList == nil {
		return 0, unknownAge
	}
	return instanceList.Revision, c.clock.Since(instanceList.ListedAt).Milliseconds()
}

// applyUpdates applies gossiped statements. The caller holds c.mu.
func (c *Controller) applyUpdates(updates []*peer.Member, now time.Time) {
	for _, u := range updates {
		if s, ok := fromMessage(u); ok {
			c.view.applyGossip(s, now)
		} else {
			counts.Add("UpdateUnreadable", 1)
		}
	}
}

// peerReport is what a peer reports about its configuration and its instance list.
// Ages are in milliseconds, negative if not known.
type peerReport struct {
	revision     int64
	age          int64
	listRevision int64
	listAge      int64
}

// recordPeerStatus records and publishes a peer's status. sent is the time when the
// request that the peer answered was sent, or zero if the status came in a request
// of the peer. The caller holds c.mu.
func (c *Controller) recordPeerStatus(from statement, report peerReport, sent, now time.Time) {
	status := board.PeerStatus{
		Name: from.Name, PeerAddress: from.PeerAddress, Revision: report.revision,
		InstanceListRevision: report.listRevision, RequestedAt: sent, HeardAt: now,
	}
	previous := c.peerStatuses[from.Name]
	if sent.IsZero() {
		status.RequestedAt, status.ConfirmedAt = previous.RequestedAt, previous.ConfirmedAt
		status.Revision = max(status.Revision, previous.Revision)
	} else {
		status.ConfirmedAt = timeBefore(sent, report.age)
		status.ListedAt = timeBefore(sent, report.listAge)
	}
	c.peerStatuses[from.Name] = status
	latest := &board.PeerStatuses{LastAnswer: c.view.lastAnswer}
	for name, status := range c.peerStatuses {
		if now.Sub(status.HeardAt) > peerStatusTTL {
			delete(c.peerStatuses, name)
			continue
		}
		latest.List = append(latest.List, status)
	}
	c.board.PeerStatuses.Publish(latest)
}

// timeBefore returns the time ageMilliseconds before t, or the zero time if the age
// is negative, which means not known.
func timeBefore(t time.Time, ageMilliseconds int64) time.Time {
	if ageMilliseconds < 0 {
		return time.Time{}
	}
	return t.Add(-time.Duration(ageMilliseconds) * time.Millisecond)
}
