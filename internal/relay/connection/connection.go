// Package connection bounds what clients' connections hold of an instance: their number, the
// memory of their requests, and the time that they keep others waiting. It answers crowds of
// clients that send or read slowly, stop half-way, or send more than the instance can keep.
package connection

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
)

const (
	// Bytes is the memory of one connection without its large requests and answers: its
	// goroutines' stacks, the buffers of net/http, a small request and the connection to
	// a backend server.
	Bytes = 32 << 10
	// progressBytes is how much a client has to send before this counts as progress.
	progressBytes = 4 << 10
	// writeBytes is the most that is written at once; each write is bounded by the write
	// timeout.
	writeBytes = 64 << 10
	// smallHead is the memory of the largest head that isn't reserved, headStep the least
	// that is reserved for a larger one.
	smallHead = 12 << 10
	headStep  = 16 << 10
	// fieldBytes is the memory that a header field takes beside its bytes, in the parsed
	// header and its copy for a backend server.
	fieldBytes = 256
	// refusal answers a request whose head finds no memory. The request has not run.
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Conn is a client's connection. A nil Conn bounds nothing.
type Conn struct {
	net.Conn
	listener *Listener
	// deadline is that of writes. Writes don't run concurrently.
	deadline time.Time

	mu      sync.Mutex
	account *memory.Account
	framing framing
	// working is set while a request that has arrived completely is worked on, writing
	// while a write waits for the client.
	working, writing bool
	closed           bool
	// since is when the client last made progress, received what it has sent since then. The
	// first byte of a request is progress.
	since    time.Time
	received int
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewContext returns a context that carries the connection if it is a Conn. It is used as
// http.Server.ConnContext.
func NewContext(ctx context.Context, nc net.Conn) context.Context {
	if c, ok := nc.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// TrackState calls EndRequest when a request has ended. It is used as http.Server.ConnState.
func TrackState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*Conn); ok && state == http.StateIdle {
		c.EndRequest()
	}
}

// FromContext returns the connection of a request, or nil.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Read implements net.Conn. A request whose head finds no memory is refused, and the
// connection ends.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := c.listener.now()
	c.mu.Lock()
	if c.received += n; c.received >= progressBytes {
		c.since, c.received = now, 0
	}
	inRequest := len(c.framing.complete) > 0
	c.framing.scan(p[:n])
	c.mu.Unlock()
	// What arrives of further requests waits for the end of the one in progress, whose answer
	// may be being written.
	if !inRequest && !c.reserveHeads() {
		c.refuse()
		return 0, io.EOF
	}
	return n, err
}

// refuse answers a request whose head finds no memory, and closes the connection.
func (c *Conn) refuse() {
	counters.Add("HeadsRefused", 1)
	_, _ = c.Write([]byte(refusal)) // the connection is closed anyway
	c.Close()
}

// missing returns how much is still to be reserved for the head.
func (h *head) missing() int {
	needed := 2*h.bytes + fieldBytes*h.lines
	if needed <= max(h.reserved, smallHead) {
		return 0
	}
	return max(needed-h.reserved, headStep)
}

// reserveHeads reserves the memory that the heads lack. It reports whether there was enough.
func (c *Conn) reserveHeads() bool {
	missing := c.tryReserveHeads()
	if missing == 0 {
		return true
	}
	c.listener.reclaim(int64(missing), c)
	return c.tryReserveHeads() == 0
}

// tryReserveHeads returns how many bytes could not be reserved.
func (c *Conn) tryReserveHeads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.framing.complete {
		if missing := c.reserveHead(&c.framing.complete[i]); missing > 0 {
			return missing
		}
	}
	return c.reserveHead(&c.framing.head)
}

func (c *Conn) reserveHead(h *head) int {
	missing := h.missing()
	if missing > 0 && (c.closed || !c.account.Reserve(missing)) {
		return missing
	}
	h.reserved += missing
	return 0
}

