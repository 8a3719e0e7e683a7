package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// feedAnswer is an answer of an instance's feed: a follower.Batch, with the numbers of its
// revisions where instances of earlier versions look for them. Era is the era of Revision,
// and the era of another revision is higher by its EraOffset.
type feedAnswer struct {
	Items    []feedItem
	Revision int64
	Whole    bool
	Table    int64
	Age      time.Duration
	// Instances of earlier versions leave out what follows.
	ViewAge        time.Duration  `json:",omitzero"`
	TableDiff      *feedTableDiff `json:",omitzero"`
	Era            int64          `json:",omitzero"`
	TableEraOffset int64          `json:",omitzero"`
}

type feedItem struct {
	Key       string
	Value     []byte `json:",omitempty"`
	Revision  int64
	Gone      bool  `json:",omitempty"`
	EraOffset int64 `json:",omitzero"`
}

type feedTableDiff struct {
	Key           string
	Revision      int64
	Base          int64
	Data          []byte
	EraOffset     int64 `json:",omitzero"`
	BaseEraOffset int64 `json:",omitzero"`
}

// newFeedAnswer returns the answer that holds a batch.
func newFeedAnswer(b follower.Batch) feedAnswer {
	offset := func(r revision.Revision) int64 {
		if !r.IsKnown() {
			return 0
		}
		return r.Era - b.Revision.Era
	}
	a := feedAnswer{
		Items: make([]feedItem, len(b.Items)), Era: b.Revision.Era, Revision: b.Revision.Number, Whole: b.Whole,
		Table: b.Table.Number, TableEraOffset: offset(b.Table), Age: b.Age, ViewAge: b.ViewAge,
	}
	for i, item := range b.Items {
		a.Items[i] = feedItem{Key: item.Key, Value: item.Value, Revision: item.Revision.Number, Gone: item.Gone, EraOffset: offset(item.Revision)}
	}
	if d := b.TableDiff; d != nil {
		a.TableDiff = &feedTableDiff{
			Key: d.Key, Revision: d.Revision.Number, Base: d.Base.Number, Data: d.Data, EraOffset: offset(d.Revision), BaseEraOffset: offset(d.Base),
		}
	}
	return a
}

// batch returns the batch that the answer holds.
func (a *feedAnswer) batch() follower.Batch {
	at := func(number, eraOffset int64) revision.Revision {
		if number <= 0 {
			return revision.Revision{}
		}
		return revision.Revision{Era: a.Era + eraOffset, Number: number}
	}
	b := follower.Batch{
		Items: make([]follower.Item, len(a.Items)), Revision: at(a.Revision, 0), Whole: a.Whole, Table: at(a.Table, a.TableEraOffset), Age: a.Age, ViewAge: a.ViewAge,
	}
	for i, item := range a.Items {
		b.Items[i] = follower.Item{Key: item.Key, Value: item.Value, Revision: at(item.Revision, item.EraOffset), Gone: item.Gone}
	}
	if d := a.TableDiff; d != nil {
		b.TableDiff = &follower.TableDiff{Key: d.Key, Revision: at(d.Revision, d.EraOffset), Base: at(d.Base, d.BaseEraOffset), Data: d.Data}
	}
	return b
}

// InvalidField implements document.Validator. A negative age would make a confirmation young
// for ever.
func (a *feedAnswer) InvalidField() string {
	switch {
	case a.Revision < 0:
		return "Revision"
	case a.Table < 0:
		return "Table"
	case a.Era < 0:
		return "Era"
	case a.Era+a.TableEraOffset < 0:
		return "TableEraOffset"
	case a.Age < 0:
		return "Age"
	case a.ViewAge < 0:
		return "ViewAge"
	case a.TableDiff != nil && a.TableDiff.Revision <= 0:
		return "TableDiff.Revision"
	case a.TableDiff != nil && a.Era+a.TableDiff.EraOffset < 0:
		return "TableDiff.EraOffset"
	case a.TableDiff != nil && a.Era+a.TableDiff.BaseEraOffset < 0:
		return "TableDiff.BaseEraOffset"
	}
	for i, item := range a.Items {
		switch {
		case item.Key == "":
			return document.Element("Items", i, "Key")
		case item.Revision <= 0:
			return document.Element("Items", i, "Revision")
		case a.Era+item.EraOffset < 0:
			return document.Element("Items", i, "EraOffset")
		}
	}
	return ""
}
