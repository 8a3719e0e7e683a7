// Package session keeps the version of a session: in a sealed token that the
// caller echoes, or in a pin under a name that the caller brings.
package session

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

// TokenPrefix begins every sealed token, which tells tokens from names that callers
// bring. A name that begins with it and does not open is refused.
const TokenPrefix = "kcy1."

// Pin is what a session keeps.
type Pin struct {
	Customer  string
	Model     string
	Version   string
	Session   string
	StartedAt time.Time
	// OtherModels pins the further models that the session uses, as the steps of a
	// cascade are models of their own.
	OtherModels []ModelVersion
}

// ModelVersion is the version of one model.
type ModelVersion struct {
	Model   string
	Version string
}

// ForModel returns the pin of one model of the session, and whether it has one.
func (p Pin) ForModel(model string) (Pin, bool) {
	if p.Model == model {
		return p, true
	}
	for _, o := range p.OtherModels {
		if o.Model == model {
			p.Model, p.Version, p.OtherModels = o.Model, o.Version, nil
			return p, true
		}
	}
	return Pin{}, false
}

// WithModel returns the pin with the version of one more model, or another version
// of one that it has.
func (p Pin) WithModel(model, version string) Pin {
	if p.Model == "" || p.Model == model {
		p.Model, p.Version = model, version
		return p
	}
	others := slices.DeleteFunc(slices.Clone(p.OtherModels), func(o ModelVersion) bool { return o.Model == model })
	p.OtherModels = append(others, ModelVersion{model, version})
	return p
}

// Fault says what is wrong with a token.
type Fault string

// The faults of a token.
const (
	FaultMalformed       Fault = "Malformed"       // not of the form of a token
	FaultUnknownKey      Fault = "UnknownKey"      // sealed with a key that is not configured
	FaultTampered        Fault = "Tampered"        // the seal does not hold
	FaultForeignCustomer Fault = "ForeignCustomer" // sealed for another customer
)

// TokenError reports a token that must not be trusted.
type TokenError struct {
	Fault Fault
	KeyID string
}

func (e *TokenError) Error() string {
	if e.KeyID != "" {
		return fmt.Sprintf("session token: %s (key %s)", e.Fault, e.KeyID)
	}
	return fmt.Sprintf("session token: %s", e.Fault)
}

// IsToken reports whether a session identifier claims to be a sealed token.
func IsToken(session string) bool { return strings.HasPrefix(session, TokenPrefix) }

// Sealer seals and opens session tokens with AES-256-GCM. It is immutable and
// safe for concurrent use; make a new one when the keys change.
type Sealer struct {
	sealKeyID string
	aeads     map[string]cipher.AEAD
	rand      io.Reader
}

// SealerOption changes a Sealer.
type SealerOption func(*Sealer)

// WithRand sets the source of nonces.
func WithRand(r io.Reader) SealerOption { return func(s *Sealer) { s.rand = r } }

// NewSealer returns a sealer for the configured keys: the first seals, all open.
func NewSealer(keys []configuration.SessionKey, options ...SealerOption) (*Sealer, error) {
	if len(keys) == 0 {
		return nil, &configuration.FieldError{Field: "SessionKeys", Allowed: "at least one key"}
	}
	s := &Sealer{sealKeyID: keys[0].ID, aeads: map[string]cipher.AEAD{}, rand: rand.Reader}
	for _, o := range options {
		o(s)
	}
	for _, k := range keys {
		if k.ID == "" || strings.Contains(k.ID, ".") {
			return nil, &configuration.FieldError{Field: "SessionKeys.ID", Value: k.ID, Allowed: "a name without dots"}
		}
		block, err := aes.NewCipher(k.Secret)
		if err != nil {
			return nil, fmt.Errorf("session key %s: %w", k.ID, err)
		}
		if s.aeads[k.ID], err = cipher.NewGCM(block); err != nil {
			return nil, fmt.Errorf("session key %s: %w", k.ID, err)
		}
	}
	return s, nil
}

// tokenPayload is the content of a token.
type tokenPayload struct {
	Customer string
	Model    string
	Version  string
	Session  string
	Started  int64
	Others   []ModelVersion `json:",omitempty"`
}

// Seal returns the token for a pin.
func (s *Sealer) Seal(p Pin) (string, error) {
	plaintext, err := json.Marshal(tokenPayload{p.Customer, p.Model, p.Version, p.Session, p.StartedAt.UnixMilli(), p.OtherModels})
	if err != nil {
		return "", fmt.Errorf("encode session token: %w", err)
	}
	aead := s.aeads[s.sealKeyID]
	nonce := make([]byte, aead.NonceSize())
	if _, err := io.ReadFull(s.rand, nonce); err != nil {
		return "", fmt.Errorf("nonce of session token: %w", err)
	}
	ciphertext := aead.Seal(nonce, nonce, plaintext, additionalData(s.sealKeyID))
	return TokenPrefix + s.sealKeyID + "." + base64.RawURLEncoding.EncodeToString(ciphertext), nil
}

// Open returns the pin in a token of this customer. The error is a *TokenError.
func (s *Sealer) Open(customer, token string) (Pin, error) {
	keyID, encoded, ok := strings.Cut(strings.TrimPrefix(token, TokenPrefix), ".")
	if !IsToken(token) || !ok {
		return Pin{}, &TokenError{Fault: FaultMalformed}
	}
	ciphertext, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return Pin{}, &TokenError{Fault: FaultMalformed}
	}
	aead, ok := s.aeads[keyID]
	if !ok {
		return Pin{}, &TokenError{Fault: FaultUnknownKey, KeyID: keyID}
	}
	if len(ciphertext) < aead.NonceSize() {
		return Pin{}, &TokenError{Fault: FaultMalformed}
	}
	plaintext, err := aead.Open(nil, ciphertext[:aead.NonceSize()], ciphertext[aead.NonceSize():], additionalData(keyID))
	if err != nil {
		return Pin{}, &TokenError{Fault: FaultTampered, KeyID: keyID}
	}
	var payload tokenPayload
	if err := json.Unmarshal(plaintext, &payload); err != nil {
		return Pin{}, &TokenError{Fault: FaultMalformed, KeyID: keyID}
	}
	if payload.Customer != customer {
		return Pin{}, &TokenError{Fault: FaultForeignCustomer, KeyID: keyID}
	}
	return Pin{payload.Customer, payload.Model, payload.Version, payload.Session, time.UnixMilli(payload.Started), payload.Others}, nil
}

// additionalData returns the data that the seal covers beside the content.
func additionalData(keyID string) []byte { return []byte(TokenPrefix + keyID) }
