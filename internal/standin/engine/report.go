package engine

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// firstTokenWindow is how many times to first token the report's median is
// taken over.
const firstTokenWindow = 16

// Report is an engine's account of its load.
type Report struct {
	Server                 string
	At                     time.Time
	Sequence               uint64
	Generation             uint64
	StartedAt              time.Time
	Cold                   bool
	Running                int
	Waiting                int
	Concurrency            int
	ColdConcurrency        int
	FirstTokenMilliseconds float64
	Loaded                 []Loaded
}

// keepReport renews the published report until the engine closes.
func (e *Engine) keepReport() {
	ticker := e.clock.NewTicker(e.settings.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.host.Done():
			return
		case <-ticker.Chan():
			e.mu.Lock()
			e.report = e.measure(e.clock.Now())
			e.mu.Unlock()
		}
	}
}

func (e *Engine) measure(now time.Time) Report {
	return Report{
		Server: e.settings.Name, At: now, Sequence: e.report.Sequence + 1,
		Generation: e.generation, StartedAt: e.startedAt, Cold: e.isCold(now),
		Running: len(e.running), Waiting: len(e.waiting),
		Concurrency: e.settings.Concurrency, ColdConcurrency: e.settings.ColdConcurrency,
		FirstTokenMilliseconds: e.medianFirstToken().Seconds() * 1000,
		Loaded:                 e.loaded(now),
	}
}

func (e *Engine) medianFirstToken() time.Duration {
	if len(e.firstTokens) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(e.firstTokens))
	return sorted[len(sorted)/2]
}

func (e *Engine) noteFirstToken(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.firstTokens = append(e.firstTokens, d)
	if len(e.firstTokens) > firstTokenWindow {
		e.firstTokens = e.firstTokens[1:]
	}
}

// loaded lists the versions that are loaded by now, in order of name.
func (e *Engine) loaded(now time.Time) []Loaded {
	list := []Loaded{}
	for l, at := range e.loadedAt {
		if !at.After(now) {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b Loaded) int { return strings.Compare(a.String(), b.String()) })
	return list
}

func (e *Engine) runs(l Loaded) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.loadedAt[l]
	return ok && !at.After(e.clock.Now())
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	report := e.report
	e.mu.Unlock()
	host.JSON(w, http.StatusOK, report)
}

// cacheEventPage is the answer to GET /cache-events.
type cacheEventPage struct {
	Events []cacheEvent
	Gap    bool
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events, gap := e.cache.after(after, e.clock.Now().Add(-e.settings.CacheEventLag))
	e.mu.Unlock()
	host.JSON(w, http.StatusOK, cacheEventPage{events, gap})
}

// order is the body of POST /orders.
type order struct {
	Kind    string
	Model   string
	Version string
	Role    string
	Fence   int64
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := host.Decode(r, &o); err != nil {
		host.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	ev := e.event(observation.Event{At: now, Kind: observation.KindOrdered, Model: o.Model, Version: o.Version, Revision: o.Fence, Detail: o.Kind})
	if e.settings.FencingChecked && o.Fence < e.fence {
		ev.Detail += " refused"
		e.log.Add(ev)
		host.Fail(w, http.StatusConflict, "fence %d is older than %d", o.Fence, e.fence)
		return
	}
	l := Loaded{o.Model, o.Version}
	switch o.Kind {
	case "Load":
		if _, ok := e.loadedAt[l]; !ok {
			e.loadedAt[l] = now.Add(e.settings.LoadDuration)
		}
	case "Unload":
		delete(e.loadedAt, l)
	case "Role":
	default:
		host.Fail(w, http.StatusBadRequest, "Kind %q is not Load, Unload or Role", o.Kind)
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.log.Add(ev)
	host.JSON(w, http.StatusOK, o)
}
