// Package memory bounds the memory that connections and calls in progress take together.
package memory

import "sync/atomic"

// Budget is a number of bytes that connections and calls share. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
	// whole is the budget of which this one is a part, or nil.
	whole *Budget
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Part returns a budget for one kind of use of b. It reserves nothing that would bring the use
// of b by all kinds above limit, so that what is above is left to others.
func (b *Budget) Part(limit int64) *Budget {
	return &Budget{limit: min(limit, b.limit), whole: b}
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Open returns an account that draws on the budget.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// reserve takes bytes out of the budget. It reports whether there were as many left.
func (b *Budget) reserve(n int64) bool {
	shared := b
	if b.whole != nil {
		shared = b.whole
	}
	for {
		used := shared.used.Load()
		if used+n > b.limit {
			return false
		}
		if shared.used.CompareAndSwap(used, used+n) {
			break
		}
	}
	if b.whole != nil {
		b.used.Add(n)
	}
	return true
}

func (b *Budget) giveBack(n int64) {
	b.used.Add(-n)
	if b.whole != nil {
		b.whole.used.Add(-n)
	}
}

// Account holds what one call or connection has reserved. Its methods must not be called
// concurrently.
type Account struct {
	budget *Budget
	held   int64
}

// Reserve takes bytes out of the budget. It reports whether there were as many left.
func (a *Account) Reserve(bytes int) bool {
	if !a.budget.reserve(int64(bytes)) {
		return false
	}
	a.held += int64(bytes)
	return true
}

// Held returns the number of bytes that the account has reserved.
func (a *Account) Held() int64 { return a.held }

// Return gives back a part of what was reserved.
func (a *Account) Return(bytes int) {
	a.held -= int64(bytes)
	a.budget.giveBack(int64(bytes))
}

// Reserver is something that reserves bytes and gives them back, as an Account does.
type Reserver interface {
	// Reserve takes bytes, and reports whether there were as many left.
	Reserve(bytes int) bool
	// Return gives back a part of what was reserved.
	Return(bytes int)
}

// Grow returns body in a buffer of twice the size, or of most bytes if that is less; most is
// larger than the buffer. It reserves the new buffer with r, which may be nil, and returns the
// old one once its bytes are copied; buffers of up to free bytes aren't reserved. It reports
// whether there was enough memory.
func Grow(r Reserver, body []byte, most, free int) ([]byte, bool) {
	size := min(2*cap(body), most)
	if r != nil && size > free && !r.Reserve(size) {
		return nil, false
	}
	larger := append(make([]byte, 0, size), body...)
	if r != nil && cap(body) > free {
		r.Return(cap(body))
	}
	return larger, true
}

// Close gives back everything that was reserved.
func (a *Account) Close() {
	a.budget.giveBack(a.held)
	a.held = 0
}
