package rating

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func TestRatingsAppearAfterTheDelay(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := New(Settings{Delay: time.Second}, WithClock(clock))
	address, err := s.Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	post := func(path, body string) string {
		resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
		is.NoErr(err)
		defer resp.Body.Close()
		all, _ := io.ReadAll(resp.Body)
		return string(all)
	}
	get := func(query string) string {
		resp, err := http.Get("http://" + address + "/ratings?" + query)
		is.NoErr(err)
		defer resp.Body.Close()
		all, _ := io.ReadAll(resp.Body)
		return string(all)
	}
	post("/ratings", `{"RequestId":"r1","Reporter":"i1","Answer":"ab.1- ab.2- "}`)
	is.True(strings.Contains(get("reporter=i1"), `"Ratings":[]`))
	clock.Advance(time.Second)
	is.True(strings.Contains(get("reporter=i1"), `"RequestId":"r1"`))
	is.True(strings.Contains(get("reporter=i1"), `"Pass":false`))
	is.True(strings.Contains(get("reporter=i1&after=1"), `"Ratings":[]`))
	is.True(strings.Contains(get("reporter=i2"), `"Ratings":[]`))
	is.True(strings.Contains(post("/judge", `{"Answer":"ab.1+ "}`), `"Pass":true`))
}
