package ledger

import (
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

func (s *state) decideClaim(r *Record, now time.Time) (Outcome, bool) {
	if now.Sub(r.At) > claimFull-s.windows.MaxClockSkew {
		return Outcome{State: Expired}, false
	}
	have := s.claims[r.key()]
	old, packed := s.packed.get(r.key())
	keep := s.windows.Claims + s.windows.MaxClockSkew
	packed = packed && now.Sub(old.at()) <= keep
	if have != nil && now.Sub(have.At) > keep {
		have = nil
	}
	switch {
	case packed && old.hash != uint32(r.Claim.BodyHash):
		return Outcome{State: Mismatch}, false
	case packed:
		return Outcome{State: Duplicate, Existing: old.existing()}, false
	case have == nil:
		return Outcome{State: Committed}, true
	case slices.Contains(have.Given, r.Claim.Nonce):
		return Outcome{State: Released}, false
	case have.Free:
		return Outcome{State: Committed}, true
	case have.Nonce == r.Claim.Nonce:
		return Outcome{State: Committed}, false
	case have.BodyHash != r.Claim.BodyHash:
		return Outcome{State: Mismatch}, false
	}
	return Outcome{State: Duplicate, Existing: have.existing()}, false
}

func (c *claimEntry) existing() *ExistingClaim {
	return &ExistingClaim{
		State: c.State, Finished: c.Finished, Answer: c.Answer, AnswerHeld: c.Answer != nil,
		At: c.At, Instance: c.Instance,
	}
}

// decideFinish leaves a record unwritten only for what is known to be in the
// log: a keeper that has been overtaken must not take its ignorance for fact.
func (s *state) decideFinish(r *Record, now time.Time) (Outcome, bool) {
	if now.Sub(r.At) > s.windows.Claims-s.windows.MaxClockSkew {
		return Outcome{State: Expired}, false
	}
	have := s.claims[r.key()]
	f := r.Finish
	if _, packed := s.packed.get(r.key()); packed && f.Outcome == call.NotRun {
		return Outcome{State: Expired}, false
	}
	if f.Outcome == call.NotRun {
		return Outcome{State: Committed}, have == nil || !slices.Contains(have.Given, f.Nonce)
	}
	known := have != nil && have.Nonce == f.Nonce && have.Finished
	return Outcome{State: Committed}, !known
}

func (s *state) applyClaim(r *Record) {
	entry := &claimEntry{Claim: *r.Claim, Instance: r.Origin.Instance, At: r.At, State: call.MayHaveRun}
	if have := s.claims[r.key()]; have != nil {
		entry.Given = have.Given
	}
	s.claims[r.key()] = entry
	delete(s.packed.known, digestOf(r.key()))
}

// applyFinish moves a claim forward. Giving up names the claim that it gives
// up, so that it holds also when it overtakes that claim.
func (s *state) applyFinish(r *Record) {
	f, have := r.Finish, s.claims[r.key()]
	if s.packed.finish(r.key(), f.Outcome) {
		return
	}
	if f.Outcome != call.NotRun {
		if have != nil && have.Nonce == f.Nonce {
			have.State, have.Finished, have.Answer = f.Outcome, true, f.Answer
		}
		return
	}
	if have == nil {
		have = &claimEntry{Claim: Claim{ID: f.ID, Customer: f.Customer}, At: r.At, Free: true}
		s.claims[r.key()] = have
	}
	if have.Nonce == f.Nonce {
		have.Free = true
	}
	have.Given = append(have.Given, f.Nonce)
}
