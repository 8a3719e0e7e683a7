package capacity

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/keeper"
)

// granterScript drives a bank by the lines of a script. Times are seconds from
// the start; the list is refreshed and the server looked at each half second.
type granterScript struct {
	terms       *keeper.Terms
	granter     *Granter
	start       time.Time
	now         time.Time
	view        ServerState
	seq         uint64
	otherKeeper bool
	noReports   bool
}

func newGranterScript() *granterScript {
	start := time.Unix(1000, 0)
	keeping := keeper.NewTerms(keeper.DefaultTiming())
	s := &granterScript{terms: keeping, granter: NewGranter(keeping, DefaultSettings()), start: start, now: start}
	s.view = ServerState{Server: "s", ColdConcurrency: 4, Concurrency: 16, Warmup: WarmupState{Phase: Cold, TurnedColdAt: start, Report: board.Report{Cold: true}}}
	s.tick()
	return s
}

func (s *granterScript) tick() {
	self := "k"
	if s.otherKeeper {
		self = "other"
	}
	s.terms.Update(&board.Members{Self: "k", ListedAt: s.now, List: []board.Member{{Name: self, State: board.MemberAlive}}}, s.now)
	if !s.noReports {
		s.view.Warmup.Report.At, s.view.Warmup.Report.ReceivedAt = s.now, s.now
		s.view.Warmup.WarmUntil = s.now.Add(3 * time.Second)
	}
	s.granter.Update(s.view, s.now)
}

func (s *granterScript) advance(seconds float64) {
	end := s.start.Add(time.Duration(seconds * float64(time.Second)))
	for s.now.Before(end) {
		s.now = s.now.Add(500 * time.Millisecond)
		s.tick()
	}
}

// do runs one line and returns what it printed, if anything.
func (s *granterScript) do(line string) (string, error) {
	var at float64
	var verb string
	if _, err := fmt.Sscan(line, &at, &verb); err != nil {
		return "", fmt.Errorf("line %q: %w", line, err)
	}
	s.advance(at)
	args := strings.Fields(line)[2:]
	switch verb {
	case "running":
		_, err := fmt.Sscan(args[0], &s.view.Warmup.Report.Running)
		return "", err
	case "turns-cold":
		s.view.Warmup.TurnedColdAt = s.now
	case "reports-stop":
		s.noReports = true
	case "another-keeper":
		s.otherKeeper = true
		s.tick()
	case "keeper-again":
		s.otherKeeper = false
		s.tick()
	case "ask":
		ask := CreditAsk{Server: "s", Cold: true}
		var member string
		if _, err := fmt.Sscan(strings.Join(args, " "), &member, &ask.InUse, &ask.Limit, &ask.Wanted); err != nil {
			return "", fmt.Errorf("line %q: %w", line, err)
		}
		s.seq++
		g := s.granter.Grant(CreditRequest{Member: member, Sequence: s.seq, Asks: []CreditAsk{ask}}, s.now).Grants[0]
		return strings.TrimSpace(fmt.Sprintf("%d %s", g.Count, g.Refusal)), nil
	default:
		return "", fmt.Errorf("line %q: unknown verb", line)
	}
	return "", nil
}

// TestGranterScripts runs testdata/granter.txt: "# NAME" starts a case, "=> WANT"
// gives the answer to the ask before it.
func TestGranterScripts(t *testing.T) {
	data, err := os.ReadFile("testdata/granter.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range strings.Split(string(data), "\n# ")[1:] {
		name, body, _ := strings.Cut(c, "\n")
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newGranterScript()
			for line := range strings.Lines(body) {
				line, want, _ := strings.Cut(strings.TrimSpace(line), " => ")
				if line == "" {
					continue
				}
				got, err := s.do(line)
				is.NoErr(err)
				if got != want {
					t.Errorf("%s: got %q, want %q", line, got, want)
				}
			}
		})
	}
}
