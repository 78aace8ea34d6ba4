// Package settings reads a host's YAML settings and validates all of them
// before anything starts.
package settings

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	defaultBalancerWait = 5 * time.Second
	defaultDrainLimit   = 10 * time.Minute
	defaultLogLevel     = "info"
)

// Settings hold the settings of one host of the fleet.
type Settings struct {
	// Host is the name of this host. It must stay the same across restarts.
	Host core.HostID `yaml:"host"`
	// Zone is the availability zone of this host.
	Zone core.ZoneName `yaml:"zone"`
	// Listen holds the host's own addresses as IP:PORT.
	Listen Listen `yaml:"listen"`
	// Platform is the base URL of the platform's services.
	Platform string `yaml:"platform"`
	// Peers are addresses of other hosts, through which this host finds the fleet
	// while the platform is down. May be empty.
	Peers []string `yaml:"peers"`
	// Drain sets the times of a graceful stop.
	Drain Drain `yaml:"drain"`
	// Operators are those who may use the admin interface.
	Operators []Operator `yaml:"operators"`
	// Log sets the log output.
	Log Log `yaml:"log"`
}

// Listen holds the addresses on which a host accepts connections.
type Listen struct {
	Callers string `yaml:"callers"`
	Peers   string `yaml:"peers"`
	Admin   string `yaml:"admin"`
}

// Drain sets the times of a graceful stop.
type Drain struct {
	// BalancerWait is the time that the platform's load balancer needs to notice
	// that the host is not ready. Default 5s.
	BalancerWait Duration `yaml:"balancer_wait"`
	// Limit is the longest time that a drain may take. Default 10m.
	Limit Duration `yaml:"limit"`
}

// Operator is a person or program with a key for the admin interface.
type Operator struct {
	// Name is recorded in the history of changes.
	Name string `yaml:"name"`
	// KeyDigest is the SHA-256 digest of the key in hexadecimal.
	KeyDigest string `yaml:"key_digest"`
}

// Log sets the log output.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level"`
}

// Duration is a time.Duration that is written in YAML as a string such as "1.5s".
type Duration time.Duration

// UnmarshalYAML parses a duration. A number without a unit is an error.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return fmt.Errorf("line %d: %q is not a duration; write a number with a unit, such as 5s", node.Line, node.Value)
	}
	*d = Duration(parsed)
	return nil
}

// Error reports an invalid setting: which field it is and how to correct it.
type Error struct {
	Field  string
	Remedy string
}

// Error returns the field and the remedy on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s: %s", e.Field, e.Remedy)
}

func fieldError(field, format string, args ...any) error {
	return &Error{Field: field, Remedy: fmt.Sprintf(format, args...)}
}

// Load reads and validates the settings file of a host.
func Load(path string) (*Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fieldError("file", "%v; give the path of a readable file with --config", err)
	}
	return Parse(content)
}

// Parse decodes and validates the settings of a host. Unknown keys are an error.
func Parse(content []byte) (*Settings, error) {
	settings := &Settings{
		Drain: Drain{BalancerWait: Duration(defaultBalancerWait), Limit: Duration(defaultDrainLimit)},
		Log:   Log{Level: defaultLogLevel},
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(settings); err != nil && !errors.Is(err, io.EOF) {
		return nil, decodingError(err)
	}
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	return settings, nil
}

var unknownField = regexp.MustCompile(`line (\d+): field (\S+) not found`)

func decodingError(err error) error {
	message := strings.ReplaceAll(err.Error(), "\n", " ")
	if match := unknownField.FindStringSubmatch(message); match != nil {
		return fieldError(match[2], "unknown key on line %s; remove it or correct its spelling", match[1])
	}
	return fieldError("file", "%s; correct the YAML", strings.TrimPrefix(message, "yaml: "))
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Validate returns an error that names the first invalid field and its remedy.
func (s *Settings) Validate() error {
	if !namePattern.MatchString(string(s.Host)) {
		return fieldError("host", "is %q; give a name of lower-case letters, digits, dots and dashes", s.Host)
	}
	if !namePattern.MatchString(string(s.Zone)) {
		return fieldError("zone", "is %q; give a name of lower-case letters, digits, dots and dashes", s.Zone)
	}
	if err := s.Listen.validate(); err != nil {
		return err
	}
	if parsed, err := url.Parse(s.Platform); err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fieldError("platform", "is %q; give the platform's base URL, such as http://127.0.0.1:9000", s.Platform)
	}
	for i, peer := range s.Peers {
		if _, err := netip.ParseAddrPort(peer); err != nil {
			return fieldError(fmt.Sprintf("peers[%d]", i), "is %q; give an IP address and a port, such as 10.0.0.5:8080", peer)
		}
	}
	return s.validateDrainOperatorsAndLog()
}

func (s *Settings) validateDrainOperatorsAndLog() error {
	if s.Drain.BalancerWait < 0 {
		return fieldError("drain.balancer_wait", "is negative; set it to 0s or more")
	}
	if s.Drain.Limit <= 0 {
		return fieldError("drain.limit", "is not positive; set it to the longest duration of a request, such as 10m")
	}
	for i, operator := range s.Operators {
		if operator.Name == "" {
			return fieldError(fmt.Sprintf("operators[%d].name", i), "is empty; name the operator for the history of changes")
		}
		if len(operator.KeyDigest) != 2*sha256.Size || strings.Trim(operator.KeyDigest, "0123456789abcdef") != "" {
			return fieldError(fmt.Sprintf("operators[%d].key_digest", i), "is not a SHA-256 digest; write 64 lower-case hexadecimal digits")
		}
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return fieldError("log.level", "is %q; use debug, info, warn or error", s.Log.Level)
}

// addresses returns pairs of the field and the address that it sets.
func (l *Listen) addresses() [3][2]string {
	return [3][2]string{
		{"listen.callers", l.Callers}, {"listen.peers", l.Peers}, {"listen.admin", l.Admin},
	}
}

func (l *Listen) validate() error {
	seen := make(map[netip.AddrPort]string)
	for _, field := range l.addresses() {
		address, err := netip.ParseAddrPort(field[1])
		if err != nil {
			return fieldError(field[0], "is %q; give an IP address and a port, such as 10.0.0.5:8080", field[1])
		}
		if other, found := seen[address]; found && address.Port() != 0 {
			return fieldError(field[0], "is the same address as %s; give each its own port", other)
		}
		seen[address] = field[0]
	}
	return nil
}

// CheckAddresses returns an error that names the first address on which this
// machine can't listen. It leaves no listener open.
func (l *Listen) CheckAddresses() error {
	for _, field := range l.addresses() {
		listener, err := OpenListener(field[0], field[1])
		if err != nil {
			return err
		}
		_ = listener.Close()
	}
	return nil
}

// OpenListener listens on the address that the field sets. Its error names the
// field.
func OpenListener(field, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fieldError(field, "can't listen on %s (%v); free the address or choose another", address, err)
	}
	return listener, nil
}
