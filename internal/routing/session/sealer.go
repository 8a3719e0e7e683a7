// Package session pins a session to a version of each model that it uses. The pin
// is either sealed in a token that the caller sends back with each request, or
// stored at an instance, the session's keeper, under a name that the caller
// chooses.
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

// TokenPrefix is the prefix of every session token. It distinguishes tokens from
// session names: an identifier with this prefix that is not a valid token is
// refused.
const TokenPrefix = "kcy1."

// Pin is the version of a session, with the session's customer and start.
type Pin struct {
	Customer  string
	Model     string
	Version   string
	Session   string
	StartedAt time.Time
	// OtherModels pins the versions of further models that the session uses. For
	// example, each step of a cascade has its own model.
	OtherModels []ModelVersion
}

// ModelVersion names a version of a model.
type ModelVersion struct {
	Model   string
	Version string
}

// ForModel returns the pin for one model of the session, and whether there is one.
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

// WithModel returns a copy of the pin that sets the version of the model.
func (p Pin) WithModel(model, version string) Pin {
	if p.Model == "" || p.Model == model {
		p.Model, p.Version = model, version
		return p
	}
	others := slices.DeleteFunc(slices.Clone(p.OtherModels), func(o ModelVersion) bool { return o.Model == model })
	p.OtherModels = append(others, ModelVersion{model, version})
	return p
}

// Fault is the reason why a token is invalid.
type Fault string

// Faults of a token.
const (
	FaultMalformed       Fault = "Malformed"       // does not have the format of a token
	FaultUnknownKey      Fault = "UnknownKey"      // sealed with a key that is not configured
	FaultTampered        Fault = "Tampered"        // authentication failed
	FaultForeignCustomer Fault = "ForeignCustomer" // sealed for another customer
)

// TokenError reports an invalid token.
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

// IsToken reports whether a session identifier has the prefix of a token. It does
// not check that the token is valid.
func IsToken(session string) bool { return strings.HasPrefix(session, TokenPrefix) }

// Sealer encrypts and decrypts session tokens with AES-256-GCM. It is immutable
// and safe for concurrent use; when the keys change, create a new one.
type Sealer struct {
	sealKeyID string
	aeads     map[string]cipher.AEAD
	rand      io.Reader
}

// SealerOption configures a Sealer.
type SealerOption func(*Sealer)

// WithRand sets the random source for nonces.
func WithRand(r io.Reader) SealerOption { return func(s *Sealer) { s.rand = r } }

// NewSealer returns a Sealer that seals with the first key and opens tokens sealed
// with any of the keys.
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

// tokenPayload is the encrypted content of a token.
type tokenPayload struct {
	Customer string
	Model    string
	Version  string
	Session  string
	Started  int64
	Others   []ModelVersion `json:",omitempty"`
}

// Seal returns a token that contains the pin.
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

// Open returns the pin in a token. The token must have been sealed for this
// customer. The error is a *TokenError.
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

// additionalData returns the data that the token's authentication tag covers in
// addition to the payload.
func additionalData(keyID string) []byte { return []byte(TokenPrefix + keyID) }
