// Package ledger keeps bills and the claims of non-idempotent requests. IDs
// are spread over a fixed number of shards; each shard is a log of chunks in
// the platform's store. A chunk is created only if its sequence number is
// free, and that create is the fence: whoever writes a shard, at most one
// record of an ID takes effect. One keeper writes a shard in the ordinary
// case, which keeps the number of writes independent of the number of
// instances; nothing depends on there being only one.
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
	// BillSettled is a bill that was opened and never closed; it counts what
	// its opening record says.
	BillSettled BillState = "Settled"
)

// Bill is the one bill of a request, however many attempts it took.
type Bill struct {
	ID       string
	Customer string
	// Keyed says that the caller named the ID, so that it may arrive again.
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
	// Instance is the instance that carried the request.
	Instance string
}

// Total adds up the bills of one customer, model, version and service.
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

// add counts a bill, or takes it back when sign is -1.
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

// ShardOf returns the shard that keeps the records of an ID.
func ShardOf(customer, id string) int {
	return int(xxhash.Sum64String(recordKey(customer, id)) % ShardCount)
}

// recordKey keeps IDs that two customers happen to share apart.
func recordKey(customer, id string) string { return customer + "\x00" + id }

// digest is a 96-bit hash of a record key; closed bills are outcomeWithoutStore by it.
// Among a million IDs that is one mistake in 10^22.
type digest [12]byte

func digestOf(key string) digest {
	seeded := xxhash.NewWithSeed(1)
	_, _ = seeded.WriteString(key)
	var d digest
	binary.LittleEndian.PutUint64(d[:8], xxhash.Sum64String(key))
	binary.LittleEndian.PutUint32(d[8:], uint32(seeded.Sum64()))
	return d
}
