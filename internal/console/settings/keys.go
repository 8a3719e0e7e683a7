package settings

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"
)

// key is one setting: where it stands, what it is without a value, and how its
// text is checked and stored.
type key struct {
	section  string
	name     string
	fallback string
	required bool
	allowed  string
	store    func(text string) bool
}

const (
	minBodyBytes = 1 << 10
	maxBodyBytes = 64 << 20
	maxTimeout   = time.Hour
)

// keys lists every setting, bound to the fields of s.
func (s *Settings) keys() []key {
	return slices.Concat(s.identityKeys(), s.platformKeys(), s.limitKeys())
}

func (s *Settings) identityKeys() []key {
	return []key{
		text("Instance", "Name", &s.Name).must(),
		text("Instance", "DataCentre", &s.DataCentre).must(),
		text("Instance", "Region", &s.Region).must(),
		address("Listen", "Callers", &s.Callers).must(),
		address("Listen", "Operators", &s.Operators).must(),
		address("Listen", "Peers", &s.Peers).must(),
		address("Listen", "Advertise", &s.Advertise),
		hash("Operators", "KeyHash", &s.OperatorKeyHash).must(),
		text("Peers", "Key", &s.PeerKey).must(),
	}
}

func (s *Settings) platformKeys() []key {
	return []key{
		address("Platform", "Store", &s.Store).must(),
		address("Platform", "InstanceList", &s.InstanceList).must(),
		address("Platform", "Rating", &s.Rating),
		address("Platform", "Weights", &s.Weights),
	}
}

func (s *Settings) limitKeys() []key {
	return []key{
		size("Limits", "MaxBodyBytes", &s.MaxBodyBytes).or("1048576"),
		period("Limits", "RequestTimeout", &s.RequestTimeout).or("60s"),
		period("Limits", "ConnectTimeout", &s.ConnectTimeout).or("1s"),
		period("Limits", "FirstTokenTimeout", &s.FirstTokenTimeout).or("5s"),
		period("Limits", "TokenTimeout", &s.TokenTimeout).or("2s"),
		period("Stop", "DrainDelay", &s.DrainDelay).or("2s"),
		period("Stop", "StopTimeout", &s.StopTimeout).or("120s"),
		choice("Log", "Level", &s.LogLevel, "debug", "info", "warn", "error").or("info"),
	}
}

func (k key) must() key {
	k.required = true
	return k
}

func (k key) or(fallback string) key {
	k.fallback = fallback
	return k
}

func (k key) read(file *ini.File) error {
	value := k.fallback
	if section, err := file.GetSection(k.section); err == nil && section.HasKey(k.name) {
		values := section.Key(k.name).ValueWithShadows()
		if len(values) > 1 {
			return &Error{k.section, k.name, strings.Join(values, ", "), "one value"}
		}
		value = section.Key(k.name).String()
	}
	if value == "" && !k.required {
		return nil
	}
	if value == "" || !k.store(value) {
		return &Error{k.section, k.name, value, k.allowed}
	}
	return nil
}

func refuseUnknown(file *ini.File, keys []key) error {
	known := lo.GroupBy(keys, func(k key) string { return k.section })
	sections := lo.Uniq(lo.Map(keys, func(k key, _ int) string { return k.section }))
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		members, ok := known[section.Name()]
		if !ok {
			return &Error{Section: section.Name(), Allowed: strings.Join(sections, ", ")}
		}
		allowed := lo.Map(members, func(k key, _ int) string { return k.name })
		for _, name := range section.KeyStrings() {
			if !slices.Contains(allowed, name) {
				return &Error{section.Name(), name, section.Key(name).String(), "the keys " + strings.Join(allowed, ", ")}
			}
		}
	}
	return nil
}

func text(section, name string, to *string) key {
	return key{section: section, name: name, allowed: "a name of letters, digits, '-', '_' and '.'", store: func(v string) bool {
		*to = v
		return !strings.ContainsFunc(v, func(r rune) bool {
			return !strings.ContainsRune("-_.", r) && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
		})
	}}
}

func address(section, name string, to *string) key {
	return key{section: section, name: name, allowed: "an IP and a port, such as 127.0.0.1:8080", store: func(v string) bool {
		*to = v
		_, err := netip.ParseAddrPort(v)
		return err == nil
	}}
}

func hash(section, name string, to *string) key {
	return key{section: section, name: name, allowed: "a SHA-256 in 64 hexadecimal digits", store: func(v string) bool {
		*to = strings.ToLower(v)
		raw, err := hex.DecodeString(v)
		return err == nil && len(raw) == 32
	}}
}

func size(section, name string, to *int) key {
	return key{section: section, name: name, allowed: fmt.Sprintf("%d to %d bytes", minBodyBytes, maxBodyBytes), store: func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= minBodyBytes && n <= maxBodyBytes
	}}
}

func period(section, name string, to *time.Duration) key {
	return key{section: section, name: name, allowed: "a duration above 0s, at most 1h, such as 500ms or 5s", store: func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d > 0 && d <= maxTimeout
	}}
}

func choice(section, name string, to *string, options ...string) key {
	return key{section: section, name: name, allowed: strings.Join(options, ", "), store: func(v string) bool {
		*to = v
		return slices.Contains(options, v)
	}}
}
