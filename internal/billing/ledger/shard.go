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
	number     int
	keeper     *Keeper
	clock      clockwork.Clock
	busy       chan struct{}
	log        *shardLog
	lastCommit time.Time // when the last commit began
	lastRollup time.Time // when the last roll-up was tried
	lastUsed   time.Time // when the shard was last asked
	queue      chan []*submission
	breaker    circuitBreaker
	// stale says that the log may have grown beyond what is loaded.
	stale bool
}

// submission is one record that waits for its outcome.
type submission struct {
	ctx     context.Context
	record  Record
	outcome chan Outcome
}

func newShard(number int, k *Keeper) *shard {
	s := &shard{
		number: number, keeper: k, clock: k.clock,
		busy: make(chan struct{}, 1), queue: make(chan []*submission, 1),
	}
	s.queue <- nil
	return s
}

// submit queues records and waits for their outcomes. Whatever has no outcome
// when ctx ends is Unavailable; sub may have been committed all the same.
func (s *shard) submit(ctx context.Context, records []Record) []Outcome {
	outcomes := make([]Outcome, len(records))
	for i := range outcomes {
		outcomes[i].State = Unavailable
	}
	if !s.breaker.allow(s.clock.Now()) {
		return outcomes
	}
	subs := make([]*submission, len(records))
	for i, r := range records {
		subs[i] = &submission{ctx: ctx, record: r, outcome: make(chan Outcome, 1)}
	}
	s.enqueue(subs)
	for i, sub := range subs {
		select {
		case outcomes[i] = <-sub.outcome:
		case <-ctx.Done():
			return outcomes
		}
	}
	return outcomes
}

// enqueue adds subs and starts the committer if none runs.
func (s *shard) enqueue(subs []*submission) {
	queue := <-s.queue
	s.queue <- append(queue, subs...)
	if len(queue) == 0 {
		go s.commitQueued()
	}
}

// commitQueued commits one group, once the interval since the last commit is
// over and no other work on the shard is under way.
func (s *shard) commitQueued() {
	s.busy <- struct{}{}
	defer func() { <-s.busy }()
	if wait := s.lastCommit.Add(s.keeper.interval).Sub(s.clock.Now()); wait > 0 {
		s.clock.Sleep(wait)
	}
	now := s.clock.Now()
	s.lastCommit, s.lastUsed = now, now
	subs := <-s.queue
	s.queue <- nil
	rest := s.commit(subs)
	if len(rest) > 0 {
		s.enqueue(rest)
	}
}

// maxCommitAttempts is how often one group is tried before its senders must ask
// again.
const maxCommitAttempts = 4

// commit decides and writes a group; sub returns the subs that must wait for
// the next one. After any failure the log is read again: what of the group
// turns out to be in the log by then is settled, and the rest is decided anew.
func (s *shard) commit(subs []*submission) (rest []*submission) {
	ctx, cancel := s.keeper.storeContext()
	defer cancel()
	var err error
	proven := false
	for attempt := range maxCommitAttempts {
		if attempt > 0 && err != nil {
			commits.Add("Retried", 1)
			s.clock.Sleep(s.keeper.backoff(attempt))
		}
		if err = s.ensureLoaded(ctx); err != nil {
			continue
		}
		b := s.buildBatch(subs)
		if b.needsRefresh && !proven {
			s.stale, proven = true, true
			continue
		}
		if err = s.write(ctx, b); err == nil {
			b.deliver()
			s.breaker.recordSuccess()
			return b.deferred
		}
		if ctx.Err() != nil {
			break
		}
	}
	if !errors.Is(err, errFenced) {
		s.breaker.recordFailure(s.clock.Now())
	}
	commits.Add("Failed", 1)
	for _, sub := range subs {
		sub.outcome <- s.outcomeWithoutStore(sub)
	}
	return nil
}

// outcomeWithoutStore answers an submission without the store. That an ID is claimed is worth
// saying even if the claim may have been given up since.
func (s *shard) outcomeWithoutStore(sub *submission) Outcome {
	if s.log != nil && sub.record.Kind == KindClaim {
		r := sub.record
		if o, _ := s.log.state.decide(&r, s.clock.Now()); o.State == Duplicate || o.State == Mismatch {
			return o
		}
	}
	return Outcome{State: Unavailable}
}

// ensureLoaded brings the loaded log up to the store's, reading all of sub only
// if there was a roll-up since.
func (s *shard) ensureLoaded(ctx context.Context) error {
	if s.log != nil && !s.stale {
		return nil
	}
	if s.log != nil {
		if err := s.log.refresh(ctx, s.keeper.store, s.number); err == nil {
			commits.Add("Refreshed", 1)
			s.stale = false
			return nil
		}
	}
	s.log = nil
	l, err := loadLog(ctx, s.keeper.store, s.number, s.keeper.retention)
	if err != nil {
		return err
	}
	commits.Add("Loaded", 1)
	s.log, s.stale = l, false
	return nil
}

// batch is a group of subs with their outcomes and the records to write.
type batch struct {
	subs     []*submission
	outcomes []Outcome
	records  []Record
	deferred []*submission
	// needsRefresh says that a claim is refused on what is in memory alone, which
	// a later chunk of another keeper may have changed.
	needsRefresh bool
}

// maxChunkRecords bounds the records of one chunk.
const maxChunkRecords = 2000

// buildBatch decides a buildBatch against the log. A record whose ID has another one in
// the buildBatch waits, so that each is decided on committed state alone.
func (s *shard) buildBatch(subs []*submission) *batch {
	now := s.clock.Now()
	b := new(batch)
	taken := map[string]bool{}
	for _, sub := range subs {
		key := sub.record.key()
		switch {
		case sub.ctx.Err() != nil && sub.record.Kind == KindClaim:
			b.add(sub, Outcome{State: Unavailable})
			continue
		case taken[key] || len(b.records) >= maxChunkRecords:
			b.deferred = append(b.deferred, sub)
			continue
		}
		r := sub.record
		outcome, write := s.log.state.decide(&r, now)
		if write {
			taken[key] = r.Kind != KindOpen
			b.records = append(b.records, r)
		}
		b.add(sub, outcome)
		b.needsRefresh = b.needsRefresh || r.Kind == KindClaim && outcome.State != Committed
	}
	b.needsRefresh = b.needsRefresh && len(b.records) == 0
	return b
}

func (b *batch) add(sub *submission, o Outcome) {
	b.subs = append(b.subs, sub)
	b.outcomes = append(b.outcomes, o)
}

func (b *batch) deliver() {
	for i, sub := range b.subs {
		sub.outcome <- b.outcomes[i]
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
		Format: chunkFormat, Shard: s.number, Sequence: s.log.state.nextSequence,
		Writer: s.keeper.self, At: s.clock.Now(), Records: b.records,
	}
	value, err := encodeValue(c)
	if err != nil {
		return err
	}
	key := chunkKey(s.number, c.Sequence)
	_, committed, err := s.keeper.store.Commit(ctx, Txn{
		If:        []Condition{{Key: key}, {Key: headKey(s.number), Revision: s.log.revision}},
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
	s.log.apply(&c, len(value))
	return nil
}

// drain waits until nothing is queued and no work is under way.
func (s *shard) drain(ctx context.Context) error {
	for {
		queue := <-s.queue
		s.queue <- queue
		if len(queue) == 0 {
			break
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.clock.After(drainPollInterval):
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

const drainPollInterval = 10 * time.Millisecond
