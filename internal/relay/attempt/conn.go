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

	"github.com/kingcupyard/kingcupyard/internal/relay/answer"
)

// readBufferSize is the size of a connection's read buffer in bytes. Together with
// the socket buffers it bounds how much of a stream is held for a slow caller.
const readBufferSize = 8 << 10

// conn is a connection with a watchdog timer. A missed timeout or a cancellation
// closes the connection and records the cause, which failureKind returns.
type conn struct {
	net.Conn
	target    Target
	clock     clockwork.Clock
	reader    *bufio.Reader
	dialledAt time.Time
	idleSince time.Time
	// idleLimit is how long the server keeps an idle connection open, by its
	// own announcement; 0 if it has not announced any.
	idleLimit time.Duration

	mu          sync.Mutex
	timer       clockwork.Timer
	deadline    time.Time
	timeoutKind Kind
	timeout     time.Duration
	// timeLeft is the time to the deadline when the watchdog was suspended.
	timeLeft time.Duration
	cause    Kind
	closed   bool
	// lastActiveAt is when a byte last arrived, or when the connection was dialled.
	lastActiveAt time.Time
	// armedAt is when the watchdog was last armed; extend leaves it unchanged.
	armedAt      time.Time
	bytesWritten int
	// upload is nil if the request was written before its answer is read.
	upload *upload
	// head checks the head of the answer.
	head answer.HeadChecker
	// headLimit bounds what is read until the head of the answer is complete; nil otherwise.
	headLimit *headLimit
	// readErr is the last error of the network connection. The HTTP libraries
	// replace it by their own errors.
	readErr error
	// confirmTimeout is called before a stalled exchange is aborted, which it
	// prevents by returning false; nil allows it.
	confirmTimeout func(Stall) bool
}

