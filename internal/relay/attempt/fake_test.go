package attempt

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeServer runs the steps of a script for each request:
//
//	reset          close the connection with a TCP reset
//	begin          wait for the first byte of a request
//	read           read the request
//	status N H     answer with status N and, if given, the header line H
//	stream N       start a stream with the request's attempt ID and, if given, status N
//	crossed        start a stream with another attempt ID
//	token N        send token N
//	finish N U     send token N with the finish marker and a usage of U completion tokens (default N)
//	other N        send token N with another attempt ID
//	done           send the end marker and end the body
//	comment        send a comment line
//	whole          send a complete answer
//	late           send a complete answer with another attempt ID
//	part           send half of the body, then close
//	unframed       send an answer without a length, then close
//	close          close the connection
//	silent         keep the connection open without answering
//	hold           wait until the server is stopped
//	sleep D        wait for the duration D
//	flood          send tokens without end
type fakeServer struct {
	t        *testing.T
	ln       net.Listener
	script   []string
	released chan struct{}
	wg       sync.WaitGroup

	mu          sync.Mutex
	requests    []*http.Request
	accepted    int
	lastFlooded int
	open        map[net.Conn]bool
}

// newPipedServer returns a server without a listener. Its connections are pipes,
// so that it works under synctest.
func newPipedServer(t *testing.T, script ...string) *fakeServer {
	return &fakeServer{t: t, script: script, released: make(chan struct{}), open: map[net.Conn]bool{}}
}

func newFakeServer(t *testing.T, script ...string) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fakeServer{t: t, ln: ln, script: script, released: make(chan struct{}), open: map[net.Conn]bool{}}
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
	close(f.released)
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
		f.handle(nc)
	}
}

func (f *fakeServer) handle(nc net.Conn) {
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
		s := scriptedConn{f: f, nc: nc, br: br}
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

type scriptedConn struct {
	f  *fakeServer
	nc net.Conn
	br *bufio.Reader
	id string
	// closed is set once a write has failed or the server has closed the connection.
	closed bool
}

func (s *scriptedConn) step(step string) bool {
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
		s.send("HTTP/1.1 %s OK\r\nX-Attempt-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", cmp.Or(arg, "200"), s.id)
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
		for i := 1; !s.closed; i++ {
			s.event(s.id, strconv.Itoa(i), "null")
			s.f.mu.Lock()
			s.f.lastFlooded = i
			s.f.mu.Unlock()
		}
		return false
	case "silent", "hold":
		<-s.f.released
		return false
	}
	return word != "part" && word != "unframed"
}

// line returns a header line, or nothing for an empty one. \x01 stands for that byte.
func line(header string) string {
	if header == "" {
		return ""
	}
	return strings.ReplaceAll(header, `\x01`, "\x01") + "\r\n"
}

func (s *scriptedConn) read() bool {
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

func (s *scriptedConn) send(format string, args ...any) {
	if _, err := fmt.Fprintf(s.nc, format, args...); err != nil {
		s.closed = true
	}
}

func (s *scriptedConn) chunk(payload string) { s.send("%x\r\n%s\r\n", len(payload), payload) }

func (s *scriptedConn) event(id, arg, finish string) {
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

func (s *scriptedConn) whole(word string) {
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
