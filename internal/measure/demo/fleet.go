package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/measure/invariant"
	"github.com/kingcupyard/kingcupyard/internal/standin/roster"
)

// InstanceSettings are what one instance is started with. Addresses are an IP
// and a port.
type InstanceSettings struct {
	Name            string
	DataCentre      string
	Region          string
	Store           string
	InstanceList    string
	Rating          string
	Weights         string
	OperatorKeyHash string
	PeerKey         string
}

// Instance is a running instance.
type Instance struct {
	Callers   string
	Operators string
	Peers     string
	// Stop is a planned stop; it returns when the instance has left.
	Stop func(ctx context.Context) error
	// Kill ends the instance as a crash does, if the starter can do that.
	Kill func()
}

// Starter starts one instance.
type Starter interface {
	Start(ctx context.Context, settings InstanceSettings) (Instance, error)
}

// Operator performs operators' changes. Each returns when the change is
// accepted.
type Operator interface {
	CreateCustomer(ctx context.Context, c configuration.Customer) error
	Allow(ctx context.Context, customer string, a configuration.ModelAccess) error
	Disallow(ctx context.Context, customer, model string) error
	StartRollout(ctx context.Context, model, from, to string, stages []float64) error
	Withdraw(ctx context.Context, model, version, reason string) error
	TakeOut(ctx context.Context, dataCentre string) error
	Return(ctx context.Context, dataCentre string) error
	ApplyPreset(ctx context.Context, name string) error
}

// Operators builds an Operator for the operator API of an instance.
type Operators func(address, key string) Operator

// The demo's own keys.
const (
	operatorKey = "key-of-the-operators"
	peerKey     = "key-of-the-peers"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
	probesMissed  = 3
	readyTimeout  = 15 * time.Second
)

// fleet is the set of instances behind a balancer that looks at readiness.
type fleet struct {
	clock  clockwork.Clock
	client *http.Client
	record func(invariant.Event)

	mu       sync.Mutex
	members  []*member
	position atomic.Uint64
}

type member struct {
	name     string
	instance Instance
	// missed counts the probes of readiness that failed in a row.
	missed  int
	ready   bool
	stopped bool
}

// startFleet starts the instances, in the deployment's first data centres, and
// waits until all are ready.
func startFleet(ctx context.Context, d Deployment, p *Platform, s Starter, count int, clock clockwork.Clock, record func(invariant.Event)) (*fleet, error) {
	f := &fleet{clock: clock, record: record, client: &http.Client{Timeout: probeTimeout}}
	for n := range count {
		if err := f.start(ctx, d, p, s, n); err != nil {
			f.stopAll(ctx, p)
			return nil, err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		f.stopAll(ctx, p)
		return nil, err
	}
	return f, nil
}

// start starts the instance number n and lists it.
func (f *fleet) start(ctx context.Context, d Deployment, p *Platform, s Starter, n int) error {
	settings := InstanceSettings{
		Name: fmt.Sprintf("instance-%d", n+1), DataCentre: d.DataCentres[n%len(d.DataCentres)], Region: d.Region,
		Store: p.addresses.Store, InstanceList: p.addresses.InstanceList, Rating: p.addresses.Rating, Weights: p.addresses.Weights,
		OperatorKeyHash: configuration.HashKey(operatorKey), PeerKey: peerKey,
	}
	in, err := s.Start(ctx, settings)
	if err != nil {
		return fmt.Errorf("start %s: %w", settings.Name, err)
	}
	f.mu.Lock()
	f.members = append(f.members, &member{name: settings.Name, instance: in})
	f.mu.Unlock()
	p.Roster.Put(roster.Instance{
		Name: settings.Name, Address: in.Callers, PeerAddress: in.Peers, Service: instanceEntry,
		DataCentre: settings.DataCentre, Region: d.Region, Generation: 1,
	})
	return nil
}

// kill ends an instance as a crash does.
func (f *fleet) kill(p *Platform, m *member) {
	if m.instance.Kill == nil {
		return
	}
	f.mu.Lock()
	m.stopped = true
	f.mu.Unlock()
	m.instance.Kill()
	p.Roster.Remove(m.name)
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.checkReady(ctx) {
		select {
		case <-f.clock.After(probeInterval):
		case <-ctx.Done():
			return fmt.Errorf("not all instances are ready: %w", ctx.Err())
		}
	}
	return nil
}

// checkReady asks every instance whether it is ready, as a balancer does.
func (f *fleet) checkReady(ctx context.Context) (all bool) {
	all = true
	for _, m := range f.list() {
		status := f.get(ctx, m.instance.Operators, "/readyz", "")
		f.mu.Lock()
		m.probed(status == http.StatusOK)
		all = all && m.ready
		f.mu.Unlock()
	}
	return all
}

// probed takes in one probe of readiness. A balancer takes an instance out only
// after several failed probes.
func (m *member) probed(ok bool) {
	m.missed++
	if ok {
		m.missed = 0
	}
	m.ready = !m.stopped && (ok || m.ready && m.missed < probesMissed)
}

func (f *fleet) list() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// pick returns the callers' address of a ready instance, in turn.
func (f *fleet) pick() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.members {
		m := f.members[f.position.Add(1)%uint64(len(f.members))]
		if m.ready {
			return m.instance.Callers
		}
	}
	return ""
}

