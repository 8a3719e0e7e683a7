package ledger

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// claimBucketSpan is the period whose claims are stored in the same page.
const claimBucketSpan = 5 * time.Minute

// maxPageAnswerBytes limits the total size of the answers in one page of
// claims.
const maxPageAnswerBytes = 256 << 10

// head is the stored form of a shard's log up to and including chunk Through.
// Its revision is part of the fence: a chunk is created only if the head is
// still the one that its writer has loaded.
type head struct {
	Format  int
	Through uint64
	At      time.Time
	Totals  []Total
	Origins []numberSet
	Open    []Bill
	Settled []Bill
	// ClosedFrom and KeyedFrom are the numbers of the first retained pages,
	// ClosedNext and KeyedNext those of the next new pages.
	ClosedFrom uint64
	ClosedNext uint64
	KeyedFrom  uint64
	KeyedNext  uint64
}

// claimsPage is the stored form of the claims of one bucket.
type claimsPage struct {
	Bucket int64
	Claims []claimEntry `json:",omitempty"`
	// Packed holds older claims in packed form, packedClaimSize bytes each.
	Packed []byte `json:",omitempty"`
}

// bucketOf returns the number of the bucket that a claim of the given time
// belongs to.
func bucketOf(at time.Time) int64 { return at.UnixNano() / int64(claimBucketSpan) }

// head returns the stored form of the state, without its pages.
func (s *state) head(now time.Time) head {
	h := head{
		Format: chunkFormat, Through: s.nextSequence - 1, At: now,
		ClosedFrom: s.closed.firstNumber(), ClosedNext: s.closed.nextNumber,
		KeyedFrom: s.keyed.firstNumber(), KeyedNext: s.keyed.nextNumber,
	}
	for _, t := range s.totals {
		h.Totals = append(h.Totals, *t)
	}
	for _, n := range s.origins {
		h.Origins = append(h.Origins, *n)
	}
	h.Open = sortedBills(s.open)
	h.Settled = sortedBills(s.settled)
	return h
}

// sortedBills returns the bills in the order of their keys.
func sortedBills(m map[string]*Bill) []Bill {
	out := make([]Bill, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		out = append(out, *m[key])
	}
	return out
}

// restore initialises an empty state from a head.
func (s *state) restore(h *head) {
	s.nextSequence = h.Through + 1
	s.closed.nextNumber, s.keyed.nextNumber = h.ClosedNext, h.KeyedNext
	for i := range h.Totals {
		t := h.Totals[i]
		s.totals[totalKey{t.Customer, t.Model, t.Version, t.Service}] = &t
	}
	for i := range h.Origins {
		n := h.Origins[i]
		s.origins[n.Origin] = &n
	}
	for i := range h.Open {
		b := h.Open[i]
		s.open[recordKey(b.Customer, b.ID)] = &b
	}
	for i := range h.Settled {
		b := h.Settled[i]
		s.settled[recordKey(b.Customer, b.ID)] = &b
	}
}

// claimsPages returns the pages of the given buckets. If the answers of a
// bucket exceed maxPageAnswerBytes, the newest ones are kept.
func (s *state) claimsPages(buckets map[int64]bool) []claimsPage {
	byBucket := map[int64][]claimEntry{}
	for _, c := range s.claims {
		if b := bucketOf(c.At); buckets[b] {
			byBucket[b] = append(byBucket[b], *c)
		}
	}
	packed := map[int64][]byte{}
	for d, c := range s.packed.byDigest {
		if b := c.bucket(); buckets[b] {
			packed[b] = c.appendTo(packed[b], d)
		}
	}
	var pages []claimsPage
	for b := range buckets {
		list := byBucket[b]
		slices.SortFunc(list, func(x, y claimEntry) int {
			if d := y.At.Compare(x.At); d != 0 {
				return d
			}
			return strings.Compare(x.Customer+x.ID, y.Customer+y.ID)
		})
		room := maxPageAnswerBytes
		for i := range list {
			room -= len(list[i].Answer)
			if room < 0 {
				list[i].Answer = nil
			}
		}
		pages = append(pages, claimsPage{Bucket: b, Claims: list, Packed: packed[b]})
	}
	return pages
}

// shardLog is the state of a shard as loaded from its head and the chunks after
// it.
type shardLog struct {
	state *state
	// revision is the store revision of the head, headAt the head's time.
	revision int64
	headAt   time.Time
	// chunks is the number of chunks after the head, bytes their stored size.
	chunks int
	bytes  int
	// storedBuckets are the buckets that entry a page of claims in the store.
	storedBuckets map[int64]bool
	// changedBuckets are the buckets whose claims entry changed since the head
	// was written.
	changedBuckets map[int64]bool
}

