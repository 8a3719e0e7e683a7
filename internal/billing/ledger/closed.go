package ledger

import "time"

const (
	// minClosedPages is the minimum number of pages per retention period.
	minClosedPages = 20
	// maxClosedPageBytes is the size at which a page of digests is full.
	maxClosedPageBytes = 256 << 10
)

// closedSet remembers closed bills by their digests. The digests of a page
// expire together.
type closedSet struct {
	// pageSpan is the time during which digests are added to one page.
	pageSpan time.Duration
	digests  map[digest]struct{}
	// unsaved holds the digests added since the last roll-up.
	unsaved []digest
	pages   []closedPage
	// nextNumber is the number of the next new page.
	nextNumber uint64
}

// closedPage is the stored form of the digests of one period.
type closedPage struct {
	Number uint64
	From   time.Time
	To     time.Time
	// Digests is the concatenation of the digests.
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

// addPage adds a page that was read from the store.
func (c *closedSet) addPage(p closedPage) {
	for _, d := range p.splitDigests() {
		c.digests[d] = struct{}{}
	}
	c.pages = append(c.pages, p)
}

func (p *closedPage) splitDigests() []digest {
	out := make([]digest, len(p.Digests)/len(digest{}))
	for i := range out {
		copy(out[i][:], p.Digests[i*len(digest{}):])
	}
	return out
}

// nextPage returns the page to write at a roll-up: the last page, or a new one
// if that is full or too old, with the unsaved digests appended. It returns
// false if there are no unsaved digests.
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

// markSaved updates the set after the page that nextPage returned was
// committed.
func (c *closedSet) markSaved(page closedPage) {
	c.unsaved = nil
	c.nextNumber = page.Number + 1
	if k := len(c.pages); k > 0 && c.pages[k-1].Number == page.Number {
		c.pages[k-1] = page
		return
	}
	c.pages = append(c.pages, page)
}

// expire removes the pages that ended before the given time.
func (c *closedSet) expire(before time.Time) {
	k := 0
	for k < len(c.pages) && c.pages[k].To.Before(before) {
		for _, d := range c.pages[k].splitDigests() {
			delete(c.digests, d)
		}
		k++
	}
	c.pages = c.pages[k:]
}

// firstNumber returns the number of the oldest retained page, or of the next
// one if there is none.
func (c *closedSet) firstNumber() uint64 {
	if len(c.pages) == 0 {
		return c.nextNumber
	}
	return c.pages[0].Number
}
