// Package feedback sends delivered answers to be rated and passes the ratings
// on to those who learn from them: the evidence of roll-outs and the cascade.
// Ratings may be late, lost or stopped; nothing waits for them.
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

// RatingService is the rating service.
type RatingService interface {
	Submit(ctx context.Context, a rating.Answer) error
	Since(ctx context.Context, reporter string, after uint64) ([]rating.Rating, error)
	Judge(ctx context.Context, q rating.Question) (rating.Verdict, error)
}

// EvidenceRecorder records outcomes of versions under roll-out.
type EvidenceRecorder interface {
	Record(o rollout.Observation)
}

// Learner learns from ratings which models suffice.
type Learner interface {
	Observe(o cascade.Outcome)
}

const (
	// queueLength is how many answers wait to be sent.
	queueLength = 1024
	senders     = 4
	// rememberedAnswers is how many answers a late rating can be matched to.
	rememberedAnswers = 16384
	pollInterval      = 500 * time.Millisecond
	callTimeout       = 2 * time.Second
	judgeTimeout      = 2 * time.Second
	// maxAnswerBytes bounds the part of an answer that is sent.
	maxAnswerBytes = 16 << 10
)

var counts = expvar.NewMap("Feedback")

// Collector implements pipeline.Raters and pipeline.Judge.
type Collector struct {
	reporter string
	service  RatingService
	evidence EvidenceRecorder
	learner  Learner
	clock    clockwork.Clock
	log      *zap.Logger
	queue    chan pipeline.RatingRequest

	mu      sync.Mutex
	answers map[string]pipeline.RatingRequest
	order   []string
	next    int
}

// New returns a Collector that reports under the instance's name.
func New(reporter string, s RatingService, e EvidenceRecorder, l Learner, clock clockwork.Clock, log *zap.Logger) *Collector {
	return &Collector{
		reporter: reporter, service: s, evidence: e, learner: l, clock: clock, log: log,
		queue:   make(chan pipeline.RatingRequest, queueLength),
		answers: make(map[string]pipeline.RatingRequest), order: make([]string, rememberedAnswers),
	}
}

// Submit implements pipeline.Raters. When the queue is full the answer is not
// rated.
func (c *Collector) Submit(a pipeline.RatingRequest) {
	if len(a.Answer) > maxAnswerBytes {
		a.Answer = a.Answer[:maxAnswerBytes]
	}
	select {
	case c.queue <- a:
	default:
		counts.Add("QueueFull", 1)
	}
}

// Judge implements pipeline.Judge.
func (c *Collector) Judge(ctx context.Context, j pipeline.JudgeQuery) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, judgeTimeout)
	defer cancel()
	v, err := c.service.Judge(ctx, rating.Question(j))
	if err != nil {
		counts.Add("JudgeFailed", 1)
		return false, err
	}
	return v.Pass, nil
}

// Run sends answers and reads ratings until the context ends.
func (c *Collector) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() { c.send(ctx) })
	}
	wg.Go(func() { c.poll(ctx) })
	wg.Wait()
	return nil
}

func (c *Collector) send(ctx context.Context) {
	for {
		select {
		case a := <-c.queue:
			c.submit(ctx, a)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Collector) submit(ctx context.Context, a pipeline.RatingRequest) {
	c.remember(a)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.service.Submit(ctx, rating.Answer{
		RequestID: a.RequestID, Reporter: c.reporter, Model: a.Model, Version: a.Version,
		Customer: a.Customer, Class: a.Class, Answer: a.Answer,
	})
	if err != nil {
		counts.Add("SubmitFailed", 1)
	}
}

// remember keeps how the answer came about, and forgets the oldest.
func (c *Collector) remember(a pipeline.RatingRequest) {
	a.Answer = ""
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.answers, c.order[c.next])
	c.order[c.next] = a.RequestID
	c.next = (c.next + 1) % len(c.order)
	c.answers[a.RequestID] = a
}

// take returns the answer that a rating is about, once.
func (c *Collector) take(requestID string) (pipeline.RatingRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.answers[requestID]
	delete(c.answers, requestID)
	return a, ok
}

func (c *Collector) poll(ctx context.Context) {
	var after uint64
	for {
		select {
		case <-c.clock.After(pollInterval):
			after = c.read(ctx, after)
		case <-ctx.Done():
			return
		}
	}
}

// read takes in the ratings after a sequence number and returns the last one's.
func (c *Collector) read(ctx context.Context, after uint64) uint64 {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := c.service.Since(ctx, c.reporter, after)
	if err != nil {
		counts.Add("ReadFailed", 1)
		return after
	}
	for _, r := range list {
		if r.Sequence <= after {
			counts.Add("RatingOutOfOrder", 1)
			continue
		}
		after = r.Sequence
		c.apply(r)
	}
	return after
}

// apply passes one rating on. A rating of an answer that is not remembered is
// counted and used for nothing: it may belong to an earlier run.
func (c *Collector) apply(r rating.Rating) {
	a, ok := c.take(r.RequestID)
	if !ok || a.Model != r.Model || a.Version != r.Version {
		counts.Add("RatingUnknown", 1)
		return
	}
	counts.Add("RatingApplied", 1)
	c.evidence.Record(rollout.Observation{Customer: a.Customer, Model: a.Model, Version: a.Version, Rated: true, Pass: r.Pass})
	c.learner.Observe(cascade.Outcome{
		Customer: a.Customer, Class: a.Class, Kind: cascade.OutcomeKind(a.Plan), Model: a.FirstModel, Pass: r.Pass, At: r.At,
	})
}
