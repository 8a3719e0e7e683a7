package session

import (
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
)

const (
	// IdleTimeout is how long a named session may rest before it is over.
	IdleTimeout = time.Hour
	// MaxAge is how long a named session lasts at most; its name begins a new
	// one after that. It bounds how far back a lost pin is recomputed.
	MaxAge = 24 * time.Hour
	// MaxPins bounds the pins that one instance keeps.
	MaxPins = 100_000
	// maxPropagationDelay is the longest time between a change in the document's history
	// and its being in force everywhere, with the difference of clocks.
	maxPropagationDelay = 5 * time.Second
)

// counters counts what became of named sessions.
var counters = expvar.NewMap("SessionEvents")

// Request is a request of a named session.
type Request struct {
	Customer string
	Session  string
	Model    string
	// ExactVersion is the version that the caller names with the model, if it does; a
	// new session gets it.
	ExactVersion string
	// StartedAt is when the session started, zero if the caller doesn't say.
	StartedAt time.Time
}

// Fraction returns the session's side of every roll-out stage. Named sessions are
// always placed by this unit and the document alone, so that a lost pin can be
// recomputed.
func (r Request) Fraction() float64 { return rollout.HashFraction(r.Customer, r.Session, r.Model) }

func (r Request) pin(version string, startedAt time.Time) Pin {
	return Pin{Customer: r.Customer, Model: r.Model, Version: version, Session: r.Session, StartedAt: startedAt}
}

// Pins keeps the versions of named sessions at their keeper. It is safe for
// concurrent use.
type Pins struct {
	clock       clockwork.Clock
	idleTimeout time.Duration
	maxPins     int

	mu   sync.Mutex
	pins map[pinKey]*entry
	// possibleLossAt is the time before which sessions may have started whose pins this
	// instance should have but doesn't.
	possibleLossAt time.Time
	lastSweep      time.Time
}

type pinKey struct{ customer, session, model string }

type entry struct {
	pin      Pin
	lastUsed time.Time
}

// PinsOption changes Pins.
type PinsOption func(*Pins)

// WithIdleTimeout sets how long a session may rest.
func WithIdleTimeout(d time.Duration) PinsOption { return func(p *Pins) { p.idleTimeout = d } }

// WithLimit sets the number of pins kept.
func WithLimit(n int) PinsOption { return func(p *Pins) { p.maxPins = n } }

// NewPins returns an empty store. It has a gap from the start: an instance that
// begins knows nothing of the sessions that it becomes keeper of, until Complete
// says that it has been told.
func NewPins(clock clockwork.Clock, options ...PinsOption) *Pins {
	p := &Pins{clock: clock, idleTimeout: IdleTimeout, maxPins: MaxPins, pins: map[pinKey]*entry{}, possibleLossAt: clock.Now()}
	for _, o := range options {
		o(p)
	}
	return p
}

// MarkIncomplete notes that pins may have been lost, as when another instance ends without
// handing over. Until Expiry has passed, an unknown name may be that of a
// session in progress.
func (p *Pins) MarkIncomplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleLossAt = p.clock.Now()
}

// MarkComplete notes that no pin of a session in progress is missing here any more:
// an unknown name is a new session.
func (p *Pins) MarkComplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleLossAt = time.Time{}
}

// Find returns the pin of a named session as it is kept.
func (p *Pins) Find(req Request) (Pin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.pins[pinKey{req.Customer, req.Session, req.Model}]
	if e == nil {
		return Pin{}, false
	}
	return e.pin, true
}

// Resolve returns the pin of a named session for its next request, and keeps it.
// A name that is unknown is a new session, unless there is a gap; then its
// version is recomputed if the history leaves no doubt, and refused otherwise.
// The error is a *call.Refusal.
func (p *Pins) Resolve(doc *configuration.Document, customer *configuration.Customer, req Request) (Pin, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.sweep(now)
	key := pinKey{req.Customer, req.Session, req.Model}
	e, found := p.pins[key]
	if found && now.Sub(e.pin.StartedAt) >= MaxAge {
		found = false
	}
	if !found {
		pin, err := p.create(doc, customer, req, now, e != nil)
		if err != nil {
			return Pin{}, err
		}
		e = &entry{pin: pin}
	}
	version, err := Resolve(doc, customer, e.pin)
	if err != nil {
		return Pin{}, err
	}
	if version != e.pin.Version {
		counters.Add("Moved", 1)
	}
	e.pin.Version = version
	e.lastUsed = now
	p.pins[key] = e
	return e.pin, nil
}

