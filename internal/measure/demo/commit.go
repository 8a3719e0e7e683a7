package demo

import (
	"slices"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/measure/invariant"
	"github.com/kingcupyard/kingcupyard/internal/standin/store"
)

// notAuthorised stands in place of the list of models while the probing caller
// is not known.
const notAuthorised = "unauthorised"

// noteCommit keeps each write of the ledger, and turns each committed
// configuration into the events that the checks judge from: what became
// allowed, withdrawn, taken out, and shown.
func (p *Platform) noteCommit(entry store.Entry, at time.Time) {
	if strings.HasPrefix(entry.Key, ledgerPrefix) {
		p.mu.Lock()
		p.ledger = append(p.ledger, entry)
		p.mu.Unlock()
	}
	if entry.Key != documentKey {
		return
	}
	doc, err := configuration.Parse(entry.Value, entry.Revision)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.commits = append(p.commits, invariant.Event{At: at, Kind: invariant.KindExpected, Models: []string{"unreadable"}, Detail: err.Error()})
		return
	}
	before := p.document
	if before == nil {
		before = new(configuration.Document)
		p.commits = append(p.commits, invariant.Event{At: at, Kind: invariant.KindExpected, Models: visible(doc, probeName)})
	}
	p.commits = append(p.commits, difference(before, doc, at)...)
	p.document = doc
}

// committed returns the events of the configuration's commits and every write
// of the ledger, also of what was rolled up since.
func (p *Platform) committed() (invariant.Trace, []store.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.commits), slices.Clone(p.ledger)
}

// difference lists what one commit changed.
func difference(before, after *configuration.Document, at time.Time) invariant.Trace {
	t := slices.Concat(permissions(before, after, at, invariant.KindAllowed), permissions(after, before, at, invariant.KindDisallowed))
	for _, m := range after.Models {
		for _, v := range m.Versions {
			if isWithdrawn(after, m.Name, v.Name) && !isWithdrawn(before, m.Name, v.Name) {
				t = append(t, invariant.Event{At: at, Kind: invariant.KindWithdrawn, Model: m.Name, Version: v.Name})
			}
		}
	}
	for _, c := range after.DataCentres {
		old := before.DataCentre(c.Name)
		switch was := old != nil && old.Out; {
		case c.Out && !was:
			t = append(t, invariant.Event{At: at, Kind: invariant.KindTakenOut, DataCentre: c.Name})
		case !c.Out && was:
			t = append(t, invariant.Event{At: at, Kind: invariant.KindReturned, DataCentre: c.Name})
		}
	}
	for _, c := range after.Customers {
		if c.OnWithdrawal == configuration.WithdrawalMove {
			t = append(t, invariant.Event{At: at, Kind: invariant.KindMoves, Customer: c.Name})
		}
	}
	if shown := visible(after, probeName); !slices.Equal(shown, visible(before, probeName)) {
		t = append(t, invariant.Event{At: at, Kind: invariant.KindExpected, Models: shown})
	}
	return t
}

// permissions lists what is allowed in the second document and not in the
// first.
func permissions(first, second *configuration.Document, at time.Time, kind invariant.Kind) invariant.Trace {
	var t invariant.Trace
	for _, c := range second.Customers {
		old := first.Customer(c.Name)
		for _, m := range second.Models {
			for _, v := range m.Versions {
				if c.IsAllowed(m.Name, v.Name) && (old == nil || !old.IsAllowed(m.Name, v.Name)) {
					t = append(t, invariant.Event{At: at, Kind: kind, Customer: c.Name, Model: m.Name, Version: v.Name})
				}
			}
		}
	}
	return t
}

func isWithdrawn(doc *configuration.Document, model, version string) bool {
	m := doc.Model(model)
	if m == nil || m.Version(version) == nil {
		return false
	}
	return m.Version(version).State == configuration.VersionWithdrawn
}

// visible lists the versions that a customer is shown, in order.
func visible(doc *configuration.Document, customer string) []string {
	if doc.Customer(customer) == nil {
		return []string{notAuthorised}
	}
	var list []string
	for _, m := range doc.Models {
		for _, v := range m.Versions {
			if doc.MayRun(customer, m.Name, v.Name) {
				list = append(list, m.Name+"@"+v.Name)
			}
		}
	}
	slices.Sort(list)
	return list
}
