// Package pipeline carries one request through an instance: admission, choice
// of version and backend server, claim, attempts, bill and explanation. It
// holds no state of its own beyond what it is built from and is safe for
// concurrent use.
package pipeline

import (
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// ChatRequest is one chat completion as a caller asked for it.
type ChatRequest struct {
	Request *call.Request
	// Prefix hashes the prompt's leading blocks, longest last.
	Prefix []uint64
	// Prompt is the text that a judge sees.
	Prompt string
}

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	Request *call.Request
	Service string
	Method  string
	Path    string
	Query   string
	Header  []Header
}

// Header is one header line handed on to or from a plain service.
type Header struct {
	Name  string
	Value string
}

// Head is what a caller learns before the first part of an answer.
type Head struct {
	RequestID string
	// Session is the sealed session token, or the caller's own name.
	Session string
	Model   string
	Version string
}

// ResponseWriter takes an answer towards the caller. Begin comes once, before all
// else; then either Chunk any number of times or Whole once. An error means
// that the caller can't be reached any more.
type ResponseWriter interface {
	WriteHead(Head) error
	// WriteChunk takes the payload of one server-sent event.
	WriteChunk(payload []byte) error
	WriteBody(body []byte) error
}

// PlainAnswer is the answer of a plain service.
type PlainAnswer struct {
	RequestID string
	Status    int
	Header    []Header
	Body      []byte
	// Replayed says that this is the kept answer of an earlier request.
	Replayed bool
}
