package turn

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Line lets calls of one service wait for their turn. It is safe for concurrent use.
type Line struct {
	clock clockwork.Clock

	mu    sync.Mutex
	queue Queue
	// turns holds the channels of the calls that wait, closed when it is their turn or they
	// are refused.
	turns map[*Call]chan error
}

// NewLine returns a Line in which no call waits.
func NewLine(clock clockwork.Clock) *Line { return &Line{clock: clock, turns: map[*Call]chan error{}} }

// RefusedError reports that a call isn't to wait any longer.
type RefusedError struct {
	// Hopeless is set if the call can't be answered before its deadline any more, and not if
	// too many calls wait.
	Hopeless bool
	// RetryAfter is when there will be room.
	RetryAfter time.Duration
}

func (e *RefusedError) Error() string {
	if e.Hopeless {
		return fmt.Sprintf("the service is full for longer than the call's deadline, try again after %v", e.RetryAfter)
	}
	return fmt.Sprintf("too many calls wait for the service, try again after %v", e.RetryAfter)
}

// Full takes in that a server has refused a call because it was full.
func (l *Line) Full() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Full(l.clock.Now())
}

// Taken takes in that a server has answered a call after the given time.
func (l *Line) Taken(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.Taken(took)
}

// Waiting returns the number of calls that wait.
func (l *Line) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue.waiting)
}

// Wait waits until it is the call's turn. It returns at once while the servers take all
// calls. The error is a *RefusedError, or that of the context.
func (l *Line) Wait(ctx context.Context, c *Call) error {
	turn, at := l.enter(c)
	if turn == nil {
		return nil
	}
	for {
		select {
		case err := <-turn:
			return err
		case <-ctx.Done():
			l.leave(c)
			return ctx.Err()
		case <-l.clock.After(max(minInterval/2, at.Sub(l.clock.Now()))):
			at = l.advance(c)
		}
	}
}

// enter adds a call, and returns its channel and when to call advance. The channel is nil if
// the call needn't wait.
func (l *Line) enter(c *Call) (<-chan error, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.queue.IsOpen(now) {
		return nil, time.Time{}
	}
	turn := make(chan error, 1)
	l.turns[c] = turn
	if last := l.queue.Add(c, now); last != nil {
		l.end(last, &RefusedError{RetryAfter: l.queue.RetryAfter()})
	}
	return turn, l.step(c, now)
}

// advance hands on the calls that are due, and returns when to do so again for a call.
func (l *Line) advance(c *Call) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.step(c, l.clock.Now())
}

// step is advance for a caller that holds mu.
func (l *Line) step(c *Call, now time.Time) time.Time {
	if l.queue.IsHopeless(c, now) && l.queue.Remove(c) {
		l.end(c, &RefusedError{Hopeless: true, RetryAfter: l.queue.RetryAfter()})
	}
	for {
		next := l.queue.Next(now)
		if next == nil {
			break
		}
		l.end(next, nil)
	}
	at := l.queue.WakeAt(now)
	if last := l.queue.lastTurn(c); last.Before(at) {
		return last.Add(time.Millisecond)
	}
	return at
}

// end ends the wait of a call that the queue no longer holds. The caller holds mu.
func (l *Line) end(c *Call, err error) {
	l.turns[c] <- err
	delete(l.turns, c)
}

// leave takes out a call whose caller is gone.
func (l *Line) leave(c *Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Remove(c) {
		delete(l.turns, c)
	}
}
