package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"sync"
	"time"
)

// Settings describe a soak.
type Settings struct {
	// Seed is that of the first run; each further run has the next one.
	Seed uint64
	Runs int
	// Parallel is the number of runs beside each other.
	Parallel int
	// Duration is how long a run lasts after its instances are ready.
	Duration  time.Duration
	Instances int
	// Program is the path of the program to start, and ReadyPath that of its readiness
	// check.
	Program   string
	ReadyPath string
	// Output gets the lines of progress and result.
	Output io.Writer
}

// Report is what a soak came to.
type Report struct {
	Runs     int
	Requests int
	// Answered counts the requests that got a success, Faults the faults by kind, Checked
	// what each checker has checked.
	Answered int
	Faults   map[string]int
	Checked  map[string]int
	// Findings describe the violations by seed.
	Findings map[uint64][]string
}

// String returns the report as lines of key=value pairs.
func (r *Report) String() string {
	text := fmt.Sprintf("Event=Soak Runs=%d Requests=%d Answered=%d RunsWithFindings=%d\n", r.Runs, r.Requests, r.Answered, len(r.Findings))
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		text += fmt.Sprintf("Event=Fault Kind=%s Count=%d\n", kind, r.Faults[kind])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Checked)) {
		text += fmt.Sprintf("Event=Checker Name=%s Checked=%d\n", name, r.Checked[name])
	}
	for _, seed := range slices.Sorted(maps.Keys(r.Findings)) {
		for _, finding := range r.Findings[seed] {
			text += fmt.Sprintf("Event=Finding Seed=%d Text=%q\n", seed, finding)
		}
	}
	return text
}

// Run carries out all runs and returns their report. The error is about the soak itself,
// not about what it has found.
func Run(ctx context.Context, s Settings) (*Report, error) {
	report := &Report{Faults: map[string]int{}, Checked: map[string]int{}, Findings: map[uint64][]string{}}
	var mu sync.Mutex
	var failed error
	var group sync.WaitGroup
	slots := make(chan struct{}, max(1, s.Parallel))
	for i := range s.Runs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			run := s
			run.Seed += uint64(i)
			trace, faults, err := runOnce(ctx, run)
			results := Judge(trace, DefaultBounds)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed = fmt.Errorf("run with seed %d: %w", run.Seed, err)
				return
			}
			report.add(run, trace, faults, results)
		})
	}
	group.Wait()
	return report, failed
}

// add adds a run and prints its line.
func (r *Report) add(run Settings, t Trace, faults []fault, results []Result) {
	r.Runs++
	r.Requests += len(t.Requests)
	answered := 0
	for _, q := range t.Requests {
		if q.Status == 200 {
			answered++
		}
	}
	r.Answered += answered
	for _, f := range faults {
		r.Faults[f.kind]++
	}
	findings := 0
	for _, result := range results {
		r.Checked[result.Name] += result.Checked
		findings += len(result.Violations)
		if len(result.Violations) > 0 {
			r.Findings[run.Seed] = append(r.Findings[run.Seed], result.Violations...)
		}
	}
	fmt.Fprintf(run.Output, "Event=Run Seed=%d Faults=%d Requests=%d Answered=%d Findings=%d\n", run.Seed, len(faults), len(t.Requests), answered, findings)
}

// runOnce carries out one run and returns what was seen.
func runOnce(ctx context.Context, s Settings) (Trace, []fault, error) {
	dir, err := os.MkdirTemp("", "kingcupyard-soak")
	if err != nil {
		return Trace{}, nil, fmt.Errorf("make the directory of a run: %w", err)
	}
	defer os.RemoveAll(dir)
	w, err := newWorld(dir, s)
	defer w.close()
	if err != nil {
		return Trace{}, nil, err
	}
	for _, n := range w.nodes {
		if err := n.startProcess(); err != nil {
			return Trace{}, nil, err
		}
	}
	if err := w.awaitReady(ctx); err != nil {
		return Trace{}, nil, err
	}
	w.start = time.Now()
	faults := schedule(s.Seed, s.Duration)
	calling, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() { w.runCallers(calling) })
	w.runFaults(ctx, faults)
	stop()
	group.Wait()
	return w.collect(), faults, ctx.Err()
}
