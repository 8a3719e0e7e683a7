package follower

import (
	"fmt"
	"math/bits"
	"sync"

	"github.com/klauspost/compress/zstd"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// TableDiff is a version of the routing table's entry, compressed with an earlier version
// as the dictionary. Successive tables have most of their routes in common, so that it is
// a small part of the table's size.
type TableDiff struct {
	Key string
	// Revision is the entry's revision, Base that of the earlier version. Base is unknown if
	// there is none.
	Revision revision.Revision
	Base     revision.Revision
	Data     []byte
}

const (
	// maxTableVersions is the number of versions of the table that a history keeps as
	// the bases of differences.
	maxTableVersions = 3
	// maxTableBytes bounds the memory that a difference may expand to.
	maxTableBytes = 8 << 20
	// dictionaryID marks the base's bytes as the dictionary.
	dictionaryID = 1
)

// newTableDiff returns the difference from base, which may be empty, to item.
func newTableDiff(base, item Item) (TableDiff, error) {
	window := max(zstd.MinWindowSize, 1<<bits.Len(uint(len(base.Value)+len(item.Value))))
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window),
	}
	if len(base.Value) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base.Value))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return TableDiff{}, fmt.Errorf("compress table of revision %v: %w", item.Revision, err)
	}
	defer encoder.Close()
	return TableDiff{Key: item.Key, Revision: item.Revision, Base: base.Revision, Data: encoder.EncodeAll(item.Value, nil)}, nil
}

// apply returns the table that a difference makes of base. It fails if base isn't the
// version that the difference was made from.
func (d *TableDiff) apply(base Item) (Item, error) {
	if d.Base.IsKnown() && (base.Key != d.Key || base.Revision != d.Base) {
		return Item{}, &DiffBaseError{Want: d.Base, Have: base.Revision}
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTableBytes)}
	if d.Base.IsKnown() {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base.Value))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return Item{}, fmt.Errorf("expand table of revision %v: %w", d.Revision, err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(d.Data, nil)
	if err != nil {
		return Item{}, fmt.Errorf("expand table of revision %v: %w", d.Revision, err)
	}
	return Item{Key: d.Key, Value: value, Revision: d.Revision}, nil
}

// DiffBaseError reports a difference from another version of the table than the one at
// hand.
type DiffBaseError struct {
	Want, Have revision.Revision
}

func (e *DiffBaseError) Error() string {
	return fmt.Sprintf("difference from the table of revision %v, not of %v", e.Want, e.Have)
}

// tableDiffs makes the differences that a feed sends. It keeps the latest one, which most
// followers ask for at the same time.
type tableDiffs struct {
	mu     sync.Mutex
	latest TableDiff
}

// between returns the difference from base to item, or nil if it has more than
// maxFeedTableBytes.
func (t *tableDiffs) between(base, item Item) (*TableDiff, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest.Base != base.Revision || t.latest.Revision != item.Revision {
		diff, err := newTableDiff(base, item)
		if err != nil {
			return nil, err
		}
		t.latest = diff
	}
	if len(t.latest.Data) > maxFeedTableBytes {
		return nil, nil
	}
	diff := t.latest
	return &diff, nil
}
