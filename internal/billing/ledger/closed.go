package ledger

import "time"

const (
	// closedPages is into how many pages, at least, a window is cut.
	closedPages = 20
	// closedPageBytes is how large a page of digests may grow.
	closedPageBytes = 256 << 10
)

// closedSet remembers closed bills by digest. Digests leave page by page.
type closedSet struct {
	// span is how long one page is added to.
	span  time.Duration
	known map[digest]struct{}
	// fresh are the digests since the last roll-up.
	fresh []digest
	pages []closedPage
	// next is the number of the next new page.
	next uint64
}

// closedPage is the stored form of a run of digests.
type closedPage struct {
	Number uint64
	From   time.Time
	To     time.Time
	// Digests lie one after another.
	Digests []byte
}

func newClosedSet(span time.Duration) *closedSet {
	return &closedSet{span: span, known: map[digest]struct{}{}, next: 1}
}

func (c *closedSet) has(d digest) bool {
	_, ok := c.known[d]
	return ok
}

func (c *closedSet) add(d digest) {
	c.known[d] = struct{}{}
	c.fresh = append(c.fresh, d)
}

// addPage takes in a page from the store.
func (c *closedSet) addPage(p closedPage) {
	for _, d := range p.split() {
		c.known[d] = struct{}{}
	}
	c.pages = append(c.pages, p)
}

func (p *closedPage) split() []digest {
	out := make([]digest, len(p.Digests)/len(digest{}))
	for i := range out {
		copy(out[i][:], p.Digests[i*len(digest{}):])
	}
	return out
}

// turn returns the page that takes the fresh digests, the last one or a new
// one; false if there are none.
func (c *closedSet) turn(now time.Time) (closedPage, bool) {
	if len(c.fresh) == 0 {
		return closedPage{}, false
	}
	page := closedPage{Number: c.next, From: now}
	if k := len(c.pages); k > 0 {
		last := c.pages[k-1]
		if now.Sub(last.From) < c.span && len(last.Digests) < closedPageBytes {
			page = last
			page.Digests = append([]byte(nil), last.Digests...)
		}
	}
	page.To = now
	for _, d := range c.fresh {
		page.Digests = append(page.Digests, d[:]...)
	}
	return page, true
}

// turned takes over the page that turn returned, once it is in the store.
func (c *closedSet) turned(page closedPage) {
	c.fresh = nil
	c.next = page.Number + 1
	if k := len(c.pages); k > 0 && c.pages[k-1].Number == page.Number {
		c.pages[k-1] = page
		return
	}
	c.pages = append(c.pages, page)
}

// expire drops the pages that ended before the given time.
func (c *closedSet) expire(before time.Time) {
	k := 0
	for k < len(c.pages) && c.pages[k].To.Before(before) {
		for _, d := range c.pages[k].split() {
			delete(c.known, d)
		}
		k++
	}
	c.pages = c.pages[k:]
}

// first returns the number of the oldest page that is kept, or will be.
func (c *closedSet) first() uint64 {
	if len(c.pages) == 0 {
		return c.next
	}
	return c.pages[0].Number
}
