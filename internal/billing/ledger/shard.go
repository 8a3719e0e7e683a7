package ledger

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// errFenced reports that another keeper wrote the shard first.
var errFenced = errors.New("another keeper wrote the shard")

// shard queues the records of one shard and commits them in batches. Only one
// goroutine works on the store at a time; it holds the shard by sending to
// busy.
type shard struct {
	number     int
	keeper     *Keeper
	clock      clockwork.Clock
	busy       chan struct{}
	log        *shardLog
	lastCommit time.Time // start of the last commit
	lastRollup time.Time // time of the last attempted roll-up
	lastUsed   time.Time // time of the last batch of submissions
	pending    chan []*submission
	breaker    circuitBreaker
	// stale reports whether the store may hold chunks that are not loaded.
	stale bool
}

// submission is a record that waits for its outcome.
type submission struct {
	ctx     context.Context
	record  Record
	outcome chan Outcome
}

func newShard(number int, k *Keeper) *shard {
	s := &shard{
		number: number, keeper: k, clock: k.clock,
		busy: make(chan struct{}, 1), pending: make(chan []*submission, 1),
	}
	s.pending <- nil
	return s
}

// submit queues records and waits for their outcomes. Records without an
// outcome when ctx ends are reported as Unavailable but may still be committed.
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

// enqueue adds submissions to the queue and starts a commit if the queue was
// empty.
func (s *shard) enqueue(subs []*submission) {
	queue := <-s.pending
	s.pending <- append(queue, subs...)
	if len(queue) == 0 {
		go s.commitQueued()
	}
}

// commitQueued commits one batch, after the interval since the last commit has
// elapsed and other work on the shard has ended.
func (s *shard) commitQueued() {
	s.busy <- struct{}{}
	defer func() { <-s.busy }()
	if wait := s.lastCommit.Add(s.keeper.interval).Sub(s.clock.Now()); wait > 0 {
		s.clock.Sleep(wait)
	}
	now := s.clock.Now()
	s.lastCommit, s.lastUsed = now, now
	subs := <-s.pending
	s.pending <- nil
	remaining := s.commit(subs)
	if len(remaining) > 0 {
		s.enqueue(remaining)
	}
}

// maxCommitAttempts limits the attempts to commit a batch. After the last one,
// its records are reported as Unavailable and their senders must repeat them.
const maxCommitAttempts = 4

// commit decides and writes a batch and returns the submissions that must wait
// for the next one. After a failed write it reads the log again, since the write
// may have taken effect, and repeats all decisions.
func (s *shard) commit(subs []*submission) (remaining []*submission) {
	ctx, cancel := s.keeper.storeContext()
	defer cancel()
	var err error
	refreshed := false
	for attempt := range maxCommitAttempts {
		if attempt > 0 && err != nil {
			commits.Add("Retried", 1)
			s.clock.Sleep(s.keeper.backoff(attempt))
		}
		if err = s.ensureLoaded(ctx); err != nil {
			continue
		}
		b := s.buildBatch(subs)
		if b.needsRefresh && !refreshed {
			s.stale, refreshed = true, true
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

// outcomeWithoutStore returns the outcome of a submission that could not be
// committed. A claim that the loaded log knows as a duplicate is reported as
// such, although the first claim may have been given up since.
func (s *shard) outcomeWithoutStore(sub *submission) Outcome {
	if s.log != nil && sub.record.Kind == KindClaim {
		r := sub.record
		if o, _ := s.log.state.decide(&r, s.clock.Now()); o.State == Duplicate || o.State == Mismatch {
			return o
		}
	}
	return Outcome{State: Unavailable}
}

// ensureLoaded loads the log, or reads the chunks that are missing if it is
// stale. It reads everything again if the log has been rolled up.
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

// batch holds submissions with their outcomes and the records to write.
type batch struct {
	subs     []*submission
	outcomes []Outcome
	records  []Record
	deferred []*submission
	// needsRefresh reports whether the batch writes nothing but rejects a claim
	// based on the loaded log alone, to which another keeper may have added.
	needsRefresh bool
}

// maxChunkRecords limits the number of records in a chunk.
const maxChunkRecords = 2000

// buildBatch decides submissions against the log. A record is deferred if the
// batch already writes one with the same ID, so that each is decided on
// committed state only.
func (s *shard) buildBatch(subs []*submission) *batch {
	now := s.clock.Now()
	b := new(batch)
	inBatch := map[string]bool{}
	for _, sub := range subs {
		key := sub.record.key()
		switch {
		case sub.ctx.Err() != nil && sub.record.Kind == KindClaim:
			b.add(sub, Outcome{State: Unavailable})
			continue
		case inBatch[key] || len(b.records) >= maxChunkRecords:
			b.deferred = append(b.deferred, sub)
			continue
		}
		r := sub.record
		outcome, write := s.log.state.decide(&r, now)
		if write {
			inBatch[key] = r.Kind != KindOpen
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

// write commits the records of a batch as the next chunk, on condition that the
// chunk's key is free and the head is the one that was loaded.
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

// drain waits until the queue is empty and no work is in progress.
func (s *shard) drain(ctx context.Context) error {
	for {
		queue := <-s.pending
		s.pending <- queue
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
