// Package status tells the state of an instance, and collects that of all.
package status

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
	"github.com/kingcupyard/kingcupyard/internal/platform/store"
)

// askConcurrency bounds how many instances are asked at once.
const askConcurrency = 32

// Status is the state of one instance.
type Status struct {
	Name       string
	DataCentre string
	Generation uint64
	State      board.MemberState
	// Revision of the configuration in force, and its preset.
	Revision int64
	Preset   string
	// Ready says whether new work is taken, Reason why not.
	Ready  bool
	Reason string
	// ConfirmedSeconds is how long ago the store or a peer confirmed the
	// revision, StoreSeconds how long ago the store did; negative if never.
	ConfirmedSeconds float64
	StoreSeconds     float64
	Watching         bool
	// Members counts the membership view by state, and by data centre.
	Members     map[string]int
	DataCentres map[string]int
	// Servers counts the backend servers by state.
	Servers map[string]int
	// Duties names what this instance keeps.
	Duties   []string
	Store    []store.Calls
	Refusals map[string]int64
	// Error says why an instance could not be asked.
	Error string `json:",omitempty"`
}

// Teller tells the state of its instance.
type Teller struct {
	board    *board.Board
	clock    clockwork.Clock
	calls    func() []store.Calls
	duties   func() []string
	refusals func() map[string]int64
}

// Option changes how a teller is built.
type Option func(*Teller)

// WithClock sets the clock.
func WithClock(clock clockwork.Clock) Option { return func(t *Teller) { t.clock = clock } }

// WithStoreCalls sets where the store's calls by purpose come from.
func WithStoreCalls(calls func() []store.Calls) Option { return func(t *Teller) { t.calls = calls } }

// WithDuties sets where the keeper duties come from.
func WithDuties(duties func() []string) Option { return func(t *Teller) { t.duties = duties } }

// WithRefusals sets where the refusals by reason come from.
func WithRefusals(refusals func() map[string]int64) Option {
	return func(t *Teller) { t.refusals = refusals }
}

// New returns the teller of the instance with this board.
func New(b *board.Board, opts ...Option) *Teller {
	t := &Teller{
		board:    b,
		clock:    clockwork.NewRealClock(),
		calls:    func() []store.Calls { return nil },
		duties:   func() []string { return nil },
		refusals: func() map[string]int64 { return nil },
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Tell returns the present state.
func (t *Teller) Tell() Status {
	s := Status{
		Members: map[string]int{}, DataCentres: map[string]int{}, Servers: map[string]int{},
		Store: t.calls(), Duties: t.duties(), Refusals: t.refusals(),
		ConfirmedSeconds: -1, StoreSeconds: -1,
	}
	t.tellMembers(&s)
	if doc := t.board.Configuration.Get(); doc != nil {
		s.Revision, s.Preset = doc.Revision, doc.Preset
	}
	if c := t.board.Confirmation.Get(); c != nil {
		s.Ready, s.Reason, s.Watching = c.Allows(t.clock.Now()), c.Reason, c.Watching
		s.ConfirmedSeconds, s.StoreSeconds = t.secondsSince(c.At), t.secondsSince(c.StoreAt)
	}
	if servers := t.board.Servers.Get(); servers != nil {
		for _, x := range servers.List {
			s.Servers[string(x.State)]++
		}
	}
	return s
}

func (t *Teller) tellMembers(s *Status) {
	members := t.board.Members.Get()
	if members == nil {
		return
	}
	s.Name = members.Self
	for _, m := range members.List {
		s.Members[string(m.State)]++
		s.DataCentres[m.DataCentre]++
	}
	if self := members.Find(members.Self); self != nil {
		s.DataCentre, s.Generation, s.State = self.DataCentre, self.Generation, self.State
	}
}

func (t *Teller) secondsSince(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return t.clock.Since(at).Seconds()
}

// Status answers a peer.
func (t *Teller) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	value, err := json.Marshal(t.Tell())
	if err != nil {
		return nil, fmt.Errorf("encode status: %w", err)
	}
	return &peer.StatusResponse{Status: value}, nil
}

// Peers asks other instances.
type Peers interface {
	Status(ctx context.Context, address string, req *peer.StatusRequest) (*peer.StatusResponse, error)
}

// Collect returns the state of every member, sorted by name. One that cannot
// be asked is in the list with the error.
func (t *Teller) Collect(ctx context.Context, peers Peers) []Status {
	members := t.board.Members.Get()
	if members == nil {
		return []Status{t.Tell()}
	}
	list := make([]Status, len(members.List))
	var group errgroup.Group
	group.SetLimit(askConcurrency)
	for i, m := range members.List {
		group.Go(func() error {
			if m.Name == members.Self {
				list[i] = t.Tell()
				return nil
			}
			s, err := ask(ctx, peers, m.PeerAddress)
			if err != nil {
				s = Status{Name: m.Name, DataCentre: m.DataCentre, State: m.State, Error: err.Error()}
			}
			list[i] = s
			return nil
		})
	}
	_ = group.Wait()
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func ask(ctx context.Context, peers Peers, address string) (Status, error) {
	var s Status
	resp, err := peers.Status(ctx, address, &peer.StatusRequest{})
	if err != nil {
		return s, err
	}
	if err := json.Unmarshal(resp.Status, &s); err != nil {
		return s, fmt.Errorf("decode status of %s: %w", address, err)
	}
	return s, nil
}
