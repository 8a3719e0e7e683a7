package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

const (
	// maxHeldCopies is the most copies that one instance holds for its peers.
	maxHeldCopies = 100_000
	// adoptAge is when a holder sends a copy itself though its owner lives.
	adoptAge = 10 * time.Minute
	// adoptInterval is how often a holder looks through its copies.
	adoptInterval = 5 * time.Second
)

// CopyHolder keeps copies of peers' bills while the store is out, and sends them
// to the ledger when their owner is gone. The ledger knows a record by its
// origin and number, whoever sends it.
type CopyHolder struct {
	ledger *Ledger

	mu   sync.Mutex
	held map[copyKey]*heldCopy
}

type copyKey struct {
	origin Origin
	shard  int
	number uint64
}

type heldCopy struct {
	record    Record
	heldSince time.Time
	adopted   bool
}

// NewCopyHolder returns a holder without copies that sends through the ledger.
func NewCopyHolder(l *Ledger) *CopyHolder {
	return &CopyHolder{ledger: l, held: map[copyKey]*heldCopy{}}
}

// Store takes copies in and drops those that are settled. It returns how many
// of the records are held.
func (h *CopyHolder) Store(req CopyRequest) int {
	now := h.ledger.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range req.Committed {
		delete(h.held, copyKey{s.Origin, s.Shard, s.Number})
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

// Run looks through the copies until ctx ends.
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

// Adopt sends the copies whose owner is gone, and those held for long.
func (h *CopyHolder) Adopt() {
	now := h.ledger.clock.Now()
	present := generations(h.ledger.members.Get())
	h.adopt(func(c *heldCopy) bool {
		generation, listed := present[c.record.Origin.Instance]
		gone := !listed || generation > c.record.Origin.Generation
		return gone || now.Sub(c.heldSince) >= adoptAge
	})
}

// HandOver sends every copy. A planned stop calls it before Flush.
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

func generations(members *board.Members) map[string]uint64 {
	out := map[string]uint64{}
	if members != nil {
		for _, m := range members.List {
			out[m.Name] = m.Generation
		}
	}
	return out
}
