// Package ledger stores the bills of requests and the claims of non-idempotent
// requests. A claim reserves the single execution of a request ID.
//
// Request IDs are distributed over a fixed number of shards. Each shard is a
// log of chunks in the platform's store. A chunk is created only if its
// sequence number is still free, which fences concurrent writers: no matter who
// writes a shard, at most one record of an ID takes effect. Normally a single
// keeper writes a shard, so that the rate of store writes does not depend on
// the number of instances, but correctness does not rely on there being only
// one.
//
// To bound the size of a log, the keeper regularly rolls its chunks up: it
// folds them into the shard's head, which holds the totals and the open bills,
// and into pages, which hold the closed bills and the claims. The IDs of closed
// bills and claims are forgotten after the retention periods.
//
// Instances send their records to the keepers through a Ledger. While the store
// is unavailable, they leave copies of closed bills with peers, whose
// CopyHolder sends them to the ledger if the owner disappears.
package ledger

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of shards. It is part of the stored format.
const ShardCount = 12

// BillState is the state of a bill.
type BillState string

// The states of a bill.
const (
	BillOpen   BillState = "Open"
	BillClosed BillState = "Closed"
	// BillSettled is the state of a bill that was opened but never closed. It
	// is billed with the amounts of its opening record.
	BillSettled BillState = "Settled"
)

// Bill is the bill of one request, including all of its attempts.
type Bill struct {
	ID       string
	Customer string
	// Keyed reports whether the caller supplied the ID, in which case the same
	// ID may arrive again.
	Keyed            bool    `json:",omitempty"`
	Model            string  `json:",omitempty"`
	Version          string  `json:",omitempty"`
	Service          string  `json:",omitempty"`
	Attempts         int     `json:",omitempty"`
	Steps            int     `json:",omitempty"`
	PromptTokens     int     `json:",omitempty"`
	CompletionTokens int     `json:",omitempty"`
	Cost             float64 `json:",omitempty"`
	State            BillState
	OpenedAt         time.Time
	ClosedAt         time.Time
	// Instance is the name of the instance that handled the request.
	Instance string
}

// Total is the sum of the bills of one customer, model, version and service.
type Total struct {
	Customer         string
	Model            string
	Version          string
	Service          string
	Bills            int
	Settled          int
	Attempts         int
	Steps            int
	PromptTokens     int
	CompletionTokens int
	Cost             float64
}

type totalKey struct{ customer, model, version, service string }

func (b *Bill) totalKey() totalKey { return totalKey{b.Customer, b.Model, b.Version, b.Service} }

// add adds a bill to the total, or subtracts it if sign is -1.
func (t *Total) add(b *Bill, sign int) {
	t.Customer, t.Model, t.Version, t.Service = b.Customer, b.Model, b.Version, b.Service
	t.Bills += sign
	if b.State == BillSettled {
		t.Settled += sign
	}
	t.Attempts += sign * b.Attempts
	t.Steps += sign * b.Steps
	t.PromptTokens += sign * b.PromptTokens
	t.CompletionTokens += sign * b.CompletionTokens
	t.Cost += float64(sign) * b.Cost
}

func (t *Total) merge(o Total) {
	t.Customer, t.Model, t.Version, t.Service = o.Customer, o.Model, o.Version, o.Service
	t.Bills += o.Bills
	t.Settled += o.Settled
	t.Attempts += o.Attempts
	t.Steps += o.Steps
	t.PromptTokens += o.PromptTokens
	t.CompletionTokens += o.CompletionTokens
	t.Cost += o.Cost
}

// ShardOf returns the number of the shard that stores the records of an ID.
func ShardOf(customer, id string) int {
	return int(xxhash.Sum64String(recordKey(customer, id)) % ShardCount)
}

// recordKey returns the key of a record. It includes the customer, since two
// customers may use the same ID.
func recordKey(customer, id string) string { return customer + "\x00" + id }

// digest is a 96-bit hash of a record key, which identifies a closed bill. With a
// million remembered IDs, the probability that a new ID collides with one of
// them is about 1 in 10^22.
type digest [12]byte

func digestOf(key string) digest {
	seeded := xxhash.NewWithSeed(1)
	_, _ = seeded.WriteString(key)
	var d digest
	binary.LittleEndian.PutUint64(d[:8], xxhash.Sum64String(key))
	binary.LittleEndian.PutUint32(d[8:], uint32(seeded.Sum64()))
	return d
}
