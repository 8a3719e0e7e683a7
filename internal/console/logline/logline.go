// Package logline writes the process's log: one line of key=value pairs for
// each event. It never blocks: lines that the output does not take, or that
// exceed the budget, are dropped and counted.
package logline

import (
	"errors"
	"expvar"
	"io"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

var dropped = expvar.NewMap("LogLinesDropped")

const (
	// queueLines is how many lines wait for the output.
	queueLines = 4096
	// perSecond and burst bound the lines below the level Warn; warnings and
	// errors always pass.
	perSecond = 400
	burst     = 2000
	// minorReserve is the part of the burst that minor events leave to others.
	minorReserve = 0.5
)

// minor are the events that are left out first: those of requests that went
// well.
var minor = map[string]bool{"RequestAnswered": true, "AttemptAnswered": true}

// New returns a logger that writes to w.
func New(w io.Writer, level string) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	config.TimeKey, config.LevelKey, config.MessageKey = "Time", "Level", "Event"
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	queue := &queue{lines: make(chan []byte, queueLines), flushed: make(chan chan struct{})}
	go queue.drain(w)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(config), queue, parsed)
	return zap.New(&budgeted{Core: core, limit: rate.NewLimiter(perSecond, burst)})
}

// budgeted drops lines beyond a rate.
type budgeted struct {
	zapcore.Core
	limit *rate.Limiter
}

// With implements zapcore.Core.
func (b *budgeted) With(fields []zapcore.Field) zapcore.Core {
	return &budgeted{Core: b.Core.With(fields), limit: b.limit}
}

// Check implements zapcore.Core.
func (b *budgeted) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if !b.Enabled(e.Level) {
		return ce
	}
	if e.Level < zapcore.WarnLevel && !b.allows(e.Message) {
		dropped.Add(e.Message, 1)
		return ce
	}
	return ce.AddCore(e, b)
}

func (b *budgeted) allows(event string) bool {
	now := time.Now()
	if minor[event] && b.limit.TokensAt(now)-1 < minorReserve*float64(b.limit.Burst()) {
		return false
	}
	return b.limit.AllowN(now, 1)
}

// queue hands lines to a writer of its own.
type queue struct {
	lines   chan []byte
	flushed chan chan struct{}
}

// flushTimeout bounds how long a stopping process waits for its output.
const flushTimeout = 300 * time.Millisecond

// Write implements zapcore.WriteSyncer.
func (q *queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		dropped.Add("OutputFull", 1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer: it waits until the lines of before are
// written, but not for an output that takes none.
func (q *queue) Sync() error {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case q.flushed <- done:
	case <-timeout:
		return errNotFlushed
	}
	select {
	case <-done:
		return nil
	case <-timeout:
		return errNotFlushed
	}
}

var errNotFlushed = errors.New("the output does not take the log")

func (q *queue) drain(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
		case done := <-q.flushed:
			for len(q.lines) > 0 {
				q.write(w, <-q.lines)
			}
			close(done)
		}
	}
}

func (q *queue) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		dropped.Add("OutputFailed", 1)
	}
}
