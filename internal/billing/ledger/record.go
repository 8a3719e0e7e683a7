package ledger

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Kind is the kind of a record.
type Kind string

// The kinds of records.
const (
	KindOpen   Kind = "Open"
	KindClose  Kind = "Close"
	KindClaim  Kind = "Claim"
	KindFinish Kind = "Finish"
	// KindSettle closes a bill whose instance has disappeared. Only keepers
	// write it.
	KindSettle Kind = "Settle"
	// KindSkip records the number of a rejected duplicate, so that a later
	// repeat of the same record is recognised. Only keepers write it.
	KindSkip Kind = "Skip"
)

// Origin identifies one run of an instance.
type Origin struct {
	Instance   string
	Generation uint64
}

// Record is one entry of a shard's log. Exactly one of Bill, Claim and Finish
// is set, except for KindSkip, which has none.
type Record struct {
	Kind Kind
	// Origin and Number uniquely identify a Close. Its copies and repeats carry
	// the same values.
	Origin Origin
	Number uint64 `json:",omitempty"`
	At     time.Time
	Bill   *Bill   `json:",omitempty"`
	Claim  *Claim  `json:",omitempty"`
	Finish *Finish `json:",omitempty"`
}

// Claim reserves the single execution of a non-idempotent request.
type Claim struct {
	ID       string
	Customer string
	BodyHash uint64
	// Nonce distinguishes repeats of one claim from the claim of a second request
	// with the same ID.
	Nonce string
}

// Finish reports the result of the execution that a claim allowed. The outcome
// NotRun frees the ID.
type Finish struct {
	ID       string
	Customer string
	Nonce    string
	Outcome  call.RunState
	// Answer is the response to the caller, stored for repeated requests if it is
	// small enough.
	Answer []byte `json:",omitempty"`
}

func (r *Record) key() string {
	switch {
	case r.Bill != nil:
		return recordKey(r.Bill.Customer, r.Bill.ID)
	case r.Claim != nil:
		return recordKey(r.Claim.Customer, r.Claim.ID)
	case r.Finish != nil:
		return recordKey(r.Finish.Customer, r.Finish.ID)
	}
	return ""
}

// ID returns the ID of the request that the record belongs to.
func (r *Record) ID() string {
	switch {
	case r.Bill != nil:
		return r.Bill.ID
	case r.Claim != nil:
		return r.Claim.ID
	case r.Finish != nil:
		return r.Finish.ID
	}
	return ""
}

// Encode returns the form in which the record is sent to other instances.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a record and returns an *InvalidRecordError if a sender
// may not send it.
func DecodeRecord(payload []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return Record{}, fmt.Errorf("decode ledger record: %w", err)
	}
	valid := map[Kind]bool{
		KindOpen: r.Bill != nil, KindClose: r.Bill != nil && r.Number > 0,
		KindClaim: r.Claim != nil, KindFinish: r.Finish != nil,
	}
	if !valid[r.Kind] {
		return Record{}, &InvalidRecordError{Kind: r.Kind}
	}
	return r, nil
}

// InvalidRecordError reports a record that is incomplete or of a kind that only
// keepers may write.
type InvalidRecordError struct{ Kind Kind }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("ledger record of kind %q is not complete or not allowed", e.Kind)
}

// OutcomeState is the result of a record.
type OutcomeState string

// The outcomes of a record.
const (
	// Committed means that the record is in the store; an earlier attempt may
	// have written it.
	Committed OutcomeState = "Committed"
	// Duplicate means that another record of the same ID was committed first.
	Duplicate OutcomeState = "Duplicate"
	// Mismatch means that the ID was claimed before with a different body.
	Mismatch OutcomeState = "Mismatch"
	// Unavailable means that the result is unknown. The record may be sent
	// again.
	Unavailable OutcomeState = "Unavailable"
	// Released means that the claim was given up before it could be granted.
	Released OutcomeState = "Released"
	// Expired means that the record is so old that the ledger could no longer
	// recognise it as a repeat.
	Expired OutcomeState = "Expired"
)

// Outcome is the result of one record.
type Outcome struct {
	State OutcomeState
	// Existing is set if a claim is a Duplicate.
	Existing *ExistingClaim `json:",omitempty"`
}

// ExistingClaim describes the first request under a claimed ID.
type ExistingClaim struct {
	State    call.RunState
	Finished bool
	// Answer is the answer to the first request, if AnswerHeld.
	Answer     []byte `json:",omitempty"`
	AnswerHeld bool
	At         time.Time
	Instance   string
}

// Request carries records of one shard to its keeper.
type Request struct {
	From    Origin
	Shard   int
	Records []Record
}

// Response carries the outcomes of a request's records, in the same order.
type Response struct {
	Outcomes []Outcome
}

// CopyRequest places copies of records with a peer.
type CopyRequest struct {
	From    Origin
	Records []Record
	// Committed lists records that have been committed, so that their copies
	// are not needed any more.
	Committed []RecordRef
}

// RecordRef identifies a committed record.
type RecordRef struct {
	Origin Origin
	Shard  int
	Number uint64
}
