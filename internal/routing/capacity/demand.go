package capacity

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// serverStates returns what this instance knows of the servers that it keeps.
func (l *Limiter) serverStates(keeps func(server string) bool) []ServerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	var views []ServerState
	for name, s := range *l.table.Load() {
		if !keeps(name) {
			continue
		}
		views = append(views, ServerState{
			Server: name, Warmup: s.belief, Ramp: s.limits.ramp,
			Concurrency: s.limits.concurrency, ColdConcurrency: s.limits.coldConcurrency,
		})
	}
	return views
}

// known reports whether the server is in the limiter's table.
func (l *Limiter) known(server string) bool {
	return (*l.table.Load())[server] != nil
}

// serversNeedingCredit lists the servers in cold start about which the keeper must hear:
// those with work of this instance, with credits, or with demand if this
// instance is one of those that may ask.
func (l *Limiter) serversNeedingCredit(members *board.Members, askers int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, s := range *l.table.Load() {
		if s.startLimit.Load().phase == Warm {
			continue
		}
		busy := s.inFlight.Load() > 0 || s.credit.count > 0
		if busy || s.demand.Load() > 0 && isAsker(members, name, askers) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isAsker reports whether this instance is among the few that ask for credits
// of the server; the others leave it alone while it is cold. That bounds the
// messages to its keeper whatever the number of instances.
func isAsker(members *board.Members, server string, askers int) bool {
	if len(members.List) <= askers {
		return true
	}
	own, before := askerRank(members.Self, server), 0
	for i := range members.List {
		if askerRank(members.List[i].Name, server) > own {
			if before++; before >= askers {
				return false
			}
		}
	}
	return true
}

func askerRank(member, server string) uint64 {
	return xxhash.Sum64String(member) ^ xxhash.Sum64String(server)*0x9e3779b97f4a7c15
}

// buildAsk gives back unused credits of the server and returns what to tell its
// keeper. The limit is lowered before the work in use is counted, so that the
// statement stays true until the next grant.
func (l *Limiter) buildAsk(name string, now time.Time) CreditAsk {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := (*l.table.Load())[name]
	activity := int(s.demand.Swap(0))
	wanted := int(s.inFlight.Load()) + min(activity, s.limits.concurrency)
	wanted = min(wanted, s.limits.concurrency)
	s.credit.count = min(s.credit.count, wanted)
	if !now.Before(s.credit.expiry) {
		s.credit.count = 0
	}
	s.publishLimit(l, now)
	return CreditAsk{
		Server: name, Wanted: wanted, Limit: s.credit.count,
		InUse: int(s.inFlight.Load()), Epoch: s.credit.epoch, Cold: s.belief.Report.Cold,
	}
}

// applyGrant takes in a grant. Its validity counts from when it was asked for, so
// that it ends here before it ends at the keeper. A grant of a lower epoch is
// from a former keeper and dropped.
func (l *Limiter) applyGrant(g CreditGrant, askedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := (*l.table.Load())[g.Server]
	expiry := askedAt.Add(g.Valid)
	switch {
	case s == nil, g.Count < 0:
		return
	case g.Epoch < s.credit.epoch:
		counters.Add("CreditOldEpoch", 1)
		return
	case g.Count == 0:
		// Refused: what is left of the credit before runs out by itself.
		return
	case s.belief.TurnedColdAt.After(askedAt), !now.Before(expiry):
		counters.Add("CreditTooLate", 1)
		return
	}
	s.credit = credit{count: g.Count, expiry: expiry, epoch: g.Epoch}
	s.publishLimit(l, now)
}
