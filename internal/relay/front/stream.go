package front

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// streamBuffer is how many chunks wait for a slow caller before its engine's
// stream is held back.
const streamBuffer = 64

// stream passes one answer from the pipeline's goroutine to the one that
// writes to the caller. Its memory is bounded by streamBuffer chunks.
type stream struct {
	ctx    context.Context
	head   pipeline.Head
	begun  chan struct{}
	chunks chan []byte
	whole  []byte
	done   chan struct{}
	err    error
}

func newStream(ctx context.Context) *stream {
	return &stream{ctx: ctx, begun: make(chan struct{}), chunks: make(chan []byte, streamBuffer), done: make(chan struct{})}
}

// WriteHead implements pipeline.Output.
func (s *stream) WriteHead(h pipeline.Head) error {
	s.head = h
	close(s.begun)
	return s.ctx.Err()
}

// WriteChunk implements pipeline.Output.
func (s *stream) WriteChunk(payload []byte) error {
	select {
	case s.chunks <- payload:
		return nil
	case <-s.ctx.Done():
		return &call.Refusal{Reason: call.ReasonCallerGone, State: call.Ran}
	}
}

// WriteBody implements pipeline.Output.
func (s *stream) WriteBody(body []byte) error {
	s.whole = body
	return s.ctx.Err()
}

func (s *stream) end(err error) {
	s.err = err
	close(s.done)
}

func (s *stream) hasBegun() bool {
	select {
	case <-s.begun:
		return true
	default:
		return false
	}
}
