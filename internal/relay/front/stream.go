package front

import (
	"context"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
)

// streamBuffer is the number of chunks that are buffered for a slow caller. When the
// buffer is full, the pipeline stops reading from the backend server.
const streamBuffer = 64

// responsePipe passes one answer from the pipeline's goroutine to the goroutine that
// writes to the caller. It buffers at most streamBuffer chunks. headWritten is
// closed once head is set, and done once the answer has ended. body, which holds
// an answer that is not streamed, and err may be read after done is closed.
type responsePipe struct {
	ctx       context.Context
	head      pipeline.Head
	headReady chan struct{}
	chunks    chan []byte
	body      []byte
	done      chan struct{}
	err       error
}

func newResponsePipe(ctx context.Context) *responsePipe {
	return &responsePipe{ctx: ctx, headReady: make(chan struct{}), chunks: make(chan []byte, streamBuffer), done: make(chan struct{})}
}

// WriteHead implements pipeline.ResponseWriter.
func (p *responsePipe) WriteHead(h pipeline.Head) error {
	p.head = h
	close(p.headReady)
	return p.ctx.Err()
}

// WriteChunk implements pipeline.ResponseWriter. It blocks while the buffer is full,
// until the goroutine that writes to the caller takes a chunk or the caller
// disconnects.
func (p *responsePipe) WriteChunk(payload []byte) error {
	select {
	case p.chunks <- payload:
		return nil
	case <-p.ctx.Done():
		return &call.Refusal{Reason: call.ReasonCallerGone, State: call.Ran}
	}
}

// WriteBody implements pipeline.ResponseWriter.
func (p *responsePipe) WriteBody(body []byte) error {
	p.body = body
	return p.ctx.Err()
}

// finish ends the answer. A nil error means that it is complete.
func (p *responsePipe) finish(err error) {
	p.err = err
	close(p.done)
}

func (p *responsePipe) isHeadReady() bool {
	select {
	case <-p.headReady:
		return true
	default:
		return false
	}
}
