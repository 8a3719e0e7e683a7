package ledger

import "time"

const (
	// minClosedPages is into how many pages, at least, a window is cut.
	minClosedPages = 20
	// maxClosedPageBytes is how large a page of digests may grow.
	maxClosedPageBytes = 256 << 10
)

// closedSet remembers closed bills by digest. Digests leave page by page.
type closedSet struct {
	// pageSpan is how long one page is added to.
	pageSpan time.Duration
	digests  map[digest]struct{}
	// unsaved are the digests since the last roll-up.
	unsaved []digest
	pages   []closedPage
	// nextNumber is the number of the nextNumber new page.
	nextNumber uint64
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
	return &closedSet{pageSpan: span, digests: map[digest]struct{}{}, nextNumber: 1}
}

func (c *closedSet) contains(d digest) bool {
	_, ok := c.digests[d]
	return ok
}

func (c *closedSet) add(d digest) {
	c.digests[d] = struct{}{}
	c.unsaved = append(c.unsaved, d)
}

// addPage takes in a page from the store.
func (c *closedSet) addPage(p closedPage) {
	for _, d := range p.digests() {
		c.digests[d] = struct{}{}
	}
	c.pages = append(c.pages, p)
}

func (p *closedPage) digests() []digest {
	out := make([]digest, len(p.Digests)/len(digest{}))
	for i := range out {
		copy(out[i][:], p.Digests[i*len(digest{}):])
	}
	return out
}

// nextPage returns the page that takes the fresh digests, the last one or a new
// one; false if there are none.
func (c *closedSet) nextPage(now time.Time) (closedPage, bool) {
	if len(c.unsaved) == 0 {
		return closedPage{}, false
	}
	page := closedPage{Number: c.nextNumber, From: now}
	if k := len(c.pages); k > 0 {
		last := c.pages[k-1]
		if now.Sub(last.From) < c.pageSpan && len(last.Digests) < maxClosedPageBytes {
			page = last
			page.Digests = append([]byte(nil), last.Digests...)
		}
	}
	page.To = now
	for _, d := range c.unsaved {
		page.Digests = append(page.Digests, d[:]...)
	}
	return page, true
}

// savePage takes over the page that turn returned, once it is in the store.
func (c *closedSet) savePage(page closedPage) {
	c.unsaved = nil
	c.nextNumber = page.Number + 1
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
		for _, d := range c.pages[k].digests() {
			delete(c.digests, d)
		}
		k++
	}
	c.pages = c.pages[k:]
}

// firstNumber returns the number of the oldest page that is kept, or will be.
func (c *closedSet) firstNumber() uint64 {
	if len(c.pages) == 0 {
		return c.nextNumber
	}
	return c.pages[0].Number
}
