package plain

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLostAnswerIsExecuted(t *testing.T) {
	is := is.New(t)
	s := New(Settings{Duration: time.Nanosecond})
	address, err := s.Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	s.SetFaults(func(f *Faults) { f.LoseAnswers = 1 })
	call := func() error {
		r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/bookings", strings.NewReader("{}"))
		r.Header.Set(HeaderRequest, "r1")
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	is.True(call() != nil)
	is.Equal(s.Executed("r1"), 1)
	is.NoErr(call())
	is.Equal(s.Doubles(), []Executed{{"r1", 2}})
}
