package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"github.com/kingcupyard/kingcupyard/internal/console/line"
	"github.com/kingcupyard/kingcupyard/internal/console/operator"
	"github.com/kingcupyard/kingcupyard/internal/measure/demo"
	"github.com/kingcupyard/kingcupyard/internal/standin/engine"
	"github.com/kingcupyard/kingcupyard/internal/standin/plain"
	"github.com/kingcupyard/kingcupyard/internal/standin/rating"
	"github.com/kingcupyard/kingcupyard/internal/standin/roster"
	"github.com/kingcupyard/kingcupyard/internal/standin/store"
	"github.com/kingcupyard/kingcupyard/internal/standin/weights"
)

// standinCommand runs stand-ins for what stands outside the system.
type standinCommand struct {
	access
	kind       string
	listen     string
	entry      roster.Instance
	list       string
	loaded     string
	lag        time.Duration
	cold       time.Duration
	warm       bool
	fencing    bool
	deployment string
	instances  listFlag
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a stand-in for an outside service" }
func (*standinCommand) Usage() string {
	return "standin -Deployment NAME | -Kind KIND -Listen ADDRESS [FLAGS]: run stand-ins until SIGTERM;\n" +
		"faults are set while they run by POST /faults; KIND is Store, InstanceList, Rating, Weights, Engine or Plain\n"
}

func (c *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.deployment, "Deployment", "", "run everything outside of a deployment: Pottyround or Csatornakep")
	f.Var(&c.instances, "Instances", "with -Deployment: the instances to list, each NAME@PEERADDRESS@DATACENTRE")
	f.StringVar(&c.kind, "Kind", "", "Store, InstanceList, Rating, Weights, Engine or Plain")
	f.StringVar(&c.listen, "Listen", "127.0.0.1:0", "IP and port to listen on")
	f.StringVar(&c.list, "InstanceList", "", "IP and port of the instance list to register with")
	f.StringVar(&c.entry.Name, "Name", "backend-1", "name of a backend server")
	f.StringVar(&c.entry.Service, "Service", "", "service of a backend server")
	f.StringVar(&c.entry.DataCentre, "DataCentre", "", "data centre of a backend server")
	f.StringVar(&c.entry.Region, "Region", "", "region of a backend server")
	f.StringVar(&c.loaded, "Loaded", "", "what an engine runs: MODEL@VERSION, separated by commas")
	f.DurationVar(&c.lag, "Lag", time.Second, "how late the instance list shows a change")
	f.DurationVar(&c.cold, "ColdDuration", 10*time.Second, "how long an engine's cold start lasts")
	f.BoolVar(&c.warm, "Warm", false, "the engine starts warm")
	f.BoolVar(&c.fencing, "Fencing", true, "the engine refuses orders with an old fencing number")
	f.BoolVar(&c.json, "Json", false, "print JSON")
}

// server is what all stand-ins have in common.
type server interface {
	Start(address string) (string, error)
	Close()
}

