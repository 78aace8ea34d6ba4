package balancer

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/reach"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/task"
)

// reachTimeout bounds a probe of an upstream. It is that of a connection to an upstream
// for another host (decision 22).
const reachTimeout = 250 * time.Millisecond

// cutOffSet has the upstreams of pools that this host is cut off from, with the name of
// one such pool.
type cutOffSet map[core.UpstreamID]core.ServiceName

// reachName names a pool in the table of links and in requests to other hosts.
func reachName(pool upstreams.Pool) core.ServiceName {
	if pool.Service != "" {
		return "service/" + pool.Service
	}
	return core.ServiceName("model/" + string(pool.Model))
}

// CutOff reports whether this host has lost its links to all upstreams of a pool of the
// upstream, so that it is to be reached through other hosts, and the name that requests to
// those have for the pool.
func (t *Task) CutOff(id core.UpstreamID) (pool core.ServiceName, cutOff bool) {
	pool, cutOff = (*t.cutOff.Load())[id]
	return pool, cutOff
}

func (t *Task) reaches(id core.UpstreamID) bool {
	_, cutOff := t.CutOff(id)
	return !cutOff
}

type dialedMessage struct {
	address string
	err     error
	// done is closed once the message is handled and no probe is under way.
	done chan<- struct{}
}

func (m dialedMessage) handle(t *Task, now time.Time) {
	t.observeDial(m.address, m.err, now)
	t.probeWaiters = append(t.probeWaiters, m.done)
	t.releaseProbeWaiters()
}

// probed is the result of a probe.
type probed struct {
	address string
	err     error
}

func (m probed) handle(t *Task, now time.Time) {
	t.probing--
	t.observeDial(m.address, m.err, now)
	t.releaseProbeWaiters()
}

// releaseProbeWaiters lets those go on who wait for the probes that are under way.
func (t *Task) releaseProbeWaiters() {
	if t.probing > 0 {
		return
	}
	for _, done := range t.probeWaiters {
		close(done)
	}
	t.probeWaiters = nil
}

// Dialed records how an attempt of this host to connect to an upstream ended; err is nil
// if it succeeded. After a failure it returns once the probes that are under way have ended,
// within reachTimeout, so that CutOff tells whether this host or the upstream is why.
func (t *Task) Dialed(address string, err error) {
	done := make(chan struct{})
	if t.inbox.Send(context.Background(), dialedMessage{address, err, done}) != nil || err == nil {
		return
	}
	select {
	case <-done:
	case <-t.done:
	}
}

func (t *Task) observeDial(address string, err error, now time.Time) {
	if errors.Is(err, context.Canceled) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		// The host itself is why no connection was set up.
		return
	}
	target, pools := t.view.PoolsAt(address)
	changed := false
	for _, pool := range pools {
		if err == nil {
			changed = t.regain(pool) || changed
			continue
		}
		changed = t.lose(pool, target.Upstream, now) || changed
	}
	if changed {
		t.publishCutOff(now)
	}
	if err != nil {
		t.probe(target, pools, now)
	}
}

func (t *Task) regain(pool upstreams.Pool) bool {
	if t.reach.Connected(reachName(pool)) != reach.Regained {
		return false
	}
	t.view.ForgetFailures(pool)
	t.config.Log.Info("this host reaches the upstreams of a pool again", zap.String("event", "service_regained"),
		zap.String("service", string(reachName(pool))))
	return true
}

func (t *Task) lose(pool upstreams.Pool, id core.UpstreamID, now time.Time) bool {
	listed := t.view.UsableOf(pool)
	if t.reach.Unreachable(reachName(pool), id, len(listed), now) != reach.Lost {
		return false
	}
	t.view.ForgetFailures(pool)
	if t.config.LinksLost != nil {
		t.config.LinksLost()
	}
	t.config.Log.Warn("this host reaches no upstream of a pool; it goes through other hosts until it does",
		zap.String("event", "service_lost"), zap.String("service", string(reachName(pool))), zap.Int("upstreams", len(listed)))
	return true
}

// retainReach forgets the links to pools that are gone, and applies the list to CutOff.
func (t *Task) retainReach(now time.Time) {
	known := make(map[core.ServiceName]bool)
	t.view.EachPool(func(pool upstreams.Pool) { known[reachName(pool)] = len(t.view.UsableOf(pool)) > 0 })
	t.reach.Retain(func(name core.ServiceName) bool { return known[name] })
	t.publishCutOff(now)
}

