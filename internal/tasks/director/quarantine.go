package director

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// forgetInterval is the time between two removals of old crashes, answers and
	// limits.
	forgetInterval = 5 * time.Second
	// crashCheckTimeout limits the connection attempt that checks for a crash. An
	// upstream that is up accepts, and one that crashed refuses, within
	// milliseconds; anything else is not a crash of the upstream alone.
	crashCheckTimeout = 500 * time.Millisecond
	// crashComparisons is the number of other upstreams of which one must be reachable for a
	// refusal to count as a crash. Something between a host and all upstreams may refuse its
	// connections. Several upstreams may have crashed on the same request.
	crashComparisons = 4
	// trialRetryAfter is the delay sent to callers while another host tries a request.
	trialRetryAfter = 2 * time.Second
)

// crashCheck is a check whether an upstream has crashed, with this host's requests
// whose connections it closed before answering.
type crashCheck struct {
	crash quarantine.Crash
	lost  []quarantine.Lost
}

type crashChecked struct {
	upstream core.UpstreamID
	err      error
	// unsure is true if no other upstream could be reached either, so that the links of
	// this host may be the cause.
	unsure bool
}

// observeTraits records what an attempt tells about the traits of its request.
func (d *Director) observeTraits(ctx context.Context, m Observation, now time.Time) {
	if m.Signal == placement.Progressed || m.Signal == placement.Succeeded {
		before := d.quarantine.Holds()
		if d.quarantine.RecordAnswer(m.Traits, now) {
			d.logHolds(before, "own answer")
			d.config.SuspicionsChanged(false)
		}
	}
	if m.Signal == placement.Failed {
		d.quarantine.RecordFailure(m.Traits, now)
	}
	if m.Signal == placement.ClosedEarly {
		d.startCrashCheck(ctx, m, now)
	}
}

// startCrashCheck connects to the upstream in a goroutine of its own. Connections
// also end early for other reasons: only an upstream that refuses new ones has
// crashed.
func (d *Director) startCrashCheck(ctx context.Context, m Observation, now time.Time) {
	if check, running := d.crashChecks[m.Upstream]; running {
		check.lost = append(check.lost, quarantine.Lost{Traits: m.Traits, Repeat: m.Repeat})
		return
	}
	upstream, listed := d.roster.Upstream(m.Upstream)
	if !listed || upstream.Leaving {
		return
	}
	d.crashChecks[m.Upstream] = &crashCheck{
		crash: quarantine.Crash{Upstream: m.Upstream, At: now, SameZone: upstream.Zone == d.config.Zone}, lost: []quarantine.Lost{{Traits: m.Traits, Repeat: m.Repeat}},
	}
	dial := func(ctx context.Context, upstream gateway.Upstream) error {
		return d.config.Dial(ctx, upstream.Address)
	}
	if m.Tunnelled {
		dial = d.config.DialThrough
	}
	others := d.otherUpstreams(m.Upstream, crashComparisons)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		checked := crashChecked{upstream: m.Upstream, err: dial(ctx, upstream)}
		if errors.Is(checked.err, syscall.ECONNREFUSED) && len(others) > 0 {
			checked.unsure = !anyAccepts(ctx, others, dial)
		}
		_ = d.inbox.Send(context.Background(), checked)
	}()
}

// anyAccepts reports whether one of the upstreams accepts a connection.
func anyAccepts(ctx context.Context, upstreams []gateway.Upstream, dial func(context.Context, gateway.Upstream) error) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), crashCheckTimeout)
	defer cancel()
	results := make(chan error, len(upstreams))
	for _, upstream := range upstreams {
		go func() { results <- dial(ctx, upstream) }()
	}
	for range upstreams {
		if <-results == nil {
			return true
		}
	}
	return false
}

// otherUpstreams returns some upstreams of any service, in random order.
func (d *Director) otherUpstreams(than core.UpstreamID, count int) []gateway.Upstream {
	others := slices.DeleteFunc(d.roster.Upstreams(), func(upstream gateway.Upstream) bool { return upstream.ID == than || upstream.Leaving })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(len(others), count)]
}

func (d *Director) finishCrashCheck(m crashChecked, now time.Time) {
	check := d.crashChecks[m.upstream]
	delete(d.crashChecks, m.upstream)
	if check == nil || !errors.Is(m.err, syscall.ECONNREFUSED) {
		return
	}
	if m.unsure {
		d.config.Log.Info("connections to an upstream and to all others that were tried are refused; it may not have crashed",
			zap.String("event", "crash_unsure"), zap.String("upstream", string(m.upstream)))
		return
	}
	before := d.quarantine.Holds()
	d.quarantine.RecordCrash(check.crash, check.lost, now)
	var ids []string
	for _, request := range check.lost {
		for _, trait := range request.Traits {
			if !slices.Contains(ids, trait.ID) {
				ids = append(ids, trait.ID)
			}
		}
	}
	d.config.Log.Warn("upstream crashed before it answered", zap.String("event", "upstream_crashed"), zap.String("upstream", string(m.upstream)),
		zap.Int("unanswered", len(check.lost)), zap.Strings("traits", ids))
	d.logHolds(before, "own crash")
	d.config.SuspicionsChanged(d.quarantine.Repeated())
}

// held returns the hold of one of a request's traits and how long it lasts at least,
// unless this request may be sent as a trial.
func (d *Director) held(traits []quarantine.Trait, now time.Time) (quarantine.Hold, time.Duration, bool) {
	hold, found := d.quarantine.Holds().Find(traits)
	if !found {
		return quarantine.Hold{}, 0, false
	}
	rank := max(slices.Index(rendezvous.Rank(hold.Trait, d.members), string(d.config.Host)), 0)
	if d.quarantine.AllowTrial(hold.Trait, rank, now) {
		d.config.Log.Info("trying a quarantined request", zap.String("event", "part_tried"), zap.String("part", hold.Trait))
		return quarantine.Hold{}, 0, false
	}
	return hold, max(hold.Until.Sub(now), trialRetryAfter), true
}

func (d *Director) expireQuarantine() {
	before := d.quarantine.Holds()
	if d.quarantine.Expire(d.config.Now()) {
		d.logHolds(before, "expiry")
	}
}

// logHolds logs the traits that were held or released since before.
func (d *Director) logHolds(before quarantine.Holds, source string) {
	after := d.quarantine.Holds()
	for trait, hold := range after {
		if _, held := before[trait]; !held {
			d.config.Log.Warn("requests quarantined", zap.String("event", "part_quarantined"), zap.String("part", trait),
				zap.Int("crashes", hold.Crashes), zap.Int("upstreams", hold.Upstreams),
				zap.Int64("held_ms", hold.Until.Sub(d.config.Now()).Milliseconds()), zap.String("source", source))
		}
	}
	for trait := range before {
		if _, held := after[trait]; !held {
			d.config.Log.Info("requests released from quarantine", zap.String("event", "part_released"), zap.String("part", trait), zap.String("source", source))
		}
	}
}
