package gateway

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/billing/tally"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// bills counts what this instance's callers are billed for, has its reader keep
// a copy, and, on a reader, writes the counts of its group.
type bills struct {
	gateway *Gateway
	counter *tally.Counter
	copies  *tally.Copies
	// written is how far the counts are written, as far as this instance
	// knows. It belongs to run, and to settle after it.
	written map[string]tally.WriteMark
}

const (
	// copyEvery is how often the count is copied: what a killed process takes
	// with it.
	copyEvery = time.Second
	// leastBillEvery is how often a reader writes counts in a small fleet:
	// what the loss of all processes at once takes with it.
	leastBillEvery = 10 * time.Second
	// billEveryInstance makes the counts' share of the store's traffic the same
	// in a large fleet: 360 instances write once in three minutes.
	billEveryInstance = 500 * time.Millisecond
	// wholeEvery is how often the whole count is copied, and not only what has
	// grown: datagrams are lost.
	wholeEvery = 8 * time.Second
	// entriesPerCopy keeps a copy of a hundred lines of some 120 bytes well
	// below the size of a datagram.
	entriesPerCopy = 100
	// billsPerWrite bounds one write, well below the store's limit on a value.
	billsPerWrite = 24
	// settleTimeout bounds the last write of a stopping instance.
	settleTimeout = 300 * time.Millisecond
)

var billed = expvar.NewMap("Billed")

// count counts a request whose whole answer was delivered.
func (b *bills) count(e pipeline.CallOutcome) {
	if e.Refusal != nil || e.Failed {
		return
	}
	b.counter.Add(tally.Line{Customer: e.Customer, Service: e.Service, Model: e.Model}, e.PromptTokens, e.Events)
	billed.Add("Counted", 1)
}

// run copies and writes counts until the context ends.
func (b *bills) run(ctx context.Context) {
	g := b.gateway
	now := g.Clock.Now()
	told, wholeAt, writeAt := int64(0), now, now.Add(jitter(b.every()))
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(copyEvery)):
		}
		now = g.Clock.Now()
		reader, found := g.feeds.reader()
		if found && reader.Name != g.Settings.Instance {
			if now.After(wholeAt) {
				told, wholeAt = 0, now.Add(wholeEvery)
			}
			grown := b.counter.Since(told)
			told = grown.Sequence
			for entries := range slices.Chunk(grown.Entries, entriesPerCopy) {
				part := tally.Tally{Instance: grown.Instance, Run: grown.Run, Sequence: grown.Sequence, Entries: entries}
				g.peers.send(reader.PeerAddress, &message{Tally: &part})
			}
			continue
		}
		// An instance without a reader writes its own count.
		if now.After(writeAt) {
			writeAt = now.Add(jitter(b.every()))
			b.write(ctx, b.copies.Due(b.counter.Tally(), b.written, billsPerWrite))
			instances := g.fleet().Instances
			b.copies.Prune(b.written, func(name string) bool { return instances[name].Name != "" })
		}
	}
}

func (b *bills) every() time.Duration {
	return max(leastBillEvery, time.Duration(len(b.gateway.fleet().Instances))*billEveryInstance)
}

// write writes counts. What is not written now is due again the next time.
func (b *bills) write(ctx context.Context, due []tally.Tally) (done bool) {
	if len(due) == 0 {
		return true
	}
	marks, done, err := b.gateway.Store.WriteTallies(ctx, due, b.written)
	maps.Copy(b.written, marks)
	switch {
	case err != nil:
		billed.Add("WriteFailed", 1)
		b.gateway.Log.Warn("BillsNotWritten", zap.Int("Counts", len(due)), zap.Error(err))
	case !done:
		billed.Add("WriteOvertaken", 1)
		b.gateway.Log.Info("BillsOvertaken", zap.Int("Counts", len(due)))
	default:
		billed.Add("Written", int64(len(due)))
		b.gateway.Log.Info("BillsWritten", zap.Int("Counts", len(due)), zap.Int64("Sequence", due[0].Sequence), zap.String("First", due[0].Key()))
	}
	return done
}

// settle writes this instance's own count as it stops. Its reader may have
// written an older one, which the first try then learns.
func (b *bills) settle() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	own := b.counter.Tally()
	for tries := 0; tries < 2 && own.Sequence > b.written[own.Key()].Sequence; tries++ {
		if b.write(ctx, []tally.Tally{own}) || ctx.Err() != nil {
			return
		}
	}
}