// loadLog reads a shard: its head, its pages and the chunks after the head. It
// fails if a roll-up happens between the reads.
func loadLog(ctx context.Context, store Store, shard int, retention Retention) (*shardLog, error) {
	l := &shardLog{state: newState(retention), storedBuckets: map[int64]bool{}, changedBuckets: map[int64]bool{}}
	first, err := readHead(ctx, store, shard)
	if err != nil {
		return nil, err
	}
	if first.Revision != 0 {
		var h head
		if err := decodeValue(first.Value, &h); err != nil {
			return nil, fmt.Errorf("read head of shard %d: %w", shard, err)
		}
		if h.Format > chunkFormat {
			return nil, &FormatError{Format: h.Format}
		}
		l.revision, l.headAt = first.Revision, h.At
		l.state.restore(&h)
		if err := l.readPages(ctx, store, shard); err != nil {
			return nil, err
		}
	}
	if err := l.readChunks(ctx, store, shard); err != nil {
		return nil, err
	}
	return l, l.checkHead(ctx, store, shard)
}

// readHead returns the stored head of a shard. The revision is 0 if there is
// none.
func readHead(ctx context.Context, store Store, shard int) (Pair, error) {
	key := headKey(shard)
	pairs, err := store.Range(ctx, Span{key, key + "\x00"}, 1)
	if err != nil {
		return Pair{}, fmt.Errorf("read head of shard %d: %w", shard, err)
	}
	if len(pairs) == 0 {
		return Pair{Key: key}, nil
	}
	return pairs[0], nil
}

// checkHead returns errFenced if the head in the store is not the one that was
// loaded.
func (l *shardLog) checkHead(ctx context.Context, store Store, shard int) error {
	h, err := readHead(ctx, store, shard)
	if err != nil {
		return err
	}
	if h.Revision != l.revision {
		return errFenced
	}
	return nil
}

// refresh reads the chunks that other keepers entry added. It fails if the log
// has been rolled up since it was loaded.
func (l *shardLog) refresh(ctx context.Context, store Store, shard int) error {
	if err := l.readChunks(ctx, store, shard); err != nil {
		return err
	}
	return l.checkHead(ctx, store, shard)
}

func (l *shardLog) readPages(ctx context.Context, store Store, shard int) error {
	pairs, err := readAll(ctx, store, prefixSpan(shardPrefix(shard)+"Pages/"), pagesPerRead)
	if err != nil {
		return fmt.Errorf("read pages of shard %d: %w", shard, err)
	}
	for _, p := range pairs {
		if err := l.addPage(strings.TrimPrefix(p.Key, shardPrefix(shard)+"Pages/"), p.Value); err != nil {
			return fmt.Errorf("read page %s: %w", p.Key, err)
		}
	}
	return nil
}

func (l *shardLog) addPage(name string, value []byte) error {
	if strings.HasPrefix(name, "Claims/") {
		var page claimsPage
		if err := decodeValue(value, &page); err != nil {
			return err
		}
		l.storedBuckets[page.Bucket] = true
		for i := range page.Claims {
			c := page.Claims[i]
			l.state.claims[recordKey(c.Customer, c.ID)] = &c
		}
		for b := page.Packed; len(b) >= packedClaimSize; b = b[packedClaimSize:] {
			d, c := decodePackedClaim(b)
			l.state.packed.byDigest[d] = c
		}
		return nil
	}
	var page closedPage
	if err := decodeValue(value, &page); err != nil {
		return err
	}
	if strings.HasPrefix(name, "Keyed/") {
		l.state.keyed.addPage(page)
		return nil
	}
	l.state.closed.addPage(page)
	return nil
}

// readChunks reads and applies the chunks that follow the current state.
func (l *shardLog) readChunks(ctx context.Context, store Store, shard int) error {
	pairs, err := readAll(ctx, store, chunkSpan(shard, l.state.nextSequence), chunksPerRead)
	if err != nil {
		return fmt.Errorf("read chunks of shard %d: %w", shard, err)
	}
	for _, p := range pairs {
		c, err := DecodeChunk(p.Value)
		if err != nil {
			return fmt.Errorf("read chunk %s: %w", p.Key, err)
		}
		if c.Sequence != l.state.nextSequence {
			return &GapError{Shard: shard, Want: l.state.nextSequence, Got: c.Sequence}
		}
		l.apply(&c, len(p.Value))
	}
	return nil
}

// apply applies a chunk that is in the store; size is its stored size in bytes.
func (l *shardLog) apply(c *Chunk, size int) {
	for i := range c.Records {
		l.markChangedBuckets(&c.Records[i])
	}
	l.state.applyChunk(c)
	l.chunks++
	l.bytes += size
}

// markChangedBuckets marks the buckets whose claims a record changes. It must
// be called before the record is applied.
func (l *shardLog) markChangedBuckets(r *Record) {
	if r.Claim != nil || r.Finish != nil {
		l.changedBuckets[bucketOf(r.At)] = true
	}
	if r.Kind == KindOpen || r.Kind == KindSkip {
		return
	}
	if entry := l.state.claims[r.key()]; entry != nil {
		l.changedBuckets[bucketOf(entry.At)] = true
	}
	if old, packed := l.state.packed.get(r.key()); packed {
		l.changedBuckets[old.bucket()] = true
	}
}

// GapError reports a missing chunk in a log. It can occur when a roll-up
// happens during a read.
type GapError struct {
	Shard int
	Want  uint64
	Got   uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("shard %d: chunk %d where %d was expected", e.Shard, e.Got, e.Want)
}
