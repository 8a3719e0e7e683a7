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

// faultyNetwork is a network with servers whose faults are drawn from a seeded
// random source. It records what each attempt did at a server.
type faultyNetwork struct {
	mu            sync.Mutex
	rng           *rand.Rand
	probabilities []faultProbability
	conns         []*pipeConn
	open          []net.Conn
	// reached holds the IDs of the attempts whose request a server has read; ran
	// holds those that the server did not refuse.
	reached map[string]bool
	ran     map[string]bool
	runs    map[string]int // number of runs by request ID
	faults  []string
}

type faultProbability struct {
	name    string
	percent int
}

func readFaultProbabilities(t *testing.T) []faultProbability {
	t.Helper()
	data, err := os.ReadFile("testdata/faults.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out []faultProbability
	for line := range strings.Lines(string(data)) {
		name, percent, ok := strings.Cut(line, "|")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(percent))
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, faultProbability{strings.TrimSpace(name), n})
	}
	return out
}

// pickFault draws a fault of the network or of a server with the probabilities of
// faults.txt. "Whole" means that there is no fault.
func (c *faultyNetwork) pickFault(network bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.rng.IntN(100)
	for _, p := range c.probabilities {
		if isNetwork := strings.HasPrefix(p.name, "Dial") || strings.HasPrefix(p.name, "Lose"); isNetwork != network {
			continue
		}
		if n -= p.percent; n < 0 {
			c.faults = append(c.faults, p.name)
			return p.name
		}
	}
	return "Whole"
}

func (c *faultyNetwork) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(400 * time.Millisecond)))
}

func (c *faultyNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	switch c.pickFault(true) {
	case "DialRefused":
		return nil, syscall.ECONNREFUSED
	case "DialSilent":
		<-ctx.Done()
		return nil, ctx.Err()
	case "LoseBoth":
		c.lose(loseBoth)
	case "LoseRequests":
		c.lose(loseRequests)
	case "LoseAnswers":
		c.lose(loseAnswers)
	}
	client, server := net.Pipe()
	pc := &pipeConn{Conn: client, losses: map[lossMode]bool{}, closed: make(chan struct{})}
	c.mu.Lock()
	c.conns, c.open = append(c.conns, pc), append(c.open, server)
	c.mu.Unlock()
	go c.serve(server)
	return pc, nil
}

func (c *faultyNetwork) lose(mode lossMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pc := range c.conns {
		pc.mu.Lock()
		pc.losses[mode] = true
		pc.mu.Unlock()
	}
}

const answerTokens = 6

func (c *faultyNetwork) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for {
		if _, err := br.Peek(1); err != nil {
			return
		}
		fault := c.pickFault(false)
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
		c.reached[id] = true
		if fault != "Refuse" {
			c.ran[id] = true
			c.runs[request]++
		}
		c.mu.Unlock()
		from, _ := strconv.Atoi(req.Header.Get(HeaderResumeFrom))
		s := scriptedConn{nc: nc, id: id}
		if strings.Contains(string(body), `"stream":true`) {
			s.stream(fault, request, from)
		} else {
			s.answer(fault, request)
		}
		// The faults that begin with C end the connection: CloseUnanswered,
		// CutInTheMiddle and Comments. So does Stall.
		if s.closed || strings.HasPrefix(fault, "C") || fault == "Stall" {
			return
		}
	}
}

// stream sends tokens whose text is the request ID, with the fault in the middle.
func (s *scriptedConn) stream(fault, request string, from int) {
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

func (s *scriptedConn) answer(fault, request string) {
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
		s.closed = true
	}
	s.late(fault)
}

