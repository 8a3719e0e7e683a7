package engine

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

var cheap = Loaded{"cheap", "v1"}

func start(t *testing.T, settings Settings) (*Engine, string) {
	settings.Loaded = []Loaded{cheap}
	settings.TokenInterval = time.Microsecond
	settings.FirstToken = time.Microsecond
	e := New(settings)
	address, err := e.Start("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e, address
}

func chat(t *testing.T, address, body string, headers ...string) (status int, answer string, err error) {
	r, _ := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	all, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(HeaderAttempt) + "\n" + string(all), err
}

func TestStreams(t *testing.T) {
	const body = `{"model":"cheap@v1","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`
	tests := []struct {
		name    string
		faults  Faults
		headers []string
		chunks  int
		broken  bool
		has     string
	}{
		{name: "Whole", chunks: 5, has: `{"id":"a1","object":"chat.completion.chunk"`},
		{name: "Resumed", headers: []string{HeaderResume, "3"}, chunks: 2, has: observation.Tag("hello") + ".4+ "},
		{name: "ResumedAtEnd", headers: []string{HeaderResume, "4"}, chunks: 2, has: `"finish_reason":"stop"`},
		{name: "Broken", faults: Faults{BreakAfterTokens: 2}, chunks: 2, broken: true},
		{name: "Crossed", faults: Faults{CrossAnswers: true}, chunks: 5, has: `"id":"crossed-a1"`},
		{name: "Bad", faults: Faults{Quality: map[string]float64{"cheap@v1": 0}}, chunks: 5, has: ".4- "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e, address := start(t, Settings{StartsWarm: true})
			e.SetFaults(func(f *Faults) { *f = tt.faults })
			_, answer, err := chat(t, address, body, append(tt.headers, HeaderAttempt, "a1")...)
			is.Equal(err != nil, tt.broken)
			is.Equal(strings.Count(answer, "data: "), tt.chunks)
			is.True(strings.Contains(answer, tt.has))
		})
	}
}

func TestWholeAnswerAndLoad(t *testing.T) {
	is := is.New(t)
	_, address := start(t, Settings{Name: "e1", StartsWarm: true})
	status, answer, err := chat(t, address, `{"model":"cheap@v1","messages":[{"role":"user","content":"x"}]}`, HeaderAttempt, "a2")
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(answer, "a2\n"))
	is.True(strings.Contains(answer, `"completion_tokens":16`))
	status, _, _ = chat(t, address, `{"model":"cheap@v2"}`)
	is.Equal(status, http.StatusNotFound)
	resp, err := http.Get("http://" + address + "/load")
	is.NoErr(err)
	defer resp.Body.Close()
	line, _ := bufio.NewReader(resp.Body).ReadString('\n')
	is.True(strings.Contains(line, `"Loaded":[{"Model":"cheap","Version":"v1"}]`))
}

func newIdleTask() *task {
	ctx, cancel := context.WithCancel(context.Background())
	return &task{ctx: ctx, cancel: cancel, ready: make(chan struct{}), runs: cheap}
}

func TestColdServerFallsOver(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	e := New(Settings{ColdConcurrency: 2, ColdDuration: time.Minute, FallOverDuration: time.Second}, WithClock(clock))
	e.restart(clock.Now(), clock.Now())
	tasks := []*task{newIdleTask(), newIdleTask(), newIdleTask()}
	is.Equal(e.admit(tasks[0]), 0)
	is.Equal(e.admit(tasks[1]), 0)
	is.Equal(e.admit(tasks[2]), http.StatusBadGateway)
	is.True(tasks[0].ctx.Err() != nil) // what ran is broken off
	e.release(tasks[0])
	e.release(tasks[1])
	is.Equal(e.admit(newIdleTask()), http.StatusServiceUnavailable)
	clock.Advance(time.Second)
	is.Equal(e.admit(newIdleTask()), 0)
	is.Equal(e.measure(clock.Now()).Generation, uint64(2))
	clock.Advance(time.Minute)
	is.True(!e.measure(clock.Now()).Cold)
	e.SetFaults(func(f *Faults) { f.TurnCold = true })
	is.True(e.measure(clock.Now()).Cold)
	excess := 0
	events, _ := e.log.After(0)
	for _, ev := range events {
		if ev.Kind == observation.KindColdExcess {
			excess++
			is.Equal(ev.Running, 3)
		}
	}
	is.Equal(excess, 1)
}

func TestPriorityAndOrders(t *testing.T) {
	is := is.New(t)
	e, address := start(t, Settings{Concurrency: 1, StartsWarm: true, FencingChecked: true, LoadDuration: time.Nanosecond})
	low, high, running := newIdleTask(), newIdleTask(), newIdleTask()
	high.priority = 5
	for _, task := range []*task{running, low, high} {
		is.Equal(e.admit(task), 0)
	}
	e.release(running)
	<-high.ready
	is.Equal(len(e.waiting), 1)
	for _, tt := range []struct {
		body   string
		status int
	}{
		{`{"Kind":"Load","Model":"cheap","Version":"v2","Fence":5}`, http.StatusOK},
		{`{"Kind":"Unload","Model":"cheap","Version":"v2","Fence":4}`, http.StatusConflict},
		{`{"Kind":"Paint","Fence":6}`, http.StatusBadRequest},
	} {
		resp, err := http.Post("http://"+address+"/orders", "application/json", strings.NewReader(tt.body))
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, tt.status)
	}
}

func TestPrefixCacheEvictsAndReportsGaps(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	c := newPrefixCache(2)
	is.Equal(c.use([]string{"a", "b"}, now, true), 2)
	is.Equal(c.use([]string{"a"}, now, true), 0)
	is.Equal(c.use([]string{"c"}, now, false), 1) // evicts b; both events are lost
	is.Equal(c.use([]string{"b"}, now, true), 1)
	events, gap := c.after(0, now)
	is.Equal(len(events), 4)
	is.True(gap)
	_, gap = c.after(events[1].Sequence, now.Add(-time.Second))
	is.True(!gap)
	is.Equal(len(Prefixes(strings.Repeat("x", 600))), 2)
}
