package ledger

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// Kind is the kind of a record.
type Kind string

// The kinds of record.
const (
	KindOpen   Kind = "Open"
	KindClose  Kind = "Close"
	KindClaim  Kind = "Claim"
	KindFinish Kind = "Finish"
	// KindSettle closes a bill whose instance is gone. Only keepers write it.
	KindSettle Kind = "Settle"
	// KindSkip notes a refused duplicate, so that a late repeat of it is still
	// known. Only keepers write it.
	KindSkip Kind = "Skip"
)

// Origin is one run of one instance.
type Origin struct {
	Instance   string
	Generation uint64
}

// Record is one entry of a shard's log. Exactly one of Bill, Claim and Finish
// is set, but for Skip.
type Record struct {
	Kind Kind
	// Origin and Number identify a Close for good: copies and repeats of it
	// carry the same.
	Origin Origin
	Number uint64 `json:",omitempty"`
	At     time.Time
	Bill   *Bill   `json:",omitempty"`
	Claim  *Claim  `json:",omitempty"`
	Finish *Finish `json:",omitempty"`
}

// Claim reserves the one run of a non-idempotent request.
type Claim struct {
	ID       string
	Customer string
	BodyHash uint64
	// Nonce tells repeats of one claim from claims of a second arrival.
	Nonce string
}

// Finish says how the run under a claim ended. NotRun frees the claim.
type Finish struct {
	ID       string
	Customer string
	Nonce    string
	Outcome  call.RunState
	// Answer is the caller's answer, kept for repeats while there is room.
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

// ID returns the request ID that the record is about.
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

// Encode returns the record's form between instances.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads a record and checks that it is one a sender may make.
func DecodeRecord(payload []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(payload, &r); err != nil {
		return Record{}, fmt.Errorf("decode ledger record: %w", err)
	}
	wanted := map[Kind]bool{
		KindOpen: r.Bill != nil, KindClose: r.Bill != nil && r.Number > 0,
		KindClaim: r.Claim != nil, KindFinish: r.Finish != nil,
	}
	if !wanted[r.Kind] {
		return Record{}, &InvalidRecordError{Kind: r.Kind}
	}
	return r, nil
}

// InvalidRecordError reports a record that no sender may make.
type InvalidRecordError struct{ Kind Kind }

func (e *InvalidRecordError) Error() string {
	return fmt.Sprintf("ledger record of kind %q is not complete or not allowed", e.Kind)
}

// OutcomeState says what became of a record.
type OutcomeState string

// The outcomes of a record.
const (
	// Committed says that the record is in the store, now or from before.
	Committed OutcomeState = "Committed"
	// Duplicate says that another record of the same ID came first.
	Duplicate OutcomeState = "Duplicate"
	// Mismatch is a duplicate claim with another body.
	Mismatch OutcomeState = "Mismatch"
	// Unavailable says that it is not known; the record may be sent again.
	Unavailable OutcomeState = "Unavailable"
	// Released says that the claim was given up before it was granted.
	Released OutcomeState = "Released"
	// Expired says that the record is older than what the ledger remembers.
	Expired OutcomeState = "Expired"
)

// Outcome answers one record.
type Outcome struct {
	State OutcomeState
	// Existing is set on Duplicate of a claim.
	Existing *ExistingClaim `json:",omitempty"`
}

// ExistingClaim is what is known of the first request under a claimed ID.
type ExistingClaim struct {
	State    call.RunState
	Finished bool
	// Answer is the first one's answer, if AnswerHeld.
	Answer     []byte `json:",omitempty"`
	AnswerHeld bool
	At         time.Time
	Instance   string
}

// Request carries records to the keeper of their shard.
type Request struct {
	From    Origin
	Shard   int
	Records []Record
}

// Response answers the records of a request, in their order.
type Response struct {
	Outcomes []Outcome
}

// CopyRequest leaves copies of records with a peer while the store is out.
type CopyRequest struct {
	From    Origin
	Records []Record
	// Committed lists the records whose copies are not needed any more.
	Committed []RecordRef
}

// RecordRef names one committed record.
type RecordRef struct {
	Origin Origin
	Shard  int
	Number uint64
}
