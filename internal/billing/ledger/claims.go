package ledger

import (
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// decideClaim grants a claim unless the ID has a claim that is still retained
// and has not been given up.
func (s *state) decideClaim(r *Record, now time.Time) (Outcome, bool) {
	if now.Sub(r.At) > claimPackAge-s.retention.MaxClockSkew {
		return Outcome{State: Expired}, false
	}
	current := s.claims[r.key()]
	old, packed := s.packed.get(r.key())
	keep := s.retention.Claims + s.retention.MaxClockSkew
	packed = packed && now.Sub(old.at()) <= keep
	if current != nil && now.Sub(current.At) > keep {
		current = nil
	}
	switch {
	case packed && old.hash != uint32(r.Claim.BodyHash):
		return Outcome{State: Mismatch}, false
	case packed:
		return Outcome{State: Duplicate, Existing: old.existing()}, false
	case current == nil:
		return Outcome{State: Committed}, true
	case slices.Contains(current.Given, r.Claim.Nonce):
		return Outcome{State: Released}, false
	case current.Free:
		return Outcome{State: Committed}, true
	case current.Nonce == r.Claim.Nonce:
		return Outcome{State: Committed}, false
	case current.BodyHash != r.Claim.BodyHash:
		return Outcome{State: Mismatch}, false
	}
	return Outcome{State: Duplicate, Existing: current.existing()}, false
}

func (c *claimEntry) existing() *ExistingClaim {
	return &ExistingClaim{
		State: c.State, Finished: c.Finished, Answer: c.Answer, AnswerHeld: c.Answer != nil,
		At: c.At, Instance: c.Instance,
	}
}

// decideFinish skips the write only if the log is known to contain the result
// already. The state of a keeper that another keeper has overtaken is outdated,
// so a missing claim is no reason to skip it.
func (s *state) decideFinish(r *Record, now time.Time) (Outcome, bool) {
	if now.Sub(r.At) > s.retention.Claims-s.retention.MaxClockSkew {
		return Outcome{State: Expired}, false
	}
	current := s.claims[r.key()]
	f := r.Finish
	if _, packed := s.packed.get(r.key()); packed && f.Outcome == call.NotRun {
		return Outcome{State: Expired}, false
	}
	if f.Outcome == call.NotRun {
		return Outcome{State: Committed}, current == nil || !slices.Contains(current.Given, f.Nonce)
	}
	known := current != nil && current.Nonce == f.Nonce && current.Finished
	return Outcome{State: Committed}, !known
}

func (s *state) applyClaim(r *Record) {
	entry := &claimEntry{Claim: *r.Claim, Instance: r.Origin.Instance, At: r.At, State: call.MayHaveRun}
	if current := s.claims[r.key()]; current != nil {
		entry.Given = current.Given
	}
	s.claims[r.key()] = entry
	delete(s.packed.byDigest, digestOf(r.key()))
}

// applyFinish records the result of a claim. A record that gives a claim up
// (NotRun) carries the nonce of that claim, so it takes effect even if it
// arrives before the claim does.
func (s *state) applyFinish(r *Record) {
	f, current := r.Finish, s.claims[r.key()]
	if s.packed.finish(r.key(), f.Outcome) {
		return
	}
	if f.Outcome != call.NotRun {
		if current != nil && current.Nonce == f.Nonce {
			current.State, current.Finished, current.Answer = f.Outcome, true, f.Answer
		}
		return
	}
	if current == nil {
		current = &claimEntry{Claim: Claim{ID: f.ID, Customer: f.Customer}, At: r.At, Free: true}
		s.claims[r.key()] = current
	}
	if current.Nonce == f.Nonce {
		current.Free = true
	}
	current.Given = append(current.Given, f.Nonce)
}
