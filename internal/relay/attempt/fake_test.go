package attempt

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeServer answers each request by a script: one step after another.
//
//	reset          close with a reset at once
//	begin          wait for the first byte of a request
//	read           read the request
//	status N H     answer status N, header line H optional
//	stream         start a stream under the request's attempt ID
//	crossed        start a stream under another attempt ID
//	token N        send token N
//	finish N U     send token N with the finish marker; U completion tokens, N if absent
//	other N        send token N under another attempt ID
//	done           send the end marker and end the body
//	comment        send a comment line
//	whole          answer whole
//	late           answer whole under another attempt ID
//	part           answer with half of a whole body, then close
//	unframed       answer without a length, then close
//	close          close the connection
//	silent         read on without ever answering
//	hold           wait until the test ends the server
//	sleep D        wait for a time
//	flood          send tokens without end
type fakeServer struct {
	t      *testing.T
	ln     net.Listener
	script []string
	held   chan struct{}
	wg     sync.WaitGroup

	mu       sync.Mutex
	requests []*http.Request
	accepted int
	flooded  int
	open     map[net.Conn]bool
}

// newPipedServer is a server without a listener; connections are pipes, so
// that it works under synctest.
func newPipedServer(t *testing.T, script ...string) *fakeServer {
	return &fakeServer{t: t, script: script, held: make(chan struct{}), open: map[net.Conn]bool{}}
}

func newFakeServer(t *testing.T, script ...string) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{t: t, ln: ln, script: script, held: make(chan struct{}), open: map[net.Conn]bool{}}
	f.wg.Go(f.accept)
	t.Cleanup(f.stop)
	return f
}

func (f *fakeServer) target() Target {
	return Target{Server: "fake", Address: f.ln.Addr().String(), DataCentre: "gulberg"}
}

func (f *fakeServer) stop() {
	if f.ln != nil {
		f.ln.Close()
	}
	close(f.held)
	f.mu.Lock()
	for nc := range f.open {
		nc.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *fakeServer) accept() {
	for {
		nc, err := f.ln.Accept()
		if err != nil {
			return
		}
		f.take(nc)
	}
}

func (f *fakeServer) take(nc net.Conn) {
	f.mu.Lock()
	f.accepted++
	f.open[nc] = true
	f.mu.Unlock()
	f.wg.Go(func() { f.serve(nc) })
}

func (f *fakeServer) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for i := 0; ; i++ {
		s := session{f: f, nc: nc, br: br}
		f.mu.Lock()
		script := f.script
		f.mu.Unlock()
		for _, step := range script {
			if !s.step(step) {
				return
			}
		}
	}
}

func (f *fakeServer) seen() (accepted int, requests []*http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepted, f.requests
}

type session struct {
	f  *fakeServer
	nc net.Conn
	br *bufio.Reader
	id string
	// failed is set once the client is gone.
	failed bool
}

func (s *session) step(step string) bool {
	word, arg, _ := strings.Cut(step, " ")
	switch word {
	case "reset":
		s.nc.(*net.TCPConn).SetLinger(0)
		return false
	case "begin":
		_, err := s.br.Peek(1)
		return err == nil
	case "read":
		return s.read()
	case "status":
		code, header, _ := strings.Cut(arg, " ")
		s.send("HTTP/1.1 %s X\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n%s\r\nbusy", code, s.id, line(header))
	case "stream":
		s.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", s.id)
	case "crossed":
		s.send("HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n")
	case "token":
		s.event(s.id, arg, "null")
	case "finish":
		s.event(s.id, arg, `"stop"`)
	case "other":
		s.event("other", arg, "null")
	case "comment":
		s.chunk(": alive\n\n")
	case "done":
		s.chunk("data: [DONE]\n\n")
		s.send("0\r\n\r\n")
	case "whole", "part", "unframed":
		s.whole(word)
	case "late":
		s.id = "late"
		s.whole("whole")
	case "close":
		return false
	case "sleep":
		d, _ := time.ParseDuration(arg)
		time.Sleep(d)
	case "flood":
		for i := 1; !s.failed; i++ {
			s.event(s.id, strconv.Itoa(i), "null")
			s.f.mu.Lock()
			s.f.flooded = i
			s.f.mu.Unlock()
		}
		return false
	case "silent", "hold":
		<-s.f.held
		return false
	}
	return word != "part" && word != "unframed"
}

func line(header string) string {
	if header == "" {
		return ""
	}
	return header + "\r\n"
}

func (s *session) read() bool {
	req, err := http.ReadRequest(s.br)
	if err != nil {
		return false
	}
	body := new(strings.Builder)
	if _, err := bufio.NewReader(req.Body).WriteTo(body); err != nil {
		return false
	}
	req.Header.Set("Test-Body", body.String())
	s.id = req.Header.Get(HeaderAttempt)
	s.f.mu.Lock()
	s.f.requests = append(s.f.requests, req)
	s.f.mu.Unlock()
	return true
}

func (s *session) send(format string, args ...any) {
	if _, err := fmt.Fprintf(s.nc, format, args...); err != nil {
		s.failed = true
	}
}

func (s *session) chunk(payload string) { s.send("%x\r\n%s\r\n", len(payload), payload) }

func (s *session) event(id, arg, finish string) {
	token, used, counted := strings.Cut(arg, " ")
	if !counted {
		used = token
	}
	usage := ""
	if finish != "null" {
		usage = `,"usage":{"prompt_tokens":7,"completion_tokens":` + used + `}`
	}
	s.chunk(fmt.Sprintf(`data: {"id":%q,"token":%s,"choices":[{"delta":{"content":"t%s "},"finish_reason":%s}]%s}`+"\n\n",
		id, token, token, finish, usage))
}

func (s *session) whole(word string) {
	body := fmt.Sprintf(`{"id":%q,"choices":[{"finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":3}}`, s.id)
	header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Attempt-Id: %s\r\n", s.id)
	if word == "unframed" {
		s.send("%sConnection: close\r\n\r\n%s", header, body)
		return
	}
	sent := body
	if word == "part" {
		sent = body[:len(body)/2]
	}
	s.send("%sContent-Length: %d\r\n\r\n%s", header, len(body), sent)
}