// Write implements net.Conn. It fails if the client doesn't take the next writeBytes within the
// write timeout.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		n, err := c.writePart(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) writePart(p []byte) (int, error) {
	now := c.listener.now()
	c.mu.Lock()
	c.writing, c.since = true, now
	c.mu.Unlock()
	if err := c.extendDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	now = c.listener.now()
	c.mu.Lock()
	c.writing, c.since = false, now
	c.mu.Unlock()
	return n, err
}

// extendDeadline lets the next write wait for the write timeout at least. A deadline that is
// further off is kept, as setting one costs more than most writes.
func (c *Conn) extendDeadline() error {
	now := time.Now()
	if c.deadline.Sub(now) >= c.listener.writeTimeout {
		return nil
	}
	c.deadline = now.Add(c.listener.writeTimeout * 3 / 2)
	return c.Conn.SetWriteDeadline(c.deadline)
}

// SetWriteDeadline implements net.Conn. It does nothing: net/http would clear the deadline
// after each request.
func (*Conn) SetWriteDeadline(time.Time) error { return nil }

// Reserve reserves memory for the request, if need be that of connections whose clients make
// no progress. It reports whether there was enough.
func (c *Conn) Reserve(bytes int) bool {
	if c == nil || c.tryReserve(bytes) {
		return true
	}
	c.listener.reclaim(int64(bytes), c)
	if c.tryReserve(bytes) {
		return true
	}
	counters.Add("BodiesRefused", 1)
	return false
}

func (c *Conn) tryReserve(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && c.account.Reserve(bytes)
}

// Return gives back memory that was reserved.
func (c *Conn) Return(bytes int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed { // Close has given back everything
		c.account.Return(bytes)
	}
}

// BeginWork notes that the request has arrived and is worked on. It reports false if the
// connection is closed, so that an answer would reach nobody.
func (c *Conn) BeginWork() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working = !c.closed
	return !c.closed
}

// EndWork notes that the answer is complete.
func (c *Conn) EndWork() {
	if c == nil {
		return
	}
	now := c.listener.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.working, c.since = false, now
}

// EndRequest notes that nothing of the request is needed any more. Requests that were sent
// ahead have not run: the connection is closed if a new one waits for room, or if their heads
// find no memory.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	c.received = progressBytes
	if h := c.framing.endRequest(); h.reserved > 0 && !c.closed {
		c.account.Return(h.reserved)
	}
	ahead := c.framing.hasBegun()
	lost := c.framing.state == lost && !ahead
	c.mu.Unlock()
	switch {
	case lost:
		c.Close() // what follows can't be told apart
	case !ahead:
	case c.listener.full.Load():
		counters.Add("SentAhead", 1)
		c.Close()
	case !c.reserveHeads():
		c.refuse()
	}
}

// IsAmbiguous reports whether the head of the current request states the length of its body
// in two ways.
func (c *Conn) IsAmbiguous() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.framing.complete) > 0 && c.framing.complete[0].ambiguous
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	closed := c.closed
	c.closed = true
	c.account.Close()
	c.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	err := c.Conn.Close()
	c.listener.forget(c)
	return err
}

// waitsForClient reports since when the connection has waited for its client, if it does.
func (c *Conn) waitsForClient() (w waiting, waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return waiting{c, c.since, c.account.Held(), c.working}, !c.closed && (!c.working || c.writing)
}

// evict closes the connection unless its request is being worked on by now, or its client
// has made progress. It reports whether it has.
func (c *Conn) evict(since time.Time) bool {
	c.mu.Lock()
	may := !c.closed && (!c.working || c.writing) && c.since.Equal(since)
	unanswered := c.working || c.framing.hasBegun()
	if may {
		c.closed = true
		c.account.Close()
	}
	c.mu.Unlock()
	if !may {
		return false
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok && unanswered {
		_ = tcp.SetLinger(0) // what is unsent is given up; the end of a whole answer isn't
	}
	if err := c.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		counters.Add("CloseFailed", 1)
	}
	c.listener.forget(c)
	return true
}
