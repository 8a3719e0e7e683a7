package store

import (
	"bufio"
	"encoding/base64"
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

var plainText = regexp.MustCompile(`<[^>]*>`)

func encodePlainText(body string) string {
	return plainText.ReplaceAllStringFunc(body, func(s string) string {
		return base64.StdEncoding.EncodeToString([]byte(s[1 : len(s)-1]))
	})
}

func post(address, path, body string) string {
	resp, err := http.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return string(answer)
}

func TestCalls(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s := New(Settings{}, WithClock(clock))
	address, err := s.Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	script, err := os.ReadFile("testdata/calls.txt")
	is.NoErr(err)
	answer := ""
	for n, line := range strings.Split(strings.TrimSpace(string(script)), "\n") {
		word, rest, _ := strings.Cut(line, " ")
		switch {
		case strings.HasPrefix(line, "#"):
		case word == "advance":
			d, err := time.ParseDuration(rest)
			is.NoErr(err)
			clock.Advance(d)
		case word == "fault":
			post(address, "/faults", rest)
		case strings.HasPrefix(line, "/"):
			answer = post(address, word, encodePlainText(rest))
		case !strings.Contains(answer, line):
			t.Fatalf("line %d: %q is not in answer %s", n+1, line, answer)
		}
	}
	is.Equal(s.Counts().LeaseGrant, int64(1))
}

func TestWatchFromRevision(t *testing.T) {
	is := is.New(t)
	s := New(Settings{HistoryLimit: 2})
	address, err := s.Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	first, err := s.Put("k", []byte("1"))
	is.NoErr(err)
	_, err = s.Put("other", []byte("1"))
	is.NoErr(err)
	read := watch(t, address, `{"create_request":{"key":"<k>","start_revision":"2"}}`)
	is.True(strings.Contains(read(), `"created":true`))
	is.True(strings.Contains(read(), `"mod_revision":"2"`))
	is.Equal(first, int64(2))
	_, err = s.Put("k", []byte("2"))
	is.NoErr(err)
	is.True(strings.Contains(read(), `"mod_revision":"4"`))
	is.Equal(s.Counts().Watching, int64(1))
	for range 4 {
		_, err = s.Put("k", []byte("3"))
		is.NoErr(err)
	}
	read = watch(t, address, `{"create_request":{"key":"<k>","start_revision":"2"}}`)
	read()
	is.True(strings.Contains(read(), `"compact_revision"`)) // too old to be told
}

func watch(t *testing.T, address, body string) (read func() string) {
	resp, err := http.Post("http://"+address+"/v3/watch", "application/json", strings.NewReader(encodePlainText(body)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	lines := bufio.NewScanner(resp.Body)
	return func() string {
		lines.Scan()
		return lines.Text()
	}
}
