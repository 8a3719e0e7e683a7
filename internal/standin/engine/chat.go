package engine

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupyard/kingcupyard/internal/standin/host"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
)

// The headers of the engines' protocol.
const (
	HeaderAttempt  = "X-Attempt-Id"
	HeaderRequest  = "X-Request-Id"
	HeaderCustomer = "X-Customer"
	HeaderPriority = "X-Priority"
	HeaderClass    = "X-Class"
	HeaderResume   = "X-Resume-From"
	HeaderRunState = "X-Run-State"
)

// The marks that end each word of an answer and say whether it is good; the
// rating service reads them.
const (
	MarkPass = "+"
	MarkFail = "-"
)

type message struct {
	Role    string `json:"role"`
	Content any    `json:"content"`
}

type chatRequest struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Token   int      `json:"token,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// answer is the text that the engine will generate for one request. The tag
// of the last message stands in every token, so that a caller knows its own.
type answer struct {
	id     string
	tag    string
	mark   string
	tokens int
	prompt string
	model  string
}

// word returns the text of a token, counted from 1.
func (a answer) word(n int) string { return a.tag + "." + strconv.Itoa(n) + a.mark + " " }

func (a answer) usage() *usage {
	prompt := len(strings.Fields(a.prompt))
	return &usage{prompt, a.tokens, prompt + a.tokens}
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	var in chatRequest
	if err := host.Decode(r, &in); err != nil {
		w.Header().Set(HeaderRunState, "NotRun")
		host.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	t := newTask(r, in)
	defer t.cancel()
	w.Header().Set(HeaderAttempt, t.attempt)
	if !e.runs(t.runs) {
		w.Header().Set(HeaderRunState, "NotRun")
		host.Fail(w, http.StatusNotFound, "%s is not loaded", in.Model)
		return
	}
	if status := e.admit(t); status != 0 {
		if status == http.StatusServiceUnavailable {
			w.Header().Set(HeaderRunState, "NotRun")
		}
		host.Fail(w, status, "overloaded")
		return
	}
	defer e.release(t)
	tokens, whole := e.run(t, w, r, in)
	kind := observation.KindFinished
	if !whole {
		kind = observation.KindBroken
		if r.Context().Err() != nil {
			kind = observation.KindCancelled
		}
	}
	ev := e.taskEvent(t, kind)
	ev.Tokens = tokens
	e.log.Add(ev)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

func newTask(r *http.Request, in chatRequest) *task {
	ctx, cancel := context.WithCancel(r.Context())
	model, version, _ := strings.Cut(in.Model, "@")
	priority, _ := strconv.Atoi(r.Header.Get(HeaderPriority))
	last := ""
	if len(in.Messages) > 0 {
		last = fmt.Sprint(in.Messages[len(in.Messages)-1].Content)
	}
	return &task{
		ctx: ctx, cancel: cancel, ready: make(chan struct{}),
		attempt: r.Header.Get(HeaderAttempt), request: r.Header.Get(HeaderRequest),
		customer: r.Header.Get(HeaderCustomer), priority: priority, tag: observation.Tag(last), runs: Loaded{model, version},
	}
}

// run waits for a place in the batch and generates the answer. It reports how
// many tokens were generated and whether the answer was sent whole.
func (e *Engine) run(t *task, w http.ResponseWriter, r *http.Request, in chatRequest) (int, bool) {
	arrived := e.clock.Now()
	select {
	case <-t.ready:
	case <-t.ctx.Done():
		return 0, false
	}
	a := e.compose(t, r, in)
	resume, _ := strconv.Atoi(r.Header.Get(HeaderResume))
	first := min(max(resume, 0), a.tokens)
	if !e.sleep(t, e.scale(e.prefill(a.prompt))) {
		return 0, false
	}
	e.noteFirstToken(e.clock.Since(arrived))
	if in.Stream {
		return e.stream(t, w, r, a, first)
	}
	return e.whole(t, w, a)
}

// compose decides what the answer will be. It depends on the request and the
// version only, so that another server can resume it.
func (e *Engine) compose(t *task, r *http.Request, in chatRequest) answer {
	a := answer{id: t.attempt, model: in.Model, tokens: e.settings.DefaultTokens, mark: MarkPass}
	for _, m := range in.Messages {
		a.prompt += m.Role + "\n" + fmt.Sprint(m.Content) + "\n"
	}
	a.tag = t.tag
	if in.MaxTokens > 0 {
		a.tokens = in.MaxTokens
	}
	if Difficulty(t.request) >= e.quality(t.runs, r.Header.Get(HeaderClass)) {
		a.mark = MarkFail
	}
	if e.faults.Get().CrossAnswers {
		a.id, a.tag = e.otherThan(t), "crossed"
	}
	return a
}

// Difficulty returns how hard a request is, in [0, 1): a version with quality
// above it answers well.
func Difficulty(requestID string) float64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64String(requestID))
	return float64(xxhash.Sum64(b[:])>>11) / math.Exp2(53)
}

func (e *Engine) quality(l Loaded, class string) float64 {
	for _, table := range []map[string]float64{e.faults.Get().Quality, e.settings.Quality} {
		for _, name := range []string{l.String() + "/" + class, l.String()} {
			if q, ok := table[name]; ok {
				return q
			}
		}
	}
	return 1
}

// otherThan returns the ID of another attempt, of one that runs if any does.
func (e *Engine) otherThan(t *task) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, o := range e.running {
		if o != t && o.attempt != t.attempt {
			return o.attempt
		}
	}
	return "crossed-" + t.attempt
}

func (e *Engine) prefill(prompt string) time.Duration {
	publish := !e.faults.Get().DropCacheEvents
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := e.cache.use(Prefixes(prompt), e.clock.Now(), publish)
	return e.settings.FirstToken + time.Duration(missing)*e.settings.PrefillPerBlock
}

// failed reports whether a fault fails this arrival.
func (e *Engine) failed() bool {
	every := e.faults.Get().FailEvery
	e.mu.Lock()
	defer e.mu.Unlock()
	return every > 0 && e.arrivals%every == 0
}

func (e *Engine) whole(t *task, w http.ResponseWriter, a answer) (int, bool) {
	var text strings.Builder
	for n := 1; n <= a.tokens; n++ {
		if n > 1 && !e.sleep(t, e.interval()) {
			return n - 1, false
		}
		text.WriteString(a.word(n))
	}
	if e.failed() {
		host.Fail(w, http.StatusInternalServerError, "failed by fault")
		return a.tokens, true
	}
	w.Header().Set(HeaderAttempt, a.id)
	stop := "stop"
	host.JSON(w, http.StatusOK, completion{
		ID: a.id, Object: "chat.completion", Created: e.clock.Now().Unix(), Model: a.model, Usage: a.usage(),
		Choices: []choice{{Message: &message{"assistant", text.String()}, FinishReason: &stop}},
	})
	return a.tokens, true
}

func (e *Engine) stream(t *task, w http.ResponseWriter, r *http.Request, a answer, first int) (int, bool) {
	if e.failed() {
		host.Fail(w, http.StatusInternalServerError, "failed by fault")
		return 0, true
	}
	w.Header().Set(HeaderAttempt, a.id)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for n := first + 1; n <= a.tokens; n++ {
		if n > first+1 && !e.sleep(t, e.interval()) {
			return n - 1, false
		}
		if !e.mayGoOn(r, n-1) {
			return n - 1, false
		}
		if err := writeChunk(w, e.chunk(a, n)); err != nil {
			return n - 1, false
		}
		_ = flusher.Flush()
	}
	if first == a.tokens {
		_ = writeChunk(w, e.finish(a))
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	return a.tokens, true
}

// mayGoOn applies the faults of streams after n tokens.
func (e *Engine) mayGoOn(r *http.Request, n int) bool {
	f := e.faults.Get()
	if f.BreakAfterTokens > 0 && n >= f.BreakAfterTokens {
		return false
	}
	if e.host.IsSilent(r.Context()) || f.Hang || f.StallAfterTokens > 0 && n >= f.StallAfterTokens {
		select {
		case <-r.Context().Done():
		case <-e.host.Done():
		}
		return false
	}
	return true
}

func (e *Engine) chunk(a answer, n int) completion {
	c := completion{
		ID: a.id, Object: "chat.completion.chunk", Created: e.clock.Now().Unix(), Model: a.model, Token: n,
		Choices: []choice{{Delta: &message{"assistant", a.word(n)}}},
	}
	if n == a.tokens {
		stop := "stop"
		c.Choices[0].FinishReason, c.Usage = &stop, a.usage()
	}
	return c
}

// finish is the last chunk of a stream resumed after its last token.
func (e *Engine) finish(a answer) completion {
	c := e.chunk(a, a.tokens)
	c.Choices[0].Delta.Content = ""
	return c
}

func writeChunk(w http.ResponseWriter, c completion) error {
	line, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", line)
	return err
}
