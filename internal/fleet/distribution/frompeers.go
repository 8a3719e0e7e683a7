package distribution

import (
	"context"
	"fmt"
	"math"
	"slices"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// Configuration answers a peer: it takes in a document that is pushed, and
// gives the document in force to a peer that has a lower revision.
func (c *Controller) Configuration(_ context.Context, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	if len(req.Document) > 0 {
		c.applyEncoded(req.Document, req.DocumentRevision, configuration.Parse, sourcePush)
	}
	value, revision := c.appliedDocument()
	resp := &peer.ConfigurationResponse{Revision: revision}
	if revision > req.HaveRevision {
		resp.Document = value
	}
	return resp, nil
}

// runPeers follows the heartbeats, and joins through peers at the start.
func (c *Controller) runPeers(ctx context.Context) {
	sightings, unsubscribe := c.board.PeerStatuses.Subscribe()
	defer unsubscribe()
	for {
		c.handlePeerStatuses(ctx)
		if !c.isJoined() {
			c.join(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-sightings:
		case <-c.clock.After(tickInterval):
		}
	}
}

// handlePeerStatuses takes confirmations from heartbeats and asks for the
// document where a peer has a higher revision.
func (c *Controller) handlePeerStatuses(ctx context.Context) {
	sightings := c.board.PeerStatuses.Get()
	if sightings == nil {
		return
	}
	highest := board.PeerStatus{Revision: c.revision()}
	for _, s := range sightings.List {
		c.recordPeerAnswer(s)
		if s.Revision > highest.Revision {
			highest = s
		}
	}
	if highest.Name != "" && !c.isRefused(highest.Revision) {
		_ = c.pull(ctx, highest.Name, highest.PeerAddress)
	}
}

// isRefused reports whether a document of this revision was refused before.
func (c *Controller) isRefused(revision int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, outcome := range []Outcome{Forked, NewerFormat, Unreadable} {
		if _, ok := c.refusals[refusal{outcome, revision}]; ok {
			return true
		}
	}
	return false
}

// recordPeerAnswer takes a peer's answer as a confirmation of the document in force.
func (c *Controller) recordPeerAnswer(s board.PeerStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.RequestedAt.IsZero() {
		return
	}
	c.answeredPeers[s.Name] = struct{}{}
	own := c.revision()
	if s.Revision > own {
		return
	}
	if s.RequestedAt.After(c.peerAnsweredAt) {
		c.peerAnsweredAt = s.RequestedAt
	}
	if s.Revision == own && s.ConfirmedAt.After(c.confirmedAt) {
		c.confirmedAt = s.ConfirmedAt
	}
}

// pull asks one peer for a document newer than the one in force here.
func (c *Controller) pull(ctx context.Context, name, address string) error {
	asked := c.clock.Now()
	resp, err := c.peers.Configuration(ctx, address, &peer.ConfigurationRequest{HaveRevision: c.revision()})
	if err != nil {
		counts.Add("PullFailed", 1)
		return err
	}
	if len(resp.Document) > 0 {
		c.applyEncoded(resp.Document, resp.Revision, configuration.Parse, sourcePeer)
	}
	c.recordPeerAnswer(board.PeerStatus{Name: name, Revision: resp.Revision, RequestedAt: asked})
	return nil
}

// join asks peers for the highest revision: the store may be out, or hold an
// older document than the fleet.
func (c *Controller) join(ctx context.Context) {
	for _, m := range c.joinCandidates() {
		_ = c.pull(ctx, m.Name, m.PeerAddress)
	}
}

// joinCandidates returns the next peers to ask, of its own data centre and of
// others by rendezvous, so that joining instances ask different ones.
func (c *Controller) joinCandidates() []board.Member {
	others := c.otherMembers()
	names := board.Names(others)
	var candidates []board.Member
	for _, name := range board.Rank("Join/"+c.self, names, len(names)) {
		c.mu.Lock()
		_, done := c.answeredPeers[name]
		c.mu.Unlock()
		if done {
			continue
		}
		for _, m := range others {
			if m.Name == name {
				candidates = append(candidates, m)
			}
		}
		if len(candidates) == joinPeers {
			break
		}
	}
	return candidates
}

// otherMembers returns the members besides this instance. The caller must not change
// the list.
func (c *Controller) otherMembers() []board.Member { return c.role().others }

// runPush spreads each new document.
func (c *Controller) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
			c.distribute(ctx)
		}
	}
}

// distribute offers the document in force to others until they have it, a few
// times at most: heartbeats do the rest.
func (c *Controller) distribute(ctx context.Context) {
	revision := c.revision()
	missing := c.pushTargets()
	for range pushAttempts {
		missing = c.pushAll(ctx, missing)
		if len(missing) == 0 || !c.sleep(ctx, pushRetryInterval) {
			return
		}
		if c.revision() != revision {
			// The next spread begins at once, with everybody.
			return
		}
	}
	counts.Add("PushGivenUp", int64(len(missing)))
}

// pushTargets returns whom this instance pushes a new document to. A watcher
// pushes to its data centre. Any other pushes to a few members of its data
// centre and of others, so that the document also spreads where the watchers
// have failed and nobody has noticed yet.
func (c *Controller) pushTargets() []board.Member {
	members := c.board.Members.Get()
	if c.isWatcher() {
		near := members.InDataCentre(c.dataCentre)
		return slices.DeleteFunc(near, func(m board.Member) bool { return m.Name == c.self })
	}
	others := c.otherMembers()
	key := fmt.Sprintf("Push/%s/%d", c.self, c.revision())
	chosen := board.Rank(key, board.Names(others), pushFanOut)
	return lo.Filter(others, func(m board.Member, _ int) bool { return slices.Contains(chosen, m.Name) })
}

// pushAll offers the document to members and returns those that lack it.
func (c *Controller) pushAll(ctx context.Context, members []board.Member) []board.Member {
	missed := make([]bool, len(members))
	var group errgroup.Group
	group.SetLimit(pushConcurrency)
	for i, m := range members {
		group.Go(func() error {
			missed[i] = c.push(ctx, m) != nil
			return nil
		})
	}
	_ = group.Wait()
	var missing []board.Member
	for i, m := range members {
		if missed[i] {
			missing = append(missing, m)
		}
	}
	return missing
}

// push offers the revision to one member and sends the document if it has a
// lower one. A member that has a higher one answers with its document.
func (c *Controller) push(ctx context.Context, m board.Member) error {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	value, revision := c.appliedDocument()
	resp, err := c.peers.Configuration(ctx, m.PeerAddress, &peer.ConfigurationRequest{HaveRevision: revision})
	if err == nil && resp.Revision < revision {
		counts.Add("Pushed", 1)
		resp, err = c.peers.Configuration(ctx, m.PeerAddress, &peer.ConfigurationRequest{
			HaveRevision: revision, Document: value, DocumentRevision: revision,
		})
	}
	if err != nil {
		counts.Add("PushFailed", 1)
		return err
	}
	if resp.Revision > revision && len(resp.Document) > 0 {
		c.applyEncoded(resp.Document, resp.Revision, configuration.Parse, sourcePeer)
	}
	return nil
}

// fetchRevision asks a member for the revision in force there, without the
// document.
func fetchRevision(ctx context.Context, peers Peers, address string) (int64, error) {
	resp, err := peers.Configuration(ctx, address, &peer.ConfigurationRequest{HaveRevision: math.MaxInt64})
	if err != nil {
		return 0, err
	}
	return resp.Revision, nil
}
