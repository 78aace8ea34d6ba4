package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
)

// Gateway holds the settings of a gateway host, which forwards requests
// unchanged.
type Gateway struct {
	// Host is the name of this host. It must stay the same across restarts.
	Host core.HostID `yaml:"host"`
	// Zone is the availability zone of this host.
	Zone   core.ZoneName `yaml:"zone"`
	Listen GatewayListen `yaml:"listen"`
	// Peers are addresses of other hosts, through which this host finds the fleet
	// while the store can't be reached.
	Peers []string `yaml:"peers"`
	// Store is the address of the platform's store, IP:PORT.
	Store string `yaml:"store"`
	// MemoryMB is the memory limit of the process in MB.
	MemoryMB int `yaml:"memory_mb"`
	// Descriptors is the limit on open file descriptors of the process.
	Descriptors int `yaml:"descriptors"`
	// Grace is the time between the stop signal and the kill of the process.
	Grace Duration `yaml:"grace"`
	// LinkMbps is the bandwidth of the host's network link in each direction, in megabits
	// per second. 0, the default, means that it is not known: the host then rejects no
	// requests because of its link.
	LinkMbps float64 `yaml:"link_mbps"`
	Retry    Retry   `yaml:"retry"`
	Cold     Cold    `yaml:"cold"`
	Log      Log     `yaml:"log"`
}

// GatewayListen holds the addresses on which a gateway host listens, IP:PORT.
type GatewayListen struct {
	Callers string `yaml:"callers"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"`
	// Metrics is optional; if it is empty, no metrics are served.
	Metrics string `yaml:"metrics"`
}

// Retry sets the retry budget of a service, shared by all hosts.
type Retry struct {
	// Ratio is the number of retries allowed per original request.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of retries allowed in each window on top of Ratio.
	Slack float64 `yaml:"slack"`
	// Window is the time over which requests and retries are counted.
	Window Duration `yaml:"window"`
}

// Cold bounds what a cold upstream gets in any second from all hosts together. A key
// without a value leaves the default.
type Cold struct {
	// Overage is a multiple of the requests per second that the upstream bears. Default 1.
	Overage float64 `yaml:"overage"`
	// Slack is the number of requests on top of that. Default 1.
	Slack float64 `yaml:"slack"`
}

// Defaults of the gateway settings. The retry ratio is the upper end of the
// published practice of 10% to 20% of requests.
const (
	defaultGrace       = 8 * time.Second
	defaultRetryRatio  = 0.2
	defaultRetryWindow = 10 * time.Second
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
)

// LoadGateway reads and validates the settings file of a gateway host.
func LoadGateway(path string) (*Gateway, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, fieldError("file", "%v; give the path of a readable file with --config", err)
	}
	return ParseGateway(content)
}

// ParseGateway decodes and validates the settings of a gateway host. Unknown
// keys are an error.
func ParseGateway(content []byte) (*Gateway, error) {
	parsed := &Gateway{
		MemoryMB: defaultMemoryMB, Descriptors: defaultDescriptors, Grace: Duration(defaultGrace),
		Retry: Retry{Ratio: defaultRetryRatio, Window: Duration(defaultRetryWindow)},
		Cold:  Cold{Overage: coldstart.DefaultOverage, Slack: coldstart.DefaultSlack}, Log: Log{Level: defaultLogLevel},
	}
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(parsed); err != nil && !errors.Is(err, io.EOF) {
		return nil, fieldError("file", "%v; correct the YAML", err)
	}
	return parsed, parsed.validate()
}

func (g *Gateway) validate() error {
	if g.Host == "" {
		return fieldError("host", "is empty; give the name of the host")
	}
	if g.Zone == "" {
		return fieldError("zone", "is empty; give the host's availability zone")
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
			return fieldError(address.field, "is %q; give an IP address and a port, such as 10.0.0.5:8080", address.value)
		}
	}
	switch {
	case g.MemoryMB <= 0:
		return fieldError("memory_mb", "is not positive; give the memory limit in megabytes")
	case g.Descriptors <= 0:
		return fieldError("descriptors", "is not positive; give the limit on open file descriptors")
	case !(g.LinkMbps >= 0):
		return fieldError("link_mbps", "is not a number of 0 or more; give the link's bandwidth in megabits per second")
	case g.Grace <= 0:
		return fieldError("grace", "is not positive; give a duration, such as 8s")
	case g.Retry.Ratio < 0 || g.Retry.Slack < 0:
		return fieldError("retry", "ratio or slack is negative; set both to 0 or more")
	case g.Retry.Window <= 0:
		return fieldError("retry.window", "is not positive; give a duration, such as 10s")
	case !(g.Cold.Overage > 0) || math.IsInf(g.Cold.Overage, 0):
		return fieldError("cold.overage", "is not a positive number; give a multiple, such as 1.5")
	case !(g.Cold.Slack >= 0) || math.IsInf(g.Cold.Slack, 0):
		return fieldError("cold.slack", "is not a number of 0 or more; give a number of requests, such as 5")
	}
	return nil
}
