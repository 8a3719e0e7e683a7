package attempt

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

// chaos is a seeded network of servers. It keeps what each attempt did there.
type chaos struct {
	mu      sync.Mutex
	rng     *rand.Rand
	weights []weight
	conns   []*pipeConn
	open    []net.Conn
	// touched are the attempts of which a server got a byte, ran those that it
	// did not refuse.
	touched map[string]bool
	ran     map[string]bool
	runs    map[string]int // by request
	faults  []string
}

type weight struct {
	name  string
	share int
}

func readWeights(t *testing.T) []weight {
	t.Helper()
	data, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out []weight
	for line := range strings.Lines(string(data)) {
		name, share, ok := strings.Cut(line, "|")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(share))
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, weight{strings.TrimSpace(name), n})
	}
	return out
}

// pick chooses a fault of the server or of the network.
func (c *chaos) pick(network bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.rng.IntN(100)
	for _, w := range c.weights {
		if isNetwork := strings.HasPrefix(w.name, "Dial") || strings.HasPrefix(w.name, "Lose"); isNetwork != network {
			continue
		}
		if n -= w.share; n < 0 {
			c.faults = append(c.faults, w.name)
			return w.name
		}
	}
	return "Whole"
}

func (c *chaos) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))
}

func (c *chaos) dial(ctx context.Context, _ string) (net.Conn, error) {
	switch c.pick(true) {
	case "DialRefused":
		return nil, syscall.ECONNREFUSED
	case "DialSilent":
		<-ctx.Done()
		return nil, ctx.Err()
	case "LoseBoth":
		c.lose(both)
	case "LoseRequests":
		c.lose(requestsLost)
	case "LoseAnswers":
		c.lose(answersLost)
	}
	client, server := net.Pipe()
	pc := &pipeConn{Conn: client, silent: map[direction]bool{}, closed: make(chan struct{})}
	c.mu.Lock()
	c.conns, c.open = append(c.conns, pc), append(c.open, server)
	c.mu.Unlock()
	go c.serve(server)
	return pc, nil
}

func (c *chaos) lose(d direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.conns {
		pc.mu.Lock()
		pc.silent[d] = true
		pc.mu.Unlock()
	}
}

const answerTokens = 6

func (c *chaos) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		fault := c.pick(false)
		if fault == "CloseUnread" {
			return
		}
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id, request := req.Header.Get(HeaderAttempt), req.Header.Get(HeaderRequest)
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.touched[id] = true
		if fault != "Refuse" {
			c.ran[id] = true
			c.runs[request]++
		}
		c.mu.Unlock()
		from, _ := strconv.Atoi(req.Header.Get(HeaderResumeFrom))
		s := session{nc: nc, id: id}
		if strings.Contains(string(body), `"stream":true`) {
			s.stream(fault, request, from)
		} else {
			s.answer(fault, request)
		}
		if s.failed || strings.HasPrefix(fault, "C") || fault == "Stall" {
			return
		}
	}
}

// stream sends tokens that name their request, with the fault in the middle.
func (s *session) stream(fault, request string, from int) {
	if s.refuse(fault) {
		return
	}
	id := s.id
	if fault == "OtherHeader" {
		id = "other"
	}
	s.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	last := from + answerTokens
	middle := from + 1 + len(request)%answerTokens
	for i := from + 1; i <= last; i++ {
		token, owner, finish := i, s.id, "null"
		if i == last && fault != "EndEarly" {
			finish = `"stop"`
		}
		if i == middle {
			switch fault {
			case "CutInTheMiddle":
				s.nc.Close()
			case "Gap":
				token++
			case "Repeat":
				token--
			case "OtherChunk":
				owner, request = "other", "other"
			case "Stall":
				time.Sleep(time.Hour)
			case "Comments":
				for range 100 {
					s.chunk(": alive\n\n")
					time.Sleep(time.Second)
				}
			}
		}
		s.chunk(fmt.Sprintf(`data: {"id":%q,"token":%d,"choices":[{"delta":{"content":"%s "},"finish_reason":%s}]}`+"\n\n", owner, token, request, finish))
	}
	s.chunk("data: [DONE]\n\n")
	s.send("0\r\n\r\n")
	s.late(fault)
}

func (s *session) answer(fault, request string) {
	if s.refuse(fault) {
		return
	}
	id := s.id
	switch fault {
	case "OtherHeader", "OtherChunk":
		id, request = "other", "other"
	case "Stall", "Comments":
		time.Sleep(time.Hour)
	}
	body := fmt.Sprintf(`{"id":%q,"text":%q,"choices":[{"finish_reason":"stop"}]}`, id, request)
	length := len(body)
	if fault == "CutInTheMiddle" || fault == "EndEarly" || fault == "Gap" || fault == "Repeat" {
		body = body[:length/2]
	}
	s.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, length, body)
	if len(body) < length {
		s.nc.Close()
		s.failed = true
	}
	s.late(fault)
}

func (s *session) refuse(fault string) bool {
	status, extra := 0, ""
	switch fault {
	case "Refuse":
		status, extra = 503, "X-Run-State: NotRun\r\n"
	case "Busy":
		status = 503
	case "Fail":
		status = 500
	case "CloseUnanswered":
		return true
	default:
		return false
	}
	s.send("HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\n%sContent-Length: 4\r\n\r\nbusy", status, s.id, extra)
	return true
}

