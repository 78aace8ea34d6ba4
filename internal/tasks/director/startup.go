package director

import "time"

// savedCrashesWait is how long after its start a host refuses all requests while it has
// not read the saved crashes: it would send the requests that crash upstreams. It is
// bounded, as most requests crash nothing and the store may be away for long. The
// balancer checks once a second whether a host that starts is ready.
const savedCrashesWait = time.Second

// startup tells whether the host knows enough to serve.
type startup struct {
	began time.Time
	// crashesRead is true once the crashes that the store keeps are known.
	crashesRead bool
	// announced is true once Config.Serving was called.
	announced bool
}

// ready reports whether requests may be matched, if a configuration is known.
func (s startup) ready(now time.Time) bool {
	return s.crashesRead || now.Sub(s.began) >= savedCrashesWait
}

func (d *Director) serving(now time.Time) bool {
	return d.activeConfig != nil && d.startup.ready(now)
}

// announceServing calls Config.Serving once the host serves.
func (d *Director) announceServing(now time.Time) {
	if !d.startup.announced && d.serving(now) {
		d.startup.announced = true
		d.config.Serving()
	}
}

// configState returns what requests are matched by.
func (d *Director) configState(now time.Time) ConfigState {
	state := ConfigState{Age: now.Sub(d.configConfirmed), ShutdownAt: d.shutdownAt, ShutdownNoticed: d.shutdownNoticed, Holds: d.quarantine.Holds()}
	if d.serving(now) {
		state.Config = d.activeConfig
	}
	return state
}
