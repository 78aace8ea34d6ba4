package director

import (
	"context"
	"errors"
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
	// trialRetryAfter is the delay sent to callers while another host tries a part.
	trialRetryAfter = 2 * time.Second
)

// crashCheck is a check whether an upstream has crashed, with the prompts of this
// host's requests whose connections it closed before answering.
type crashCheck struct {
	crash   quarantine.Crash
	prompts []*gateway.Prompt
}

type crashChecked struct {
	upstream core.UpstreamID
	err      error
}

// observePrompt records what an attempt tells about the parts of its prompt.
func (d *Director) observePrompt(ctx context.Context, m Observation, now time.Time) {
	if m.Prompt == nil || len(m.Prompt.Parts) == 0 {
		return
	}
	if m.Signal == placement.Progressed || m.Signal == placement.Succeeded {
		before := d.quarantine.Holds()
		if d.quarantine.RecordAnswer(m.Prompt, now) {
			d.logHolds(before, "own answer")
			d.config.SuspicionsChanged(false)
		}
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
		check.prompts = append(check.prompts, m.Prompt)
		return
	}
	upstream, listed := d.roster.Upstream(m.Upstream)
	if !listed || upstream.Leaving {
		return
	}
	d.crashChecks[m.Upstream] = &crashCheck{
		crash: quarantine.Crash{Upstream: m.Upstream, At: now, SameZone: upstream.Zone == d.config.Zone}, prompts: []*gateway.Prompt{m.Prompt},
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, crashCheckTimeout)
		defer cancel()
		err := d.config.Dial(ctx, upstream.Address)
		_ = d.inbox.Send(context.Background(), crashChecked{m.Upstream, err})
	}()
}

func (d *Director) finishCrashCheck(m crashChecked, now time.Time) {
	check := d.crashChecks[m.upstream]
	delete(d.crashChecks, m.upstream)
	if check == nil || !errors.Is(m.err, syscall.ECONNREFUSED) {
		return
	}
	before := d.quarantine.Holds()
	var parts []string
	for _, prompt := range check.prompts {
		d.quarantine.RecordCrash(prompt, check.crash, now)
		for _, part := range prompt.Parts {
			if !slices.Contains(parts, part.ID) {
				parts = append(parts, part.ID)
			}
		}
	}
	d.config.Log.Warn("upstream crashed before it answered", zap.String("event", "upstream_crashed"), zap.String("upstream", string(m.upstream)),
		zap.Int("unanswered", len(check.prompts)), zap.Strings("prompt_parts", parts))
	d.logHolds(before, "own crash")
	d.config.SuspicionsChanged(d.quarantine.Repeated())
}

// held returns the hold of a part of the prompt and how long it lasts at least,
// unless this request may try the part.
func (d *Director) held(prompt *gateway.Prompt, now time.Time) (quarantine.Hold, time.Duration, bool) {
	hold, found := d.quarantine.Holds().Find(prompt)
	if !found {
		return quarantine.Hold{}, 0, false
	}
	rank := max(slices.Index(rendezvous.Rank(hold.Part, d.members), string(d.config.Host)), 0)
	if d.quarantine.AllowTrial(hold.Part, rank, now) {
		d.config.Log.Info("trying a quarantined prompt part", zap.String("event", "part_tried"), zap.String("part", hold.Part))
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

// logHolds logs the parts that were held or released since before.
func (d *Director) logHolds(before quarantine.Holds, source string) {
	after := d.quarantine.Holds()
	for part, hold := range after {
		if _, held := before[part]; !held {
			d.config.Log.Warn("prompt part quarantined", zap.String("event", "part_quarantined"), zap.String("part", part),
				zap.Int("crashes", hold.Crashes), zap.Int("upstreams", hold.Upstreams),
				zap.Int64("held_ms", hold.Until.Sub(d.config.Now()).Milliseconds()), zap.String("source", source))
		}
	}
	for part := range before {
		if _, held := after[part]; !held {
			d.config.Log.Info("prompt part released", zap.String("event", "part_released"), zap.String("part", part), zap.String("source", source))
		}
	}
}
