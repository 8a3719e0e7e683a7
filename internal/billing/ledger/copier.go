package ledger

import (
	"context"
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// requiredCopies is how many peers must hold a copy of a bill that cannot be
// committed.
const requiredCopies = 2

// maxCopyBatch is the most records of one request for copies.
const maxCopyBatch = 500

// copier leaves copies of bills with peers in other data centres. One request
// is under way at a time; what arrives meanwhile goes with the next.
type copier struct {
	ledger *Ledger

	mu      sync.Mutex
	running bool
	queue   []*copyJob
	// releases lists the committed records that each holder may drop.
	releases map[string][]RecordRef
}

type copyJob struct {
	entry   *entry
	holders chan []string
}

func newCopier(l *Ledger) *copier {
	return &copier{ledger: l, releases: map[string][]RecordRef{}}
}

// copyEntry returns a channel that receives the holders, once there are enough.
func (c *copier) copyEntry(e *entry) <-chan []string {
	held := make(chan []string, 1)
	c.enqueue(&copyJob{e, held})
	return held
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
		release := c.releases
		c.releases = map[string][]RecordRef{}
		if len(jobs) == 0 && len(release) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.sendReleases(release)
		if len(jobs) > 0 {
			c.sendCopies(jobs)
		}
	}
}

// sendCopies finds holders for a batch: peers of other data centres first, each of
// another one if it can be.
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

// recordHolders notes the holders. Jobs without enough of them are tried again after
// a pause, unless the record is committed by then.
func (c *copier) recordHolders(jobs []*copyJob, holders []string) {
	var again []*copyJob
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
			j.holders <- holders
		case !done:
			again = append(again, j)
		}
	}
	if len(again) > 0 && !c.ledger.stopped.Load() {
		c.ledger.clock.AfterFunc(c.ledger.jitter(minBackoff*4), func() { c.enqueue(again...) })
	}
}

// releaseCopies has the holders drop the copies of committed records.
func (c *copier) releaseCopies(entries []*entry) {
	if len(entries) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		s := RecordRef{Origin: e.record.Origin, Shard: ShardOf(e.record.Bill.Customer, e.record.Bill.ID), Number: e.record.Number}
		for _, h := range e.holders {
			c.releases[h] = append(c.releases[h], s)
		}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
}

// sendReleases tells holders once; a holder that misses it sends its copies to
// the ledger itself, which knows them.
func (c *copier) sendReleases(release map[string][]RecordRef) {
	if len(release) == 0 {
		return
	}
	l := c.ledger
	members := l.members.Get()
	if members == nil {
		return
	}
	for _, m := range members.List {
		settled := release[m.Name]
		if len(settled) == 0 {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		timer := l.clock.AfterFunc(l.limits.SendTimeout/2, cancel)
		_, _ = l.peers.SendCopies(ctx, m, CopyRequest{From: l.self, Committed: settled})
		timer.Stop()
		cancel()
	}
}

func (l *Ledger) senderOf(e *entry) *sender {
	return l.sender(e.record.Bill.Customer, e.record.Bill.ID)
}

// copyTargets returns the peers that may hold copies, best first: one of each
// other data centre, then the others of those, then those of the own.
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
	var first, second, last []board.Member
	seen := map[string]bool{}
	for _, m := range peers {
		switch {
		case m.DataCentre == own:
			last = append(last, m)
		case seen[m.DataCentre]:
			second = append(second, m)
		default:
			seen[m.DataCentre] = true
			first = append(first, m)
		}
	}
	ranked := append(append(first, second...), last...)
	return ranked[:min(len(ranked), 2*requiredCopies+2)]
}

// uncopied returns the closing records that have too few holders.
func (s *sender) uncopied() []*entry {
	var out []*entry
	s.forEachPending(func(e *entry) {
		if e.record.Kind == KindClose && len(e.holders) < requiredCopies && !e.copying {
			out = append(out, e)
		}
	})
	return out
}
