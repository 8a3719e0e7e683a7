// Package tenure says among which instances a limit that holds for all of them together is
// divided, and whether this instance may use its share.
//
// The instances read the same announcements, but not at the same moment: they know different
// numbers of members. The shares still add up to no more than the limit if each instance that
// uses one is known to all others that do, since a division among more members gives nobody
// more. Three rules ensure this for the requests of any window:
//
//   - An instance whose view of the announcements is older than MaxViewAge uses no share.
//   - An instance uses a share only once its own announcement has been known for MaxViewAge
//     and the window. All others that use one have then seen it throughout the window. As a
//     new process announces itself anew, it also spends nothing within a window of the
//     requests of its predecessor.
//   - An instance that has gone still counts for MaxViewAge and the window: until then it may
//     not know that it has gone.
//
// It is built for cold servers, limits and retries while instances restart in turn or all at
// once, and while the store turns some of them away, so that their announcements end.
package tenure

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Tracker follows the announcements of all instances for one of them. It is safe for
// concurrent use.
type Tracker struct {
	self       string
	maxViewAge time.Duration

	mu sync.Mutex
	// present holds the names of the announced instances.
	present []string
	// goneAt holds when an instance was first missed, by name.
	goneAt map[string]time.Time
	// revision is that of this instance's announcement, 0 if there is none, and since when
	// it was first seen.
	revision int64
	since    time.Time
	// joinedAt is when the first announcement of this instance was first seen.
	joinedAt time.Time
	// latest holds the members as last returned, until an instance ceases to count.
	latest      []string
	latestUntil time.Time
}

// memory is how long an instance that has gone is remembered. It is longer than any window,
// and than a store is usually out of reach.
const memory = time.Hour

// New returns a Tracker of the named instance that knows of no announcement.
func New(self string, maxViewAge time.Duration) *Tracker {
	return &Tracker{self: self, maxViewAge: maxViewAge, goneAt: map[string]time.Time{}}
}

// Observe takes in the announcements: the revision of each by the instance's name.
func (t *Tracker) Observe(announced map[string]int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range t.present {
		if _, ok := announced[name]; !ok {
			t.goneAt[name] = now
		}
	}
	maps.DeleteFunc(t.goneAt, func(name string, goneAt time.Time) bool {
		_, ok := announced[name]
		return ok || now.Sub(goneAt) >= memory
	})
	t.present = slices.Collect(maps.Keys(announced))
	t.latest = nil
	if revision := announced[t.self]; revision != t.revision {
		t.revision, t.since = revision, now
	}
	if t.revision != 0 && t.joinedAt.IsZero() {
		t.joinedAt = now
	}
}

// KnownFor returns for how long all other instances have known this one, at least. It is 0
// if they may not know it. viewAge is the age of the view of the announcements, and viewed
// is false if there is none. This instance may use its share of a limit on the requests of a
// window if it has been known for as long as the window.
func (t *Tracker) KnownFor(viewAge time.Duration, viewed bool, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !viewed || viewAge >= t.maxViewAge || t.revision == 0 {
		return 0
	}
	return max(0, now.Sub(t.since)-t.maxViewAge)
}

// Members returns the names of the instances among which a limit on the requests of a window
// is divided, in no particular order. The caller must not change them, and passes the same
// window each time.
func (t *Tracker) Members(window time.Duration, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest != nil && (t.latestUntil.IsZero() || now.Before(t.latestUntil)) {
		return t.latest
	}
	t.latest, t.latestUntil = slices.Clone(t.present), time.Time{}
	for name, goneAt := range t.goneAt {
		until := goneAt.Add(t.maxViewAge + window)
		if !now.Before(until) {
			continue
		}
		t.latest = append(t.latest, name)
		if t.latestUntil.IsZero() || until.Before(t.latestUntil) {
			t.latestUntil = until
		}
	}
	return t.latest
}

// LastingShare returns this instance's share, from 0 to 1, of a limit that it may go on using
// while it can't read the announcements. To that end the instances that have gone count for
// as long as they are remembered. Only instances that join meanwhile are left out. There is
// no share within a window of the requests of this instance's predecessor.
func (t *Tracker) LastingShare(window time.Duration, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.joinedAt.IsZero() || now.Sub(t.joinedAt) < t.maxViewAge+window {
		return 0
	}
	return 1 / float64(max(1, len(t.present)+len(t.goneAt)))
}
