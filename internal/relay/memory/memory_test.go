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

// A part leaves what is above its limit to others, whoever uses the rest.
func TestPart(t *testing.T) {
	is := is.New(t)
	whole := New(100)
	requests, answers := whole.Part(80), whole.Part(100)
	request, answer := requests.Open(), answers.Open()
	is.True(request.Reserve(50))
	is.True(answer.Reserve(30))
	is.True(!request.Reserve(1))
	is.True(answer.Reserve(20))
	is.True(!answer.Reserve(1))
	is.Equal(whole.Used(), int64(100))
	is.Equal(requests.Used(), int64(50))
	answer.Close()
	is.True(request.Reserve(30))
	request.Return(70)
	is.Equal(whole.Used(), int64(10))
	request.Close()
	is.Equal(whole.Used(), int64(0))
	is.Equal(requests.Used()+answers.Used(), int64(0))
}

// BenchmarkAccount measures what the account of one call costs.
func BenchmarkAccount(b *testing.B) {
	part := New(1 << 30).Part(1 << 29)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a := part.Open()
			a.Reserve(100)
			a.Close()
		}
	})
}
