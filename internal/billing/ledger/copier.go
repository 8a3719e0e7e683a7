package ledger

import (
	"context"
	"sync"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// wantedHolders is how many peers must hold a copy of a bill that cannot be
// committed.
const wantedHolders = 2

// copyBatch is the most records of one request for copies.
const copyBatch = 500

// copier leaves copies of bills with peers in other data centres. One request
// is under way at a time; what arrives meanwhile goes with the next.
type copier struct {
	ledger *Ledger

	mu      sync.Mutex
	running bool
	queue   []*copyJob
	// release lists the committed records that each holder may drop.
	release map[string][]RecordRef
}

type copyJob struct {
	entry *entry
	held  chan []string
}

func newCopier(l *Ledger) *copier {
	return &copier{ledger: l, release: map[string][]RecordRef{}}
}

// leave returns a channel that receives the holders, once there are enough.
func (c *copier) leave(e *entry) <-chan []string {
	held := make(chan []string, 1)
	c.add(&copyJob{e, held})
	return held
}

func (c *copier) leaveAll(entries []*entry) {
	for _, e := range entries {
		c.leave(e)
	}
}

func (c *copier) add(jobs ...*copyJob) {
	for _, j := range jobs {
		ln := c.ledger.laneOf(j.entry)
		ln.mu.Lock()
		j.entry.copying = true
		ln.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, jobs...)
	if !c.running {
		c.running = true
		go c.run()
	}
}

func (c *copier) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.running
}

func (c *copier) run() {
	for {
		c.mu.Lock()
		jobs := c.queue[:min(len(c.queue), copyBatch)]
		c.queue = c.queue[len(jobs):]
		release := c.release
		c.release = map[string][]RecordRef{}
		if len(jobs) == 0 && len(release) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		c.sendReleases(release)
		if len(jobs) > 0 {
			c.place(jobs)
		}
	}
}

// place finds holders for a batch: peers of other data centres first, each of
// another one if it can be.
func (c *copier) place(jobs []*copyJob) {
	l := c.ledger
	records := make([]Record, len(jobs))
	for i, j := range jobs {
		records[i] = j.entry.record
	}
	var holders []string
	for _, m := range l.copyHolders() {
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
		if len(holders) == wantedHolders {
			break
		}
	}
	c.placed(jobs, holders)
}

// placed notes the holders. Jobs without enough of them are tried again after
// a pause, unless the record is committed by then.
func (c *copier) placed(jobs []*copyJob, holders []string) {
	var again []*copyJob
	for _, j := range jobs {
		ln := c.ledger.laneOf(j.entry)
		ln.mu.Lock()
		j.entry.holders = holders
		enough := len(holders) >= wantedHolders
		j.entry.copying = !enough
		done := len(j.entry.done) > 0
		ln.mu.Unlock()
		switch {
		case enough:
			copies.Add("Left", 1)
			j.held <- holders
		case !done:
			again = append(again, j)
		}
	}
	if len(again) > 0 && !c.ledger.stopped.Load() {
		c.ledger.clock.AfterFunc(c.ledger.jitter(minBackoff*4), func() { c.add(again...) })
	}
}

// settled has the holders drop the copies of committed records.
func (c *copier) settled(entries []*entry) {
	if len(entries) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		s := RecordRef{Origin: e.record.Origin, Shard: ShardOf(e.record.Bill.Customer, e.record.Bill.ID), Number: e.record.Number}
		for _, h := range e.holders {
			c.release[h] = append(c.release[h], s)
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

func (l *Ledger) laneOf(e *entry) *lane { return l.lane(e.record.Bill.Customer, e.record.Bill.ID) }

// copyHolders returns the peers that may hold copies, best first: one of each
// other data centre, then the others of those, then those of the own.
func (l *Ledger) copyHolders() []board.Member {
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
	return ranked[:min(len(ranked), 2*wantedHolders+2)]
}

// uncopied returns the closing records that have too few holders.
func (ln *lane) uncopied() []*entry {
	var out []*entry
	ln.each(func(e *entry) {
		if e.record.Kind == KindClose && len(e.holders) < wantedHolders && !e.copying {
			out = append(out, e)
		}
	})
	return out
}
