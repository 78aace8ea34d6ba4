// Package selfload is the task that measures whether this host keeps up with its
// requests. It publishes what to reject through an atomic pointer, as it is read for
// each request.
package selfload

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/selfload"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// interval is the time between two samples.
	interval = 50 * time.Millisecond
	// inboxCapacity has room for the changes of a table of hosts that is read in full.
	inboxCapacity = 16
	// minZoneHosts is the number of hosts that a zone must have for one to reject requests
	// or leave the balancer's rotation: they are then a small part of what each other
	// gets. In smaller zones the load of one would overload the next.
	minZoneHosts = 8
)

// Config has the settings of the task and what it depends on.
type Config struct {
	Zone core.ZoneName
	Log  *zap.Logger
	Now  func() time.Time
}

// Monitor is the task.
type Monitor struct {
	config Config
	inbox  *task.Inbox[any]
	state  selfload.State
	// zoneHosts is the number of hosts in this host's zone.
	zoneHosts int
	published atomic.Pointer[snapshot]
}

// snapshot is what requests read. It is not modified once it is published.
type snapshot struct {
	share float64
	away  bool
}

type setMembers []allowance.Member

// New returns the task.
func New(config Config) *Monitor {
	m := &Monitor{config: config, inbox: task.NewInbox[any](inboxCapacity)}
	m.published.Store(&snapshot{})
	return m
}

// SetMembers sets the hosts that are not leaving.
func (m *Monitor) SetMembers(members []allowance.Member) {
	_ = m.inbox.Send(context.Background(), setMembers(members))
}

// Reject reports whether a request is to be rejected at once.
func (m *Monitor) Reject() bool {
	share := m.published.Load().share
	return share > 0 && rand.Float64() < share
}

// Away reports whether callers are to move to other hosts.
func (m *Monitor) Away() bool { return m.published.Load().away }

// Run takes samples until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	defer m.inbox.Close()
	due := m.config.Now().Add(interval)
	windowEnd := due.Add(selfload.Window - interval)
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case message := <-m.inbox.Messages():
			m.countZoneHosts(message.(setMembers))
		case <-timer.C:
			now := m.config.Now()
			m.state.Observe(now.Sub(due))
			if !now.Before(windowEnd) {
				m.endWindow()
				windowEnd = now.Add(selfload.Window)
			}
			due = now.Add(interval)
			timer.Reset(interval)
		case <-ctx.Done():
			return
		}
	}
}

func (m *Monitor) countZoneHosts(members setMembers) {
	m.zoneHosts = 0
	for _, member := range members {
		if member.Zone == m.config.Zone {
			m.zoneHosts++
		}
	}
}

func (m *Monitor) endWindow() {
	before := *m.published.Load()
	m.state.EndWindow()
	after := snapshot{share: m.state.Share(), away: m.state.Away()}
	if m.zoneHosts < minZoneHosts {
		after = snapshot{}
	}
	if after == before {
		return
	}
	m.published.Store(&after)
	switch {
	case before.share == 0:
		m.config.Log.Warn("this host does not keep up; rejecting a part of the requests", zap.String("event", "host_overloaded"))
	case after.share == 0:
		m.config.Log.Info("this host keeps up again", zap.String("event", "host_keeps_up"))
	}
	if after.away != before.away {
		m.config.Log.Info("the host asks the balancer for no new connections, or for them again", zap.String("event", "host_away"), zap.Bool("away", after.away))
	}
}
