package ledger

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// This file converts the ledger's requests and responses to and from messages of
// the peer protocol.

func recordsToPeer(records []Record) ([]*peer.Record, error) {
	out := make([]*peer.Record, len(records))
	for i := range records {
		payload, err := records[i].Encode()
		if err != nil {
			return nil, fmt.Errorf("encode ledger record: %w", err)
		}
		out[i] = &peer.Record{Id: records[i].ID(), Kind: string(records[i].Kind), Payload: payload}
	}
	return out, nil
}

func recordsFromPeer(records []*peer.Record) ([]Record, error) {
	out := make([]Record, len(records))
	for i, r := range records {
		var err error
		if out[i], err = DecodeRecord(r.GetPayload()); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// ToPeer returns the request as a peer message.
func (r Request) ToPeer() (*peer.LedgerRequest, error) {
	records, err := recordsToPeer(r.Records)
	if err != nil {
		return nil, err
	}
	return &peer.LedgerRequest{
		Member: r.From.Instance, Generation: r.From.Generation, Shard: int32(r.Shard), Records: records,
	}, nil
}

// RequestFromPeer decodes a peer message.
func RequestFromPeer(m *peer.LedgerRequest) (Request, error) {
	records, err := recordsFromPeer(m.GetRecords())
	if err != nil {
		return Request{}, err
	}
	from := Origin{Instance: m.GetMember(), Generation: m.GetGeneration()}
	return Request{From: from, Shard: int(m.GetShard()), Records: records}, nil
}

// ToPeer returns the response to req as a peer message.
func (r Response) ToPeer(req Request) (*peer.LedgerResponse, error) {
	out := new(peer.LedgerResponse)
	for i, o := range r.Outcomes {
		wire := &peer.LedgerOutcome{Id: req.Records[i].ID(), State: string(o.State)}
		if o.Existing != nil {
			existing, err := json.Marshal(o.Existing)
			if err != nil {
				return nil, fmt.Errorf("encode existing claim: %w", err)
			}
			wire.Existing = existing
		}
		out.Outcomes = append(out.Outcomes, wire)
	}
	return out, nil
}

// ResponseFromPeer decodes a peer message.
func ResponseFromPeer(m *peer.LedgerResponse) (Response, error) {
	var out Response
	for _, wire := range m.GetOutcomes() {
		o := Outcome{State: OutcomeState(wire.GetState())}
		if len(wire.GetExisting()) > 0 {
			o.Existing = new(ExistingClaim)
			if err := json.Unmarshal(wire.GetExisting(), o.Existing); err != nil {
				return Response{}, fmt.Errorf("decode existing claim: %w", err)
			}
		}
		out.Outcomes = append(out.Outcomes, o)
	}
	return out, nil
}

// ToPeer returns the request as a peer message.
func (r CopyRequest) ToPeer() (*peer.CopiesRequest, error) {
	records, err := recordsToPeer(r.Records)
	if err != nil {
		return nil, err
	}
	return &peer.CopiesRequest{
		Owner: r.From.Instance, Generation: r.From.Generation, Records: records,
		Settled: lo.Map(r.Committed, func(s RecordRef, _ int) string { return s.String() }),
	}, nil
}

// CopyRequestFromPeer decodes a peer message.
func CopyRequestFromPeer(m *peer.CopiesRequest) (CopyRequest, error) {
	out := CopyRequest{From: Origin{Instance: m.GetOwner(), Generation: m.GetGeneration()}}
	var err error
	if out.Records, err = recordsFromPeer(m.GetRecords()); err != nil {
		return CopyRequest{}, err
	}
	for _, text := range m.GetSettled() {
		s, err := parseRecordRef(text)
		if err != nil {
			return CopyRequest{}, err
		}
		out.Committed = append(out.Committed, s)
	}
	return out, nil
}

// String returns the reference in the form SHARD/NUMBER/GENERATION/INSTANCE.
func (s RecordRef) String() string {
	return fmt.Sprintf("%d/%d/%d/%s", s.Shard, s.Number, s.Origin.Generation, s.Origin.Instance)
}

// parseRecordRef parses the result of RecordRef.String.
func parseRecordRef(text string) (RecordRef, error) {
	f := strings.SplitN(text, "/", 4)
	if len(f) != 4 {
		return RecordRef{}, fmt.Errorf("settled record %q is not SHARD/NUMBER/GENERATION/INSTANCE", text)
	}
	shard, err1 := strconv.Atoi(f[0])
	number, err2 := strconv.ParseUint(f[1], 10, 64)
	generation, err3 := strconv.ParseUint(f[2], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return RecordRef{}, fmt.Errorf("settled record %q is not SHARD/NUMBER/GENERATION/INSTANCE", text)
	}
	return RecordRef{Origin: Origin{f[3], generation}, Shard: shard, Number: number}, nil
}
