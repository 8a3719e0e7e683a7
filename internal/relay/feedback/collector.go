// Package feedback submits delivered answers to the platform's rating service and
// passes the ratings to the evidence of rollouts and to the cascade. Ratings may
// arrive late or not at all; no request waits for them.
package feedback

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/platform/rating"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/cascade"
)

// RatingService is the client of the platform's rating service. *rating.Client
// implements it.
type RatingService interface {
	Submit(ctx context.Context, a rating.Answer) error
	Since(ctx context.Context, reporter string, after uint64) ([]rating.Rating, error)
	Judge(ctx context.Context, q rating.JudgeQuery) (rating.JudgeResult, error)
}

// EvidenceRecorder records the outcomes of versions that are being rolled out.
type EvidenceRecorder interface {
	Record(o rollout.Observation)
}

// Learner learns from ratings which model is good enough for which requests.
type Learner interface {
	Observe(o cascade.Outcome)
}

const (
	// queueLength is the number of answers that can wait to be submitted.
	queueLength = 1024
	senderCount = 4
	// maxPendingRatings is the number of submitted answers that are kept to match
	// their ratings.
	maxPendingRatings = 16384
	pollInterval      = 500 * time.Millisecond
	callTimeout       = 2 * time.Second
	judgeTimeout      = 2 * time.Second
	// maxAnswerBytes limits the part of an answer that is submitted.
	maxAnswerBytes = 16 << 10
)

var counts = expvar.NewMap("Feedback")

// Collector submits answers for rating and collects their ratings. It implements
// pipeline.RatingSubmitter and pipeline.Judge. It is safe for concurrent use.
type Collector struct {
	reporter string
	service  RatingService
	evidence EvidenceRecorder
	learner  Learner
	clock    clockwork.Clock
	log      *zap.Logger
	queue    chan pipeline.RatingRequest

	mu sync.Mutex
	// pending holds the submitted answers that have no rating yet, by request ID.
	pending map[string]pipeline.RatingRequest
	// ring holds the request IDs in pending in the order of submission. next is the
	// position of the oldest one.
	ring []string
	next int
}

// New returns a Collector. reporter is the name of this instance: the rating service
// returns the ratings of an answer to the instance that submitted it.
func New(reporter string, s RatingService, e EvidenceRecorder, l Learner, clock clockwork.Clock, log *zap.Logger) *Collector {
	return &Collector{
		reporter: reporter, service: s, evidence: e, learner: l, clock: clock, log: log,
		queue:   make(chan pipeline.RatingRequest, queueLength),
		pending: make(map[string]pipeline.RatingRequest), ring: make([]string, maxPendingRatings),
	}
}

// Submit implements pipeline.RatingSubmitter. It drops the answer if the queue is
// full.
func (c *Collector) Submit(req pipeline.RatingRequest) {
	if len(req.Answer) > maxAnswerBytes {
		req.Answer = req.Answer[:maxAnswerBytes]
	}
	select {
	case c.queue <- req:
	default:
		counts.Add("QueueFull", 1)
	}
}

// Judge implements pipeline.Judge. It returns an error if the rating service does not
// answer within judgeTimeout.
func (c *Collector) Judge(ctx context.Context, q pipeline.JudgeQuery) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, judgeTimeout)
	defer cancel()
	v, err := c.service.Judge(ctx, rating.JudgeQuery(q))
	if err != nil {
		counts.Add("JudgeFailed", 1)
		return false, err
	}
	return v.Pass, nil
}

// Run submits queued answers and reads ratings until ctx is done.
func (c *Collector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range senderCount {
		wg.Go(func() { c.runSender(ctx) })
	}
	wg.Go(func() { c.pollRatings(ctx) })
	wg.Wait()
	return nil
}

// runSender submits answers from the queue until ctx is done.
func (c *Collector) runSender(ctx context.Context) {
	for {
		select {
		case req := <-c.queue:
			c.submitForRating(ctx, req)
		case <-ctx.Done():
			return
		}
	}
}

// submitForRating sends one answer to the rating service. A failure is counted, and
// the answer is not submitted again.
func (c *Collector) submitForRating(ctx context.Context, req pipeline.RatingRequest) {
	c.addPending(req)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.service.Submit(ctx, rating.Answer{
		RequestID: req.RequestID, Reporter: c.reporter, Model: req.Model, Version: req.Version,
		Customer: req.Customer, Class: req.Class, Answer: req.Answer,
	})
	if err != nil {
		counts.Add("SubmitFailed", 1)
	}
}

// addPending stores how the answer was produced, without its text, until the rating
// arrives. It evicts the oldest entry.
func (c *Collector) addPending(req pipeline.RatingRequest) {
	req.Answer = ""
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, c.ring[c.next])
	c.ring[c.next] = req.RequestID
	c.next = (c.next + 1) % len(c.ring)
	c.pending[req.RequestID] = req
}

// takePending returns and removes the answer that a rating belongs to, so that a
// repeated rating is not applied twice.
func (c *Collector) takePending(requestID string) (pipeline.RatingRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, ok := c.pending[requestID]
	delete(c.pending, requestID)
	return req, ok
}

// pollRatings reads new ratings at each pollInterval until ctx is done.
func (c *Collector) pollRatings(ctx context.Context) {
	var after uint64
	for {
		select {
		case <-c.clock.After(pollInterval):
			after = c.readRatings(ctx, after)
		case <-ctx.Done():
			return
		}
	}
}

// readRatings reads and applies the ratings after the given sequence number. It
// returns the sequence number of the last rating, or after if there is none or the
// service fails.
func (c *Collector) readRatings(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ratings, err := c.service.Since(ctx, c.reporter, after)
	if err != nil {
		counts.Add("ReadFailed", 1)
		return after
	}
	for _, r := range ratings {
		if r.Sequence <= after {
			counts.Add("RatingOutOfOrder", 1)
			continue
		}
		after = r.Sequence
		c.applyRating(r)
	}
	return after
}

// applyRating passes one rating to the evidence and the learner. A rating of an
// answer that is not pending is counted and otherwise ignored; it may belong to an
// earlier run of this instance.
func (c *Collector) applyRating(r rating.Rating) {
	req, ok := c.takePending(r.RequestID)
	if !ok || req.Model != r.Model || req.Version != r.Version {
		counts.Add("RatingUnknown", 1)
		return
	}
	counts.Add("RatingApplied", 1)
	c.evidence.Record(rollout.Observation{Customer: req.Customer, Model: req.Model, Version: req.Version, Rated: true, Pass: r.Pass})
	c.learner.Observe(cascade.Outcome{
		Customer: req.Customer, Class: req.Class, Kind: cascade.OutcomeKind(req.Plan), Model: req.FirstModel, Pass: r.Pass, At: r.At,
	})
}
