package distribution

import (
	"context"
	"errors"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// reaches reports whether messages pass between two instances.
func (n *node) reaches(to *node) bool {
	if !n.isUp() || !to.isUp() {
		return false
	}
	if n != to && (n.isolated || to.isolated) {
		return false
	}
	return n.dataCentre == to.dataCentre || !n.world.cut[n.dataCentre] && !n.world.cut[to.dataCentre]
}

func (n *node) reachesStore() bool {
	return !n.isolated && !n.world.storeDown && !n.world.storeCut[n.dataCentre]
}

var errLost = errors.New("lost")

// Configuration carries a peer call to the instance at the address.
func (n *node) Configuration(ctx context.Context, address string, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	for _, to := range n.world.instances {
		if to.name == address && n.reaches(to) && !n.world.isLost(n.name+">"+to.name, n.world.loss) {
			resp, err := to.controller.Configuration(ctx, req)
			if n.world.isLost(to.name+">"+n.name, n.world.loss) {
				return nil, errLost
			}
			return resp, err
		}
	}
	return nil, errLost
}

func (n *node) fail(wrote bool) error {
	return &store.UnavailableError{Purpose: store.Configuration, MayHaveTakenEffect: wrote, Err: errLost}
}

// Get reads the simulated store.
func (n *node) Get(context.Context, store.Purpose, string) ([]byte, int64, bool, error) {
	if !n.reachesStore() || n.world.isLost(n.name+">store", n.world.loss) {
		return nil, 0, false, n.fail(false)
	}
	n.world.reads++
	seen := n.world.visible()
	return seen.value, seen.mod, seen.mod > 0, nil
}

// visible is what a slow store's answers show now.
func (w *world) visible() version {
	if w.slow == 0 {
		return w.current
	}
	limit := w.clock.Now().Add(-w.slow)
	for i := len(w.history) - 1; i > 0; i-- {
		if !w.history[i].at.After(limit) {
			return w.history[i]
		}
	}
	return w.history[0]
}

// Revision reads the revision of the simulated store's key.
func (n *node) Revision(ctx context.Context, p store.Purpose, key string) (int64, error) {
	_, mod, _, err := n.Get(ctx, p, key)
	return mod, err
}

// Watch is not used: the world delivers events itself.
func (n *node) Watch(context.Context, store.Purpose, string, int64) (<-chan store.Event, error) {
	return nil, n.fail(false)
}

// Create writes the key if it is absent.
func (n *node) Create(ctx context.Context, p store.Purpose, key string, value []byte) (bool, int64, error) {
	return n.CompareAndSwap(ctx, p, key, 0, value)
}

// CompareAndSwap writes the key. Its answer can be lost before or after the
// effect, and the effect can come late.
func (n *node) CompareAndSwap(_ context.Context, _ store.Purpose, _ string, expected int64, value []byte) (bool, int64, error) {
	w := n.world
	if !n.reachesStore() {
		return false, 0, n.fail(true)
	}
	switch {
	case w.isLost(n.name+">write", w.lose):
		return false, 0, n.fail(true)
	case w.isLost(n.name+">late", w.lose):
		w.delayed = append(w.delayed, func() { w.write(expected, value) })
		return false, 0, n.fail(true)
	}
	swapped, rev := w.write(expected, value)
	if w.isLost(n.name+"<write", w.lose) {
		return false, 0, n.fail(true)
	}
	return swapped, rev, nil
}
