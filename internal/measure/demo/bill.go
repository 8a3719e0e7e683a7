package demo

import (
	"fmt"

	"github.com/kingcupyard/kingcupyard/internal/billing/ledger"
	"github.com/kingcupyard/kingcupyard/internal/standin/store"
)

// LedgerBills reads the bills out of the chunks of the ledger. A bill that was
// settled in its owner's absence and closed later counts once: closing
// corrects the settlement.
func LedgerBills(entries []store.Entry) ([]Bill, error) {
	var bills, settled []Bill
	closed := map[Bill]bool{}
	for _, entry := range entries {
		if !ledger.IsChunkKey(entry.Key) {
			continue
		}
		chunk, err := ledger.DecodeChunk(entry.Value)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", entry.Key, err)
		}
		for _, record := range chunk.Records {
			if record.Bill == nil {
				continue
			}
			b := Bill{RequestID: record.Bill.ID, Customer: record.Bill.Customer}
			switch record.Kind {
			case ledger.KindClose:
				bills = append(bills, b)
				closed[b] = true
			case ledger.KindSettle:
				settled = append(settled, b)
			}
		}
	}
	for _, b := range settled {
		if !closed[b] {
			bills = append(bills, b)
		}
	}
	return bills, nil
}
