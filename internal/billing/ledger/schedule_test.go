package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

var (
	scheduleCount = flag.Int("schedules", defaultSchedules, "seeded schedules to run")
	scheduleSeed  = flag.Uint64("seed", 1, "seed of the first schedule")
)

// fault is one line of testdata/schedules.txt.
type fault struct {
	name      string
	chance    int
	durations []time.Duration
}

func readFaults(t *testing.T) []fault {
	t.Helper()
	data, err := os.ReadFile("testdata/schedules.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out []fault
	for line := range strings.Lines(string(data)) {
		f := strings.Split(line, "|")
		if strings.HasPrefix(line, "#") || len(f) != 3 {
			continue
		}
		chance, _ := strconv.Atoi(strings.TrimSpace(f[1]))
		next := fault{name: strings.TrimSpace(f[0]), chance: chance}
		for _, d := range strings.Fields(f[2]) {
			duration, err := time.ParseDuration(d)
			if err != nil {
				t.Fatal(err)
			}
			next.durations = append(next.durations, duration)
		}
		out = append(out, next)
	}
	return out
}

// request is one request ID with what the instances and the backend server
// observed.
type request struct {
	id            string
	nonIdempotent bool
	mu            sync.Mutex
	runs          int // executions at the backend server
	acked         int // calls of Close that returned without an error
	closed        int // calls of Close
	refused       int
	instances     []*instance // where it arrived
}

func (r *request) arrivedAtKilled() bool {
	return slices.ContainsFunc(r.instances, (*instance).isKilled)
}

// schedule is one seeded run of a fleet with faults.
type schedule struct {
	*fleet
	rng       *rand.Rand
	requests  []*request
	work      sync.WaitGroup
	faultsEnd time.Duration
	log       []string
}

// scheduleFaults chooses the faults of the schedule and starts their timers.
func (s *schedule) scheduleFaults(faults []fault) {
	kills := 0
	for _, f := range faults {
		for range 2 {
			if s.rng.IntN(100) >= f.chance || f.name == "Kill" && kills == 2 {
				continue
			}
			if f.name == "Kill" {
				kills++
			}
			at := time.Duration(s.rng.Int64N(int64(30 * time.Second)))
			duration := f.durations[s.rng.IntN(len(f.durations))]
			victim := s.instances[s.rng.IntN(len(s.instances))]
			s.faultsEnd = max(s.faultsEnd, at+duration)
			s.log = append(s.log, fmt.Sprintf("%s at %s for %s on %s", f.name, at, duration, victim.member.Name))
			time.AfterFunc(at, func() { s.setFault(f.name, victim, true) })
			time.AfterFunc(at+duration, func() { s.setFault(f.name, victim, false) })
		}
	}
}

// setFault turns a fault on or off.
func (s *schedule) setFault(name string, victim *instance, on bool) {
	fake := s.store
	percent := map[bool]int{true: 30}[on]
	fake.mu.Lock()
	switch name {
	case "Outage":
		fake.down = on
	case "Slow":
		fake.latency = map[bool]time.Duration{true: 800 * time.Millisecond, false: 3 * time.Millisecond}[on]
	case "LoseAnswer":
		fake.loseAnswer = percent
	case "LoseRequest":
		fake.loseRequest = percent
	case "DelayWrite":
		fake.delay = percent
	case "LoseMessage":
		s.loseMessage.Store(int64(percent))
	}
	fake.mu.Unlock()
	switch {
	case name == "Pause" && on:
		victim.pause()
	case name == "Pause":
		victim.unpause()
	case name == "Kill" && on:
		victim.kill()
		time.AfterFunc(5*time.Second, s.publishMembers)
	case name == "Partition" || name == "NoStore":
		victim.mu.Lock()
		victim.noStore = on && name == "NoStore"
		if name == "Partition" {
			victim.partition = map[bool]int{true: 1}[on]
		}
		victim.mu.Unlock()
		time.AfterFunc(2*time.Second, s.publishMembers)
	}
}

// scheduleRequests schedules the requests. Some of them arrive again, usually
// at another instance.
func (s *schedule) scheduleRequests(count int) {
	late := int64(20 * time.Second)
	if s.rng.IntN(50) == 0 {
		late = int64(70 * time.Minute)
	}
	for i := range count {
		r := &request{nonIdempotent: s.rng.IntN(3) == 0}
		for k := 0; r.id == "" || ShardOf("c", r.id) > 1; k++ {
			r.id = fmt.Sprintf("r%d-%d", i, k)
		}
		s.requests = append(s.requests, r)
		at := time.Duration(s.rng.Int64N(int64(40 * time.Second)))
		s.scheduleRequest(r, at)
		if s.rng.IntN(2) == 0 {
			s.scheduleRequest(r, at+time.Duration(s.rng.Int64N(int64(6*time.Second))))
		}
		if s.rng.IntN(6) == 0 {
			s.scheduleRequest(r, at+time.Duration(s.rng.Int64N(late)))
		}
	}
}

func (s *schedule) scheduleRequest(r *request, at time.Duration) {
	inst := s.instances[s.rng.IntN(len(s.instances))]
	duration := time.Duration(s.rng.Int64N(int64(8 * time.Second)))
	notSent, finishes := s.rng.IntN(5) == 0, s.rng.IntN(5) > 0
	r.instances = append(r.instances, inst)
	s.work.Go(func() {
		time.Sleep(at)
		if inst.waitWhilePaused() != nil {
			return
		}
		if r.nonIdempotent {
			s.runNonIdempotent(inst, r, duration, notSent, finishes)
		} else {
			s.runBilled(inst, r, duration)
		}
	})
}

// runNonIdempotent executes a non-idempotent request in the way the request
// path does.
func (s *schedule) runNonIdempotent(inst *instance, r *request, duration time.Duration, notSent, finishes bool) {
	result, err := inst.ledger.Claim(s.ctx, r.id, "c", 1)
	if err != nil || result.State != ClaimGranted {
		r.mu.Lock()
		r.refused++
		r.mu.Unlock()
		return
	}
	if inst.waitWhilePaused() != nil {
		return
	}
	if notSent { // no server available; nothing is sent
		inst.ledger.Finish(result.Ticket, call.NotRun, nil)
		return
	}
	r.mu.Lock()
	r.runs++
	r.mu.Unlock()
	s.runBilled(inst, r, duration)
	if finishes && !inst.isKilled() {
		inst.ledger.Finish(result.Ticket, call.Ran, []byte("booked"))
	}
}

func (s *schedule) runBilled(inst *instance, r *request, duration time.Duration) {
	b := Bill{ID: r.id, Customer: "c", Model: "small", Version: "v1", Keyed: true, PromptTokens: 1, CompletionTokens: 1, OpenedAt: time.Now()}
	inst.ledger.Open(b)
	time.Sleep(duration)
	if inst.waitWhilePaused() != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Second)
	defer cancel()
	_, err := inst.ledger.Close(ctx, b)
	var unbilled *UnbilledError
	if errors.As(err, &unbilled) && unbilled.Expired {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && !inst.isKilled() {
		r.acked++
	}
	r.closed++
}

// check compares the store and the executions with the guarantees of the ledger
// and returns the violations.
func (s *schedule) check() (violations []string) {
	fail := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	_, chunks := s.store.written()
	closes, settles := map[string]int{}, map[string]int{}
	for _, p := range chunks {
		c, err := DecodeChunk(p.Value)
		if err != nil {
			fail("%v", err)
		}
		for _, rec := range c.Records {
			switch rec.Kind {
			case KindClose:
				closes[rec.ID()]++
			case KindSettle:
				settles[rec.ID()]++
			}
		}
	}
	billed := 0
	for _, r := range s.requests {
		if closes[r.id]+settles[r.id] > 0 {
			billed++
		}
		if closes[r.id] > 1 || settles[r.id] > 1 {
			fail("%s closed %d times, settled %d times", r.id, closes[r.id], settles[r.id])
		}
		// An acknowledged bill must survive the kill of its instance, since it
		// is in the store or has copies. A bill that was not acknowledged may
		// be lost with a killed instance.
		if closes[r.id] == 0 && (r.acked > 0 || r.closed > 0 && !r.arrivedAtKilled()) {
			fail("%s lost: acknowledged %d times, closed %d times", r.id, r.acked, r.closed)
		}
		if r.runs > 1 {
			fail("%s ran %d times", r.id, r.runs)
		}
	}
	audit, err := ReadAudit(context.Background(), s.store, testRetention())
	if err != nil {
		return append(violations, err.Error())
	}
	counted := 0
	for _, t := range audit.Totals {
		counted += t.Bills
	}
	if counted != billed {
		fail("totals count %d bills, the log has %d", counted, billed)
	}
	for _, a := range audit.Shards {
		violations = append(violations, a.Faults...)
		if a.Open > 0 {
			fail("shard %d has %d bills still open", a.Shard, a.Open)
		}
	}
	return append(violations, s.checkClaims()...)
}

// checkClaims claims each ID once more: a request that ran must be refused, and
// one that did not run must be granted.
func (s *schedule) checkClaims() (violations []string) {
	for _, r := range s.requests {
		if !r.nonIdempotent {
			continue
		}
		inst := s.liveInstance()
		result, err := inst.ledger.Claim(s.ctx, r.id, "c", 1)
		switch {
		case err != nil:
			violations = append(violations, fmt.Sprintf("%s: %v although all faults have ended", r.id, err))
		case r.runs > 0 && result.State != ClaimDuplicate:
			violations = append(violations, fmt.Sprintf("%s ran and is now %s", r.id, result.State))
		case r.runs == 0 && !r.arrivedAtKilled() && result.State != ClaimGranted:
			violations = append(violations, fmt.Sprintf("%s never ran and is now %s", r.id, result.State))
		}
	}
	return violations
}

func (s *schedule) liveInstance() *instance {
	for _, inst := range s.instances {
		if !inst.isKilled() {
			return inst
		}
	}
	return nil
}

func runSchedule(t *testing.T, seed uint64, faults []fault) (violations []string, s *schedule) {
	synctest.Test(t, func(*testing.T) {
		s = &schedule{fleet: newFleet(seed, 4+int(seed%2)), rng: rand.New(rand.NewPCG(seed, 9))}
		s.scheduleFaults(faults)
		s.scheduleRequests(20)
		s.work.Wait()
		time.Sleep(s.faultsEnd) // until all faults have ended
		s.publishMembers()
		time.Sleep(100 * time.Second)
		for _, inst := range s.instances {
			if records, _ := inst.ledger.Pending(); records > 0 && !inst.isKilled() {
				violations = append(violations, fmt.Sprintf("%s still has %d pending records", inst.member.Name, records))
			}
		}
		violations = append(violations, s.check()...)
		s.shutDown()
	})
	return violations, s
}

// TestSchedules runs seeded schedules that combine faults. No bill may be lost
// or counted twice, and no non-idempotent request may run twice.
func TestSchedules(t *testing.T) {
	faults := readFaults(t)
	const groups = 6
	for g := range groups {
		t.Run(strconv.Itoa(g), func(t *testing.T) {
			t.Parallel()
			for i := g; i < *scheduleCount; i += groups {
				seed := *scheduleSeed + uint64(i)
				if violations, s := runSchedule(t, seed, faults); len(violations) > 0 {
					t.Errorf("seed %d:\n%s\nfaults:\n%s", seed, strings.Join(violations, "\n"), strings.Join(s.log, "\n"))
				}
			}
		})
	}
}
