package connection

import (
	"expvar"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/relay/memory"
)

// counters counts the connections that were closed for others' sake (Evicted for a new one,
// SentAhead for a new one between requests that were sent ahead, Reclaimed for their memory),
// and the requests refused for want of memory (HeadsRefused, BodiesRefused).
var counters = expvar.NewMap("Connections")

const (
	// defaultWriteTimeout bounds each write to a client.
	defaultWriteTimeout = 10 * time.Second
	// defaultPatience is the time without progress after which a connection may be closed
	// for others' sake.
	defaultPatience = 500 * time.Millisecond
	// roomPollInterval is how often a listener at its limit looks for such a connection.
	roomPollInterval = 20 * time.Millisecond
)

// Listener bounds the open connections. At the limit, the one that has waited longest for its
// client makes room for a new one.
type Listener struct {
	net.Listener
	limit        int
	memory       *memory.Budget
	clock        clockwork.Clock
	writeTimeout time.Duration
	patience     time.Duration

	// full is set while a new connection waits for room.
	full atomic.Bool

	mu   sync.Mutex
	open map[*Conn]bool
	// freed is closed and replaced when a connection is closed.
	freed  chan struct{}
	closed chan struct{}
	once   sync.Once
}

// Option configures a Listener.
type Option func(*Listener)

// WithClock sets the clock.
func WithClock(c clockwork.Clock) Option { return func(l *Listener) { l.clock = c } }

// WithMemory bounds the memory of the requests on all connections.
func WithMemory(b *memory.Budget) Option { return func(l *Listener) { l.memory = b } }

// WithWriteTimeout sets how long a write may wait for its client.
func WithWriteTimeout(d time.Duration) Option { return func(l *Listener) { l.writeTimeout = d } }

// WithPatience sets the time without progress after which a connection may be closed for
// others' sake.
func WithPatience(d time.Duration) Option { return func(l *Listener) { l.patience = d } }

// NewListener returns a listener with at most limit open connections.
func NewListener(inner net.Listener, limit int, opts ...Option) *Listener {
	l := &Listener{
		Listener: inner, limit: limit, clock: clockwork.NewRealClock(), writeTimeout: defaultWriteTimeout, patience: defaultPatience, memory: memory.New(math.MaxInt64),
		open: map[*Conn]bool{}, freed: make(chan struct{}), closed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

func (l *Listener) now() time.Time { return l.clock.Now() }

// Accept implements net.Listener. While all connections are at work, it waits.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !l.makeRoom() {
		inner.Close()
		return nil, net.ErrClosed
	}
	c := &Conn{Conn: inner, listener: l, account: l.memory.Open(), since: l.now(), received: progressBytes}
	l.mu.Lock()
	l.open[c] = true
	l.mu.Unlock()
	return c, nil
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// makeRoom returns once there are fewer connections than the limit. It reports false if the
// listener was closed before.
func (l *Listener) makeRoom() bool {
	defer l.full.Store(false)
	for {
		l.mu.Lock()
		full, freed := len(l.open) >= l.limit, l.freed
		l.mu.Unlock()
		if !full {
			return true
		}
		if l.evictOne() {
			continue
		}
		l.full.Store(true)
		select {
		case <-freed:
		case <-l.clock.After(roomPollInterval):
		case <-l.closed:
			return false
		}
	}
}

// evictOne closes the connection that has waited longest for its client. It reports whether
// there was one.
func (l *Listener) evictOne() bool {
	for _, w := range l.stalled() {
		if w.conn.evict(w.since) {
			counters.Add("Evicted", 1)
			return true
		}
	}
	return false
}

// waiting is a connection that waits for its client.
type waiting struct {
	conn  *Conn
	since time.Time
	held  int64
	// working is set if its request is being worked on: its client is slow to read.
	working bool
}

// stalled returns the connections that have waited for their clients for the patience of the
// listener, the longest first. A client that reads an answer has more time: it may be making
// progress that shows only once the kernel's buffer takes more.
func (l *Listener) stalled() []waiting {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []waiting
	for c := range l.open {
		w, waits := c.waitsForClient()
		patience := l.patience
		if w.working {
			patience = max(patience, l.writeTimeout/2)
		}
		if waits && now.Sub(w.since) >= patience {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b waiting) int { return a.since.Compare(b.since) })
	return all
}

// reclaim closes connections whose clients have made no progress, until they have given back
// as many bytes. It leaves those whose requests are being worked on.
func (l *Listener) reclaim(bytes int64, asking *Conn) {
	for _, w := range l.stalled() {
		if bytes <= 0 {
			return
		}
		if w.held > 0 && !w.working && w.conn != asking && w.conn.evict(w.since) {
			counters.Add("Reclaimed", 1)
			bytes -= w.held
		}
	}
}

// forget drops a closed connection.
func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.open[c] {
		return
	}
	delete(l.open, c)
	close(l.freed)
	l.freed = make(chan struct{})
}
