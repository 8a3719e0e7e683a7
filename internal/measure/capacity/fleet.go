package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/fleet/board"
	"github.com/kingcupyard/kingcupyard/internal/fleet/distribution"
	"github.com/kingcupyard/kingcupyard/internal/platform/roster"
	standinroster "github.com/kingcupyard/kingcupyard/internal/standin/roster"
	standinstore "github.com/kingcupyard/kingcupyard/internal/standin/store"
)

// fleet is the instances under measurement and the platform around them.
type fleet struct {
	settings     Settings
	store        *standinstore.Store
	storeAddress string
	list         *standinroster.Roster
	listAddress  string
	engines      *http.Server
	instances    []*instance
	seeds        atomic.Uint64
	peerTraffic  traffic
	storeTraffic traffic
	listTraffic  traffic
	loadCalls    atomic.Int64
	loadBytes    atomic.Int64
}

func (f *fleet) seed() uint64 { return f.seeds.Add(1) }

// newFleet starts the platform's stand-ins with a configuration.
func newFleet(settings Settings) (*fleet, error) {
	f := &fleet{settings: settings, store: standinstore.New(standinstore.Settings{}), list: standinroster.New(standinroster.Settings{})}
	var err error
	if f.storeAddress, err = f.store.Start("127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	if f.listAddress, err = f.list.Start("127.0.0.1:0"); err != nil {
		return nil, fmt.Errorf("start instance list: %w", err)
	}
	doc := document(settings.DocumentBytes)
	if err := doc.Validate(); err != nil {
		return nil, fmt.Errorf("check configuration: %w", err)
	}
	value, err := doc.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if _, err := f.store.Put(distribution.Key, value); err != nil {
		return nil, fmt.Errorf("write configuration: %w", err)
	}
	if err := f.startServers(); err != nil {
		return nil, err
	}
	f.store.SetFaults(func(faults *standinstore.Faults) {
		faults.DelayMilliseconds = int(settings.StoreDelay / time.Millisecond)
	})
	return f, nil
}

// document returns a configuration of about this size.
func document(size int) *configuration.Document {
	doc := &configuration.Document{
		FormatVersion: configuration.FormatVersion, Preset: "Ordinary", Serial: 1,
		Presets:  []configuration.Preset{{Name: "Ordinary"}, {Name: "Peak"}},
		Services: []configuration.Service{{Name: "kingcup-llm", Kind: configuration.ServiceModel, Concurrency: 16, ColdConcurrency: 2}},
	}
	for m := range 4 {
		versions := []configuration.Version{{Name: "v1", State: configuration.VersionActive}, {Name: "v2", State: configuration.VersionRegistered}}
		doc.Models = append(doc.Models, configuration.Model{Name: fmt.Sprint("model", m), Service: "kingcup-llm", Versions: versions, Default: "v1"})
	}
	const bytesPerCustomer = 400
	for i := range size / bytesPerCustomer {
		customer := configuration.Customer{Name: fmt.Sprint("customer", i), KeyHashes: []string{configuration.HashKey(fmt.Sprint(i))}, OnWithdrawal: configuration.WithdrawalRefuse}
		for m := range 4 {
			customer.Allowed = append(customer.Allowed, configuration.ModelAccess{Model: fmt.Sprint("model", m), Versions: []string{"v1", "v2"}})
		}
		doc.Customers = append(doc.Customers, customer)
	}
	return doc
}

// startServers runs the load reports of all backend servers, each on an
// address of its own.
func (f *fleet) startServers() error {
	names := map[string]string{}
	started := time.Now()
	var sequence atomic.Uint64
	f.engines = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		local := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
		report, _ := json.Marshal(map[string]any{
			"Server": names[local.String()], "At": time.Now(), "Sequence": sequence.Add(1), "Generation": 1,
			"StartedAt": started, "Running": 5, "Concurrency": 16, "ColdConcurrency": 2, "FirstTokenMilliseconds": 120,
			"Loaded": []board.LoadedVersion{{Model: "kingcup-small", Version: "v1"}, {Model: "kingcup-large", Version: "v7"}},
		})
		f.loadCalls.Add(1)
		f.loadBytes.Add(int64(len(report)) + httpOverhead)
		_, _ = w.Write(report)
	})}
	for i := range f.settings.Instances * f.settings.ServersPerInstance {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		name := fmt.Sprintf("server-%04d", i)
		names[listener.Addr().String()] = name
		f.list.Put(standinroster.Instance{
			Name: name, Address: listener.Addr().String(), Service: "kingcup-llm",
			DataCentre: f.dataCentre(i), Region: f.region(i),
		})
		defer func() {
			go func() {
				if err := f.engines.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
					panic(err)
				}
			}()
		}()
	}
	return nil
}

// httpOverhead is about the size of the headers of a load report's request and
// answer, in bytes.
const httpOverhead = 250

// region puts four data centres into each region.
func (f *fleet) region(i int) string { return fmt.Sprint("region-", i%f.settings.DataCentres/4) }

func (f *fleet) dataCentre(i int) string { return fmt.Sprintf("dc-%02d", i%f.settings.DataCentres) }

// startAll starts every instance and lists it.
func (f *fleet) startAll() error {
	for i := range f.settings.Instances {
		in, err := f.startInstance(fmt.Sprintf("instance-%03d", i), f.dataCentre(i), f.region(i))
		if err != nil {
			return err
		}
		f.instances = append(f.instances, in)
		f.listInstance(in)
	}
	return nil
}

func (f *fleet) listInstance(in *instance) {
	f.list.Put(standinroster.Instance{
		Name: in.self.Name, PeerAddress: in.self.PeerAddress, Service: roster.OwnService,
		DataCentre: in.self.DataCentre, Region: in.self.Region,
	})
}

// restart replaces an instance by a new run under the same name.
func (f *fleet) restart(i int) error {
	old := f.instances[i]
	old.stop()
	in, err := f.startInstance(old.self.Name, old.self.DataCentre, old.self.Region)
	if err != nil {
		return err
	}
	f.instances[i] = in
	f.listInstance(in)
	return nil
}

func (f *fleet) close() {
	for _, in := range f.instances {
		in.stop()
	}
	_ = f.engines.Close()
	f.store.Close()
	f.list.Close()
}

// String names the fleet.
func (s Settings) String() string {
	return strings.TrimSpace(fmt.Sprintf("%d instances in %d data centres", s.Instances, s.DataCentres))
}
