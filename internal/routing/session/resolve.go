package session

import (
	"errors"
	"fmt"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
	"github.com/kingcupyard/kingcupyard/internal/relay/call"
	"github.com/kingcupyard/kingcupyard/internal/release/rollout"
)

// keeperRetryDelay is the retry delay of a request that is refused because the
// session's keeper has not applied a withdrawal yet.
const keeperRetryDelay = time.Second

// Resolve returns the version for the session's next request: the pinned version
// as long as it is active and the customer is allowed to use it. A withdrawal
// takes precedence over the session. The request is then refused or, if the
// customer's OnWithdrawal is WithdrawalMove, gets the established version, never
// the new version of a running rollout. After a move the caller must seal or pin
// the returned version. The error is a *call.Refusal.
func Resolve(doc *configuration.Document, customer *configuration.Customer, pin Pin) (string, error) {
	m := doc.Model(pin.Model)
	if m == nil {
		return "", &call.Refusal{Reason: call.ReasonUnknownModel, Field: "model", Detail: pin.Model}
	}
	if pin.Customer != customer.Name {
		return "", &call.Refusal{Reason: call.ReasonSessionInvalid, Field: "Session-Id", Detail: "the session is another customer's"}
	}
	v := m.Version(pin.Version)
	if v != nil && v.State == configuration.VersionActive {
		if customer.IsAllowed(m.Name, v.Name) {
			return v.Name, nil
		}
		return "", &call.Refusal{
			Reason: call.ReasonNotAllowed,
			Field:  "Session-Id",
			Detail: fmt.Sprintf("customer %s is no longer allowed %s@%s", customer.Name, m.Name, v.Name),
		}
	}
	if customer.OnWithdrawal == configuration.WithdrawalMove {
		return rollout.ChooseVersion(doc, customer, m.Name, rollout.FractionOutsideStages)
	}
	return "", &call.Refusal{
		Reason: call.ReasonSessionVersionWithdrawn,
		Field:  "Session-Id",
		Detail: fmt.Sprintf("%s@%s is withdrawn; start a new session", m.Name, pin.Version),
	}
}

// VerifyPin checks a pin from the keeper of a named session against this
// instance's own document. Only the keeper moves a named session. If this instance
// knows of a withdrawal before the keeper does, the request is refused with a
// short retry delay. The error is a *call.Refusal.
func VerifyPin(doc *configuration.Document, customer *configuration.Customer, pin Pin) error {
	refusing := *customer
	refusing.OnWithdrawal = configuration.WithdrawalRefuse
	_, err := Resolve(doc, &refusing, pin)
	var refusal *call.Refusal
	if errors.As(err, &refusal) && refusal.Reason == call.ReasonSessionVersionWithdrawn && customer.OnWithdrawal == configuration.WithdrawalMove {
		refusal.RetryAfter = keeperRetryDelay
	}
	return err
}
