package distribution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// Controller keeps the configuration of one instance up to date and passes it
// on to peers.
type Controller struct {
	self       string
	dataCentre string
	board      *board.Board
	store      Store
	peers      Peers
	clock      clockwork.Clock
	log        *zap.Logger
	started    time.Time
	// changed tells runPush of a new document. Its buffer of one coalesces
	// notifications.
	changed    chan struct{}
	cachedRole atomic.Pointer[role]

	mu sync.Mutex
	// encoded is the encoded form of the applied document.
	encoded []byte
	// storeModRevision is the modification revision of Key that the store last
	// returned.
	storeModRevision int64
	// storeAnsweredAt is when the last request that the store answered was sent.
	storeAnsweredAt time.Time
	// confirmedAt is when the store last confirmed the applied document,
	// directly or as reported by a peer.
	confirmedAt time.Time
	// peerAnsweredAt is when the last request that a peer answered was sent.
	peerAnsweredAt time.Time
	// newerFormatRevision is the highest revision of a document whose format
	// this program is too old to read.
	newerFormatRevision int64
	// answeredPeers holds the names of the peers that have answered since the
	// start.
	answeredPeers map[string]struct{}
	refusals      map[refusal]struct{}
}

// refusal identifies a refused document, so that its refusal is logged once.
type refusal struct {
	outcome  Outcome
	revision int64
}

// Option configures a Controller.
type Option func(*Controller)

// WithClock sets the clock; the default is the real clock.
func WithClock(clock clockwork.Clock) Option { return func(c *Controller) { c.clock = clock } }

// WithLog sets the logger; the default discards all entries.
func WithLog(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// New returns the controller of the instance with the name self in dataCentre.
func New(self, dataCentre string, b *board.Board, s Store, p Peers, opts ...Option) *Controller {
	c := &Controller{
		self:          self,
		dataCentre:    dataCentre,
		board:         b,
		store:         s,
		peers:         p,
		clock:         clockwork.NewRealClock(),
		log:           zap.NewNop(),
		changed:       make(chan struct{}, 1),
		answeredPeers: map[string]struct{}{},
		refusals:      map[refusal]struct{}{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.started = c.clock.Now()
	return c
}

// Run keeps the configuration up to date until ctx ends, and returns the
// context's error.
func (c *Controller) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){c.runStore, c.runWatch, c.runPeers, c.runPush, c.runConfirmation} {
		wg.Go(func() { loop(ctx) })
	}
	wg.Wait()
	return ctx.Err()
}

// sleep waits for d. It returns false if ctx ends first.
func (c *Controller) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.clock.After(d):
		return true
	}
}

// apply applies doc if it replaces the applied document, and counts and logs its
// refusal otherwise. A document that is already applied is neither counted nor
// logged.
func (c *Controller) apply(doc *configuration.Document, source string) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := Evaluate(c.board.Configuration.Get(), doc)
	if outcome == Applied {
		value, err := doc.Encode()
		if err != nil {
			c.recordRefusal(Unreadable, doc.Revision, source, err)
			return Unreadable
		}
		c.encoded = value
		c.board.Configuration.Publish(doc)
		counts.Add("Applied"+source, 1)
		c.log.Info("ConfigurationApplied", zap.Int64("Revision", doc.Revision), zap.String("Source", source))
		c.notifyPush()
		return outcome
	}
	if outcome != Same {
		c.recordRefusal(outcome, doc.Revision, source, nil)
	}
	return outcome
}

// notifyPush tells runPush that a new document was applied.
func (c *Controller) notifyPush() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// recordRefusal counts a document that is not applied and logs its refusal once.
// The caller must hold c.mu.
func (c *Controller) recordRefusal(outcome Outcome, revision int64, source string, err error) {
	counts.Add("Refused"+string(outcome), 1)
	if outcome == NewerFormat {
		c.newerFormatRevision = max(c.newerFormatRevision, revision)
	}
	key := refusal{outcome, revision}
	if _, ok := c.refusals[key]; ok {
		return
	}
	if len(c.refusals) >= maxRefusals {
		clear(c.refusals)
	}
	c.refusals[key] = struct{}{}
	c.log.Warn("ConfigurationRefused", zap.String("Reason", string(outcome)),
		zap.Int64("Revision", revision), zap.String("Source", source), zap.Error(err))
}

// maxRefusals is the size at which the set of logged refusals is cleared.
const maxRefusals = 256

// applyEncoded decodes a document with parse and applies it as apply does.
func (c *Controller) applyEncoded(value []byte, revision int64, parse func([]byte, int64) (*configuration.Document, error), source string) Outcome {
	doc, err := parse(value, revision)
	if err == nil {
		return c.apply(doc, source)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := parseOutcome(err)
	c.recordRefusal(outcome, revision, source, err)
	return outcome
}

// revision returns the revision of the applied document, 0 if there is none.
func (c *Controller) revision() int64 {
	if doc := c.board.Configuration.Get(); doc != nil {
		return doc.Revision
	}
	return 0
}

// appliedDocument returns the applied document in its encoded form and its
// revision.
func (c *Controller) appliedDocument() (value []byte, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encoded, c.revision()
}
