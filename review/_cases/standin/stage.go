package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/standin/site"
)

const (
	// host and key are what clients send; tenant holds the key.
	host   = "review.example"
	key    = "review-key"
	tenant = "review-tenant"
	zone   = "gulberg"
	// program and role are those of deploy/system.toml.
	program = "target/kingcupyard"
	role    = "gateway"
	// memoryMb is MemoryMb of the settings, in the platform's pages.
	memoryMb = 284
	// restartDelay is the platform's delay before it starts a process again; the site
	// files name 0.51 s and more.
	restartDelay = 510 * time.Millisecond
)

// stage holds everything around the instances: the store, the workers and the files.
type stage struct {
	*record
	store  *site.Store
	dir    string
	server *http.Server
	// storeAddress is where the instances reach the store.
	storeAddress string

	mu        sync.Mutex
	instances []*instance
	workers   []*worker
	closed    bool
}

func newStage(r *record) (*stage, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "kingcupyard-review")
	if err != nil {
		return nil, fmt.Errorf("make a temporary folder: %w", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	s := &stage{record: r, store: site.NewStore(), dir: dir, storeAddress: l.Addr().String()}
	s.server = &http.Server{Handler: s.store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// close ends all that the stage has started.
func (s *stage) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	instances, workers := s.instances, s.workers
	s.mu.Unlock()
	for _, i := range instances {
		i.end()
	}
	for _, w := range workers {
		w.close()
	}
	s.server.Close()
	os.RemoveAll(s.dir)
}

// route is one route of the configuration.
type route struct {
	name, kind, service string
	timeout, goal       time.Duration
	resumable           bool
}

// configure writes the configuration. maxBody is MaxBodyBytes, coldPerS the ColdPerS of all
// services.
func (s *stage) configure(routes []route, services []string, maxBody int, coldPerS float64) {
	var rows, named []any
	for _, r := range routes {
		row := map[string]any{
			"Name": r.name, "Host": host, "Prefix": "/" + r.name + "/", "Type": r.kind, "TimeoutMs": r.timeout.Milliseconds(), "GoalMs": r.goal.Milliseconds(),
			"Service": r.service, "MaxAttempts": 3, "Priority": 1,
		}
		if r.kind == "streaming" {
			row["Resumable"], row["Sticky"], row["GapTargetMs"] = r.resumable, true, 1500
		}
		rows = append(rows, row)
	}
	for _, name := range services {
		named = append(named, map[string]any{"Name": name, "MaxConns": 370, "ColdStartS": 3, "ColdPerS": coldPerS})
	}
	s.store.Set("op/config", map[string]any{
		"Version": 3, "Routes": rows, "Services": named,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": maxBody, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}}},
	})
}

// instance is one machine of the system with its process.
type instance struct {
	stage            *stage
	name             string
	front, ready     string
	settings, output string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ended   bool
}

// startInstance writes the settings of an instance and starts its process. Each instance
// has a loopback address of its own, 127.X.Y.N.
func (s *stage) startInstance(n int) (*instance, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
	var ports [3]int
	for i := range ports {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	name := fmt.Sprintf("edge-%s-%d", zone, n)
	i := &instance{
		stage: s, name: name, front: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		settings: filepath.Join(s.dir, name+".toml"), output: filepath.Join(s.dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, ip, zone, ports[2], ports[2]+7, zone, i.front, i.ready, memoryMb, s.storeAddress)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("write the settings: %w", err)
	}
	s.mu.Lock()
	s.instances = append(s.instances, i)
	s.mu.Unlock()
	return i, i.start()
}

// settingsText is a settings file with the fields of the platform's pages.
const settingsText = `NodeName = "%s"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "%s"
Zone = "%s"
Region = "lahore"
PortRange = [%d, %d]
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
%s = "lahore"
[Listen]
Front = "%s"
Ready = "%s"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryRatio = 0.9
RetryWindowS = 10
RetrySlack = 56
ExposureShare = 0.15
ExposureSlack = 30
RollbackMs = 5000
ColdOverrun = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
PassMs = 120
SessionS = 5
[Platform]
Address = "%s"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`

// freePort returns a port of the address that is free for TCP and UDP.
func freePort(ip string) (int, error) {
	for range 20 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, fmt.Errorf("find a free port: %w", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port)); err == nil {
			u.Close()
			return port, nil
		}
	}
	return 0, errors.New("no port is free for TCP and UDP")
}

// start starts the instance's process.
func (i *instance) start() error {
	output, err := os.OpenFile(i.output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the output of %s: %w", i.name, err)
	}
	defer output.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return nil
	}
	command := exec.Command("./"+program, role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "KINGCUPYARD_CONFIG=" + i.settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", i.name, err)
	}
	exited := make(chan struct{})
	i.process, i.exited = command, exited
	go func() {
		_ = command.Wait() // how it ended is of no interest
		close(exited)
	}()
	i.stage.line("%s starts", i.name)
	return nil
}

// kill ends the process with SIGKILL, and starts it again after restartDelay.
func (i *instance) kill(why string) {
	i.mu.Lock()
	process, exited := i.process, i.exited
	i.mu.Unlock()
	i.stage.line("%s is killed: %s", i.name, why)
	_ = process.Process.Kill()
	<-exited
	time.AfterFunc(restartDelay, func() {
		if err := i.start(); err != nil {
			i.stage.line("%v", err)
		}
	})
}

// end kills the process for good.
func (i *instance) end() {
	i.mu.Lock()
	i.ended = true
	process, exited := i.process, i.exited
	i.mu.Unlock()
	if process != nil {
		_ = process.Process.Kill()
		<-exited
	}
}

// memoryKb returns the resident memory of the process, 0 if it has ended.
func (i *instance) memoryKb() int {
	i.mu.Lock()
	pid := i.process.Process.Pid
	i.mu.Unlock()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				return 0
			}
			return kb
		}
	}
	return 0
}

// isReady asks the instance as the platform does.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + i.ready + "/-/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready.
func (s *stage) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, i := range s.instances {
			if i.isReady() {
				ready++
			}
		}
		if ready == len(s.instances) {
			s.line("%d instances are ready", ready)
			return nil
		}
	}
	return errors.New("the instances are not ready")
}
