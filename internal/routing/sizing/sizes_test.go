package sizing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A mean follows a change of the usual size within sizeMemory requests.
func TestSizesFollowTheRoute(t *testing.T) {
	is := is.New(t)
	s := NewSizes()
	is.Equal(s.Mean("chats"), 0.0) // not known yet
	for range 1000 {
		s.Observe("chats", 1000)
	}
	for range 3 * sizeMemory {
		s.Observe("chats", 3000)
	}
	is.True(s.Mean("chats") > 2800)
	is.Equal(s.Mean("reports"), 0.0) // routes are apart
}

// Of two chats with the same short prompt, the one with the long answer is worth more and
// is escalated at a confidence at which the short one is accepted.
func TestLongAnswersAreWorthMore(t *testing.T) {
	is := is.New(t)
	chat := func(completionTokens int) *Request {
		c := NewCalibration()
		r := &Request{PromptTokens: 700, CompletionTokens: completionTokens, MeanSize: Size(700, 280), TimeLeft: 1500 * time.Millisecond, MeanBacklog: time.Second, EscalationsLeft: 2}
		for i, cost := range []float64{0.017, 0.13, 0.26} {
			r.Models = append(r.Models, Model{Cost: cost, PredictedWait: 100 * ms, PrefillTime: 50 * ms, Confidence: c.Profile("chats", threeModels, i, epoch)})
		}
		return r
	}
	const confidence = 45
	is.True(chat(900).Value() > 2*chat(280).Value())
	is.True(AcceptAnswer(chat(30), 0, confidence))
	is.True(!AcceptAnswer(chat(900), 0, confidence))
	is.Equal(chat(100_000).Value(), chat(50_000).Value()) // bounded
}