// nameOf returns the name of the instance behind a callers' address.
func (f *fleet) nameOf(address string) string {
	for _, m := range f.list() {
		if m.instance.Callers == address {
			return m.name
		}
	}
	return address
}

func (f *fleet) get(ctx context.Context, address, path, key string) (status int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, loopbackPrefix+address+path, nil)
	if err != nil {
		return 0
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if path == modelsPath {
		f.seen(resp, address)
	}
	return resp.StatusCode
}

const modelsPath = "/v1/models"

// shownModels is the part of the answer to GET /v1/models that is read.
type shownModels struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// seen records which versions an instance shows to the probing caller.
func (f *fleet) seen(resp *http.Response, address string) {
	ev := invariant.Event{At: f.clock.Now(), Kind: invariant.KindSeen, Instance: f.nameOf(address)}
	switch resp.StatusCode {
	case http.StatusUnauthorized:
		ev.Models = []string{notAuthorised}
	case http.StatusOK:
		var shown shownModels
		if err := json.NewDecoder(resp.Body).Decode(&shown); err != nil {
			return
		}
		for _, m := range shown.Data {
			if strings.Contains(m.ID, "@") {
				ev.Models = append(ev.Models, m.ID)
			}
		}
		slices.Sort(ev.Models)
	default:
		return
	}
	f.record(ev)
}

// watch checks readiness and probes every instance until the context ends.
func (f *fleet) watch(ctx context.Context) {
	ticker := f.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		f.checkReady(ctx)
		for _, m := range f.list() {
			if !f.hasStopped(m) {
				f.get(ctx, m.instance.Callers, modelsPath, KeyOf(probeName))
			}
		}
	}
}

// stop performs a planned stop of one instance.
func (f *fleet) stop(ctx context.Context, p *Platform, m *member) {
	f.record(invariant.Event{At: f.clock.Now(), Kind: invariant.KindStopping, Instance: m.name})
	p.Roster.Leave(m.name)
	err := m.instance.Stop(ctx)
	f.mu.Lock()
	m.stopped, m.ready = true, false
	f.mu.Unlock()
	ev := invariant.Event{At: f.clock.Now(), Kind: invariant.KindStopped, Instance: m.name}
	if err != nil {
		ev.Detail = err.Error()
	}
	f.record(ev)
	p.Roster.Remove(m.name)
}

func (f *fleet) hasStopped(m *member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return m.stopped
}

// stopAll stops the instances that still run, one after another.
func (f *fleet) stopAll(ctx context.Context, p *Platform) {
	for _, m := range f.list() {
		if !f.hasStopped(m) {
			f.stop(ctx, p, m)
		}
	}
}
