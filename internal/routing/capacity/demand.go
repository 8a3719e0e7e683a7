package capacity

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
)

// serverStates returns the state of the servers that this instance keeps.
func (l *Limiter) serverStates(keeps func(server string) bool) []ServerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	var states []ServerState
	for name, s := range *l.table.Load() {
		if !keeps(name) {
			continue
		}
		states = append(states, ServerState{
			Server: name, Warmup: s.warmup, Ramp: s.limits.ramp,
			Concurrency: s.limits.concurrency, ColdConcurrency: s.limits.coldConcurrency,
		})
	}
	return states
}

// known reports whether the server is in the limiter's table.
func (l *Limiter) known(server string) bool {
	return (*l.table.Load())[server] != nil
}

// serversNeedingCredit lists the servers that are not warm and about which
// their keeper needs a request from this instance: those with its requests or
// credits, and those with demand if this instance may start to request credits
// of them.
func (l *Limiter) serversNeedingCredit(members *board.Members, maxRequesters int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for name, s := range *l.table.Load() {
		if s.startLimit.Load().phase == Warm {
			continue
		}
		active := s.inFlight.Load() > 0 || s.credit.count > 0
		if active || s.demand.Load() > 0 && isCreditRequester(members, name, maxRequesters) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// isCreditRequester reports whether this instance is among the maxRequesters that
// may start to request credits of the server; the others send it no work while it
// is cold. This bounds the number of requests to the keeper, however many instances
// there are.
func isCreditRequester(members *board.Members, server string, maxRequesters int) bool {
	if len(members.List) <= maxRequesters {
		return true
	}
	ownRank, higherRanked := requesterRank(members.Self, server), 0
	for i := range members.List {
		if requesterRank(members.List[i].Name, server) > ownRank {
			if higherRanked++; higherRanked >= maxRequesters {
				return false
			}
		}
	}
	return true
}

// requesterRank orders members for one server. The members with the highest ranks
// request its credits.
func requesterRank(member, server string) uint64 {
	return xxhash.Sum64String(member) ^ xxhash.Sum64String(server)*0x9e3779b97f4a7c15
}

// buildAsk gives up the server's unused credits and returns what to tell its
// keeper. The limit is lowered before the work in use is counted, so that the
// statement stays true until the next grant.
func (l *Limiter) buildAsk(name string, now time.Time) CreditAsk {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := (*l.table.Load())[name]
	demand := int(s.demand.Swap(0))
	wanted := int(s.inFlight.Load()) + min(demand, s.limits.concurrency)
	wanted = min(wanted, s.limits.concurrency)
	s.credit.count = min(s.credit.count, wanted)
	if !now.Before(s.credit.expiry) {
		s.credit.count = 0
	}
	s.publishLimit(l, now)
	return CreditAsk{
		Server: name, Wanted: wanted, Limit: s.credit.count,
		InUse: int(s.inFlight.Load()), Epoch: s.credit.epoch, Cold: s.warmup.Report.Cold,
	}
}

// applyGrant puts a grant into force. Its validity counts from the time of the
// request, so that it ends here before it ends at the keeper. A grant of a
// lower epoch comes from a former keeper and is ignored.
func (l *Limiter) applyGrant(grant CreditGrant, requestedAt, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := (*l.table.Load())[grant.Server]
	expiry := requestedAt.Add(grant.Valid)
	switch {
	case s == nil, grant.Count < 0:
		return
	case grant.Epoch < s.credit.epoch:
		counters.Add("CreditOldEpoch", 1)
		return
	case grant.Count == 0:
		// Refused. What remains of the previous credit expires by itself.
		return
	case s.warmup.TurnedColdAt.After(requestedAt), !now.Before(expiry):
		counters.Add("CreditTooLate", 1)
		return
	}
	s.credit = credit{count: grant.Count, expiry: expiry, epoch: grant.Epoch}
	s.publishLimit(l, now)
}