func (s *session) late(fault string) {
	if fault == "LateAnswer" {
		s.id = "late"
		s.answer("Whole", "late")
	}
}

// run carries one request the way the request path does: idempotent ones are
// tried again, others only while nothing can have run. It returns what is
// wrong.
func (c *chaos) run(client *Client, kind, request string) (wrong []string) {
	fail := func(format string, args ...any) {
		wrong = append(wrong, request+" "+kind+": "+fmt.Sprintf(format, args...))
	}
	progress := new(call.Progress)
	var ids []string
	judge := func(id string, err error) *Error {
		var e *Error
		if !errors.As(err, &e) {
			return nil
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if e.State == call.NotRun && c.ran[id] {
			fail("attempt %s is NotRun after %s, and ran", id, e.Kind)
		}
		return e
	}
	for try := range 4 {
		id := fmt.Sprintf("%s-%d", request, try)
		ids = append(ids, id)
		var err error
		switch kind {
		case "Booking":
			var answer PlainAnswer
			answer, err = client.Plain(context.Background(), target("one"), PlainRequest{AttemptID: id, RequestID: request, Method: "POST", Path: "/", Progress: progress})
			if err == nil && answer.Status == http.StatusOK && !strings.Contains(string(answer.Body), strconv.Quote(request)) {
				fail("got another answer: %s", answer.Body)
			}
		case "Whole", "Assembled":
			chat := ChatRequest{AttemptID: id, RequestID: request, Body: []byte(chatBody), Progress: progress}
			wanted := strconv.Quote(strings.Repeat(request+" ", answerTokens))
			if kind == "Whole" {
				chat.Body, wanted = []byte(`{"tools":[],"messages":[]}`), strconv.Quote(request)
			}
			var answer Answer
			answer, err = client.Chat(context.Background(), target("one"), chat, nil)
			if err == nil && !strings.Contains(string(answer.Body), wanted) {
				fail("got another answer: %s", answer.Body)
			}
		case "Stream":
			err = c.runStream(client, request, id, progress, fail)
		}
		e := judge(id, err)
		if e == nil || kind == "Booking" && e.State != call.NotRun || kind == "Stream" {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if progress.State() == call.NotRun && c.touched[id] {
			fail("the request is NotRun, and attempt %s was seen", id)
		}
	}
	if kind == "Booking" && c.runs[request] > 1 {
		fail("ran %d times", c.runs[request])
	}
	return wrong
}

// runStream resumes until the answer is whole; tokens must come in order, each
// with the request's own text, and none after the finish marker.
func (c *chaos) runStream(client *Client, request, id string, progress *call.Progress, fail func(string, ...any)) error {
	tries, next, finished := 0, 1, false
	answer, err := client.ChatWithResume(context.Background(), ChatRequest{RequestID: request, Body: []byte(chatBody), Progress: progress},
		func(context.Context, *Error) (Target, string, error) {
			if tries++; tries > 4 {
				return Target{}, "", errors.New("no attempts left")
			}
			return target("one"), fmt.Sprintf("%s.%d", id, tries), nil
		},
		func(ch Chunk) error {
			if ch.Token != next || ch.Content != request+" " || finished {
				fail("token %d %q where %d was due", ch.Token, ch.Content, next)
			}
			next, finished = ch.Token+1, ch.Finish != ""
			return nil
		})
	if (err == nil) != finished || answer.Complete != finished {
		fail("whole %v, finish marker seen %v, error %v", answer.Complete, finished, err)
	}
	return err
}

// TestSchedules runs requests against seeded servers over a seeded network. No
// attempt is NotRun that ran, no booking runs twice, and no answer is passed
// on that is broken or another's.
func TestSchedules(t *testing.T) {
	weights := readWeights(t)
	const groups = 4
	for g := range groups {
		t.Run(strconv.Itoa(g), func(t *testing.T) {
			t.Parallel()
			for seed := g; seed < schedules && !t.Failed(); seed += groups {
				synctest.Test(t, func(t *testing.T) { runChaos(t, uint64(seed), weights) })
			}
		})
	}
}

const (
	schedules        = 1000
	scheduleRequests = 24
)

func runChaos(t *testing.T, seed uint64, weights []weight) {
	c := &chaos{
		rng: rand.New(rand.NewPCG(seed, 5)), weights: weights,
		touched: map[string]bool{}, ran: map[string]bool{}, runs: map[string]int{},
	}
	client := New(WithDial(c.dial), WithLimits(Limits{Connect: time.Second, Write: time.Second, FirstByte: 3 * time.Second, Unstreamed: 3 * time.Second, Progress: 2 * time.Second}))
	var wg sync.WaitGroup
	for i := range scheduleRequests {
		time.Sleep(c.pause())
		kind := []string{"Booking", "Whole", "Stream", "Assembled"}[i%4]
		wg.Go(func() {
			if wrong := c.run(client, kind, fmt.Sprintf("r%d", i)); len(wrong) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(wrong, "; "))
			}
		})
	}
	wg.Wait()
	client.Close()
	c.mu.Lock()
	for _, nc := range c.open {
		nc.Close()
	}
	c.mu.Unlock()
	time.Sleep(3 * time.Hour) // stalled servers end
}
