// Package pipeline runs requests through an instance. Pipeline handles chat
// completions and calls of plain services: it admits the request, chooses the
// model version and the backend server, claims requests that must not run twice,
// retries failed attempts, bills the request and records its decisions.
// Forwarder passes calls on along the routes of a routing table. Both share the
// retry rules of retryLoop. Apart from running averages, random number
// generators and the Forwarder's confidence calibration, the package keeps no
// state between requests. It is safe for concurrent use.
package pipeline

import (
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// ChatRequest is a chat completion request.
type ChatRequest struct {
	Request *call.Request
	// Prefix holds hashes of the prompt's leading blocks, the longest last.
	Prefix []uint64
	// Prompt is the text that is passed to the judge.
	Prompt string
}

// PlainRequest is a call of a plain service, that is, one that runs no model.
type PlainRequest struct {
	Request *call.Request
	Service string
	Method  string
	Path    string
	Query   string
	Header  []Header
}

// Header is a header field that is passed to or from a plain service.
type Header struct {
	Name  string
	Value string
}

// Head holds what the caller is sent before the first part of an answer.
type Head struct {
	RequestID string
	// Session is the sealed session token, or the name that the caller gave the
	// session.
	Session string
	Model   string
	Version string
}

// ResponseWriter writes an answer to the caller. WriteHead is called once, before
// the rest, followed by any number of calls of WriteChunk or one of WriteBody. An
// error means that the caller can no longer be reached.
type ResponseWriter interface {
	WriteHead(Head) error
	// WriteChunk writes the payload of one server-sent event.
	WriteChunk(payload []byte) error
	WriteBody(body []byte) error
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	RequestID string
	Status    int
	Header    []Header
	Body      []byte
	// Replayed is set if this is the stored answer of an earlier request.
	Replayed bool
}
