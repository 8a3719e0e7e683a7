package distribution

import (
	"context"
	"errors"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// reaches reports whether the network carries messages between in and to.
func (in *instance) reaches(to *instance) bool {
	if !in.isUp() || !to.isUp() {
		return false
	}
	if in != to && (in.isolated || to.isolated) {
		return false
	}
	return in.dataCentre == to.dataCentre || !in.fleet.partitioned[in.dataCentre] && !in.fleet.partitioned[to.dataCentre]
}

func (in *instance) reachesStore() bool {
	return !in.isolated && !in.fleet.storeDown && !in.fleet.storeUnreachable[in.dataCentre]
}

var errMessageLost = errors.New("simulated network: message lost")

// Configuration sends a request to the instance at address. The request or the
// answer may be lost.
func (in *instance) Configuration(ctx context.Context, address string, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	for _, to := range in.fleet.instances {
		if to.name == address && in.reaches(to) && !in.fleet.loses(in.name+">"+to.name, in.fleet.messageLoss) {
			resp, err := to.controller.Configuration(ctx, req)
			if in.fleet.loses(to.name+">"+in.name, in.fleet.messageLoss) {
				return nil, errMessageLost
			}
			return resp, err
		}
	}
	return nil, errMessageLost
}

func (in *instance) unavailable(wrote bool) error {
	return &store.UnavailableError{Purpose: store.Configuration, MayHaveTakenEffect: wrote, Err: errMessageLost}
}

// Get reads the simulated store.
func (in *instance) Get(context.Context, store.Purpose, string) ([]byte, int64, bool, error) {
	if !in.reachesStore() || in.fleet.loses(in.name+">store", in.fleet.messageLoss) {
		return nil, 0, false, in.unavailable(false)
	}
	in.fleet.reads++
	stored := in.fleet.visibleVersion()
	return stored.value, stored.mod, stored.mod > 0, nil
}

// visibleVersion returns the version that a read returns now: the one that was
// current storeDelay ago.
func (f *fleet) visibleVersion() storedVersion {
	if f.storeDelay == 0 {
		return f.current
	}
	limit := f.clock.Now().Add(-f.storeDelay)
	for i := len(f.history) - 1; i > 0; i-- {
		if !f.history[i].at.After(limit) {
			return f.history[i]
		}
	}
	return f.history[0]
}

// Revision returns the modification revision of the key in the simulated store.
func (in *instance) Revision(ctx context.Context, p store.Purpose, key string) (int64, error) {
	_, mod, _, err := in.Get(ctx, p, key)
	return mod, err
}

// Watch always fails: step delivers the watch events itself.
func (in *instance) Watch(context.Context, store.Purpose, string, int64) (<-chan store.Event, error) {
	return nil, in.unavailable(false)
}

// Create writes the key if it does not exist.
func (in *instance) Create(ctx context.Context, p store.Purpose, key string, value []byte) (bool, int64, error) {
	return in.CompareAndSwap(ctx, p, key, 0, value)
}

// CompareAndSwap writes the key if its modification revision is expected. The
// request or the answer may be lost, or the write may take effect later.
func (in *instance) CompareAndSwap(_ context.Context, _ store.Purpose, _ string, expected int64, value []byte) (bool, int64, error) {
	f := in.fleet
	if !in.reachesStore() {
		return false, 0, in.unavailable(true)
	}
	switch {
	case f.loses(in.name+">write", f.writeLoss):
		return false, 0, in.unavailable(true)
	case f.loses(in.name+">late", f.writeLoss):
		f.delayed = append(f.delayed, func() { f.write(expected, value) })
		return false, 0, in.unavailable(true)
	}
	swapped, rev := f.write(expected, value)
	if f.loses(in.name+"<write", f.writeLoss) {
		return false, 0, in.unavailable(true)
	}
	return swapped, rev, nil
}
