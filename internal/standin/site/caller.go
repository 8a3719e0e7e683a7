package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is one request of a caller.
type Call struct {
	ID   string
	Host string
	// Route is the name of the route, Key the key to send.
	Route string
	Key   string
	// Method is GET or POST. Events is the number of events that a chat asks for.
	Method string
	Events int
	// Timeout is the caller's.
	Timeout time.Duration
}

// Answer is what the caller got. Status is 0 if the connection ended without an answer.
type Answer struct {
	Status int
	// Whole is set if the body is the one that a backend server sends to the call, with
	// the server's signature.
	Whole bool
	// Leaving and Limited name the server if it said in the answer that it leaves, or
	// named a limit.
	Leaving string
	Limited string
}

// Do sends the call to an address over a client's connections.
func (c Call) Do(ctx context.Context, client *http.Client, address string) Answer {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+"/"+c.Route+"/x", strings.NewReader(c.ID))
	if err != nil {
		return Answer{}
	}
	req.Host = c.Host
	req.Header.Set("X-Request-Id", c.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(c.Timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+c.Key)
	want := c.ID
	if c.Events > 0 {
		req.Header.Set("X-Model", "*")
		req.Header.Set("X-Token-Counts", fmt.Sprintf("100,%d", c.Events))
		want = ""
		for n := 1; n <= c.Events; n++ {
			want += fmt.Sprintf("id: %d\ndata: part %d\n\n", n, n)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	answer := Answer{Status: resp.StatusCode, Whole: err == nil && string(body) == want && resp.Header.Get("X-Server-Seal") != ""}
	if err != nil && strings.HasPrefix(want, string(body)) {
		answer.Status = 0 // the end is missing, and the caller can tell
	}
	if server := resp.Header.Get("X-Instance-Id"); resp.Header.Get("Server-Leaving") != "" {
		answer.Leaving = server
	}
	if server := resp.Header.Get("X-Instance-Id"); resp.Header.Get("Server-Limit") != "" {
		answer.Limited = server
	}
	return answer
}
