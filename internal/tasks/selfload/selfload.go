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
	"github.com/peridotreel/peridotreel/internal/decide/linkload"
	"github.com/peridotreel/peridotreel/internal/decide/selfload"
	"github.com/peridotreel/peridotreel/internal/decide/shedding"
	"github.com/peridotreel/peridotreel/internal/linkmeter"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/telemetry"
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

	bitsPerByte    = 8
	bitsPerMegabit = 1e6
)

// Config has the settings of the task and what it depends on.
type Config struct {
	Zone core.ZoneName
	// Link counts the bytes of this host's connections.
	Link *linkmeter.Meter
	// LinkMbps is the bandwidth of the link in each direction, in megabits per second, 0 if
	// it is not known.
	LinkMbps float64
	Log      *zap.Logger
	Now      func() time.Time
}

// Monitor is the task.
type Monitor struct {
	config Config
	inbox  *task.Inbox[any]
	state  selfload.State
	// linkState is the use of the link; received and sent are the bytes up to countedAt.
	linkState      linkload.State
	received, sent int64
	countedAt      time.Time
	// arrived counts requests by urgency; their goroutines add to it. counted are those of
	// earlier windows, and traffic the recent ones.
	arrived [shedding.Urgencies]atomic.Int64
	counted [shedding.Urgencies]int64
	traffic shedding.Traffic
	// zoneHosts is the number of hosts in this host's zone.
	zoneHosts int
	published atomic.Pointer[snapshot]
}

// snapshot is what requests read. It is not modified once it is published.
type snapshot struct {
	plan     shedding.Plan
	share    float64
	away     bool
	linkFull bool
	linkUse  float64
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

// Reject reports whether a request of an urgency is to be rejected at once, 0 to 9 with 0
// as the most urgent, and counts the request.
func (m *Monitor) Reject(urgency int) bool {
	urgency = min(max(urgency, 0), shedding.Urgencies-1)
	m.arrived[urgency].Add(1)
	part := m.published.Load().plan[urgency]
	return part > 0 && rand.Float64() < part
}

// Load returns how far the host keeps up, for metrics.
func (m *Monitor) Load() telemetry.HostLoad {
	current := m.published.Load()
	return telemetry.HostLoad{LinkUse: current.linkUse, RejectedShare: current.share, Away: current.away}
}

// LinkFull reports whether calls may fail for want of room in this host's link.
func (m *Monitor) LinkFull() bool { return m.published.Load().linkFull }

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
	m.linkState.EndWindow(m.linkUse())
	after := snapshot{
		share: max(m.state.Share(), m.linkState.Share()), away: m.state.Away() || m.linkState.Away(), linkFull: m.linkState.Full(),
		linkUse: m.linkState.Use(),
	}
	m.countRequests()
	if m.zoneHosts < minZoneHosts {
		after = snapshot{linkFull: after.linkFull, linkUse: after.linkUse}
	}
	after.plan = m.traffic.Plan(after.share)
	if after == before {
		return
	}
	m.published.Store(&after)
	switch {
	case before.share == 0 && after.share > 0:
		m.config.Log.Warn("this host does not keep up; rejecting a part of the requests", zap.String("event", "host_overloaded"))
	case before.share > 0 && after.share == 0:
		m.config.Log.Info("this host keeps up again", zap.String("event", "host_keeps_up"))
	}
	if after.away != before.away {
		m.config.Log.Info("the host asks the balancer for no new connections, or for them again", zap.String("event", "host_away"), zap.Bool("away", after.away),
			zap.Float64("link_use", m.linkState.Use()))
	}
}

// countRequests adds the requests of the window to the traffic.
func (m *Monitor) countRequests() {
	var requests [shedding.Urgencies]int64
	for i := range requests {
		total := m.arrived[i].Load()
		requests[i], m.counted[i] = total-m.counted[i], total
	}
	m.traffic.EndWindow(requests)
}

// linkUse returns the part of the link that was used since the latest call, in the
// direction that was used more. It is 0 if the link's bandwidth is not known.
func (m *Monitor) linkUse() float64 {
	if m.config.LinkMbps == 0 {
		return 0
	}
	now := m.config.Now()
	received, sent := m.config.Link.Totals()
	elapsed := now.Sub(m.countedAt)
	bytes := max(received-m.received, sent-m.sent)
	first := m.countedAt.IsZero()
	m.received, m.sent, m.countedAt = received, sent, now
	if first || elapsed <= 0 {
		return 0
	}
	return float64(bytes) * bitsPerByte / (m.config.LinkMbps * bitsPerMegabit * elapsed.Seconds())
}
