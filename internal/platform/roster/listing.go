package roster

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// listInterval is how long an instance waits between two reads of the
// platform's list: the longer, the larger the list, so that reading it costs an
// instance the same at any size. Changes and the time of the latest read also
// reach an instance through its peers.
func (c *Controller) listInterval() time.Duration {
	if c.peers == nil {
		return minListInterval
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(minListInterval, time.Duration(len(c.held.entries))*listEntryInterval)
}

// runList reads the list, at times that drift apart from those of instances
// that started together.
func (c *Controller) runList(ctx context.Context) {
	for {
		c.readList(ctx)
		interval := c.listInterval()
		c.mu.Lock()
		wait := interval/2 + time.Duration(c.rng.Int64N(int64(interval)))
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-c.clock.After(wait):
		}
	}
}

// readList asks for the instance list, takes it in if it is plausible, and
// pushes what has changed.
func (c *Controller) readList(ctx context.Context) {
	var resp listResponse
	asked := c.clock.Now()
	if err := c.http.Get(ctx, "http://"+c.listAddress+"/instances", &resp); err != nil {
		counts.Add("ListFailed", 1)
		return
	}
	counts.Add("ListRead", 1)
	if changed := c.takeList(resp, asked); changed != nil && !changed.full {
		c.pushList(ctx, *changed)
	}
}

// takeList takes in a list that was asked for at a time.
func (c *Controller) takeList(resp listResponse, asked time.Time) *change {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.judge.accept(stampOf(resp.Sequence, resp.At), c.held.stamp, len(resp.Instances), len(c.held.entries), c.clock.Now()) {
		counts.Add("ListImplausible", 1)
		c.log.Warn("InstanceListRefused", zap.Int("Entries", len(resp.Instances)), zap.Uint64("Sequence", resp.Sequence))
		return nil
	}
	changed := c.held.read(resp.Sequence, resp.At, resp.Instances)
	c.confirmList(asked)
	if changed != nil {
		c.listChanged(*changed)
	}
	return changed
}

// confirmList notes that the list held was the platform's at this time, and
// publishes it now and then. The caller holds the lock.
func (c *Controller) confirmList(at time.Time) {
	if !at.After(c.listAt) {
		return
	}
	c.listAt = at
	if last := c.board.InstanceList.Get(); last != nil && at.Sub(last.ListedAt) >= confirmInterval {
		next := *last
		next.ListedAt = at
		c.board.InstanceList.Publish(&next)
	}
}

// listChanged brings the servers up to date with the list held, and publishes
// the listing. The caller holds the lock.
func (c *Controller) listChanged(changed change) {
	c.order = nil
	for _, l := range changed.changed {
		if l.Service != OwnService {
			c.takeServer(l.server())
		}
	}
	for name := range c.servers {
		if _, ok := c.held.entries[name]; !ok {
			delete(c.servers, name)
			delete(c.fresh, name)
		}
	}
	listing := &board.InstanceList{Revision: c.held.stamp, Sequence: c.held.sequence, ListedAt: c.listAt}
	for _, l := range c.held.entries {
		if l.Service == OwnService {
			listing.List = append(listing.List, l.member())
		}
	}
	c.dirty = true
	c.board.InstanceList.Publish(listing)
}

// takeServer adds or updates a listed server. A server at another address is a
// new one: its old report is dropped. The caller holds the lock.
func (c *Controller) takeServer(s board.Server) {
	old := c.servers[s.Name]
	if old != nil && old.Address == s.Address {
		s.Report = old.Report
	}
	c.servers[s.Name] = &s
}

// applyList takes over a change from a peer and reports whether it led on.
func (c *Controller) applyList(changed change) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.held.apply(changed) {
		return false
	}
	counts.Add("ListFromPeer", 1)
	c.listChanged(changed)
	return true
}

// Listing answers a peer: it takes in a change that is pushed, and gives what
// the peer lacks.
func (c *Controller) Listing(ctx context.Context, req *peer.ListingRequest) (*peer.ListingResponse, error) {
	if req.Change != nil {
		if changed := changeFromMessage(req.Change); c.applyList(changed) && !changed.full {
			c.forward(ctx, changed)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	resp := &peer.ListingResponse{Stamp: c.held.stamp}
	if c.held.stamp > req.Stamp {
		resp.Change = changeToMessage(c.held.since(req.Stamp))
	}
	return resp, nil
}

// forward passes a change on without holding up the peer that pushed it.
func (c *Controller) forward(ctx context.Context, changed change) {
	ctx = context.WithoutCancel(ctx)
	go c.pushList(ctx, changed)
}

// pushList pushes a change to a few members, who pass it on.
func (c *Controller) pushList(ctx context.Context, changed change) {
	members := c.board.Members.Get()
	if c.peers == nil || members == nil {
		return
	}
	names := board.Names(members.List)
	key := fmt.Sprintf("Listing/%s/%d", c.self, changed.to)
	for _, name := range board.Rank(key, names, listFanOut) {
		if name == c.self {
			continue
		}
		c.exchangeList(ctx, members.Find(name).PeerAddress, &changed)
	}
}

// exchangeList pushes a change to a peer, or asks it for what it has.
func (c *Controller) exchangeList(ctx context.Context, address string, changed *change) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	c.mu.Lock()
	req := &peer.ListingRequest{Stamp: c.held.stamp}
	c.mu.Unlock()
	if changed != nil {
		req.Change = changeToMessage(*changed)
	}
	resp, err := c.peers.Listing(ctx, address, req)
	if err != nil {
		counts.Add("ListExchangeFailed", 1)
		return
	}
	if resp.Change != nil {
		c.applyList(changeFromMessage(resp.Change))
	}
}

// runSightings asks a peer for its list when heartbeats show a later one.
func (c *Controller) runSightings(ctx context.Context) {
	sightings, unsubscribe := c.board.PeerStatuses.Subscribe()
	defer unsubscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sightings:
			c.followSightings(ctx)
		}
	}
}

func (c *Controller) followSightings(ctx context.Context) {
	if highest := c.confirmBySightings(); highest.Name != "" {
		c.exchangeList(ctx, highest.PeerAddress, nil)
	}
}

// confirmBySightings takes the time of the latest read from peers that hold the
// same list, and returns the peer with the latest list, if one is later.
func (c *Controller) confirmBySightings() board.PeerStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	highest := board.PeerStatus{InstanceListRevision: c.held.stamp}
	for _, s := range c.board.PeerStatuses.Get().List {
		if s.InstanceListRevision == c.held.stamp {
			c.confirmList(s.ListedAt)
		}
		if s.InstanceListRevision > highest.InstanceListRevision {
			highest = s
		}
	}
	return highest
}
