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

// fakeService is a RatingService that returns the given ratings, or fails if down is
// set. It also implements EvidenceRecorder and Learner and records their calls.
type fakeService struct {
	ratings      []rating.Rating
	down         bool
	observations []rollout.Observation
	outcomes     []cascade.Outcome
}

var errDown = errors.New("rating service is down")

func (s *fakeService) Submit(context.Context, rating.Answer) error { return nil }

func (s *fakeService) Since(context.Context, string, uint64) ([]rating.Rating, error) {
	if s.down {
		return nil, errDown
	}
	return s.ratings, nil
}

func (s *fakeService) Judge(context.Context, rating.JudgeQuery) (rating.JudgeResult, error) {
	return rating.JudgeResult{}, errDown
}

func (s *fakeService) Record(o rollout.Observation) { s.observations = append(s.observations, o) }
func (s *fakeService) Observe(o cascade.Outcome)    { s.outcomes = append(s.outcomes, o) }

// TestRatingsCountOnce guards against counting a rating twice or for the wrong answer.
// Some ratings are repeated, out of order, of an unknown answer or of another version,
// and the last read fails.
func TestRatingsCountOnce(t *testing.T) {
	is := is.New(t)
	s := &fakeService{}
	c := New("i", s, s, s, clockwork.NewFakeClock(), zap.NewNop())
	ctx := context.Background()
	for _, id := range []string{"a", "b", "c"} {
		c.submitForRating(ctx, pipeline.RatingRequest{RequestID: id, Customer: "x", Model: "m", Version: "v1", Plan: pipeline.PlanAccepted, FirstModel: "m"})
	}
	newRating := func(seq uint64, id, version string, pass bool) rating.Rating {
		return rating.Rating{Sequence: seq, RequestID: id, Model: "m", Version: version, Pass: pass}
	}
	s.ratings = []rating.Rating{newRating(1, "a", "v1", true), newRating(2, "nobody", "v1", true), newRating(1, "b", "v1", true), newRating(3, "c", "v2", true)}
	after := c.readRatings(ctx, 0)
	is.Equal(after, uint64(3))
	s.ratings = []rating.Rating{newRating(3, "a", "v1", true), newRating(4, "a", "v1", false), newRating(5, "b", "v1", false)}
	after = c.readRatings(ctx, after)
	s.down = true
	is.Equal(c.readRatings(ctx, after), uint64(5)) // a failed read skips no ratings
	is.Equal(len(s.observations), 2)
	is.Equal(s.observations[0], rollout.Observation{Customer: "x", Model: "m", Version: "v1", Rated: true, Pass: true})
	is.Equal(s.observations[1].Pass, false)
	is.Equal(s.outcomes[0].Kind, cascade.Accepted)
}

func TestJudgeOutageIsAnError(t *testing.T) {
	c := New("i", &fakeService{}, &fakeService{}, &fakeService{}, clockwork.NewFakeClock(), zap.NewNop())
	_, err := c.Judge(context.Background(), pipeline.JudgeQuery{})
	is.New(t).True(errors.Is(err, errDown))
}
