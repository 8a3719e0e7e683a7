package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment: as many workers, zones and as long a heartbeat as on the sheet of
// pottyround-lhr, and four of its nine machines.
const (
	heartbeat    = 1200 * time.Millisecond
	workers      = 16
	gateways     = 4
	trafficStart = 10 * time.Second
	frontPort    = 8227
	readyPort    = 8220
	peerPort     = 7340
)

var zones = []string{"gulberg", "johar"}

// The bounds of the sheet.
const (
	contactBound  = 3 * time.Second
	drainBound    = 2 * time.Second
	revokeBound   = 5 * time.Second
	evacuateBound = 5 * time.Second
	outerBound    = 5 * time.Second
	configBound   = 2 * time.Second
)

const settingsText = `NodeName = "%[1]s"
Role = "gateway"
MachineClass = "edge"
Serves = ["edge"]
Ip = "%[2]s"
Zone = "%[3]s"
Region = "lahore"
PortRange = [7340,7355]
Seeds = []
Bootstrap = true
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
gulberg = "lahore"
johar = "lahore"
[Listen]
Front = "%[2]s:8227"
Ready = "%[2]s:8220"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
MaxFds = 4100
LinkMbps = 1000.0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
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
RetrySlack = 58
ExposureShare = 0.15
ExposureSlack = 30
RollbackMs = 5000
ColdOverrun = 1.5
ColdSlack = 5
EvacuateMs = 5000
RecoveryS = 12
PassMs = 120
ReuseWindowS = 9.3
SessionS = 5
[Platform]
Address = "%[4]s"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`

// gateway is a process of the system.
type gateway struct {
	name, ip, zone, settings string
	log                      *os.File
	process                  *exec.Cmd
}

// startGateway starts a process with the command of the deploy file.
func (t *test) startGateway(i int) error {
	g := &gateway{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", t.network, 10+i), zone: zones[i%len(zones)]}
	g.settings = filepath.Join(t.temporary, g.name+".toml")
	if err := os.WriteFile(g.settings, fmt.Appendf(nil, settingsText, g.name, g.ip, g.zone, t.storeAddress), 0o600); err != nil {
		return err
	}
	var err error
	if g.log, err = os.Create(filepath.Join(t.temporary, g.name+".log")); err != nil {
		return err
	}
	g.process = exec.Command("target/kingcupyard", "gateway")
	g.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "KINGCUPYARD_CONFIG=" + g.settings}
	g.process.Stdout, g.process.Stderr = g.log, g.log
	// The process ends with this one, whose main goroutine keeps its thread.
	g.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.process.Start(); err != nil {
		return err
	}
	t.gateways = append(t.gateways, g)
	return nil
}

func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readyz", g.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// worker is a stand-in of a worker of a plain service.
type worker struct {
	test    *test
	id      string
	address string
	zone    string
	born    int64
	running atomic.Int64

	mu    sync.Mutex
	seq   int64
	state string // "" once its entry has ended
}

const (
	slots        = 6
	requestWork  = 30 * time.Millisecond
	serviceName  = "rounds-app"
	workerQueue  = 24
	maxBodyBytes = 1 << 20
)

func (t *test) startWorker(i int) error {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", t.network, 100+i))
	if err != nil {
		return err
	}
	w := &worker{test: t, id: fmt.Sprintf("i-%02d", i), address: l.Addr().String(), zone: zones[i%len(zones)], born: time.Now().UnixMilli(), state: "ready"}
	t.workers = append(t.workers, w)
	go func() { _ = (&http.Server{Handler: w, IdleTimeout: time.Minute}).Serve(l) }()
	go func() {
		time.Sleep(time.Duration(i) * heartbeat / workers)
		for w.beat() {
			time.Sleep(heartbeat)
		}
	}()
	return nil
}

// beat writes the worker's entry. It reports false once the worker has ended it.
func (w *worker) beat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "" {
		return false
	}
	w.seq++
	w.test.store.write("servers/"+w.id, map[string]any{
		"Service": serviceName, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": slots, "State": w.state, "ColdLeftMs": 0, "Seq": w.seq, "born": w.born,
	})
	return true
}

// leave ends the worker's entry; it goes on serving.
func (w *worker) leave() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state = ""
	return w.test.store.end("servers/" + w.id)
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	id, h := r.Header.Get("X-Request-Id"), out.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", w.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		h.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	running := w.running.Add(1)
	defer w.running.Add(-1)
	h.Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", min(running, slots), max(0, running-slots), slots))
	if running > slots+workerQueue {
		h.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.test.ran(id, w)
	time.Sleep(requestWork)
	h.Set("X-Server-Seal", "seal-"+w.id+"-"+id)
	_, _ = fmt.Fprintf(out, "%s %s %d bytes", w.id, id, len(body)) // the caller may be gone
}

// lockThread keeps the main goroutine on its thread, with which the processes end.
func lockThread() { runtime.LockOSThread() }
