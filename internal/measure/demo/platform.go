package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/measure/invariant"
	"github.com/kingcupyard/kingcupyard/internal/standin/engine"
	"github.com/kingcupyard/kingcupyard/internal/standin/observation"
	"github.com/kingcupyard/kingcupyard/internal/standin/plain"
	"github.com/kingcupyard/kingcupyard/internal/standin/rating"
	"github.com/kingcupyard/kingcupyard/internal/standin/roster"
	"github.com/kingcupyard/kingcupyard/internal/standin/store"
	"github.com/kingcupyard/kingcupyard/internal/standin/weights"
)

// The keys in the platform's store.
const (
	documentKey  = "kingcupyard/Configuration"
	ledgerPrefix = "kingcupyard/Ledger/"
)

// The times of the demo's platform.
const (
	rosterLag      = 300 * time.Millisecond
	ratingDelay    = 300 * time.Millisecond
	judgeDuration  = 10 * time.Millisecond
	coldDuration   = 9 * time.Second
	firstToken     = 15 * time.Millisecond
	tokenInterval  = 3 * time.Millisecond
	anyAddress     = "127.0.0.1:0"
	instanceEntry  = "kingcupyard"
	loopbackPrefix = "http://"
)

// Platform is the set of stand-ins of a deployment. The stand-ins can be told
// to fail while the demo runs.
type Platform struct {
	Store   *store.Store
	Roster  *roster.Roster
	Rating  *rating.Service
	Weights *weights.Store
	Engines []*engine.Engine
	Plain   []*plain.Server

	addresses Addresses
	log       *observation.Log
	closers   []func()

	mu       sync.Mutex
	document *configuration.Document
	commits  invariant.Trace
	ledger   []store.Entry
}

// Addresses are those of the platform's services, each an IP and a port. Empty
// ones are chosen at start.
type Addresses struct {
	Store        string
	InstanceList string
	Rating       string
	Weights      string
}

// StartPlatform starts every stand-in of a deployment, lists the backend
// servers and writes the initial configuration.
func StartPlatform(d Deployment, seed uint64, at Addresses) (*Platform, error) {
	p := &Platform{log: observation.New(0), addresses: at}
	p.Store = store.New(store.Settings{}, store.WithLog(p.log), store.WithWriteHook(p.noteCommit))
	p.Roster = roster.New(roster.Settings{Lag: rosterLag}, roster.WithLog(p.log))
	p.Rating = rating.New(rating.Settings{Delay: ratingDelay, JudgeDuration: judgeDuration, Seed: seed})
	p.Weights = weights.New(weights.Settings{})
	for _, s := range []struct {
		service starter
		address *string
	}{
		{p.Store, &p.addresses.Store}, {p.Roster, &p.addresses.InstanceList},
		{p.Rating, &p.addresses.Rating}, {p.Weights, &p.addresses.Weights},
	} {
		var err error
		if *s.address, err = p.start(s.service, *s.address); err != nil {
			return nil, err
		}
	}
	if err := p.startServers(d); err != nil {
		return nil, err
	}
	value, err := d.document(seed).Encode()
	if err != nil {
		return nil, fmt.Errorf("encode the initial configuration: %w", err)
	}
	if _, err := p.Store.Put(documentKey, value); err != nil {
		return nil, fmt.Errorf("write the initial configuration: %w", err)
	}
	return p, nil
}

// starter is a stand-in that can be started.
type starter interface {
	Start(address string) (string, error)
	Close()
}

func (p *Platform) start(s starter, at string) (string, error) {
	if at == "" {
		at = anyAddress
	}
	address, err := s.Start(at)
	if err != nil {
		p.Close()
		return "", fmt.Errorf("start a stand-in: %w", err)
	}
	p.closers = append(p.closers, s.Close)
	return address, nil
}

func (p *Platform) startServers(d Deployment) error {
	versions := []engine.Loaded{
		{Model: modelBasic, Version: versionOne}, {Model: modelBasic, Version: versionTwo},
		{Model: modelFine, Version: versionOne}, {Model: modelFine, Version: versionTwo},
	}
	for n := range d.ModelServers {
		settings := engine.Settings{
			Name: fmt.Sprintf("%s-%02d", d.ModelService, n+1), Service: d.ModelService, DataCentre: d.DataCentres[n%len(d.DataCentres)],
			Loaded: versions, Concurrency: warmLimit, ColdConcurrency: coldLimit, ColdDuration: coldDuration,
			// The last engine comes up cold.
			StartsWarm: n < d.ModelServers-1, FirstToken: firstToken, TokenInterval: tokenInterval, FencingChecked: d.FencingChecked,
			Quality: map[string]float64{"basic@v1": 0.8, "basic@v2": 0.84, "fine@v1": 0.97, "fine@v2": 0.97},
		}
		e := engine.New(settings, engine.WithLog(p.log))
		address, err := p.start(e, "")
		if err != nil {
			return err
		}
		p.Engines = append(p.Engines, e)
		p.Roster.Put(roster.Instance{Name: settings.Name, Address: address, Service: d.ModelService, DataCentre: settings.DataCentre, Region: d.Region, Generation: 1})
	}
	for n := range d.PlainServers {
		settings := plain.Settings{
			Name: fmt.Sprintf("%s-%02d", d.PlainService, n+1), Service: d.PlainService,
			DataCentre: d.DataCentres[n%len(d.DataCentres)], Concurrency: plainLimit,
		}
		s := plain.New(settings, plain.WithLog(p.log))
		address, err := p.start(s, "")
		if err != nil {
			return err
		}
		p.Plain = append(p.Plain, s)
		p.Roster.Put(roster.Instance{Name: settings.Name, Address: address, Service: d.PlainService, DataCentre: settings.DataCentre, Region: d.Region, Generation: 1})
	}
	return nil
}

// Addresses returns where the platform's services listen.
func (p *Platform) Addresses() Addresses { return p.addresses }

// Close stops every stand-in.
func (p *Platform) Close() {
	for _, c := range p.closers {
		c()
	}
}
