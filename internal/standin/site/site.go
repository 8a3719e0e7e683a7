package site

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"text/template"
	"time"
)

// Site is a store and a few backend servers, with a routing table in force and
// the settings file of one instance.
type Site struct {
	Store   *Store
	Servers []*Server
	// SettingsFile is the instance's, CallersAddress where it takes calls.
	SettingsFile   string
	CallersAddress string
	ReadyAddress   string
	// Host and Key are what callers send.
	Host string
	Key  string

	storeServer *http.Server
}

// settingsText is the platform's settings file of one instance.
var settingsText = template.Must(template.New("settings").Parse(`NodeName = "{{.Name}}"
Ip = "{{.Ip}}"
Zone = "gulberg"
Region = "lahore"
PortRange = [{{.PeerPort}}, {{.PeerPort}}]
[Listen]
Front = "{{.Callers}}"
Ready = "{{.Ready}}"
[Limits]
MemoryMb = 284
MaxFds = 4100
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
StrictRevoke = true
RevokeMs = 5000
RetryRatio = 0.9
RetryWindowS = 10
RetrySlack = 58
ColdOverrun = 1.5
ColdSlack = 5
ExposureShare = 0.15
ExposureSlack = 30
SessionS = 5
[Platform]
Address = "{{.Store}}"
HistoryS = 20
TtlMinMs = 1000
`))

// freePort returns a loopback port that is free for TCP and UDP.
func freePort() (int, error) {
	const tries = 20
	for range tries {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, fmt.Errorf("find a free port: %w", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if u, err := net.ListenPacket("udp", fmt.Sprintf("127.0.0.1:%d", port)); err == nil {
			u.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free for TCP and UDP after %d tries", tries)
}

// Start starts a site with its files in a directory.
func Start(dir string) (*Site, error) {
	s := &Site{Store: NewStore(), Host: "demo.example", Key: "demo-key", SettingsFile: filepath.Join(dir, "local.toml")}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the store: %w", err)
	}
	s.storeServer = &http.Server{Handler: s.Store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = s.storeServer.Serve(l) }()
	for _, service := range []string{"app", "llm"} {
		for i := range 2 {
			server, err := NewServer(fmt.Sprintf("i-%s-%d", service, i))
			if err != nil {
				return nil, err
			}
			s.Servers = append(s.Servers, server)
			server.Announce(s.Store, service, "ready")
		}
	}
	NewOperator(s.Store, s.Host, s.Key)
	return s, s.writeSettings(l.Addr().String())
}

func (s *Site) writeSettings(store string) error {
	var ports [3]int
	for i := range ports {
		port, err := freePort()
		if err != nil {
			return err
		}
		ports[i] = port
	}
	s.CallersAddress, s.ReadyAddress = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
	file, err := os.Create(s.SettingsFile)
	if err != nil {
		return fmt.Errorf("write the settings file: %w", err)
	}
	defer file.Close()
	return settingsText.Execute(file, map[string]any{
		"Name": "edge-1", "Ip": "127.0.0.1", "PeerPort": ports[2], "Callers": s.CallersAddress, "Ready": s.ReadyAddress, "Store": store,
	})
}

// Instance is an instance as the platform starts it.
type Instance struct {
	Name, IP, CallersAddress, ReadyAddress, SettingsFile string
}

// Ports of the instances that WriteInstance describes, each on a loopback address of its
// own.
const (
	callersPort = 8100
	readyPort   = 8101
	peerPort    = 8102
)

// WriteInstance writes the settings file of an instance on a loopback address, whose calls
// to the store go to another one.
func WriteInstance(dir, name, ip, store string) (Instance, error) {
	i := Instance{
		Name: name, IP: ip, CallersAddress: fmt.Sprintf("%s:%d", ip, callersPort), ReadyAddress: fmt.Sprintf("%s:%d", ip, readyPort),
		SettingsFile: filepath.Join(dir, name+".toml"),
	}
	file, err := os.Create(i.SettingsFile)
	if err != nil {
		return i, fmt.Errorf("write the settings file of %s: %w", name, err)
	}
	defer file.Close()
	return i, settingsText.Execute(file, map[string]any{"Name": name, "Ip": ip, "PeerPort": peerPort, "Callers": i.CallersAddress, "Ready": i.ReadyAddress, "Store": store})
}

// Close ends the store and the servers.
func (s *Site) Close() {
	s.storeServer.Close()
	for _, server := range s.Servers {
		server.Close()
	}
}
