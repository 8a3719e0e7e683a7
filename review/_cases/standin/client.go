package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// client is a client of the system with one open connection.
type client struct {
	stage   *stage
	name    string
	conn    net.Conn
	reader  *bufio.Reader
	used    int
	counter int
}

// request is one client attempt.
type request struct {
	route    string
	body     []byte
	deadline time.Duration
	headers  map[string]string
}

// answer is what the client got. Status is 0 if the connection ended before an answer
// began; whole is set if the answer came to its end.
type answer struct {
	id         string
	status     int
	whole      bool
	body       []byte
	retryAfter time.Duration
	// kept is set if the connection had carried a request before.
	kept bool
	// noConnection is set if the connection couldn't be opened.
	noConnection bool
}

func (s *stage) newClient(name string) *client { return &client{stage: s, name: name} }

// hangUp closes the client's connection.
func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection to an instance, unless one is open. A new connection may
// take a second, as the pages say.
func (c *client) connect(i *instance) error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", i.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	return nil
}

// send sends one client attempt to an instance and reads the answer.
func (c *client) send(i *instance, r request) answer {
	c.counter++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.counter)}
	if err := c.connect(i); err != nil {
		a.noConnection = true
		c.stage.line("%s: no connection to %s", a.id, i.name)
		return a
	}
	a.kept = c.used > 0
	c.used++
	c.stage.line("%s: sent to %s, route %s, %d bytes, kept connection %v", a.id, i.name, r.route, len(r.body), a.kept)
	keep := c.exchange(r, &a)
	if !keep {
		c.hangUp()
	}
	c.stage.line("%s: answered %d, whole %v", a.id, a.status, a.whole)
	return a
}

// exchange writes the request and reads the answer. It reports whether the connection may
// be used again.
func (c *client) exchange(r request, a *answer) bool {
	conn := c.conn
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second)) // fails only if the connection is closed, which the next call shows
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n",
		r.route, host, a.id, r.deadline.Milliseconds(), key, len(r.body))
	for name, value := range r.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	head.WriteString("\r\n")
	if _, err := conn.Write(append(head.Bytes(), r.body...)); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.body, err = io.ReadAll(resp.Body)
	a.whole = err == nil
	return a.whole && !resp.Close
}
