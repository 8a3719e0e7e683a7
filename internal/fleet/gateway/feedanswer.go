package gateway

import (
	"time"

	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
	"github.com/kingcupyard/kingcupyard/internal/fleet/follower"
	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
)

// feedAnswer is an answer of an instance's feed, a follower.Batch. Its revisions are
// numbers of the era in which the requesting instance is.
type feedAnswer struct {
	Items    []feedItem
	Revision int64
	Whole    bool
	Table    int64
	Age      time.Duration
	// Instances of earlier versions leave ViewAge and TableDiff out.
	ViewAge   time.Duration  `json:",omitzero"`
	TableDiff *feedTableDiff `json:",omitzero"`
}

type feedItem struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Gone     bool `json:",omitempty"`
}

type feedTableDiff struct {
	Key      string
	Revision int64
	Base     int64
	Data     []byte
}

// newFeedAnswer returns the answer that holds a batch.
func newFeedAnswer(b follower.Batch) feedAnswer {
	a := feedAnswer{
		Items: make([]feedItem, len(b.Items)), Revision: b.Revision.Number, Whole: b.Whole, Table: b.Table.Number, Age: b.Age, ViewAge: b.ViewAge,
	}
	for i, item := range b.Items {
		a.Items[i] = feedItem{Key: item.Key, Value: item.Value, Revision: item.Revision.Number, Gone: item.Gone}
	}
	if d := b.TableDiff; d != nil {
		a.TableDiff = &feedTableDiff{Key: d.Key, Revision: d.Revision.Number, Base: d.Base.Number, Data: d.Data}
	}
	return a
}

// batch returns the batch that the answer holds, of an era.
func (a *feedAnswer) batch(era int64) follower.Batch {
	at := func(number int64) revision.Revision { return revision.Revision{Era: era, Number: number} }
	b := follower.Batch{
		Items: make([]follower.Item, len(a.Items)), Revision: at(a.Revision), Whole: a.Whole, Table: at(a.Table), Age: a.Age, ViewAge: a.ViewAge,
	}
	for i, item := range a.Items {
		b.Items[i] = follower.Item{Key: item.Key, Value: item.Value, Revision: at(item.Revision), Gone: item.Gone}
	}
	if d := a.TableDiff; d != nil {
		b.TableDiff = &follower.TableDiff{Key: d.Key, Revision: at(d.Revision), Base: at(d.Base), Data: d.Data}
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
	case a.Age < 0:
		return "Age"
	case a.ViewAge < 0:
		return "ViewAge"
	case a.TableDiff != nil && a.TableDiff.Revision <= 0:
		return "TableDiff.Revision"
	}
	for i, item := range a.Items {
		switch {
		case item.Key == "":
			return document.Element("Items", i, "Key")
		case item.Revision <= 0:
			return document.Element("Items", i, "Revision")
		}
	}
	return ""
}
