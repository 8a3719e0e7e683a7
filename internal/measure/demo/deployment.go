// Package demo runs the whole system in one process against stand-ins: it
// starts them for a deployment, starts instances, sends load, performs
// operators' steps and faults while it runs, and judges what must always hold
// from what the stand-ins and the callers saw.
package demo

import (
	"fmt"
	"math/rand/v2"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/catalogue/preset"
	"github.com/kingcupyard/kingcupyard/internal/measure/load"
)

// Deployment describes one deployment's places, services and sizes.
type Deployment struct {
	Name         string
	Region       string
	DataCentres  []string
	ModelService string
	ModelServers int
	PlainService string
	PlainServers int
	// NonIdempotentPath is the call of the plain service that may run once.
	NonIdempotentPath string
	PlainPath         string
	// FencingChecked says whether the engines refuse old fencing numbers.
	FencingChecked bool
}

// Deployments are those that can be chosen.
var Deployments = []Deployment{
	{
		Name: "Pottyround", Region: "lahore", DataCentres: []string{"gulberg", "johar", "dha", "shadman"},
		ModelService: "kingcup-llm", ModelServers: 12, PlainService: "rounds-app", PlainServers: 4,
		NonIdempotentPath: "/bookings", PlainPath: "/rounds", FencingChecked: true,
	},
	{
		Name: "Csatornakep", Region: "kozep-mo", DataCentres: []string{"kozep-mo-a", "kozep-mo-b", "kozep-mo-c"},
		ModelService: "jelentes-llm", ModelServers: 9, PlainService: "munkalap-app", PlainServers: 3,
		NonIdempotentPath: "/work-orders", PlainPath: "/reports",
	},
}

// DeploymentError reports a deployment that does not exist.
type DeploymentError struct {
	Name string
}

func (e *DeploymentError) Error() string {
	return fmt.Sprintf("deployment %q is not one of Pottyround, Csatornakep", e.Name)
}

// FindDeployment returns the deployment with this name.
func FindDeployment(name string) (Deployment, error) {
	for _, d := range Deployments {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, &DeploymentError{name}
}

// The models and versions of the demo.
const (
	modelBasic   = "basic"
	modelFine    = "fine"
	cascadeName  = "assistant"
	versionOne   = "v1"
	versionTwo   = "v2"
	probeName    = "probe"
	customers    = 10
	priceBasic   = 1
	priceFine    = 8
	warmLimit    = 6
	coldLimit    = 2
	plainLimit   = 64
	sessionKeyID = "k1"
)

func customerName(n int) string { return fmt.Sprintf("customer-%02d", n) }

// KeyOf returns the API key of a customer.
func KeyOf(customer string) string { return "key-of-" + customer }

// document is the configuration that the demo starts from.
func (d Deployment) document(seed uint64) *configuration.Document {
	doc := &configuration.Document{
		FormatVersion: configuration.FormatVersion,
		Preset:        preset.Ordinary,
		Presets:       preset.Defaults(),
		Services: []configuration.Service{
			{Name: d.ModelService, Kind: configuration.ServiceModel, Concurrency: warmLimit, ColdConcurrency: coldLimit, FencingChecked: d.FencingChecked},
			{
				Name: d.PlainService, Kind: configuration.ServicePlain, Concurrency: plainLimit, ColdConcurrency: plainLimit,
				NonIdempotent: []configuration.CallPattern{{Method: "POST", Prefix: d.NonIdempotentPath}},
			},
		},
		Models: []configuration.Model{
			d.model(modelBasic, priceBasic),
			d.model(modelFine, priceFine),
		},
		Cascades:    []configuration.Cascade{{Name: cascadeName, Models: []string{modelBasic, modelFine}}},
		SessionKeys: []configuration.SessionKey{{ID: sessionKeyID, Secret: secret(seed)}},
	}
	for _, name := range d.DataCentres {
		doc.DataCentres = append(doc.DataCentres, configuration.DataCentre{Name: name, Region: d.Region})
	}
	for n := 1; n <= customers; n++ {
		doc.Customers = append(doc.Customers, d.customer(n))
	}
	return doc
}

func (d Deployment) model(name string, price float64) configuration.Model {
	return configuration.Model{
		Name: name, Service: d.ModelService, Price: price, Default: versionOne,
		Versions: []configuration.Version{
			{Name: versionOne, State: configuration.VersionActive},
			{Name: versionTwo, State: configuration.VersionActive},
		},
	}
}

// isLarge reports whether the customer is one of the few large ones.
func isLarge(n int) bool { return n <= 3 }

// isSmall reports whether the customer may not use the dear model.
func isSmall(n int) bool { return n > customers-2 }

func (d Deployment) customer(n int) configuration.Customer {
	name := customerName(n)
	c := configuration.Customer{
		Name: name, KeyHashes: []string{configuration.HashKey(KeyOf(name))}, Services: []string{d.PlainService},
		Allowed: []configuration.ModelAccess{{Model: modelBasic}}, Weight: 1, OnWithdrawal: configuration.WithdrawalRefuse,
	}
	if isLarge(n) {
		c.Weight = 4
	}
	if !isSmall(n) {
		c.Allowed = append(c.Allowed, configuration.ModelAccess{Model: modelFine})
	}
	if n%2 == 0 {
		c.OnWithdrawal = configuration.WithdrawalMove
	}
	return c
}

func secret(seed uint64) []byte {
	random := rand.New(rand.NewPCG(seed, 32))
	b := make([]byte, 32)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

// callers are the customers as the load sees them. The small ones also ask for
// what they may not use.
func callers() []load.Caller {
	var list []load.Caller
	for n := 1; n <= customers; n++ {
		c := load.Caller{Customer: customerName(n), Key: KeyOf(customerName(n)), Models: []string{cascadeName, modelBasic}, Weight: 1}
		switch {
		case isLarge(n):
			c.Weight = 4
			c.Models = []string{cascadeName, cascadeName, modelBasic, modelFine, modelFine + "@" + versionTwo}
		case isSmall(n):
			c.Models = []string{modelBasic, modelBasic, modelFine}
		}
		list = append(list, c)
	}
	return list
}
