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

// granterScript runs the commands of a test script against a Granter. Times are
// seconds from the start. The instance list and the server's load report are
// renewed every half second, the report until noReports is set.
type granterScript struct {
	terms       *keeper.Terms
	granter     *Granter
	start       time.Time
	now         time.Time
	state       ServerState
	seq         uint64
	otherKeeper bool
	noReports   bool
}

func newGranterScript() *granterScript {
	start := time.Unix(1000, 0)
	terms := keeper.NewTerms(keeper.DefaultTiming())
	s := &granterScript{terms: terms, granter: NewGranter(terms, DefaultSettings()), start: start, now: start}
	s.state = ServerState{Server: "s", ColdConcurrency: 4, Concurrency: 16, Warmup: WarmupState{Phase: Cold, TurnedColdAt: start, Report: board.LoadReport{Cold: true}}}
	s.tick()
	return s
}

func (s *granterScript) tick() {
	keeperName := "k"
	if s.otherKeeper {
		keeperName = "other"
	}
	s.terms.Update(&board.Members{Self: "k", ListedAt: s.now, List: []board.Member{{Name: keeperName, State: board.MemberAlive}}}, s.now)
	if !s.noReports {
		s.state.Warmup.Report.ReportedAt, s.state.Warmup.Report.ReceivedAt = s.now, s.now
		s.state.Warmup.WarmUntil = s.now.Add(3 * time.Second)
	}
	s.granter.Update(s.state, s.now)
}

func (s *granterScript) advance(seconds float64) {
	end := s.start.Add(time.Duration(seconds * float64(time.Second)))
	for s.now.Before(end) {
		s.now = s.now.Add(500 * time.Millisecond)
		s.tick()
	}
}

// do runs one command. For a credit request it returns the granted count and the
// reason for a refusal, otherwise "".
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
		_, err := fmt.Sscan(args[0], &s.state.Warmup.Report.Running)
		return "", err
	case "turns-cold":
		s.state.Warmup.TurnedColdAt = s.now
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

// TestGranterScripts runs testdata/granter.txt: "# NAME" starts a case, and "=>
// WANT" gives the expected answer to the request on its line.
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
