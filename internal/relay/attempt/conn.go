package attempt

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// readBuffer is the size of a connection's read buffer in bytes. Together with
// the socket's own buffers it bounds what a stream holds for a slow caller.
const readBuffer = 8 << 10

// conn is one connection with its watchdog: whoever misses a limit, or
// cancels, closes it and leaves the cause.
type conn struct {
	net.Conn
	target    Target
	clock     clockwork.Clock
	reader    *bufio.Reader
	dialledAt time.Time
	idleSince time.Time
	// idleLimit is how long the server says that it keeps the connection
	// idle; 0 if it has not said.
	idleLimit time.Duration

	mu       sync.Mutex
	timer    clockwork.Timer
	deadline time.Time
	kind     Kind
	limit    time.Duration
	cause    Kind
	closed   bool
	// provenAt is when the connection last showed that it works.
	provenAt time.Time
	// quietSince is when the watchdog was last armed.
	quietSince time.Time
	written    int
	// readErr is the error that the network itself gave; libraries hide it.
	readErr error
	// mayAbandon is asked before a silent exchange is given up; nil means yes.
	mayAbandon func(Stall) bool
}

func newConn(nc net.Conn, target Target, clock clockwork.Clock) *conn {
	now := clock.Now()
	c := &conn{Conn: nc, target: target, clock: clock, dialledAt: now, provenAt: now}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c
}

// keepFor notes how long the server keeps the connection idle.
func (c *conn) keepFor(limit time.Duration) {
	if limit > 0 {
		c.idleLimit = limit
	}
}

// askBefore sets what is asked before a silent exchange is given up.
func (c *conn) askBefore(mayAbandon func(Stall) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mayAbandon = mayAbandon
}

// Read counts any byte as a sign of life.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := c.clock.Now()
		c.mu.Lock()
		c.provenAt = now
		c.mu.Unlock()
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write counts the bytes handed to the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// arm has the connection closed for the given reason after limit, unless it
// is armed again or disarmed before.
func (c *conn) arm(kind Kind, limit time.Duration) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kind, c.limit, c.deadline, c.quietSince = kind, limit, now.Add(limit), now
	if c.timer == nil {
		c.timer = c.clock.AfterFunc(limit, c.expire)
		return
	}
	c.timer.Reset(limit)
}

func (c *conn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

func (c *conn) expire() {
	now := c.clock.Now()
	c.mu.Lock()
	late := !c.deadline.IsZero() && !now.Before(c.deadline)
	kind, limit, since, mayAbandon := c.kind, c.limit, c.quietSince, c.mayAbandon
	c.mu.Unlock()
	if !late {
		return
	}
	if kind != WriteTimeout && mayAbandon != nil {
		abandon := mayAbandon(Stall{Elapsed: now.Sub(since), Limit: limit})
		if !c.isSilent(since) {
			return
		}
		if !abandon {
			c.extend(limit)
			return
		}
	}
	c.abort(kind)
}

// Stall is how long a server has shown nothing, against the limit that it
// missed, once or more often.
type Stall struct {
	Elapsed time.Duration
	Limit   time.Duration
}

// isSilent reports whether the watchdog still waits for what it waited for
// since then.
func (c *conn) isSilent(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && c.quietSince.Equal(since) && !c.closed
}

// extend gives a silent exchange the same time again.
func (c *conn) extend(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.clock.Now().Add(limit)
	c.timer.Reset(limit)
}

// abort closes the connection at once, dropping what was not yet sent. The
// first cause stays.
func (c *conn) abort(cause Kind) {
	c.mu.Lock()
	if c.cause == "" {
		c.cause = cause
	}
	done := c.closed
	c.closed = true
	c.deadline = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	if done {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// failure returns the cause left by a watchdog or a cancellation, else the
// kind that the error itself shows.
func (c *conn) failure(kind Kind) Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" {
		return c.cause
	}
	return kind
}

// silent reports whether the connection missed a limit without a single byte
// of life, and since when it was quiet.
func (c *conn) silent() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := errors.Is(c.readErr, syscall.ETIMEDOUT) || c.cause == WriteTimeout || c.cause == FirstByteTimeout || c.cause == ProgressTimeout
	return c.quietSince, missed && !c.provenAt.After(c.quietSince)
}

func (c *conn) proven() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.provenAt
}

// armedFor returns the limit that is running. The kernel's probes can find a
// silent connection before it is missed.
func (c *conn) armedFor() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kind
}

// readKind says how reading failed.
func (c *conn) readKind() Kind {
	switch err := c.readErr; {
	case err == nil:
		return Malformed
	case errors.Is(err, io.EOF):
		return Truncated
	case errors.Is(err, syscall.ETIMEDOUT):
		return c.armedFor()
	}
	return Reset
}
