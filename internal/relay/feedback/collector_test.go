package feedback

import (
	"context"
	"errors"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/kingcupyard/kingcupyard/internal/platform/rating"
	"github.com/kingcupyard/kingcupyard/internal/relay/pipeline"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
	"github.com/kingcupyard/kingcupyard/internal/routing/cascade"
)

// service is a rating service that answers with what a test puts in.
type service struct {
	ratings  []rating.Rating
	out      bool
	observed []rollout.Observation
	learned  []cascade.Outcome
}

var errOut = errors.New("out")

func (s *service) Submit(context.Context, rating.Answer) error { return nil }

func (s *service) Since(context.Context, string, uint64) ([]rating.Rating, error) {
	if s.out {
		return nil, errOut
	}
	return s.ratings, nil
}

func (s *service) Judge(context.Context, rating.Question) (rating.Verdict, error) {
	return rating.Verdict{}, errOut
}

func (s *service) Record(o rollout.Observation) { s.observed = append(s.observed, o) }
func (s *service) Observe(o cascade.Outcome)    { s.learned = append(s.learned, o) }

// TestRatingsCountOnce reads ratings that are repeated, unknown, of another
// version, out of order or not to be had.
func TestRatingsCountOnce(t *testing.T) {
	is := is.New(t)
	s := &service{}
	c := New("i", s, s, s, clockwork.NewFakeClock(), zap.NewNop())
	ctx := context.Background()
	for _, id := range []string{"a", "b", "c"} {
		c.submit(ctx, pipeline.RatingRequest{RequestID: id, Customer: "x", Model: "m", Version: "v1", Plan: pipeline.PlanAccepted, FirstModel: "m"})
	}
	one := func(seq uint64, id, version string, pass bool) rating.Rating {
		return rating.Rating{Sequence: seq, RequestID: id, Model: "m", Version: version, Pass: pass}
	}
	s.ratings = []rating.Rating{one(1, "a", "v1", true), one(2, "nobody", "v1", true), one(1, "b", "v1", true), one(3, "c", "v2", true)}
	after := c.read(ctx, 0)
	is.Equal(after, uint64(3))
	s.ratings = []rating.Rating{one(3, "a", "v1", true), one(4, "a", "v1", false), one(5, "b", "v1", false)}
	after = c.read(ctx, after)
	s.out = true
	is.Equal(c.read(ctx, after), uint64(5)) // nothing is skipped over an outage
	is.Equal(len(s.observed), 2)
	is.Equal(s.observed[0], rollout.Observation{Customer: "x", Model: "m", Version: "v1", Rated: true, Pass: true})
	is.Equal(s.observed[1].Pass, false)
	is.Equal(s.learned[0].Kind, cascade.Accepted)
}

func TestJudgeOutIsAnError(t *testing.T) {
	c := New("i", &service{}, &service{}, &service{}, clockwork.NewFakeClock(), zap.NewNop())
	_, err := c.Judge(context.Background(), pipeline.JudgeQuery{})
	is.New(t).True(errors.Is(err, errOut))
}
