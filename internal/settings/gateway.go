package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Gateway describes a host that forwards opaque requests.
type Gateway struct {
	// Host is the name of this host, the same after a restart.
	Host core.HostID `yaml:"host"`
	// Zone is the availability zone the host stands in.
	Zone   core.ZoneName `yaml:"zone"`
	Listen GatewayListen `yaml:"listen"`
	// Peers are addresses of other hosts to start from while the store is away.
	Peers []string `yaml:"peers"`
	// Store is the address of the platform's store, IP:PORT.
	Store string `yaml:"store"`
	// Memory is the most that the process may use, in MB.
	Memory int `yaml:"memory_mb"`
	// Descriptors is the most file descriptors that the process may use.
	Descriptors int `yaml:"descriptors"`
	// Grace is the time from the stop signal until the process is killed.
	Grace Duration `yaml:"grace"`
	Retry Retry    `yaml:"retry"`
	Log   Log      `yaml:"log"`
}

// GatewayListen holds the addresses on which a gateway host listens, IP:PORT.
type GatewayListen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"`
	// Metrics may be empty.
	Metrics string `yaml:"metrics"`
}

// Retry bounds how often requests are sent to a service again, over all hosts.
type Retry struct {
	// Ratio is the repeats allowed for each first request.
	Ratio float64 `yaml:"ratio"`
	// Slack is the repeats allowed besides, in each window.
	Slack float64 `yaml:"slack"`
	// Window is the span in which repeats are counted.
	Window Duration `yaml:"window"`
}

// Defaults of gateway settings. The retry budget follows the published
// practice of a tenth to a fifth of the requests.
const (
	defaultGrace       = 8 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultMemory      = 256
	defaultDescriptors = 4096
)

// LoadGateway reads and checks a gateway host's settings.
func LoadGateway(path string) (*Gateway, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, wrong("file", "%v; give the path of a readable file with --config", err)
	}
	return ParseGateway(content)
}

// ParseGateway reads and checks settings. Unknown fields are refused.
func ParseGateway(content []byte) (*Gateway, error) {
	parsed := &Gateway{
		Memory: defaultMemory, Descriptors: defaultDescriptors, Grace: Duration(defaultGrace),
		Retry: Retry{Ratio: defaultRetryRatio, Window: Duration(defaultRetryWindow)}, Log: Log{Level: defaultLogLevel},
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(parsed); err != nil && !errors.Is(err, io.EOF) {
		return nil, wrong("file", "%v; correct the YAML", err)
	}
	return parsed, parsed.check()
}

func (g *Gateway) check() error {
	if g.Host == "" {
		return wrong("host", "name the host")
	}
	if g.Zone == "" {
		return wrong("zone", "name the host's availability zone")
	}
	addresses := []struct{ field, value string }{
		{"listen.callers", g.Listen.Callers}, {"listen.ready", g.Listen.Ready},
		{"listen.peers", g.Listen.Peers}, {"store", g.Store},
	}
	if g.Listen.Metrics != "" {
		addresses = append(addresses, struct{ field, value string }{"listen.metrics", g.Listen.Metrics})
	}
	for i, peer := range g.Peers {
		addresses = append(addresses, struct{ field, value string }{fmt.Sprintf("peers[%d]", i), peer})
	}
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return wrong(address.field, "%q is not an address; write IP:PORT", address.value)
		}
	}
	switch {
	case g.Memory <= 0:
		return wrong("memory_mb", "give a positive number of megabytes")
	case g.Descriptors <= 0:
		return wrong("descriptors", "give a positive number")
	case g.Grace <= 0:
		return wrong("grace", "give a positive time")
	case g.Retry.Ratio < 0 || g.Retry.Slack < 0:
		return wrong("retry", "give a ratio and a slack that are not negative")
	case g.Retry.Window <= 0:
		return wrong("retry.window", "give a positive time")
	}
	return nil
}
