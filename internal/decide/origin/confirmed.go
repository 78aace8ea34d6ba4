package origin

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// confirmTimeout is how long a host waits for the history in the store to have a version
// that it lists. A store that it cannot reach for longer must not keep it from upstreams
// for good; other hosts have learned of the version by then.
const confirmTimeout = 5 * time.Second

// startTimeout replaces confirmTimeout in a process that has read no history yet, as
// while the store is away: the versions that it finds have served before.
const startTimeout = time.Second

// Confirmed tells at which versions of a service streams may begin that callers can
// resume: those that the history in the store is known to have. A host that has not seen
// a version yet finds it there, and does not conclude that only another one has served.
type Confirmed struct {
	services map[core.ServiceName]map[string]*versionState
	// read has the services whose history was read.
	read map[core.ServiceName]bool
}

// versionState is what is known of one version: when it was first listed, and whether
// the history has it.
type versionState struct {
	listedAt  time.Time
	confirmed bool
}

// NewConfirmed returns the state of a host that knows no history.
func NewConfirmed() *Confirmed {
	return &Confirmed{services: make(map[core.ServiceName]map[string]*versionState), read: make(map[core.ServiceName]bool)}
}

func (c *Confirmed) of(service core.ServiceName, version string) *versionState {
	versions, found := c.services[service]
	if !found {
		versions = make(map[string]*versionState)
		c.services[service] = versions
	}
	state, found := versions[version]
	if !found {
		state = &versionState{}
		versions[version] = state
	}
	return state
}

// Listed records the versions that are listed, by service.
func (c *Confirmed) Listed(listed map[core.ServiceName][]string, now time.Time) {
	for service, versions := range listed {
		for _, version := range versions {
			if state := c.of(service, version); state.listedAt.IsZero() {
				state.listedAt = now
			}
		}
	}
}

// Confirm records the versions that the history in the store has. Versions that it has
// lost, as by a return of the store to an older copy, are no longer confirmed.
func (c *Confirmed) Confirm(service core.ServiceName, versions []string) {
	c.read[service] = true
	for _, state := range c.services[service] {
		state.confirmed = false
	}
	for _, version := range versions {
		c.of(service, version).confirmed = true
	}
}

// MayBegin reports whether a stream may begin at a version.
func (c *Confirmed) MayBegin(service core.ServiceName, version string, now time.Time) bool {
	state, found := c.services[service][version]
	if !found || state.confirmed {
		return found
	}
	timeout := startTimeout
	if c.read[service] {
		timeout = confirmTimeout
	}
	return !state.listedAt.IsZero() && now.Sub(state.listedAt) > timeout
}