func (c *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := noArguments(f); err != nil {
		return c.fail(err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.deployment != "" {
		return c.runDeployment(ctx)
	}
	s, err := c.server()
	if err != nil {
		return c.fail(err)
	}
	address, err := s.Start(c.listen)
	if err != nil {
		return c.fail(err)
	}
	defer s.Close()
	c.printer().Event("StandIn", line.Pair{Key: "Kind", Value: c.kind}, line.Pair{Key: "Address", Value: address})
	if c.list != "" {
		c.entry.Address, c.entry.State, c.entry.Generation = address, roster.StateLive, 1
		if err := enrol(ctx, c.list, c.entry); err != nil {
			return c.fail(err)
		}
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}

func (c *standinCommand) server() (server, error) {
	switch c.kind {
	case "Store":
		return store.New(store.Settings{}), nil
	case "InstanceList":
		return roster.New(roster.Settings{Lag: c.lag}), nil
	case "Rating":
		return rating.New(rating.Settings{}), nil
	case "Weights":
		return weights.New(weights.Settings{}), nil
	case "Plain":
		return plain.New(plain.Settings{Name: c.entry.Name, Service: c.entry.Service, DataCentre: c.entry.DataCentre}), nil
	case "Engine":
		loaded, err := parseLoaded(c.loaded)
		return engine.New(engine.Settings{
			Name: c.entry.Name, Service: c.entry.Service, DataCentre: c.entry.DataCentre, Loaded: loaded,
			ColdDuration: c.cold, StartsWarm: c.warm, FencingChecked: c.fencing,
		}), err
	}
	return nil, &operator.Problem{Kind: operator.ProblemBadInput, Field: "Kind", Value: c.kind, Allowed: "Store, InstanceList, Rating, Weights, Engine or Plain"}
}

func parseLoaded(text string) ([]engine.Loaded, error) {
	var list []engine.Loaded
	for _, part := range strings.Split(text, ",") {
		model, version, ok := strings.Cut(part, "@")
		if !ok {
			return nil, &operator.Problem{Kind: operator.ProblemBadInput, Field: "Loaded", Value: part, Allowed: "MODEL@VERSION"}
		}
		list = append(list, engine.Loaded{Model: model, Version: version})
	}
	return list, nil
}

// enrol puts a backend server into the instance list.
func enrol(ctx context.Context, list string, entry roster.Instance) error {
	body, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("encode the entry of %s: %w", entry.Name, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+list+"/instances", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("register %s: %w", entry.Name, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("register %s: %w", entry.Name, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("register %s: status %d", entry.Name, resp.StatusCode)
	}
	return nil
}

// Where the stand-ins of a deployment listen; the example settings name them.
const (
	storeAddress  = "127.0.0.1:2379"
	listAddress   = "127.0.0.1:2400"
	ratingAddress = "127.0.0.1:2401"
	weightAddress = "127.0.0.1:2402"
	peersAddress  = "127.0.0.1:8082"
)

// runDeployment runs everything outside of a deployment, with an initial
// configuration in the store.
func (c *standinCommand) runDeployment(ctx context.Context) subcommands.ExitStatus {
	d, err := demo.FindDeployment(c.deployment)
	if err != nil {
		return c.fail(&operator.Problem{Kind: operator.ProblemBadInput, Field: "Deployment", Value: c.deployment, Allowed: "Pottyround or Csatornakep"})
	}
	if len(c.instances) == 0 {
		c.instances = listFlag{"entry-1@" + peersAddress + "@" + d.DataCentres[0]}
	}
	p, err := demo.StartPlatform(d, 1, demo.Addresses{Store: storeAddress, InstanceList: listAddress, Rating: ratingAddress, Weights: weightAddress})
	if err != nil {
		return c.fail(err)
	}
	defer p.Close()
	for _, text := range c.instances {
		entry, err := parseInstance(text, d.Region)
		if err != nil {
			return c.fail(err)
		}
		p.Roster.Put(entry)
	}
	a := p.Addresses()
	c.printer().Event("StandIns", line.Pair{Key: "Deployment", Value: d.Name}, line.Pair{Key: "Store", Value: a.Store},
		line.Pair{Key: "InstanceList", Value: a.InstanceList}, line.Pair{Key: "Rating", Value: a.Rating}, line.Pair{Key: "Weights", Value: a.Weights},
		line.Pair{Key: "Engines", Value: len(p.Engines)}, line.Pair{Key: "Plain", Value: len(p.Plain)})
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// parseInstance reads NAME@PEERADDRESS@DATACENTRE.
func parseInstance(text, region string) (roster.Instance, error) {
	parts := strings.Split(text, "@")
	if len(parts) != 3 {
		return roster.Instance{}, &operator.Problem{Kind: operator.ProblemBadInput, Field: "Instances", Value: text, Allowed: "NAME@PEERADDRESS@DATACENTRE"}
	}
	return roster.Instance{
		Name: parts[0], PeerAddress: parts[1], DataCentre: parts[2], Region: region,
		Service: "kingcupyard", State: roster.StateLive, Generation: 1,
	}, nil
}
