package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
)

const (
	host    = "soak.example"
	baseKey = "soak-key"
	// servers is the number of backend servers of each service.
	servers = 4
	// networks is the number of loopback networks from which a process takes one.
	networks = 250
	// workTime is how long a backend server works before it answers.
	workTime = 15 * time.Millisecond
	// callersPerInstance is the number of callers that keep connections to an instance.
	callersPerInstance = 5
	// readyTimeout bounds the start of all instances.
	readyTimeout = 20 * time.Second
	// gracePeriod is the time from SIGTERM to SIGKILL.
	gracePeriod = 8 * time.Second
	// callTimeout is the longest time that a caller waits.
	callTimeout = 4 * time.Second
)

// world is the platform of one run with its instances.
type world struct {
	settings Settings
	start    time.Time
	store    *site.Store
	operator *site.Operator
	nodes    []*node
	// storeFaults is held during a fault of the store.
	storeFaults sync.Mutex

	mu    sync.Mutex
	trace Trace
	// servers holds all backend servers, also those that have left.
	servers []*backend
	// routes and keys hold what operators have added, in the order of time.
	routes []string
	keys   []string
	calls  int
}

// backend is a backend server. taken is set while a fault is about it, first if it stays
// sound.
type backend struct {
	server       *site.Server
	service      string
	taken, first bool
}

// node is one instance and its process.
type node struct {
	world    *world
	instance site.Instance
	access   *site.Access
	// storeProxy passes the instance's connections on to access.
	storeProxy *site.Proxy
	// faults and accessFaults are held during a fault of the process and of its way to
	// the store.
	faults, accessFaults sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// expected is set while the process is to end.
	expected bool
}

func newWorld(dir string, settings Settings) (*world, error) {
	w := &world{settings: settings, start: time.Now(), store: site.NewStore()}
	for _, service := range []string{"app", "llm"} {
		for i := range servers {
			if err := w.startServer(service, i == servers-1); err != nil {
				return w, err
			}
		}
	}
	w.operator = site.NewOperator(w.store, host, baseKey)
	for i := range settings.Instances {
		access, err := site.NewAccess(w.store)
		if err != nil {
			return w, err
		}
		// Each run of each process has a network of its own, so that they can be side by side.
		ip := net.IPv4(127, byte(1+os.Getpid()%networks), byte(settings.Seed), byte(1+i)).String()
		proxy, err := site.NewProxy(access.Address)
		if err != nil {
			return w, err
		}
		instance, err := site.WriteInstance(dir, fmt.Sprintf("edge-%d", i+1), ip, proxy.Address)
		if err != nil {
			return w, err
		}
		w.nodes = append(w.nodes, &node{world: w, instance: instance, access: access, storeProxy: proxy})
	}
	return w, nil
}

// startServer starts a backend server and announces it.
func (w *world) startServer(service string, first bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, err := site.NewServer(fmt.Sprintf("i-%s-%d", service, len(w.servers)))
	if err != nil {
		return err
	}
	s.Work = workTime
	w.servers = append(w.servers, &backend{server: s, service: service, first: first})
	s.Announce(w.store, service, "ready")
	return nil
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
		n.storeProxy.Close()
		n.access.Close()
	}
	for _, b := range w.servers {
		b.server.Close()
	}
}

// now returns the time since the start of the run.
func (w *world) now() time.Duration { return time.Since(w.start) }

func (w *world) record(f Fact) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace.Facts = append(w.trace.Facts, f)
}

func (w *world) disturbed(d Disturbance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace.Disturbed = append(w.trace.Disturbed, d)
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range w.nodes {
		for !n.isReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %s was not ready within %v", n.instance.Name, readyTimeout)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// startProcess starts the instance. Its log goes to a file beside its settings.
func (n *node) startProcess() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(n.instance.SettingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", n.instance.Name, err)
	}
	defer log.Close()
	process := exec.Command(n.world.settings.Program, "gateway", "-Settings", n.instance.SettingsFile)
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.instance.Name, err)
	}
	n.process, n.expected = process, false
	exited := make(chan struct{})
	n.exited = exited
	go func() {
		_ = process.Wait() // how it ended doesn't matter, only whether it was to
		n.mu.Lock()
		expected := n.expected || n.process != process
		n.mu.Unlock()
		if !expected {
			n.world.record(Fact{Kind: Ended, Name: n.instance.Name, At: n.world.now()})
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process. ends is set if the process is to end of it.
func (n *node) signal(s syscall.Signal, ends bool) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.expected = n.expected || ends
	if n.process != nil {
		_ = n.process.Process.Signal(s) // it may have ended already
	}
	return n.exited
}

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if exited := n.signal(syscall.SIGKILL, true); exited != nil {
		<-exited
	}
}

// stop asks the process to end, and kills it at the end of the grace period.
func (n *node) stop() {
	exited := n.signal(syscall.SIGTERM, true)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		n.kill()
	}
}

func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.instance.ReadyAddress + n.world.settings.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