// create returns the pin of a session that is not known here, or of one that
// begins anew since the former one under its name has reached its greatest age.
func (p *Pins) create(doc *configuration.Document, customer *configuration.Customer, req Request, now time.Time, replace bool) (Pin, error) {
	if len(p.pins) >= p.maxPins && !replace {
		counters.Add("Full", 1)
		return Pin{}, &call.Refusal{Reason: call.ReasonOverloaded, Field: "Session-Id", Detail: "too many named sessions; use the token of an answer"}
	}
	if req.ExactVersion != "" {
		return req.pin(req.ExactVersion, now), nil // the caller names it each time
	}
	if !replace && !p.possibleLossAt.IsZero() && now.Sub(p.possibleLossAt) < p.idleTimeout {
		return Recompute(doc, customer, req, p.possibleLossAt, now)
	}
	counters.Add("Begun", 1)
	version, err := rollout.ChooseVersion(doc, customer, req.Model, req.Fraction())
	return req.pin(version, now), err
}

// Recompute returns the pin of a named session without any keeper's knowledge,
// or a refusal if the history of the roll-outs leaves more than one version for
// a session that may have started at any time within MaxAge. A start that the
// caller states narrows that; one after gap is a new session.
func Recompute(doc *configuration.Document, customer *configuration.Customer, req Request, possibleLossAt, now time.Time) (Pin, error) {
	from, to, started := now.Add(-MaxAge-maxPropagationDelay), now, now
	if !req.StartedAt.IsZero() && req.StartedAt.Before(now) {
		if req.StartedAt.After(possibleLossAt.Add(maxPropagationDelay)) {
			version, err := rollout.ChooseVersion(doc, customer, req.Model, req.Fraction())
			return req.pin(version, now), err
		}
		from, to, started = req.StartedAt.Add(-maxPropagationDelay), req.StartedAt.Add(maxPropagationDelay), req.StartedAt
	}
	versions := rollout.PossibleVersions(doc, customer, req.Model, req.Fraction(), from, to)
	switch len(versions) {
	case 0:
		version, err := rollout.ChooseVersion(doc, customer, req.Model, req.Fraction())
		return req.pin(version, now), err
	case 1:
		counters.Add("Recomputed", 1)
		return req.pin(versions[0], started), nil
	}
	counters.Add("Lost", 1)
	return Pin{}, &call.Refusal{
		Reason: call.ReasonSessionInvalid,
		Field:  "Session-Id",
		Detail: "the version of this session can't be told; use the token of an answer, or a new name",
	}
}

// sweep drops expired pins, at most once in a sixteenth of the expiry.
func (p *Pins) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < p.idleTimeout/16 {
		return
	}
	p.lastSweep = now
	for key, e := range p.pins {
		if now.Sub(e.lastUsed) >= p.idleTimeout {
			delete(p.pins, key)
			counters.Add("Expired", 1)
		}
	}
}

// Export returns the pins for which match is true, to hand over or to copy.
func (p *Pins) Export(match func(customer, session string) bool) []Pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Pin
	for key, e := range p.pins {
		if match(key.customer, key.session) {
			list = append(list, e.pin)
		}
	}
	return list
}

// Import takes in pins of other instances. Of two pins for one session the one
// that started first stays.
func (p *Pins) Import(pins []Pin) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, pin := range pins {
		key := pinKey{pin.Customer, pin.Session, pin.Model}
		if now.Sub(pin.StartedAt) >= MaxAge {
			continue
		}
		if e := p.pins[key]; e != nil && !pin.StartedAt.Before(e.pin.StartedAt) {
			continue
		}
		if len(p.pins) >= p.maxPins {
			p.possibleLossAt = now
			return errors.New("session pins: the limit is reached")
		}
		p.pins[key] = &entry{pin: pin, lastUsed: now}
	}
	return nil
}

// Len returns the number of pins.
func (p *Pins) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.pins)
}
