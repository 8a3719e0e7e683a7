package ledger

import (
	"context"
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// requiredCopies is the number of peers that must hold a copy of a bill that
// cannot be committed.
const requiredCopies = 2

// maxCopyBatch is the maximum number of records in one copy request.
const maxCopyBatch = 500

// copier copies bills to peers, preferably in other data centres. Only one
// batch is sent at a time; bills that arrive meanwhile are sent in the next
// one.
type copier struct {
	ledger *Ledger

	mu      sync.Mutex
	running bool
	queue   []*copyJob
	// releases lists, by holder, the committed records whose copies may be
	// dropped.
	releases map[string][]RecordRef
}

// copyJob is a request to copy one record. The names of the holders are sent to
// the channel once there are enough of them.
type copyJob struct {
	entry  *entry
	heldBy chan []string
}

func newCopier(l *Ledger) *copier {
	return &copier{ledger: l, releases: map[string][]RecordRef{}}
}

// copyEntry requests copies of a record. The returned channel receives the
// names of the holders once there are enough of them.
func (c *copier) copyEntry(e *entry) <-chan []string {
	heldBy := make(chan []string, 1)
	c.enqueue(&copyJob{e, heldBy})
	return heldBy
}

func (c *copier) copyAll(entries []*entry) {
	for _, e := range entries {
		c.copyEntry(e)
	}
}

func (c *copier) enqueue(jobs ...*copyJob) {
	for _, j := range jobs {
		s := c.ledger.senderOf(j.entry)
		s.mu.Lock()
		j.entry.copying = true
		s.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, jobs...)
	if !c.running {
		c.running = true
		go c.run()
	}
}

func (c *copier) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running
}

func (c *copier) run() {
	for {
		c.mu.Lock()
		jobs := c.queue[:min(len(c.queue), maxCopyBatch)]
		c.queue = c.queue[len(jobs):]
		pendingReleases := c.releases
		c.releases = map[string][]RecordRef{}
		if len(jobs) == 0 && len(pendingReleases) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.sendReleases(pendingReleases)
		if len(jobs) > 0 {
			c.sendCopies(jobs)
		}
	}
}

// sendCopies sends a batch to peers until enough of them hold it. Peers in
// other data centres come first, each in a different one if possible.
func (c *copier) sendCopies(jobs []*copyJob) {
	l := c.ledger
	records := make([]Record, len(jobs))
	for i, j := range jobs {
		records[i] = j.entry.record
	}
	var holders []string
	for _, m := range l.copyTargets() {
		ctx, cancel := context.WithCancel(context.Background())
		timer := l.clock.AfterFunc(l.limits.SendTimeout/2, cancel)
		held, err := l.peers.SendCopies(ctx, m, CopyRequest{From: l.self, Records: records})
		timer.Stop()
		cancel()
		if err != nil || held < len(records) {
			copies.Add("Refused", 1)
			continue
		}
		holders = append(holders, m.Name)
		if len(holders) == requiredCopies {
			break
		}
	}
	c.recordHolders(jobs, holders)
}

// recordHolders stores the holders of a batch. Jobs with too few holders are
// retried after a pause unless their record has been committed by then.
func (c *copier) recordHolders(jobs []*copyJob, holders []string) {
	var retry []*copyJob
	for _, j := range jobs {
		s := c.ledger.senderOf(j.entry)
		s.mu.Lock()
		j.entry.holders = holders
		enough := len(holders) >= requiredCopies
		j.entry.copying = !enough
		done := len(j.entry.done) > 0
		s.mu.Unlock()
		switch {
		case enough:
			copies.Add("Left", 1)
			j.heldBy <- holders
		case !done:
			retry = append(retry, j)
		}
	}
	if len(retry) > 0 && !c.ledger.stopped.Load() {
		c.ledger.clock.AfterFunc(c.ledger.jitter(minBackoff*4), func() { c.enqueue(retry...) })
	}
}

// releaseCopies tells the holders of committed records to drop their copies.
func (c *copier) releaseCopies(entries []*entry) {
	if len(entries) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		ref := RecordRef{Origin: e.record.Origin, Shard: ShardOf(e.record.Bill.Customer, e.record.Bill.ID), Number: e.record.Number}
		for _, h := range e.holders {
			c.releases[h] = append(c.releases[h], ref)
		}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
}

// sendReleases notifies each holder once. A holder that misses the notification
// later sends its copies to the ledger, which recognises them as repeats.
func (c *copier) sendReleases(pendingReleases map[string][]RecordRef) {
	if len(pendingReleases) == 0 {
		return
	}
	l := c.ledger
	members := l.members.Get()
	if members == nil {
		return
	}
	for _, m := range members.List {
		committed := pendingReleases[m.Name]
		if len(committed) == 0 {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		timer := l.clock.AfterFunc(l.limits.SendTimeout/2, cancel)
		_, _ = l.peers.SendCopies(ctx, m, CopyRequest{From: l.self, Committed: committed})
		timer.Stop()
		cancel()
	}
}

func (l *Ledger) senderOf(e *entry) *sender {
	return l.senderFor(e.record.Bill.Customer, e.record.Bill.ID)
}

// copyTargets returns the peers to ask for copies, in order of preference: one
// from each other data centre, then further ones from those, then those of the
// instance's own data centre.
func (l *Ledger) copyTargets() []board.Member {
	members := l.members.Get()
	if members == nil {
		return nil
	}
	own := ""
	var peers []board.Member
	for _, m := range members.List {
		switch {
		case m.Name == l.self.Instance:
			own = m.DataCentre
		case m.State == board.MemberAlive:
			peers = append(peers, m)
		}
	}
	l.rngLock.Lock()
	l.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	l.rngLock.Unlock()
	var preferred, others, local []board.Member
	seen := map[string]bool{}
	for _, m := range peers {
		switch {
		case m.DataCentre == own:
			local = append(local, m)
		case seen[m.DataCentre]:
			others = append(others, m)
		default:
			seen[m.DataCentre] = true
			preferred = append(preferred, m)
		}
	}
	ranked := append(append(preferred, others...), local...)
	return ranked[:min(len(ranked), 2*requiredCopies+2)]
}

// uncopied returns the pending closing records that have too few holders and no
// copy request in progress.
func (s *sender) uncopied() []*entry {
	var out []*entry
	s.forEachPending(func(e *entry) {
		if e.record.Kind == KindClose && len(e.holders) < requiredCopies && !e.copying {
			out = append(out, e)
		}
	})
	return out
}
