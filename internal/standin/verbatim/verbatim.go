// Package verbatim has servers whose answers needn't keep to the rules of HTTP.
package verbatim

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Handle starts a server that calls handle with each connection and then closes it. It returns
// the server's address.
func Handle(t testing.TB, handle func(conn *net.TCPConn)) string {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return l.Addr().String()
}

// Serve starts a server that answers the requests on each connection in turn with the texts,
// and then closes it. It returns the server's address.
func Serve(t testing.TB, texts ...string) string {
	t.Helper()
	return Handle(t, func(conn *net.TCPConn) {
		r := bufio.NewReader(conn)
		for _, text := range texts {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	})
}