func newConn(nc net.Conn, target Target, clock clockwork.Clock) *conn {
	now := clock.Now()
	c := &conn{Conn: nc, target: target, clock: clock, dialledAt: now, lastActiveAt: now}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// isReused reports whether the connection has carried a request before this one.
func (c *conn) isReused() bool { return !c.idleSince.IsZero() }

// setIdleLimit records how long the server keeps the connection open while it is
// idle.
func (c *conn) setIdleLimit(limit time.Duration) {
	if limit > 0 {
		c.idleLimit = limit
	}
}

// setConfirmTimeout sets the function that is called before a stalled exchange is
// aborted.
func (c *conn) setConfirmTimeout(confirm func(Stall) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmTimeout = confirm
}

// limitHead bounds what may be read before the next limitHead; nil is no limit. It must
// not be called during a Read.
func (c *conn) limitHead(l *headLimit) { c.headLimit = l }

// expectHead makes the connection check the head that comes next, the beginning of which may be
// in the read buffer. An error that is found later is returned by Read.
func (c *conn) expectHead() error {
	c.head = answer.HeadChecker{}
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.head.Check(buffered)
}

// headLimit bounds what is read of a head.
type headLimit struct {
	// bytes is how many more bytes may be read.
	bytes int
	// small is how many of them may be read before reserve is called, whose error ends
	// the read.
	small   int
	reserve func() error
}

// clip returns the part of p that may be filled by the next read.
func (l *headLimit) clip(p []byte) ([]byte, error) {
	switch {
	case l.bytes == 0:
		return nil, errHeadTooLarge
	case l.small > 0:
		return p[:min(len(p), l.small)], nil
	}
	if err := l.reserve(); err != nil {
		return nil, err
	}
	return p[:min(len(p), l.bytes)], nil
}

// count counts bytes that were read.
func (l *headLimit) count(n int) {
	l.bytes -= n
	l.small -= n
}

var errHeadTooLarge = errors.New("the head of the answer is too large")

// Read records when bytes arrive and the error of the network, if any. It fails if a head breaks
// the rules of HTTP.
func (c *conn) Read(p []byte) (int, error) {
	if c.headLimit != nil {
		var err error
		if p, err = c.headLimit.clip(p); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if c.headLimit != nil {
		c.headLimit.count(n)
	}
	if n > 0 {
		now := c.clock.Now()
		c.mu.Lock()
		c.lastActiveAt = now
		c.mu.Unlock()
	}
	if headErr := c.head.Check(p[:n]); headErr != nil {
		return 0, headErr
	}
	if errors.Is(err, io.EOF) {
		err = c.confirmEnd()
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// Write counts the bytes that are handed to the network.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytesWritten += n
	return n, err
}

// requestWriter is a request that can encode itself.
type requestWriter interface {
	Write(w *bufio.Writer) error
}

// send writes a request.
func (c *conn) send(req requestWriter) error {
	w := bufio.NewWriter(c)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// arm starts the watchdog: the connection is closed with kind as the cause after
// limit, unless it is armed again or disarmed before.
func (c *conn) arm(kind Kind, limit time.Duration) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeoutKind, c.timeout, c.deadline, c.armedAt = kind, limit, now.Add(limit), now
	if c.timer == nil {
		c.timer = c.clock.AfterFunc(limit, c.expire)
		return
	}
	c.timer.Reset(limit)
}

// disarm stops the watchdog.
func (c *conn) disarm() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

// suspend stops the watchdog until resume.
func (c *conn) suspend() {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeLeft = c.deadline.Sub(now)
	c.deadline = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
}

// resume lets the watchdog go on for the time that was left when it was suspended.
func (c *conn) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.clock.Now().Add(c.timeLeft)
	c.timer.Reset(max(c.timeLeft, 0))
}

// expire runs when the watchdog timer fires.
func (c *conn) expire() {
	now := c.clock.Now()
	c.mu.Lock()
	expired := !c.deadline.IsZero() && !now.Before(c.deadline)
	kind, limit, since, confirm := c.timeoutKind, c.timeout, c.armedAt, c.confirmTimeout
	c.mu.Unlock()
	if !expired {
		return
	}
	if kind != WriteTimeout && confirm != nil {
		confirmed := confirm(Stall{Elapsed: now.Sub(since), Limit: limit})
		if !c.stillWaiting(since) {
			return
		}
		if !confirmed {
			c.extend(limit)
			return
		}
	}
	c.abort(kind)
}

// Stall describes a server that sends nothing. Elapsed is the time since the client
// began to wait; it is more than Limit if the wait was extended.
type Stall struct {
	Elapsed time.Duration
	Limit   time.Duration
}

// stillWaiting reports whether the watchdog has been armed since the given time and
// has not been re-armed, disarmed or closed.
func (c *conn) stillWaiting(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && c.armedAt.Equal(since) && !c.closed
}

// extend restarts the timeout of a stalled exchange.
func (c *conn) extend(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.clock.Now().Add(limit)
	c.timer.Reset(limit)
}

// abort closes the connection immediately and drops unsent data. Only the first
// cause is kept.
func (c *conn) abort(cause Kind) {
	c.mu.Lock()
	if c.cause == "" {
		c.cause = cause
	}
	alreadyClosed := c.closed
	c.closed = true
	c.deadline = time.Time{}
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	if alreadyClosed {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}

// failureKind returns the cause that the watchdog or a cancellation recorded, or
// kind if there is none.
func (c *conn) failureKind(kind Kind) Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cause != "" {
		return c.cause
	}
	return kind
}

// stalled reports whether the connection missed a timeout and no byte has arrived
// since the watchdog was armed. It also returns the time of that arming.
func (c *conn) stalled() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	missed := errors.Is(c.readErr, syscall.ETIMEDOUT) || c.cause == WriteTimeout || c.cause == FirstByteTimeout || c.cause == ProgressTimeout
	return c.armedAt, missed && !c.lastActiveAt.After(c.armedAt)
}

// lastActive returns when a byte last arrived, or when the connection was dialled.
func (c *conn) lastActive() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastActiveAt
}

// armedTimeout returns the kind of the timeout that is running. The kernel's
// keep-alive can detect a dead connection before that timeout is missed.
func (c *conn) armedTimeout() Kind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timeoutKind
}

// readErrorKind classifies a failed read by the error of the network.
func (c *conn) readErrorKind() Kind {
	switch err := c.readErr; {
	case err == nil:
		return Malformed
	case errors.Is(err, io.EOF):
		return Truncated
	case errors.Is(err, syscall.ETIMEDOUT):
		return c.armedTimeout()
	}
	return Reset
}
