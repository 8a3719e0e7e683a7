package main

import (
	"fmt"
	"time"
)

// copyAge is how old the copy is at the moment at which the store goes away.
const copyAge = 5 * time.Second

// copyAt returns a copy of the store as it is at a time.
func (t *test) copyAt(at time.Duration) state {
	t.until(at)
	c := t.store.copy()
	t.note("copy of the store at revision %d", c.revision)
	return c
}

// revoke takes two keys away one after the other. Between these, the store comes back from a
// copy that lacks the first change, which the operator writes again.
func revoke(t *test) ([]string, error) {
	if err := t.begin([]string{"key-a", "key-b", "key-c"}); err != nil {
		return nil, err
	}
	const gone = 10 * time.Second
	copied := t.copyAt(gone - copyAge)
	t.until(gone - 500*time.Millisecond)
	t.writeConfig("key-b", "key-c")
	t.storeReturns(gone, copied)
	t.until(gone + awayFor + time.Second)
	acknowledged := t.writeConfig("key-c")
	t.until(acknowledged + revokeBound + 10*time.Second)
	var broken []string
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.order {
		if r.key == "key-b" && r.sentAt > acknowledged+revokeBound && len(r.runs) > 0 {
			broken = append(broken, fmt.Sprintf("%s, sent %.1f s after key-b was taken away, ran at %s", r.id, (r.sentAt-acknowledged).Seconds(), r.runs[0].worker.id))
		}
	}
	return broken, nil
}

// evacuate empties a zone soon after the store has come back from a copy.
func evacuate(t *test) ([]string, error) {
	keys := []string{"key-a"}
	if err := t.begin(keys); err != nil {
		return nil, err
	}
	const gone = 10 * time.Second
	copied := t.copyAt(gone - copyAge)
	t.storeReturns(gone, copied)
	t.until(gone + awayFor + time.Second)
	t.store.write("op/evacuate/"+zones[0], map[string]any{})
	acknowledged := t.since()
	t.note("evacuation of %s acknowledged, store revision %d", zones[0], t.store.revision())
	bound := acknowledged + evacuateBound + outerBound
	t.until(bound + 10*time.Second)
	var broken []string
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.order {
		for _, run := range r.runs {
			if run.worker.zone == zones[0] && run.at > bound {
				broken = append(broken, fmt.Sprintf("%s reached %s of %s %.1f s after its evacuation", r.id, run.worker.id, zones[0], (run.at-acknowledged).Seconds()))
			}
		}
	}
	return broken, nil
}

// leave makes a worker end its entry once the store, which came back from a copy, is stable. The
// worker goes on serving, as those do that never report that they drain.
func leave(t *test) ([]string, error) {
	if err := t.begin([]string{"key-a"}); err != nil {
		return nil, err
	}
	const gone = 10 * time.Second
	copied := t.copyAt(gone - leaveCopyAge)
	t.storeReturns(gone, copied)
	t.until(gone + awayFor + contactBound + 300*time.Millisecond)
	// The gateways that read the store themselves are in the zone of this worker.
	w := t.workers[1]
	w.leave()
	acknowledged := t.since()
	t.note("entry of %s ended, store revision %d", w.id, t.store.revision())
	t.until(acknowledged + drainBound + servesFor)
	var broken []string
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.order {
		for _, run := range r.runs {
			if run.worker == w && run.at > acknowledged+drainBound {
				broken = append(broken, fmt.Sprintf("%s reached %s %.1f s after its entry had ended", r.id, w.id, (run.at-acknowledged).Seconds()))
			}
		}
	}
	return broken, nil
}

const (
	// leaveCopyAge is the age of the copy in the case leave.
	leaveCopyAge = 6 * time.Second
	// servesFor is how much longer than DrainMs a worker serves once its entry has ended.
	servesFor = 8 * time.Second
)
