// Package settings reads the INI file that an instance starts from. Every key
// is checked, unknown sections and keys are refused, and each error names the
// section, the key, the value and what is allowed.
package settings

import (
	"fmt"
	"time"

	"gopkg.in/ini.v1"
)

// Settings is what one instance is told at its start. It does not change
// while the instance runs.
type Settings struct {
	Name       string
	DataCentre string
	Region     string

	Callers   string
	Operators string
	Peers     string
	// Advertise is the IP and port under which peers reach this instance;
	// empty means the address that the peer listener is bound to.
	Advertise string

	// The platform's services, each as an IP and a port.
	Store        string
	InstanceList string
	Rating       string
	Weights      string

	// OperatorKeyHash is the hex SHA-256 of the operators' key.
	OperatorKeyHash string
	// PeerKey is the key that instances share.
	PeerKey string

	MaxBodyBytes   int
	RequestTimeout time.Duration
	// DrainDelay is how long the balancer goes on sending after unready.
	DrainDelay time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration

	ConnectTimeout    time.Duration
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration

	LogLevel string
}

// Error reports one key that can't be used.
type Error struct {
	Section string
	Key     string
	Value   string
	Allowed string
}

func (e *Error) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("settings: section [%s] is not known; allowed: %s", e.Section, e.Allowed)
	}
	return fmt.Sprintf("settings: section [%s] key %s value %q is not allowed; allowed: %s", e.Section, e.Key, e.Value, e.Allowed)
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, SkipUnrecognizableLines: false}, path)
	if err != nil {
		return nil, fmt.Errorf("settings: read %s: %w", path, err)
	}
	return decode(file)
}

// Parse reads and checks settings from text.
func Parse(text []byte) (*Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, text)
	if err != nil {
		return nil, fmt.Errorf("settings: read: %w", err)
	}
	return decode(file)
}

func decode(file *ini.File) (*Settings, error) {
	s := new(Settings)
	keys := s.keys()
	if err := refuseUnknown(file, keys); err != nil {
		return nil, err
	}
	for _, k := range keys {
		if err := k.read(file); err != nil {
			return nil, err
		}
	}
	return s, nil
}
