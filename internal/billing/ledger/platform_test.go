package ledger

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
	standin "github.com/kingcupyard/kingcupyard/internal/standin/store"
)

// TestTwoKeepersOnPlatformStore runs two competing keepers, with roll-ups, on
// the store's real protocol and checks the audit.
func TestTwoKeepersOnPlatformStore(t *testing.T) {
	is := is.New(t)
	server := standin.New(standin.Settings{})
	defer server.Close()
	address, err := server.Start("127.0.0.1:0")
	is.NoErr(err)
	keepers := make([]*Keeper, 2)
	for i := range keepers {
		client := store.New(address)
		defer client.Close()
		keepers[i] = NewKeeper(NewPlatformStore(client), Origin{fmt.Sprint("i", i), 1}, new(board.Section[board.Members]),
			WithCommitInterval(time.Millisecond), WithRollup(0, 1))
	}
	const bills = 60
	var wg sync.WaitGroup
	for i, k := range keepers {
		wg.Go(func() {
			for n := range bills {
				record := Record{
					Kind: KindClose, Origin: Origin{"sender", uint64(i)}, Number: uint64(n + 1), At: time.Now(),
					Bill: &Bill{ID: fmt.Sprint("r", n), Customer: "c", Keyed: true, OpenedAt: time.Now()},
				}
				shard := ShardOf("c", record.Bill.ID)
				for {
					o := k.Handle(context.Background(), Request{Shard: shard, Records: []Record{record}}).Outcomes[0]
					if o.State != Unavailable {
						break
					}
				}
				if n%10 == 9 {
					k.shards[shard].housekeep(context.Background(), true, new(board.Members))
				}
			}
		})
	}
	wg.Wait()
	client := store.New(address)
	defer client.Close()
	audit, err := ReadAudit(context.Background(), NewPlatformStore(client), DefaultRetention())
	is.NoErr(err)
	is.Equal(audit.Totals, []Total{{Customer: "c", Bills: bills}}) // each bill once although both keepers received it
	for _, a := range audit.Shards {
		is.Equal(a.Faults, nil)
	}
}
