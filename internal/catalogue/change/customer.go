package change

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

func createCustomer(c *Command, doc *configuration.Document, _ time.Time) error {
	if doc.Customer(c.Customer) != nil {
		return &configuration.FieldError{Field: "Customer", Value: c.Customer, Allowed: "a name that no customer has"}
	}
	if raw, err := hex.DecodeString(c.KeyHash); err != nil || len(raw) != 32 {
		return &configuration.FieldError{Field: "KeyHash", Value: c.KeyHash, Allowed: "a SHA-256 in 64 hexadecimal digits"}
	}
	if c.Weight < 0 {
		return &configuration.FieldError{Field: "Weight", Value: "below 0", Allowed: "0 or more"}
	}
	weight := c.Weight
	if weight == 0 {
		weight = 1
	}
	doc.Customers = append(doc.Customers, configuration.Customer{
		Name: c.Customer, KeyHashes: []string{c.KeyHash}, Weight: weight, Priority: c.Priority,
		OnWithdrawal: configuration.OnWithdrawal(c.OnWithdraw),
	})
	return nil
}

// allow permits a customer to use a model, some of its versions or a plain
// service.
func allow(c *Command, doc *configuration.Document, _ time.Time) error {
	customer, err := c.customer(doc)
	if err != nil {
		return err
	}
	if c.Service != "" {
		return allowService(c, doc, customer)
	}
	if _, err := c.model(doc); err != nil {
		return err
	}
	i := slices.IndexFunc(customer.Allowed, func(a configuration.ModelAccess) bool { return a.Model == c.Model })
	if i < 0 {
		customer.Allowed = append(customer.Allowed, configuration.ModelAccess{Model: c.Model, Versions: c.Versions})
		return nil
	}
	a := &customer.Allowed[i]
	if len(c.Versions) == 0 {
		a.Versions = nil
		return nil
	}
	for _, v := range c.Versions {
		if len(a.Versions) > 0 && !slices.Contains(a.Versions, v) {
			a.Versions = append(a.Versions, v)
		}
	}
	return nil
}

func allowService(c *Command, doc *configuration.Document, customer *configuration.Customer) error {
	if doc.Service(c.Service) == nil {
		return unknownName("Service", c.Service, "a service")
	}
	if !customer.IsServiceAllowed(c.Service) {
		customer.Services = append(customer.Services, c.Service)
	}
	return nil
}

// disallow forbids a customer to use a model, some of its versions or a plain
// service.
func disallow(c *Command, doc *configuration.Document, _ time.Time) error {
	customer, err := c.customer(doc)
	if err != nil {
		return err
	}
	if c.Service != "" {
		if !customer.IsServiceAllowed(c.Service) {
			return &configuration.FieldError{Field: "Service", Value: c.Service, Allowed: "a service that the customer may call"}
		}
		customer.Services = slices.DeleteFunc(customer.Services, func(s string) bool { return s == c.Service })
		return nil
	}
	model, err := c.model(doc)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(customer.Allowed, func(a configuration.ModelAccess) bool { return a.Model == c.Model })
	if i < 0 {
		return &configuration.FieldError{Field: "Model", Value: c.Model, Allowed: "a model that the customer may use"}
	}
	rest := remainingVersions(model, customer.Allowed[i], c.Versions)
	if len(rest) == 0 {
		customer.Allowed = slices.Delete(customer.Allowed, i, i+1)
		return nil
	}
	customer.Allowed[i].Versions = rest
	return nil
}

// remainingVersions returns the versions that stay allowed when some are removed,
// or nil if removed is empty, which removes all. A ModelAccess without a list
// covers all current versions of the model.
func remainingVersions(model *configuration.Model, a configuration.ModelAccess, removed []string) []string {
	if len(removed) == 0 {
		return nil
	}
	versions := a.Versions
	if len(versions) == 0 {
		for _, v := range model.Versions {
			versions = append(versions, v.Name)
		}
	}
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return slices.Contains(removed, v) })
}
