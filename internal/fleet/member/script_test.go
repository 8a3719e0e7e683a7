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

// fleet is a set of controllers on an in-memory network with a fake clock.
type fleet struct {
	t     *testing.T
	clock *clockwork.FakeClock
	// mu guards rng and calls, because Leave sends heartbeats concurrently.
	mu          sync.Mutex
	rng         *rand.Rand
	instances   map[string]*instance
	order       []string
	lossRate    float64
	partitioned bool
	listMode    string
	heartbeats  int
}

type instance struct {
	board      *board.Board
	controller *Controller
	self       board.Member
	dead       bool
	paused     bool
}

var errUnreachable = errors.New("unreachable")

// fakePeers is the network as seen by one instance. It implements Peers.
type fakePeers struct {
	fleet *fleet
	from  *instance
}

func (p fakePeers) Heartbeat(ctx context.Context, address string, req *peer.HeartbeatRequest) (*peer.HeartbeatResponse, error) {
	to := p.fleet.instances[address]
	if to == nil || to.dead || to.paused || p.from.dead || p.fleet.dropsMessage() {
		return nil, errUnreachable
	}
	if p.fleet.partitioned && to.self.DataCentre != p.from.self.DataCentre {
		return nil, errUnreachable
	}
	return to.controller.Heartbeat(ctx, req)
}

// dropsMessage counts a message and decides at random whether it is lost.
func (f *fleet) dropsMessage() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heartbeats++
	return f.rng.Float64() < f.lossRate
}

// start starts or restarts an instance.
func (f *fleet) start(name, dataCentre string) {
	in := &instance{board: &board.Board{}}
	in.self = board.Member{Name: name, PeerAddress: name, DataCentre: dataCentre, Generation: uint64(f.clock.Now().UnixMilli())}
	in.controller = New(in.self, in.board, fakePeers{f, in}, WithClock(f.clock), WithRand(rand.New(rand.NewPCG(3, xxhash.Sum64String(name)))))
	if f.instances[name] == nil {
		f.order = append(f.order, name)
	}
	f.instances[name] = in
}

// round advances the clock by one interval and runs one round of every running
// instance, in the order of their first start.
func (f *fleet) round() {
	f.clock.Advance(heartbeatInterval)
	for _, name := range f.order {
		in := f.instances[name]
		if in.dead || in.paused {
			continue
		}
		in.board.InstanceList.Publish(&board.InstanceList{List: f.platformList()})
		in.controller.applyInstanceList()
		for _, m := range in.controller.startRound() {
			in.controller.heartbeat(context.Background(), m)
		}
		in.controller.endRound()
	}
}

// platformList returns the platform's instance list: all instances ever started,
// only those that are not dead ("truth"), or none ("empty").
func (f *fleet) platformList() []board.Member {
	if f.listMode == "empty" {
		return nil
	}
	var list []board.Member
	for _, name := range f.order {
		if f.instances[name].dead && f.listMode == "truth" {
			continue
		}
		m := f.instances[name].self
		m.State, m.Generation = board.MemberAlive, 7
		list = append(list, m)
	}
	return list
}

// describeMembers describes the members in an instance's view.
func (f *fleet) describeMembers(name string) string {
	members := f.instances[name].board.Members.Get()
	states := map[board.MemberState]int{}
	for _, m := range members.List {
		states[m.State]++
	}
	return fmt.Sprintf("%d alive %d suspect %d leaving",
		states[board.MemberAlive], states[board.MemberSuspect], states[board.MemberLeaving])
}

// runStep executes one step of a script.
func (f *fleet) runStep(line string) {
	fields := strings.Fields(line)
	switch fields[0] {
	case "start":
		n, _ := strconv.Atoi(fields[1])
		dataCentres, _ := strconv.Atoi(fields[2])
		for i := range n {
			f.start(fmt.Sprintf("i%d", i), fmt.Sprintf("dc%d", i%dataCentres))
		}
	case "rounds":
		n, _ := strconv.Atoi(fields[1])
		for range n {
			f.round()
		}
	case "kill":
		f.instances[fields[1]].dead = true
	case "restart":
		f.start(fields[1], f.instances[fields[1]].self.DataCentre)
	case "pause", "resume":
		f.instances[fields[1]].paused = fields[0] == "pause"
	case "leave":
		f.instances[fields[1]].controller.Leave(context.Background())
	case "cut", "heal":
		f.partitioned = fields[0] == "cut"
	case "list":
		f.listMode = fields[1]
	case "loss":
		f.lossRate, _ = strconv.ParseFloat(fields[1], 64)
	case "expect":
		f.expect(fields[1], strings.Join(fields[2:], " "))
	case "bound":
		f.checkHeartbeatRate(fields[1])
	default:
		f.t.Fatalf("unknown step %q", line)
	}
}

// expect checks the view of one instance, or of all running ones.
func (f *fleet) expect(who, want string) {
	f.t.Helper()
	for _, name := range f.order {
		in := f.instances[name]
		if in.dead || in.paused || who != "all" && who != name {
			continue
		}
		if got := f.describeMembers(name); got != want {
			f.t.Errorf("%s sees %s, want %s", name, got, want)
		}
	}
}

// checkHeartbeatRate checks the mean number of heartbeats that an instance sends in
// one round.
func (f *fleet) checkHeartbeatRate(maxPerInstance string) {
	f.t.Helper()
	limit, _ := strconv.ParseFloat(maxPerInstance, 64)
	f.heartbeats = 0
	f.round()
	if got := float64(f.heartbeats) / float64(len(f.order)); got > limit {
		f.t.Errorf("%.2f heartbeats an instance and round, want at most %v", got, limit)
	}
}

// TestMembershipScripts runs the scripts in testdata. The first line of each script
// says which behaviour it checks.
func TestMembershipScripts(t *testing.T) {
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
					f.runStep(line)
				}
			}
		})
	}
}
