package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// errFenced says that another keeper wrote the shard first.
var errFenced = errors.New("another keeper wrote the shard")

// shard gathers the records of one shard and commits them in groups. Work on
// the store is done by one goroutine at a time, which holds busy.
type shard struct {
	number  int
	keeper  *Keeper
	clock   clockwork.Clock
	busy    chan struct{}
	loaded  *loaded
	last    time.Time // when the last commit began
	rolled  time.Time // when the last roll-up was tried
	used    time.Time // when the shard was last asked
	waiting chan []*item
	out     outage
	// stale says that the log may have grown beyond what is loaded.
	stale bool
}

// item is one record that waits for its outcome.
type item struct {
	ctx     context.Context
	record  Record
	outcome chan Outcome
}

func newShard(number int, k *Keeper) *shard {
	s := &shard{
		number: number, keeper: k, clock: k.clock,
		busy: make(chan struct{}, 1), waiting: make(chan []*item, 1),
	}
	s.waiting <- nil
	return s
}

// submit queues records and waits for their outcomes. Whatever has no outcome
// when ctx ends is Unavailable; it may have been committed all the same.
func (s *shard) submit(ctx context.Context, records []Record) []Outcome {
	outcomes := make([]Outcome, len(records))
	for i := range outcomes {
		outcomes[i].State = Unavailable
	}
	if !s.out.tryNow(s.clock.Now()) {
		return outcomes
	}
	items := make([]*item, len(records))
	for i, r := range records {
		items[i] = &item{ctx: ctx, record: r, outcome: make(chan Outcome, 1)}
	}
	s.enqueue(items)
	for i, it := range items {
		select {
		case outcomes[i] = <-it.outcome:
		case <-ctx.Done():
			return outcomes
		}
	}
	return outcomes
}

// enqueue adds items and starts the committer if none runs.
func (s *shard) enqueue(items []*item) {
	queue := <-s.waiting
	s.waiting <- append(queue, items...)
	if len(queue) == 0 {
		go s.commitWaiting()
	}
}

// commitWaiting commits one group, once the interval since the last commit is
// over and no other work on the shard is under way.
func (s *shard) commitWaiting() {
	s.busy <- struct{}{}
	defer func() { <-s.busy }()
	if wait := s.last.Add(s.keeper.interval).Sub(s.clock.Now()); wait > 0 {
		s.clock.Sleep(wait)
	}
	now := s.clock.Now()
	s.last, s.used = now, now
	items := <-s.waiting
	s.waiting <- nil
	rest := s.commit(items)
	if len(rest) > 0 {
		s.enqueue(rest)
	}
}

// commitTries is how often one group is tried before its senders must ask
// again.
const commitTries = 4

// commit decides and writes a group; it returns the items that must wait for
// the next one. After any failure the log is read again: what of the group
// turns out to be in the log by then is settled, and the rest is decided anew.
func (s *shard) commit(items []*item) (rest []*item) {
	ctx, cancel := s.keeper.bounded()
	defer cancel()
	var err error
	proven := false
	for try := range commitTries {
		if try > 0 && err != nil {
			commits.Add("Retried", 1)
			s.clock.Sleep(s.keeper.backoff(try))
		}
		if err = s.ensureLoaded(ctx); err != nil {
			continue
		}
		b := s.group(items)
		if b.unproven && !proven {
			s.stale, proven = true, true
			continue
		}
		if err = s.write(ctx, b); err == nil {
			b.answer()
			s.out.ended()
			return b.deferred
		}
		if ctx.Err() != nil {
			break
		}
	}
	if !errors.Is(err, errFenced) {
		s.out.began(s.clock.Now())
	}
	commits.Add("Failed", 1)
	for _, it := range items {
		it.outcome <- s.remembered(it)
	}
	return nil
}

// remembered answers an item without the store. That an ID is claimed is worth
// saying even if the claim may have been given up since.
func (s *shard) remembered(it *item) Outcome {
	if s.loaded != nil && it.record.Kind == KindClaim {
		r := it.record
		if o, _ := s.loaded.state.decide(&r, s.clock.Now()); o.State == Duplicate || o.State == Mismatch {
			return o
		}
	}
	return Outcome{State: Unavailable}
}

