// Package transfer bounds the time in which a response doesn't arrive. A large response
// over a slow link may take long as a whole.
package transfer

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrStalled is the cause of a context that a Timeout has cancelled.
var ErrStalled = errors.New("nothing arrived in time")

type progressKey struct{}

// WithProgress returns a context that makes requests call report whenever bytes of their
// response arrive.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress tells the one that made the context with WithProgress, if any, that bytes
// have arrived.
func ReportProgress(ctx context.Context) { progressReport(ctx)() }

// progressReport returns the function to call when bytes arrive.
func progressReport(ctx context.Context) func() {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		return report
	}
	return func() {}
}

// Timeout cancels a request's context if nothing of the response arrives for a time.
type Timeout struct {
	report func()
	timer  *time.Timer
	stall  time.Duration
	cancel context.CancelCauseFunc
}

// WithTimeout returns a context that is cancelled with the cause ErrStalled if nothing
// arrives within first, or within stall after the latest bytes that Reader has passed on.
// The caller must call Stop once the response has been read.
func WithTimeout(ctx context.Context, first, stall time.Duration) (context.Context, *Timeout) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Timeout{report: progressReport(ctx), timer: time.AfterFunc(first, func() { cancel(ErrStalled) }), stall: stall, cancel: cancel}
}

// Stop releases the timeout and cancels its context.
func (t *Timeout) Stop() {
	t.timer.Stop()
	t.cancel(nil)
}

// Reader returns a reader of the response's body r that restarts the timeout and reports
// progress whenever bytes arrive.
func (t *Timeout) Reader(r io.Reader) io.Reader { return &reader{r, t} }

type reader struct {
	io.Reader
	timeout *Timeout
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timeout.timer.Reset(r.timeout.stall)
		r.timeout.report()
	}
	return n, err
}
