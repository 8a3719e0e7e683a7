package member

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/peer"
)

// fleet is a set of controllers on a network in memory and a fake clock.
type fleet struct {
	t     *testing.T
	clock *clockwork.FakeClock
	// mu guards rng and calls: a planned stop tells others at once.
	mu        sync.Mutex
	rng       *rand.Rand
	instances map[string]*instance
	order     []string
	loss      float64
	cut       bool
	list      string
	calls     int
}

type instance struct {
	board      *board.Board
	controller *Controller
	self       board.Member
	dead       bool
	paused     bool
}

var errUnreachable = errors.New("unreachable")

// link is the network as one instance sees it.
type link struct {
	fleet *fleet
	from  *instance
}

func (l link) Heartbeat(ctx context.Context, address string, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error) {
	to := l.fleet.instances[address]
	if to == nil || to.dead || to.paused || l.from.dead || l.fleet.isLost() {
		return nil, errUnreachable
	}
	if l.fleet.cut && to.self.DataCentre != l.from.self.DataCentre {
		return nil, errUnreachable
	}
	return to.controller.Heartbeat(ctx, req)
}

// isLost counts a message and draws whether it is lost.
func (f *fleet) isLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	return f.rng.Float64() < f.loss
}

func (f *fleet) start(name, dataCentre string) {
	in := &instance{board: &board.Board{}}
	in.self = board.Member{Name: name, PeerAddress: name, DataCentre: dataCentre, Generation: uint64(f.clock.Now().UnixMilli())}
	in.controller = New(in.self, in.board, link{f, in}, WithClock(f.clock), WithRand(rand.New(rand.NewPCG(3, xxhash.Sum64String(name)))))
	if f.instances[name] == nil {
		f.order = append(f.order, name)
	}
	f.instances[name] = in
}

// round lets each instance list and exchange heartbeats once.
func (f *fleet) round() {
	f.clock.Advance(heartbeatInterval)
	for _, name := range f.order {
		in := f.instances[name]
		if in.dead || in.paused {
			continue
		}
		in.board.InstanceList.Publish(&board.InstanceList{List: f.listing()})
		in.controller.readListing()
		for _, m := range in.controller.begin() {
			in.controller.heartbeat(context.Background(), m)
		}
		in.controller.end()
	}
}

// listing is what the platform says: everybody ever started, or nobody.
func (f *fleet) listing() []board.Member {
	if f.list == "empty" {
		return nil
	}
	var list []board.Member
	for _, name := range f.order {
		if f.instances[name].dead && f.list == "truth" {
			continue
		}
		m := f.instances[name].self
		m.State, m.Generation = board.MemberAlive, 7
		list = append(list, m)
	}
	return list
}

// seen describes the members that an instance sees.
func (f *fleet) seen(name string) string {
	members := f.instances[name].board.Members.Get()
	states := map[board.MemberState]int{}
	for _, m := range members.List {
		states[m.State]++
	}
	return fmt.Sprintf("%d alive %d suspect %d leaving",
		states[board.MemberAlive], states[board.MemberSuspect], states[board.MemberLeaving])
}

func (f *fleet) run(line string) {
	w := strings.Fields(line)
	switch w[0] {
	case "start":
		n, _ := strconv.Atoi(w[1])
		dataCentres, _ := strconv.Atoi(w[2])
		for i := range n {
			f.start(fmt.Sprintf("i%d", i), fmt.Sprintf("dc%d", i%dataCentres))
		}
	case "rounds":
		n, _ := strconv.Atoi(w[1])
		for range n {
			f.round()
		}
	case "kill":
		f.instances[w[1]].dead = true
	case "restart":
		f.start(w[1], f.instances[w[1]].self.DataCentre)
	case "pause", "resume":
		f.instances[w[1]].paused = w[0] == "pause"
	case "leave":
		f.instances[w[1]].controller.Leave(context.Background())
	case "cut", "heal":
		f.cut = w[0] == "cut"
	case "list":
		f.list = w[1]
	case "loss":
		f.loss, _ = strconv.ParseFloat(w[1], 64)
	case "expect":
		f.expect(w[1], strings.Join(w[2:], " "))
	case "bound":
		f.bound(w[1])
	default:
		f.t.Fatalf("unknown step %q", line)
	}
}

// expect compares what an instance sees, or all that run.
func (f *fleet) expect(who, want string) {
	f.t.Helper()
	for _, name := range f.order {
		in := f.instances[name]
		if in.dead || in.paused || who != "all" && who != name {
			continue
		}
		if got := f.seen(name); got != want {
			f.t.Errorf("%s sees %s, want %s", name, got, want)
		}
	}
}

// bound checks how many calls one instance makes in a round.
func (f *fleet) bound(perInstance string) {
	f.t.Helper()
	limit, _ := strconv.ParseFloat(perInstance, 64)
	f.calls = 0
	f.round()
	if got := float64(f.calls) / float64(len(f.order)); got > limit {
		f.t.Errorf("%.2f heartbeats an instance and round, want at most %v", got, limit)
	}
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			f := &fleet{
				t: t, clock: clockwork.NewFakeClockAt(time.Unix(1e9, 0)), rng: rand.New(rand.NewPCG(1, 2)),
				instances: map[string]*instance{},
			}
			in, err := os.Open(file)
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			for lines := bufio.NewScanner(in); lines.Scan(); {
				if line, _, _ := strings.Cut(lines.Text(), "#"); strings.TrimSpace(line) != "" {
					f.run(line)
				}
			}
		})
	}
}
