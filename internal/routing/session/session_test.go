package session

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
)

func testKey(id string, fill byte) configuration.SessionKey {
	return configuration.SessionKey{ID: id, Secret: bytes.Repeat([]byte{fill}, 32)}
}

func TestSealer(t *testing.T) {
	is := is.New(t)
	oldSealer, err := NewSealer([]configuration.SessionKey{testKey("k1", 1)})
	is.NoErr(err)
	newSealer, err := NewSealer([]configuration.SessionKey{testKey("k2", 2), testKey("k1", 1)})
	is.NoErr(err)
	pin := Pin{"c", "m", "v1", "s", time.UnixMilli(1700000000000), []ModelVersion{{"dear", "v7"}}}
	token, err := oldSealer.Seal(pin)
	is.NoErr(err)
	is.True(IsToken(token))
	opened, err := newSealer.Open("c", token)
	is.NoErr(err)
	is.Equal(opened, pin)
	other, ok := opened.ForModel("dear")
	is.True(ok)
	is.Equal(other.Version, "v7")
	rotated, err := newSealer.Seal(pin)
	is.NoErr(err)

	faultOf := func(s *Sealer, customer, token string) Fault {
		_, err := s.Open(customer, token)
		var e *TokenError
		is.True(errors.As(err, &e))
		return e.Fault
	}
	is.Equal(faultOf(oldSealer, "c", rotated), FaultUnknownKey)
	is.Equal(faultOf(oldSealer, "d", token), FaultForeignCustomer)
	is.Equal(faultOf(oldSealer, "c", "name"), FaultMalformed)
	is.Equal(faultOf(oldSealer, "c", TokenPrefix+"k1.AAAA"), FaultMalformed)
	for i := len(TokenPrefix) + len("k1."); i < len(token); i++ {
		changed := []byte(token)
		changed[i] ^= 1
		if f := faultOf(oldSealer, "c", string(changed)); f != FaultTampered && f != FaultMalformed {
			t.Fatalf("byte %d: %s", i, f)
		}
	}
}

func TestResolve(t *testing.T) {
	doc := &configuration.Document{
		Models: []configuration.Model{{Name: "m", Default: "v1", Versions: []configuration.Version{
			{Name: "v1", State: configuration.VersionActive},
			{Name: "v2", State: configuration.VersionWithdrawn},
			{Name: "v3", State: configuration.VersionActive},
		}}},
	}
	all := []configuration.ModelAccess{{Model: "m"}}
	for _, c := range []struct {
		name     string
		customer configuration.Customer
		pin      string
		version  string
		reason   call.Reason
	}{
		{"active", configuration.Customer{Allowed: all}, "v3", "v3", ""},
		{"withdrawn", configuration.Customer{Allowed: all}, "v2", "", call.ReasonSessionVersionWithdrawn},
		{"moved", configuration.Customer{Allowed: all, OnWithdrawal: configuration.WithdrawalMove}, "v2", "v1", ""},
		{"gone", configuration.Customer{Allowed: all}, "v0", "", call.ReasonSessionVersionWithdrawn},
		{"no longer allowed", configuration.Customer{OnWithdrawal: configuration.WithdrawalMove}, "v1", "", call.ReasonNotAllowed},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			version, err := Resolve(doc, &c.customer, Pin{Model: "m", Version: c.pin})
			is.Equal(version, c.version)
			var refusal *call.Refusal
			is.Equal(errors.As(err, &refusal), c.reason != "")
			if refusal != nil {
				is.Equal(refusal.Reason, c.reason)
			}
		})
	}
}
