package rollout

import "github.com/kingcupyard/kingcupyard/internal/fleet/peer"

// Message returns the counter as a message of the protocol between instances.
func (c *Counter) Message() *peer.Counter {
	return &peer.Counter{
		Member:      c.Member,
		Generation:  c.Generation,
		Trial:       c.Trial,
		Customer:    c.Customer,
		Model:       c.Model,
		Version:     c.Version,
		Requests:    c.Requests,
		Rated:       c.Rated,
		Passed:      c.Passed,
		Failed:      c.Failed,
		FirstTokens: c.FirstTokens.trimmed(),
		Lengths:     c.Lengths.trimmed(),
	}
}

// CounterFromMessage returns the counter in a message from another instance. It
// limits Passed to Rated and Failed to Requests.
func CounterFromMessage(m *peer.Counter) Counter {
	c := Counter{
		Member:     m.GetMember(),
		Generation: m.GetGeneration(),
		Trial:      m.GetTrial(),
		Customer:   m.GetCustomer(),
		Model:      m.GetModel(),
		Version:    m.GetVersion(),
		Counts: Counts{
			Requests: m.GetRequests(),
			Rated:    m.GetRated(),
			Passed:   min(m.GetPassed(), m.GetRated()),
			Failed:   min(m.GetFailed(), m.GetRequests()),
		},
	}
	copy(c.FirstTokens[:], m.GetFirstTokens())
	copy(c.Lengths[:], m.GetLengths())
	return c
}

// trimmed returns the buckets up to the last one that is not empty.
func (h *Histogram) trimmed() []uint64 {
	end := len(h)
	for end > 0 && h[end-1] == 0 {
		end--
	}
	return h[:end:end]
}
