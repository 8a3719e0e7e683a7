package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// maxHeldCopies limits the number of copies that an instance holds for its
	// peers.
	maxHeldCopies = 100_000
	// adoptAge is the age at which a holder sends a copy itself although its
	// owner is still a member.
	adoptAge = 10 * time.Minute
	// adoptInterval is the time between two checks of the copies.
	adoptInterval = 5 * time.Second
)

// CopyHolder holds copies of peers' closed bills while the store is
// unavailable, and sends them to the ledger when their owner has disappeared.
// The ledger identifies a record by its origin and number, so it does not
// matter who sends it or how often.
type CopyHolder struct {
	ledger *Ledger

	mu   sync.Mutex
	held map[copyKey]*heldCopy
}

// copyKey identifies a copied record.
type copyKey struct {
	origin Origin
	shard  int
	number uint64
}

type heldCopy struct {
	record    Record
	heldSince time.Time
	// adopted reports whether the holder has sent the record to the ledger.
	adopted bool
}

// NewCopyHolder returns a holder without copies. It sends adopted copies
// through the given ledger.
func NewCopyHolder(l *Ledger) *CopyHolder {
	return &CopyHolder{ledger: l, held: map[copyKey]*heldCopy{}}
}

// Store adds the request's copies and drops those that the request reports as
// committed. It returns how many of the request's records are held.
func (h *CopyHolder) Store(req CopyRequest) int {
	now := h.ledger.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, ref := range req.Committed {
		delete(h.held, copyKey{ref.Origin, ref.Shard, ref.Number})
	}
	count := 0
	for _, r := range req.Records {
		if r.Kind != KindClose || r.Bill == nil || len(h.held) >= maxHeldCopies {
			copies.Add("NotHeld", 1)
			continue
		}
		key := copyKey{r.Origin, ShardOf(r.Bill.Customer, r.Bill.ID), r.Number}
		if h.held[key] == nil {
			h.held[key] = &heldCopy{record: r, heldSince: now}
			copies.Add("Held", 1)
		}
		count++
	}
	return count
}

// Len returns the number of copies held.
func (h *CopyHolder) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}

// Run calls Adopt periodically until ctx ends.
func (h *CopyHolder) Run(ctx context.Context) {
	ticker := h.ledger.clock.NewTicker(adoptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			h.Adopt()
		}
	}
}

// Adopt sends the copies to the ledger whose owner has left or restarted, and
// those that have been held for longer than adoptAge.
func (h *CopyHolder) Adopt() {
	now := h.ledger.clock.Now()
	present := generations(h.ledger.members.Get())
	h.adopt(func(c *heldCopy) bool {
		generation, listed := present[c.record.Origin.Instance]
		gone := !listed || generation > c.record.Origin.Generation
		return gone || now.Sub(c.heldSince) >= adoptAge
	})
}

// HandOver sends all copies to the ledger. A graceful shutdown calls it before
// Ledger.Flush.
func (h *CopyHolder) HandOver() { h.adopt(func(*heldCopy) bool { return true }) }

func (h *CopyHolder) adopt(due func(*heldCopy) bool) {
	h.mu.Lock()
	var entries []*entry
	for key, c := range h.held {
		if c.adopted || !due(c) {
			continue
		}
		c.adopted = true
		entries = append(entries, &entry{
			record: c.record, done: make(chan Outcome, 1), onOutcome: func() { h.drop(key) },
		})
	}
	h.mu.Unlock()
	copies.Add("Adopted", int64(len(entries)))
	for _, e := range entries {
		h.ledger.senderOf(e).enqueue(e)
	}
}

func (h *CopyHolder) drop(key copyKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, key)
}

// generations returns the generation of each listed member by name.
func generations(members *board.Members) map[string]uint64 {
	out := map[string]uint64{}
	if members != nil {
		for _, m := range members.List {
			out[m.Name] = m.Generation
		}
	}
	return out
}
