package site

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// Proxy passes connections on to an address. Its open connections can go silent for good,
// without a reset, while new ones work.
type Proxy struct {
	Address string

	target   string
	listener net.Listener
	mu       sync.Mutex
	// open holds the callers' connections and those to the target; silent ones drop what
	// arrives.
	open   map[net.Conn]bool
	silent map[net.Conn]bool
}

// NewProxy starts a proxy on a loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start a proxy: %w", err)
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: l, open: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *Proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return // the proxy was closed
		}
		to, err := net.Dial("tcp", p.target)
		if err != nil {
			from.Close()
			continue
		}
		p.mu.Lock()
		p.open[from], p.open[to] = true, true
		p.mu.Unlock()
		go p.copy(to, from)
		go p.copy(from, to)
	}
}

// copy passes bytes on until a connection ends. The end of a silent connection isn't
// passed on either.
func (p *Proxy) copy(to, from net.Conn) {
	_, _ = io.Copy(filter{p, to}, from) // the error is the end of one of the connections
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, from)
	from.Close()
	if !p.silent[from] {
		to.Close()
	}
}

// filter drops what is written to a silent connection.
type filter struct {
	proxy *Proxy
	to    net.Conn
}

func (f filter) Write(b []byte) (int, error) {
	f.proxy.mu.Lock()
	silent := f.proxy.silent[f.to]
	f.proxy.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return f.to.Write(b)
}

// Silence makes the open connections silent for good and returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		p.silent[c] = true
	}
	return len(p.open) / 2
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.Close()
	}
}