func (s *scriptedConn) refuse(fault string) bool {
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

func (s *scriptedConn) late(fault string) {
	if fault == "LateAnswer" {
		s.id = "late"
		s.answer("Whole", "late")
	}
}

// run sends one request and returns the violations that it finds. Like package
// pipeline, it retries idempotent requests, here after every failed attempt, and others
// only if the attempt is NotRun. The kinds of request are:
//
//   - Booking: a request that is not idempotent
//   - Whole: a chat request that the server answers with one JSON document
//   - Assembled: a chat request whose answer is streamed by the server and assembled
//     by the client
//   - Stream: a chat request whose answer is streamed, with ChatWithResume
func (c *faultyNetwork) run(client *Client, kind, request string) (violations []string) {
	fail := func(format string, args ...any) {
		violations = append(violations, request+" "+kind+": "+fmt.Sprintf(format, args...))
	}
	progress := new(call.Progress)
	var ids []string
	checkState := func(id string, err error) *Error {
		var e *Error
		if !errors.As(err, &e) {
			return nil
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if e.State == call.NotRun && c.ran[id] {
			fail("attempt %s is NotRun after %s, but a server ran it", id, e.Kind)
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
				fail("got the answer to another request: %s", answer.Body)
			}
		case "Whole", "Assembled":
			chat := ChatRequest{AttemptID: id, RequestID: request, Body: []byte(chatBody), Progress: progress}
			want := strconv.Quote(strings.Repeat(request+" ", answerTokens))
			if kind == "Whole" {
				chat.Body, want = []byte(`{"tools":[],"messages":[]}`), strconv.Quote(request)
			}
			var answer Answer
			answer, err = client.Chat(context.Background(), target("one"), chat, nil)
			if err == nil && !strings.Contains(string(answer.Body), want) {
				fail("got the answer to another request: %s", answer.Body)
			}
		case "Stream":
			err = c.runStream(client, request, id, progress, fail)
		}
		e := checkState(id, err)
		if e == nil || kind == "Booking" && e.State != call.NotRun || kind == "Stream" {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if progress.State() == call.NotRun && c.reached[id] {
			fail("the request is NotRun, but attempt %s reached a server", id)
		}
	}
	if kind == "Booking" && c.runs[request] > 1 {
		fail("ran %d times", c.runs[request])
	}
	return violations
}

// runStream streams an answer, resuming it until it is complete. Tokens must come in
// order, each with the request's own text, and none after the finish marker.
func (c *faultyNetwork) runStream(client *Client, request, id string, progress *call.Progress, fail func(string, ...any)) error {
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
				fail("got token %d %q, want token %d", ch.Token, ch.Content, next)
			}
			next, finished = ch.Token+1, ch.Finish != ""
			return nil
		})
	if (err == nil) != finished || answer.Complete != finished {
		fail("complete %v, finish marker seen %v, error %v", answer.Complete, finished, err)
	}
	return err
}

// TestFaultSchedules sends requests over networks with random faults, one seed per
// schedule. It guards against an attempt that is reported as NotRun but ran, a request
// that is not idempotent and runs twice, and a broken answer or another request's answer
// that is returned.
func TestFaultSchedules(t *testing.T) {
	probabilities := readFaultProbabilities(t)
	const groups = 4
	for g := range groups {
		t.Run(strconv.Itoa(g), func(t *testing.T) {
			t.Parallel()
			for seed := g; seed < schedules && !t.Failed(); seed += groups {
				synctest.Test(t, func(t *testing.T) { runSchedule(t, uint64(seed), probabilities) })
			}
		})
	}
}

const (
	schedules        = 1000
	scheduleRequests = 24
)

func runSchedule(t *testing.T, seed uint64, probabilities []faultProbability) {
	c := &faultyNetwork{
		rng: rand.New(rand.NewPCG(seed, 5)), probabilities: probabilities,
		reached: map[string]bool{}, ran: map[string]bool{}, runs: map[string]int{},
	}
	client := New(WithDial(c.dial), WithLimits(Limits{Connect: time.Second, Write: time.Second, FirstByte: 3 * time.Second, Unstreamed: 3 * time.Second, Progress: 2 * time.Second}))
	var wg sync.WaitGroup
	for i := range scheduleRequests {
		time.Sleep(c.pause())
		kind := []string{"Booking", "Whole", "Stream", "Assembled"}[i%4]
		wg.Go(func() {
			if violations := c.run(client, kind, fmt.Sprintf("r%d", i)); len(violations) > 0 {
				t.Errorf("seed %d: %s", seed, strings.Join(violations, "; "))
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
	time.Sleep(3 * time.Hour) // let the stalled servers return
}
