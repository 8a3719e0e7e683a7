// Package store is a stand-in for the platform's key-value service: the part
// of the etcd v3 JSON gateway that the system uses, with compare-and-swap,
// leases and watches, call counting and limits, and faults.
package store

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// Settings describe the store. Zero fields take the defaults.
type Settings struct {
	// WritesPerSecond and ReadsPerSecond are the service's rates.
	WritesPerSecond int
	ReadsPerSecond  int
	// ValueLimit is the largest value in bytes.
	ValueLimit int
	// HistoryLimit is how many changes a watch can look back on.
	HistoryLimit int
}

// Faults are the faults of the store. Backup, Restore and Silence are single
// events.
type Faults struct {
	// Down answers every call with 503 and ends the watches.
	Down bool
	// Hang accepts calls and never answers.
	Hang bool
	// Silence makes the connections that are open now silent for good.
	Silence bool
	// DelayMilliseconds is added to every call.
	DelayMilliseconds int
	// LoseAnswers is how many of the next writes take effect and have their
	// answer lost.
	LoseAnswers int
	// Backup takes a backup; Restore goes back to the last one.
	Backup  bool
	Restore bool
	// WritesPerSecond and ReadsPerSecond replace the rates, if positive.
	WritesPerSecond int
	ReadsPerSecond  int
}

func (s Settings) withDefaults() Settings {
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = 400
	}
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = 2000
	}
	if s.ValueLimit == 0 {
		s.ValueLimit = 1 << 20
	}
	if s.HistoryLimit == 0 {
		s.HistoryLimit = 20000
	}
	return s
}

// number is a 64-bit integer in the gateway's JSON: written as a string, read
// as a string or a number.
type number int64

// MarshalJSON writes the number as a string.
func (n number) MarshalJSON() ([]byte, error) {
	return json.Marshal(strconv.FormatInt(int64(n), 10))
}

// UnmarshalJSON reads a string or a number.
func (n *number) UnmarshalJSON(text []byte) error {
	if len(text) > 1 && text[0] == '"' {
		text = text[1 : len(text)-1]
	}
	v, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil {
		return fmt.Errorf("read number: %w", err)
	}
	*n = number(v)
	return nil
}

type header struct {
	ClusterID number `json:"cluster_id"`
	MemberID  number `json:"member_id"`
	Revision  number `json:"revision"`
	RaftTerm  number `json:"raft_term"`
}

type keyValue struct {
	Key            []byte `json:"key"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
	Version        number `json:"version"`
	Value          []byte `json:"value,omitempty"`
	Lease          number `json:"lease,omitempty"`
}

type rangeRequest struct {
	Key       []byte `json:"key"`
	RangeEnd  []byte `json:"range_end"`
	Limit     number `json:"limit"`
	KeysOnly  bool   `json:"keys_only"`
	CountOnly bool   `json:"count_only"`
}

type rangeResponse struct {
	Header *header    `json:"header,omitempty"`
	KVs    []keyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  number     `json:"count"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease number `json:"lease"`
}

type putResponse struct {
	Header *header `json:"header,omitempty"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type deleteResponse struct {
	Header  *header `json:"header,omitempty"`
	Deleted number  `json:"deleted"`
}

// compare is one condition of a transaction.
type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	CreateRevision number `json:"create_revision"`
	ModRevision    number `json:"mod_revision"`
	Version        number `json:"version"`
	Value          []byte `json:"value"`
	Lease          number `json:"lease"`
}

// operation is one request of a transaction; one of its fields is set.
type operation struct {
	Put         *putRequest    `json:"request_put"`
	Range       *rangeRequest  `json:"request_range"`
	DeleteRange *deleteRequest `json:"request_delete_range"`
}

type operationResponse struct {
	Put         *putResponse    `json:"response_put,omitempty"`
	Range       *rangeResponse  `json:"response_range,omitempty"`
	DeleteRange *deleteResponse `json:"response_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type txnResponse struct {
	Header    *header             `json:"header,omitempty"`
	Succeeded bool                `json:"succeeded"`
	Responses []operationResponse `json:"responses,omitempty"`
}

type leaseRequest struct {
	ID  number `json:"ID"`
	TTL number `json:"TTL"`
}

type leaseResponse struct {
	Header *header `json:"header,omitempty"`
	ID     number  `json:"ID,omitempty"`
	TTL    number  `json:"TTL"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision number `json:"start_revision"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

// change is one event of a watch; the gateway leaves the type PUT out.
type change struct {
	Type string   `json:"type,omitempty"`
	KV   keyValue `json:"kv"`
}

type watchResponse struct {
	Header          *header  `json:"header,omitempty"`
	WatchID         number   `json:"watch_id"`
	Created         bool     `json:"created,omitempty"`
	Canceled        bool     `json:"canceled,omitempty"`
	CompactRevision number   `json:"compact_revision,omitempty"`
	Events          []change `json:"events,omitempty"`
}

// problem is the gateway's error body.
type problem struct {
	Error   string `json:"error"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