// ensureLoaded brings the loaded log up to the store's, reading all of it only
// if there was a roll-up since.
func (s *shard) ensureLoaded(ctx context.Context) error {
	if s.loaded != nil && !s.stale {
		return nil
	}
	if s.loaded != nil {
		if err := s.loaded.refresh(ctx, s.keeper.store, s.number); err == nil {
			commits.Add("Refreshed", 1)
			s.stale = false
			return nil
		}
	}
	s.loaded = nil
	l, err := load(ctx, s.keeper.store, s.number, s.keeper.windows)
	if err != nil {
		return err
	}
	commits.Add("Loaded", 1)
	s.loaded, s.stale = l, false
	return nil
}

// batch is a group of items with their outcomes and the records to write.
type batch struct {
	items    []*item
	outcomes []Outcome
	records  []Record
	deferred []*item
	// unproven says that a claim is refused on what is in memory alone, which
	// a later chunk of another keeper may have changed.
	unproven bool
}

// chunkRecords bounds the records of one chunk.
const chunkRecords = 2000

// group decides a group against the log. A record whose ID has another one in
// the group waits, so that each is decided on committed state alone.
func (s *shard) group(items []*item) *batch {
	now := s.clock.Now()
	b := new(batch)
	taken := map[string]bool{}
	for _, it := range items {
		key := it.record.key()
		switch {
		case it.ctx.Err() != nil && it.record.Kind == KindClaim:
			b.settle(it, Outcome{State: Unavailable})
			continue
		case taken[key] || len(b.records) >= chunkRecords:
			b.deferred = append(b.deferred, it)
			continue
		}
		r := it.record
		outcome, write := s.loaded.state.decide(&r, now)
		if write {
			taken[key] = r.Kind != KindOpen
			b.records = append(b.records, r)
		}
		b.settle(it, outcome)
		b.unproven = b.unproven || r.Kind == KindClaim && outcome.State != Committed
	}
	b.unproven = b.unproven && len(b.records) == 0
	return b
}

func (b *batch) settle(it *item, o Outcome) {
	b.items = append(b.items, it)
	b.outcomes = append(b.outcomes, o)
}

func (b *batch) answer() {
	for i, it := range b.items {
		it.outcome <- b.outcomes[i]
		outcomes.Add(string(b.outcomes[i].State), 1)
	}
}

// write commits the records of a batch as the next chunk. The chunk's place
// must be free and the head must be the one this log was read from.
func (s *shard) write(ctx context.Context, b *batch) error {
	if len(b.records) == 0 {
		return nil
	}
	c := Chunk{
		Format: chunkFormat, Shard: s.number, Sequence: s.loaded.state.next,
		Writer: s.keeper.self, At: s.clock.Now(), Records: b.records,
	}
	value, err := pack(c)
	if err != nil {
		return err
	}
	key := chunkKey(s.number, c.Sequence)
	_, committed, err := s.keeper.store.Commit(ctx, Txn{
		If:        []Condition{{Key: key}, {Key: headKey(s.number), Revision: s.loaded.revision}},
		Put:       []Pair{{Key: key, Value: value}},
		HasClaims: slices.ContainsFunc(b.records, func(r Record) bool { return r.Kind == KindClaim }),
	})
	if err == nil && !committed {
		commits.Add("Fenced", 1)
		err = errFenced
	}
	if err != nil {
		s.stale = true
		return err
	}
	commits.Add("Committed", 1)
	s.loaded.apply(&c, len(value))
	return nil
}

// drain waits until nothing is queued and no work is under way.
func (s *shard) drain(ctx context.Context) error {
	for {
		queue := <-s.waiting
		s.waiting <- queue
		if len(queue) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(drainPoll):
		}
	}
	select {
	case s.busy <- struct{}{}:
		<-s.busy
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const drainPoll = 10 * time.Millisecond
