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

// billing counts the usage that customers are billed for. It sends copies of
// the tally to this instance's reader; on a reader it writes the tallies of its
// group to the store.
type billing struct {
	gateway *Gateway
	counter *tally.Counter
	copies  *tally.Copies
	// written holds, by run of an instance, the tally that this instance knows
	// to be in the store. It belongs to run, and to flush once run has
	// returned.
	written map[string]tally.WriteMark
}

const (
	// copyInterval is the time between copies of the tally, so that a killed
	// process loses at most the requests counted since its last copy.
	copyInterval = time.Second
	// minWriteInterval is the time between a reader's writes in a small fleet.
	// If all processes are lost at once, the requests counted since then are
	// lost.
	minWriteInterval = 10 * time.Second
	// writeIntervalPerInstance lengthens the interval with the fleet, so that
	// the share of the store's traffic stays the same: at 360 instances each
	// writes once in three minutes.
	writeIntervalPerInstance = 500 * time.Millisecond
	// fullCopyInterval is the time between copies of the complete tally. The
	// copies in between hold only the lines that have grown; a lost datagram
	// leaves a gap until the next complete copy.
	fullCopyInterval = 8 * time.Second
	// maxEntriesPerMessage keeps a message, at some 120 bytes an entry, well
	// below the size of a datagram.
	maxEntriesPerMessage = 100
	// maxTalliesPerWrite is half of the entries that the store takes in one
	// transaction: each tally takes a condition and a write.
	maxTalliesPerWrite = 16
)

// billingCounters counts billed requests and the outcomes of writes.
var billingCounters = expvar.NewMap("Billed")

// countRequest counts a request whose complete answer was delivered.
func (b *billing) countRequest(o pipeline.CallOutcome) {
	if o.Refusal != nil || o.Failed {
		return
	}
	b.counter.Add(tally.Line{Customer: o.Customer, Service: o.Service, Model: o.Model}, o.PromptTokens, o.Events)
	billingCounters.Add("Counted", 1)
}

// run copies or writes tallies until the context ends.
func (b *billing) run(ctx context.Context) {
	g := b.gateway
	now := g.Clock.Now()
	plan := copyPlan{nextFullCopy: now, nextWrite: now.Add(jitter(b.writeInterval()))}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.Clock.After(jitter(copyInterval)):
			g.protect("Billing", func() { b.copyOrWrite(ctx, &plan) })
		}
	}
}

// copyPlan says what of the tally was last sent to the reader, and when more is due.
type copyPlan struct {
	lastSent                int64
	nextFullCopy, nextWrite time.Time
}

// copyOrWrite sends what has grown to the reader. An instance without a reader, or that
// is one, writes to the store when that is due.
func (b *billing) copyOrWrite(ctx context.Context, plan *copyPlan) {
	g := b.gateway
	now := g.Clock.Now()
	reader, found := g.feeds.reader()
	if found && reader.Name != g.Settings.Instance {
		if now.After(plan.nextFullCopy) {
			plan.lastSent, plan.nextFullCopy = 0, now.Add(fullCopyInterval)
		}
		changed := b.counter.Since(plan.lastSent)
		plan.lastSent = changed.Sequence
		for entries := range slices.Chunk(changed.Entries, maxEntriesPerMessage) {
			chunk := tally.Tally{Instance: changed.Instance, Run: changed.Run, Sequence: changed.Sequence, Entries: entries}
			g.peers.send(reader.PeerAddress, &message{Tally: &chunk})
		}
		return
	}
	if now.After(plan.nextWrite) {
		plan.nextWrite = now.Add(jitter(b.writeInterval()))
		b.forgetEndedEras()
		// What this write brings is kept until the next one, as the store may lose it.
		instances := g.fleet().Instances
		b.copies.Prune(b.written, func(name string) bool { return instances[name].Name != "" })
		b.write(ctx, b.copies.Due(b.counter.Tally(), b.written, maxTalliesPerWrite))
	}
}

// forgetEndedEras makes the tallies due again that were written before the store came back
// from a copy, which may lack them.
func (b *billing) forgetEndedEras() {
	era := b.gateway.follower.Era()
	maps.DeleteFunc(b.written, func(_ string, mark tally.WriteMark) bool { return mark.Revision.Era < era })
}

// writeInterval returns the time between writes for the current fleet.
func (b *billing) writeInterval() time.Duration {
	return max(minWriteInterval, time.Duration(len(b.gateway.fleet().Instances))*writeIntervalPerInstance)
}

// write writes tallies to the store and reports whether all were written. A
// tally that is not written is due again the next time.
func (b *billing) write(ctx context.Context, due []tally.Tally) (done bool) {
	if len(due) == 0 {
		return true
	}
	marks, done, err := b.gateway.Store.WriteTallies(ctx, due, b.written)
	maps.Copy(b.written, marks)
	switch {
	case err != nil:
		billingCounters.Add("WriteFailed", 1)
		b.gateway.Log.Warn("BillsNotWritten", zap.Int("Counts", len(due)), zap.Error(err))
	case !done:
		billingCounters.Add("WriteOvertaken", 1)
		b.gateway.Log.Info("BillsOvertaken", zap.Int("Counts", len(due)))
	default:
		billingCounters.Add("Written", int64(len(due)))
		b.gateway.Log.Info("BillsWritten", zap.Int("Counts", len(due)), zap.Int64("Sequence", due[0].Sequence), zap.String("First", due[0].Key()))
	}
	return done
}

// flush writes this instance's own tally as it stops. Its reader may already
// have written an older one; the first attempt then fails and learns that mark,
// and the second writes over it.
func (b *billing) flush(ctx context.Context) {
	local := b.counter.Tally()
	b.forgetEndedEras()
	for attempts := 0; attempts < 2 && local.Sequence > b.written[local.Key()].Sequence; attempts++ {
		if b.write(ctx, []tally.Tally{local}) || ctx.Err() != nil {
			return
		}
	}
}
