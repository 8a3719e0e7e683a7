package cascade

import "github.com/kingcupyard/kingcupyard/internal/fleet/peer"

// Message returns the counter as a message of the protocol between instances.
// The message type is shared with the counters of rollouts.
func (c *Counter) Message() *peer.Counter {
	return &peer.Counter{
		Member:     c.Member,
		Generation: c.Generation,
		Epoch:      c.Epoch,
		Customer:   c.Customer,
		Class:      c.Class,
		Model:      c.Model,
		Kind:       string(c.Kind),
		Rated:      c.Total,
		Passed:     c.Passed,
	}
}

// CounterFromMessage returns the counter in another instance's message, and
// whether the counter is one that cascades learn from.
func CounterFromMessage(m *peer.Counter) (Counter, bool) {
	return Counter{
		Member:     m.GetMember(),
		Generation: m.GetGeneration(),
		Epoch:      m.GetEpoch(),
		Customer:   m.GetCustomer(),
		Class:      m.GetClass(),
		Model:      m.GetModel(),
		Kind:       OutcomeKind(m.GetKind()),
		Passed:     m.GetPassed(),
		Total:      m.GetRated(),
	}, m.GetKind() != ""
}
