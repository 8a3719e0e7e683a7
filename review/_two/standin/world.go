package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
)

const (
	host = "review.example"
	key  = "review-key"
	// instances is the number of edge machines.
	instances = 3
	// readyTimeout bounds the start of all instances.
	readyTimeout = 20 * time.Second
)

// world holds the stand-in of the store, the instances and the record.
type world struct {
	dir   string
	began time.Time
	store *site.Store
	http  *http.Server
	nodes []*node

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// node is one instance with its process.
type node struct {
	site.Instance
	command *exec.Cmd
	client  *http.Client
}

// newWorld starts a store. program is the one that the deploy file builds, record the path of
// the record.
func newWorld(program, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("open the record: %w", err)
	}
	w := &world{dir: dir, began: time.Now(), store: site.NewStore(), file: file, record: bufio.NewWriter(file)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	w.http = &http.Server{Handler: w.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = w.http.Serve(l) }()
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
	for i := range instances {
		n, err := site.WriteInstance(dir, fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("%s.%d", network, i+1), l.Addr().String())
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, &node{Instance: n, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}}})
	}
	for _, n := range w.nodes {
		n.command = exec.Command(program, "gateway")
		n.command.Env = []string{"KINGCUPYARD_CONFIG=" + n.SettingsFile, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
		log, err := os.Create(filepath.Join(dir, n.Name+".log"))
		if err != nil {
			return nil, err
		}
		n.command.Stdout, n.command.Stderr = log, log
		n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := n.command.Start(); err != nil {
			w.close()
			return nil, fmt.Errorf("start %s: %w", n.Name, err)
		}
	}
	return w, nil
}

// close ends all processes that were started, and the stand-ins.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.command != nil && n.command.Process != nil {
			_ = n.command.Process.Signal(syscall.SIGKILL)
			_ = n.command.Wait()
		}
	}
	w.http.Close()
	w.mu.Lock()
	_ = w.record.Flush()
	w.file.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Fprintln(os.Stderr, w.dir)
	}
}

// since returns the seconds since the start of the run.
func (w *world) since(at time.Time) float64 { return at.Sub(w.began).Seconds() }

// logf writes a line with the time to the record.
func (w *world) logf(format string, args ...any) {
	w.printf("%8.3f "+format, append([]any{w.since(time.Now())}, args...)...)
}

// printf writes a line to the record.
func (w *world) printf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, format+"\n", args...)
}

// awaitReady waits until all instances say that they are ready.
func (w *world) awaitReady() error {
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if resp, err := http.Get("http://" + n.ReadyAddress + "/-/readyz"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(w.nodes) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d instances are ready", ready, len(w.nodes))
		}
	}
}

// answer is what a client got. Status is 0 if the connection ended without a complete answer.
type answer struct {
	id     string
	sentAt time.Time
	status int
}

// call sends one request to an instance and reads the whole answer.
func (w *world) call(n *node, method, path, id string, header map[string]string, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.CallersAddress+path, nil)
	if err != nil {
		return answer{id: id, sentAt: time.Now()}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	a := answer{id: id, sentAt: time.Now()}
	resp, err := n.client.Do(req)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return a
	}
	a.status = resp.StatusCode
	return a
}

// load sends requests at a steady rate, to the instances in turn, until stop is closed. It
// returns the answers once all have come.
func (w *world) load(perSecond float64, stop <-chan struct{}, send func(n *node, i int) answer) []answer {
	var (
		mu      sync.Mutex
		answers []answer
		group   sync.WaitGroup
	)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			group.Wait()
			return answers
		case <-ticker.C:
		}
		n := w.nodes[i%len(w.nodes)]
		group.Go(func() {
			a := send(n, i)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
}
