package backend

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/revision"
	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

// testScript executes one script of testdata/directory.txt.
type testScript struct {
	t         *testing.T
	directory *Directory
	start     time.Time
	now       time.Time
}

func TestDirectory(t *testing.T) {
	script.Run(t, "testdata/directory.txt", func(t *testing.T, lines []string) {
		start := time.Unix(1000, 0)
		s := &testScript{t: t, directory: NewDirectory(), start: start, now: start}
		for _, line := range lines {
			s.run(strings.Fields(line))
		}
	})
}

func (s *testScript) run(words []string) {
	args := map[string]string{}
	var positional []string
	for _, w := range words[1:] {
		if key, value, ok := strings.Cut(w, "="); ok {
			args[key] = value
		} else {
			positional = append(positional, w)
		}
	}
	intArg := func(key string) int64 {
		n, _ := strconv.ParseInt(args[key], 10, 64)
		return n
	}
	revisionArg := func() revision.Revision {
		era, number, found := strings.Cut(args["rev"], "/")
		if !found {
			era, number = "0", era
		}
		var r revision.Revision
		r.Era, _ = strconv.ParseInt(era, 10, 64)
		r.Number, _ = strconv.ParseInt(number, 10, 64)
		return r
	}
	graceUntil := time.Time{}
	if seconds, err := strconv.ParseFloat(args["until"], 64); err == nil {
		graceUntil = s.start.Add(time.Duration(seconds * float64(time.Second)))
	}
	switch words[0] {
	case "at":
		seconds, err := strconv.ParseFloat(words[1], 64)
		is.New(s.t).NoErr(err)
		s.now = s.start.Add(time.Duration(seconds * float64(time.Second)))
	case "announce":
		s.directory.Announce(Server{
			ID: positional[0], Service: "assistant", Address: positional[0], State: State(args["state"]),
			Sequence: intArg("seq"), StartedAt: intArg("born"), Revision: revisionArg(),
		}, s.now)
	case "gone":
		s.directory.Remove(positional[0], revisionArg(), graceUntil, s.now)
	case "whole":
		var list []Server
		for _, id := range positional {
			if listed := s.directory.Listing().ByID[id]; listed != nil {
				list = append(list, *listed)
			}
		}
		s.directory.Replace(list, revisionArg(), graceUntil, s.now)
	case "expire":
		s.directory.Expire(s.now)
	case "expect":
		s.expect(words[1:])
	default:
		s.t.Fatalf("unknown line %q", words)
	}
}

func (s *testScript) expect(want []string) {
	var got []string
	for id, server := range s.directory.Listing().ByID {
		got = append(got, fmt.Sprintf("%s=%s", id, server.State))
	}
	sort.Strings(got)
	sort.Strings(want)
	is.New(s.t).Equal(strings.Join(got, " "), strings.Join(want, " "))
}
