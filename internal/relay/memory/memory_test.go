package memory

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Calls never hold more than the budget together, and nothing stays reserved once their
// accounts are closed.
func TestBudget(t *testing.T) {
	is := is.New(t)
	const limit, calls, step = 1000, 50, 7
	b := New(limit)
	var group sync.WaitGroup
	for range calls {
		group.Go(func() {
			for range 200 {
				a := b.Open()
				for a.Reserve(step) {
					if a.held > 10*step {
						a.Return(3 * step)
						break
					}
				}
				a.Close()
			}
		})
	}
	group.Wait()
	is.Equal(b.Used(), int64(0))

	whole := b.Open()
	is.True(whole.Reserve(limit))
	other := b.Open()
	is.True(!other.Reserve(1))
	whole.Return(10)
	is.True(other.Reserve(10))
	is.True(!other.Reserve(1))
	whole.Close()
	is.Equal(b.Used(), int64(10))
}