// publishCutOff replaces the snapshot that CutOff reads.
func (t *Task) publishCutOff(now time.Time) {
	set := make(cutOffSet)
	t.view.EachPool(func(pool upstreams.Pool) {
		if !t.reach.CutOff(reachName(pool), now) {
			return
		}
		for _, target := range t.view.UsableOf(pool) {
			set[target.Upstream] = reachName(pool)
		}
	})
	t.cutOff.Store(&set)
}

// suspect probes an upstream whose attempt or poll failed, if a round of probes is due.
func (t *Task) suspect(target core.Target, now time.Time) {
	found, pools := t.view.PoolsAt(target.Address)
	if found.Upstream == target.Upstream {
		t.probe(found, pools, now)
	}
}

// probeCutOff probes the pools that this host is cut off from, if a round is due. Those of
// which it has known nothing for some time, as after a pause, are tried again.
func (t *Task) probeCutOff(now time.Time) {
	if len(*t.cutOff.Load()) > 0 {
		t.publishCutOff(now)
	}
	t.view.EachPool(func(pool upstreams.Pool) {
		if t.reach.CutOff(reachName(pool), now) {
			t.probe(core.Target{}, []upstreams.Pool{pool}, now)
		}
	})
}

// probe connects to upstreams of the pools, in goroutines of their own.
func (t *Task) probe(suspect core.Target, pools []upstreams.Pool, now time.Time) {
	if t.config.Connect == nil {
		return
	}
	for _, pool := range pools {
		usable := t.view.UsableOf(pool)
		t.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
		ids, addresses := make([]core.UpstreamID, len(usable)), make(map[core.UpstreamID]string, len(usable))
		for i, target := range usable {
			ids[i], addresses[target.Upstream] = target.Upstream, target.Address
		}
		for _, id := range t.reach.TakeProbes(reachName(pool), suspect.Upstream, ids, now) {
			if address, listed := addresses[id]; listed {
				t.probing++
				go t.connect(address)
			}
		}
	}
}

func (t *Task) connect(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	err := t.config.Connect(ctx, address)
	// Send fails only if the task is stopping.
	_ = t.inbox.Send(context.Background(), probed{address, err})
}

// TunnelVerdict tells whether a connection to an upstream may be set up for another host.
type TunnelVerdict uint8

// The verdicts.
const (
	// TunnelAllowed means that it may.
	TunnelAllowed TunnelVerdict = iota + 1
	// TunnelUnknown means that no such process of an upstream is listed.
	TunnelUnknown
	// TunnelNotNow means that the upstream leaves.
	TunnelNotNow
	// TunnelCutOff means that this host does not reach the upstream's pool itself.
	TunnelCutOff
)

// TunnelAdmission is the answer to AdmitTunnel.
type TunnelAdmission struct {
	Verdict TunnelVerdict
	// Address is that of the upstream if it is allowed.
	Address string
}

type tunnelDialed struct {
	id  core.UpstreamID
	err error
}

func (m tunnelDialed) handle(t *Task, now time.Time) {
	if target, _, listed := t.view.Listed(m.id); listed {
		t.observeDial(target.Address, m.err, now)
	}
}

// TunnelDialed records how an attempt to connect to an upstream for another host ended.
func (t *Task) TunnelDialed(id core.UpstreamID, err error) {
	_ = t.inbox.Send(context.Background(), tunnelDialed{id, err})
}

type admitTunnel struct {
	id          core.UpstreamID
	incarnation core.Incarnation
	reply       chan<- TunnelAdmission
}

// AdmitTunnel tells whether a connection to an upstream may be set up for another host.
// Only addresses of listed upstreams are given out, and none that this host would need
// another host for itself, so that no connection goes in circles.
func (t *Task) AdmitTunnel(ctx context.Context, id core.UpstreamID, incarnation core.Incarnation) (TunnelAdmission, error) {
	return task.Ask(ctx, t.inbox, func(reply chan<- TunnelAdmission) message { return admitTunnel{id, incarnation, reply} })
}

func (m admitTunnel) handle(t *Task, _ time.Time) {
	target, leaving, listed := t.view.Listed(m.id)
	switch {
	case !listed || target.Incarnation != m.incarnation:
		m.reply <- TunnelAdmission{Verdict: TunnelUnknown}
	case leaving:
		m.reply <- TunnelAdmission{Verdict: TunnelNotNow}
	case !t.reaches(m.id):
		m.reply <- TunnelAdmission{Verdict: TunnelCutOff}
	default:
		m.reply <- TunnelAdmission{Verdict: TunnelAllowed, Address: target.Address}
	}
}
