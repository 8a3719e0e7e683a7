package distribution

import (
	"context"
	"errors"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// reaches reports whether messages pass between two instances.
func (n *instance) reaches(to *instance) bool {
	if !n.isUp() || !to.isUp() {
		return false
	}
	if n != to && (n.isolated || to.isolated) {
		return false
	}
	return n.dataCentre == to.dataCentre || !n.fleet.partitioned[n.dataCentre] && !n.fleet.partitioned[to.dataCentre]
}

func (n *instance) reachesStore() bool {
	return !n.isolated && !n.fleet.storeDown && !n.fleet.storeUnreachable[n.dataCentre]
}

var errMessageLost = errors.New("lost")

// Configuration carries a peer call to the instance at the address.
func (n *instance) Configuration(ctx context.Context, address string, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	for _, to := range n.fleet.instances {
		if to.name == address && n.reaches(to) && !n.fleet.loses(n.name+">"+to.name, n.fleet.messageLoss) {
			resp, err := to.controller.Configuration(ctx, req)
			if n.fleet.loses(to.name+">"+n.name, n.fleet.messageLoss) {
				return nil, errMessageLost
			}
			return resp, err
		}
	}
	return nil, errMessageLost
}

func (n *instance) unavailable(wrote bool) error {
	return &store.UnavailableError{Purpose: store.Configuration, MayHaveTakenEffect: wrote, Err: errMessageLost}
}

// Get reads the simulated store.
func (n *instance) Get(context.Context, store.Purpose, string) ([]byte, int64, bool, error) {
	if !n.reachesStore() || n.fleet.loses(n.name+">store", n.fleet.messageLoss) {
		return nil, 0, false, n.unavailable(false)
	}
	n.fleet.reads++
	seen := n.fleet.visibleVersion()
	return seen.value, seen.mod, seen.mod > 0, nil
}

// visibleVersion is what a slow store's answers show now.
func (w *fleet) visibleVersion() storedVersion {
	if w.storeDelay == 0 {
		return w.current
	}
	limit := w.clock.Now().Add(-w.storeDelay)
	for i := len(w.history) - 1; i > 0; i-- {
		if !w.history[i].at.After(limit) {
			return w.history[i]
		}
	}
	return w.history[0]
}

// Revision reads the revision of the simulated store's key.
func (n *instance) Revision(ctx context.Context, p store.Purpose, key string) (int64, error) {
	_, mod, _, err := n.Get(ctx, p, key)
	return mod, err
}

// Watch is not used: the world delivers events itself.
func (n *instance) Watch(context.Context, store.Purpose, string, int64) (<-chan store.Event, error) {
	return nil, n.unavailable(false)
}

// Create writes the key if it is absent.
func (n *instance) Create(ctx context.Context, p store.Purpose, key string, value []byte) (bool, int64, error) {
	return n.CompareAndSwap(ctx, p, key, 0, value)
}

// CompareAndSwap writes the key. Its answer can be lost before or after the
// effect, and the effect can come late.
func (n *instance) CompareAndSwap(_ context.Context, _ store.Purpose, _ string, expected int64, value []byte) (bool, int64, error) {
	w := n.fleet
	if !n.reachesStore() {
		return false, 0, n.unavailable(true)
	}
	switch {
	case w.loses(n.name+">write", w.writeLoss):
		return false, 0, n.unavailable(true)
	case w.loses(n.name+">late", w.writeLoss):
		w.delayed = append(w.delayed, func() { w.write(expected, value) })
		return false, 0, n.unavailable(true)
	}
	swapped, rev := w.write(expected, value)
	if w.loses(n.name+"<write", w.writeLoss) {
		return false, 0, n.unavailable(true)
	}
	return swapped, rev, nil
}
