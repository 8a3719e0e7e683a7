// Package memory bounds the memory that calls in progress take together.
package memory

import "sync/atomic"

// Budget is a number of bytes that calls share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Open returns an account that draws on the budget.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Account holds what one call has reserved. Its methods must not be called concurrently.
type Account struct {
	budget *Budget
	held   int64
}

// Reserve takes bytes out of the budget. It reports whether there were as many left.
func (a *Account) Reserve(bytes int) bool {
	n := int64(bytes)
	if a.budget.used.Add(n) > a.budget.limit {
		a.budget.used.Add(-n)
		return false
	}
	a.held += n
	return true
}

// Return gives back a part of what was reserved.
func (a *Account) Return(bytes int) {
	a.held -= int64(bytes)
	a.budget.used.Add(-int64(bytes))
}

// Close gives back everything that was reserved.
func (a *Account) Close() {
	a.budget.used.Add(-a.held)
	a.held = 0
}
