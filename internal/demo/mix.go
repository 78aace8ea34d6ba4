package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	platformstandin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

const (
	// propagationBound is the time limit for a saved row to be in force on all
	// hosts.
	propagationBound = 5 * time.Second
	propagationPoll  = 20 * time.Millisecond
	// leavingBound is the time limit after which a leaving upstream gets no new
	// work.
	leavingBound = 2 * time.Second
	// leavingWatchTime is how long the engine is watched after leavingBound.
	leavingWatchTime = 1500 * time.Millisecond
)

// mix sends the mixed workload of all teams while replies of the platform are
// lost, a row is edited, a host is killed, an engine leaves and a host is drained.
func (d *demo) mix(ctx context.Context) error {
	mixCtx, cancel := context.WithTimeout(ctx, mixDuration)
	defer cancel()
	samples := make(chan sample, callers)
	collected := make(chan *tally, 1)
	go func() { collected <- collect(samples) }()
	sent := make(chan struct{})
	go func() {
		sendMix(mixCtx, d.teams, &d.balancer, samples)
		close(sent)
	}()
	err := d.injectFaults(ctx)
	<-sent
	close(samples)
	d.tally = <-collected
	if err != nil {
		return err
	}
	d.checkAnswers()
	d.checkDrained(d.fleet.Hosts[1])
	return nil
}

// injectFaults injects the faults at their times.
func (d *demo) injectFaults(ctx context.Context) error {
	started := time.Now()
	at := func(offset time.Duration) { pause(ctx, time.Until(started.Add(offset))) }
	at(loseRepliesAt)
	d.fleet.Platform.SetMode(platformstandin.ModeLoseReply)
	at(restoreRepliesAt)
	d.fleet.Platform.SetMode(platformstandin.ModeNone)
	at(editAt)
	if err := d.editRow(ctx); err != nil {
		return err
	}
	at(killAt)
	killed := d.fleet.Hosts[0]
	d.fleet.KillHost(killed)
	pause(ctx, retryDelay)
	d.balancer.update(d.fleet, killed)
	at(leaveAt)
	watched := make(chan *check, 1)
	go func() { watched <- watchLeaving(ctx, d.fleet.Engines[0]) }()
	at(drainAt)
	d.drain(ctx, killed)
	d.checks = append(d.checks, <-watched)
	return nil
}

// editRow saves a row under load and waits until it is in force on every host.
func (d *demo) editRow(ctx context.Context) error {
	c := d.newCheck("P8 a saved row is in force on every host within 5 s")
	row := d.teams[len(d.teams)-1].row
	row.Weight++
	version, err := d.fleet.SaveTeam(ctx, &row)
	if err != nil {
		return err
	}
	saved := time.Now()
	for d.hostsBehind(row.Team, version) > 0 {
		if time.Since(saved) > propagationBound {
			c.violationf("%d hosts do not have version %d after %s", d.hostsBehind(row.Team, version), version, propagationBound)
			break
		}
		pause(ctx, propagationPoll)
	}
	c.detail = fmt.Sprintf("%d hosts after %s", len(d.fleet.Hosts), time.Since(saved).Round(time.Millisecond))
	return nil
}

func (d *demo) hostsBehind(name core.TeamName, version int64) int {
	behind := 0
	for _, running := range d.fleet.Hosts {
		if !running.Stopped() && running.TeamVersion(name) < version {
			behind++
		}
	}
	return behind
}

// watchLeaving makes an engine leave and counts the requests that it starts after
// leavingBound.
func watchLeaving(ctx context.Context, engine *localfleet.RunningEngine) *check {
	c := &check{promise: "P6 a leaving upstream gets no new work after 2 s"}
	engine.SetLeaving(true)
	pause(ctx, leavingBound)
	before := len(engine.Counters().Runs)
	pause(ctx, leavingWatchTime)
	after := len(engine.Counters().Runs)
	if after > before {
		c.violationf("engine %s started %d requests later than %s after it began to leave", engine.ID, after-before, leavingBound)
	}
	c.detail = fmt.Sprintf("engine %s ran %d requests before", engine.ID, before)
	return c
}

// drain stops a host gracefully under load.
func (d *demo) drain(ctx context.Context, killed *localfleet.RunningHost) {
	c := d.newCheck("P7 a graceful shutdown cuts off no request in flight")
	d.drained = c
	leaving := d.fleet.Hosts[1]
	d.balancer.update(d.fleet, killed, leaving)
	started := time.Now()
	if err := d.fleet.DrainHost(ctx, leaving); err != nil {
		c.violationf("host %s: %v", leaving.Name, err)
	}
	c.detail = fmt.Sprintf("host %s drained in %s", leaving.Name, time.Since(started).Round(time.Millisecond))
}

// checkDrained records the requests that the drained host cut off.
func (d *demo) checkDrained(drained *localfleet.RunningHost) {
	for _, s := range d.tally.samples {
		if slices.Contains(s.cutOffBy, drained.CallerAddress()) {
			d.drained.violationf("%s %s was cut off by host %s", s.team, s.class, drained.Name)
		}
	}
}

// checkAnswers checks the answers that the callers of the mixed workload received.
func (d *demo) checkAnswers() {
	answerCheck := d.newCheck("P3 a caller receives the whole answer to its own request")
	notRunCheck := d.newCheck("P4 a request refused with \"not run\" did not run")
	answered, refused, retried, unknown := 0, 0, 0, 0
	killed := d.fleet.Hosts[0].CallerAddress()
	for _, s := range d.tally.samples {
		if s.retries > 0 {
			retried++
		}
		switch {
		case s.mismatch != "":
			answerCheck.violationf("%s %s: %s", s.team, s.class, s.mismatch)
		case s.answered:
			answered++
		case s.notRun:
			refused++
		case s.code == outcomeUnknown && slices.Contains(s.cutOffBy, killed):
			// The claim of a host that dies is never taken over.
			unknown++
		default:
			answerCheck.violationf("%s %s got no answer after all retries: %s; hosts that cut it off: %v", s.team, s.class, s.code, s.cutOffBy)
		}
	}
	answerCheck.detail = fmt.Sprintf("%d answers, %d of them after a retry; %d calls of unknown outcome, cut off by the killed host", answered, retried, unknown)
	notRunCheck.detail = fmt.Sprintf("%d refusals in the mix", refused)
	d.checkNotRun(notRunCheck)
}

// checkNotRun compares refusals with the calls that plain services ran.
func (d *demo) checkNotRun(c *check) {
	ran := d.ranKeys()
	for _, s := range d.tally.samples {
		if s.notRun && s.key != "" && s.retries == 0 && slices.Contains(ran, s.key) {
			c.violationf("%s %s was refused with %s and ran", s.team, s.class, s.code)
		}
	}
}

// ranKeys returns the idempotency keys of calls that plain services ran.
func (d *demo) ranKeys() []string {
	var keys []string
	for _, service := range d.fleet.Services {
		for key := range service.Runs() {
			keys = append(keys, key)
		}
	}
	return keys
}
