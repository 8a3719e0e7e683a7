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
	// IdleTimeout is the time without requests after which a named session ends.
	IdleTimeout = time.Hour
	// MaxAge is the longest duration of a named session. After it, the name starts
	// a new session. It limits how far back a lost pin has to be recomputed.
	MaxAge = 24 * time.Hour
	// MaxPins is the largest number of pins that one instance keeps.
	MaxPins = 100_000
	// maxPropagationDelay is the longest time from a change recorded in the
	// document's history until every instance applies it, including clock skew.
	maxPropagationDelay = 5 * time.Second
)

// counters counts the events of named sessions.
var counters = expvar.NewMap("SessionEvents")

// Request identifies the session and model of a request of a named session.
type Request struct {
	Customer string
	Session  string
	Model    string
	// ExactVersion is the version that the caller names with the model, or empty.
	// A new session is pinned to it.
	ExactVersion string
	// StartedAt is when the session started, or zero if the caller does not say.
	StartedAt time.Time
}

// Fraction returns the hash in [0, 1) that decides on which side of each rollout
// stage the session is. Named sessions are placed by this hash and the document
// alone, so that a lost pin can be recomputed.
func (r Request) Fraction() float64 { return rollout.HashFraction(r.Customer, r.Session, r.Model) }

func (r Request) pin(version string, startedAt time.Time) Pin {
	return Pin{Customer: r.Customer, Model: r.Model, Version: version, Session: r.Session, StartedAt: startedAt}
}

// Pins holds the pinned versions of named sessions at their keeper. It is safe
// for concurrent use.
type Pins struct {
	clock       clockwork.Clock
	idleTimeout time.Duration
	maxPins     int

	mu   sync.Mutex
	pins map[pinKey]*entry
	// possibleLossAt is the last time at which pins may have been lost. The pin of
	// a session that started before it may be missing. It is zero if no pin can
	// be missing.
	possibleLossAt time.Time
	lastSweep      time.Time
}

type pinKey struct{ customer, session, model string }

type entry struct {
	pin      Pin
	lastUsed time.Time
}

// PinsOption configures Pins.
type PinsOption func(*Pins)

// WithIdleTimeout sets the time without requests after which a session ends.
func WithIdleTimeout(d time.Duration) PinsOption { return func(p *Pins) { p.idleTimeout = d } }

// WithLimit sets the largest number of pins kept.
func WithLimit(n int) PinsOption { return func(p *Pins) { p.maxPins = n } }

// NewPins returns an empty Pins that is marked incomplete: a new instance does not
// know the sessions whose keeper it becomes until they have been transferred to it
// and the caller has called MarkComplete.
func NewPins(clock clockwork.Clock, options ...PinsOption) *Pins {
	p := &Pins{clock: clock, idleTimeout: IdleTimeout, maxPins: MaxPins, pins: map[pinKey]*entry{}, possibleLossAt: clock.Now()}
	for _, o := range options {
		o(p)
	}
	return p
}

// MarkIncomplete records that pins may have been lost, for example because another
// instance ended without transferring them. For the idle timeout after that, an
// unknown name may be that of a session in progress.
func (p *Pins) MarkIncomplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleLossAt = p.clock.Now()
}

// MarkComplete records that the pins of all sessions in progress are present, so
// that an unknown name is a new session.
func (p *Pins) MarkComplete() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.possibleLossAt = time.Time{}
}

// Find returns the stored pin of a named session. It does not count as use of the
// session.
func (p *Pins) Find(req Request) (Pin, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.pins[pinKey{req.Customer, req.Session, req.Model}]
	if e == nil {
		return Pin{}, false
	}
	return e.pin, true
}

// Resolve returns the pin for the next request of a named session and stores it.
// An unknown name starts a new session, unless its pin may have been lost. In that
// case Resolve recomputes the version if the rollout history allows only one, and
// refuses the request otherwise. The error is a *call.Refusal.
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

// create returns the pin of a session without a stored pin or, if replace is true,
// of a new session whose predecessor under the same name has reached MaxAge.
func (p *Pins) create(doc *configuration.Document, customer *configuration.Customer, req Request, now time.Time, replace bool) (Pin, error) {
	if len(p.pins) >= p.maxPins && !replace {
		counters.Add("Full", 1)
		return Pin{}, &call.Refusal{Reason: call.ReasonOverloaded, Field: "Session-Id", Detail: "too many named sessions; use the token of an answer"}
	}
	if req.ExactVersion != "" {
		return req.pin(req.ExactVersion, now), nil // the caller names the version in every request
	}
	if !replace && !p.possibleLossAt.IsZero() && now.Sub(p.possibleLossAt) < p.idleTimeout {
		return Recompute(doc, customer, req, p.possibleLossAt, now)
	}
	counters.Add("Begun", 1)
	version, err := rollout.ChooseVersion(doc, customer, req.Model, req.Fraction())
	return req.pin(version, now), err
}

// Recompute returns the pin of a named session from the document alone. It refuses
// the request if the rollout history allows more than one version for a session
// that started at any time within MaxAge. A start time in the request narrows the
// range; a session that started after possibleLossAt is new. The error is a
// *call.Refusal.
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

// sweep deletes expired pins, at most once per sixteenth of the idle timeout.
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

// Export returns the pins for which match is true, to transfer or to copy them.
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

// Import stores pins of other instances. Of two pins for one session, the one that
// started first is kept. If the limit is reached, Import drops the remaining pins,
// marks the pins incomplete and returns an error.
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
