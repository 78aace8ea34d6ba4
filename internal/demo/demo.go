package demo

import (
	"context"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
)

// The duration of the mixed workload and the times of the faults in it.
const (
	mixDuration      = 6 * time.Second
	loseRepliesAt    = time.Second
	restoreRepliesAt = 1800 * time.Millisecond
	editAt           = 2 * time.Second
	killAt           = 2700 * time.Millisecond
	leaveAt          = 3 * time.Second
	drainAt          = 4 * time.Second
)

// check is the result of checking one promise.
type check struct {
	promise    string
	violations []string
	detail     string
}

// operatorName is the operator recorded in the history of the demo's changes.
const operatorName = "demo"

// maxPrintedViolations bounds the violations printed for one promise.
const maxPrintedViolations = 3

// violationf records a violation.
func (c *check) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *check) print(out io.Writer) {
	verdict := "kept  "
	if len(c.violations) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "%s  %s (%s)\n", verdict, c.promise, c.detail)
	for i, violation := range c.violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "        and %d more\n", len(c.violations)-maxPrintedViolations)
			break
		}
		fmt.Fprintf(out, "        %s\n", violation)
	}
}

// balancer simulates the platform's load balancer, which distributes callers over
// the hosts that are ready.
type balancer struct {
	ready atomic.Pointer[[]string]
}

func (b *balancer) update(fleet *localfleet.Fleet, without ...*localfleet.RunningHost) {
	var ready []string
	for _, running := range fleet.Hosts {
		excluded := false
		for _, other := range without {
			excluded = excluded || other == running
		}
		if !excluded {
			ready = append(ready, running.CallerAddress())
		}
	}
	b.ready.Store(&ready)
}

func (b *balancer) pick(random *mathrand.Rand) string {
	ready := *b.ready.Load()
	return ready[random.IntN(len(ready))]
}

// demo is the state of a run. Only the goroutine of Run accesses it.
type demo struct {
	fleet    *localfleet.Fleet
	teams    []*team
	balancer balancer
	out      io.Writer
	checks   []*check
	drained  *check
	tally    *tally
	// laterSamples are the samples of the steps after the mixed workload.
	laterSamples []sample
}

// Run starts the fleet, sends the mixed workload while faults are injected,
// checks the promises and prints the results. It reports whether every promise
// was kept.
func Run(ctx context.Context, out io.Writer) (bool, error) {
	d, err := start(ctx, out)
	if err != nil {
		return false, err
	}
	defer func() { _ = d.fleet.Stop() }()
	if err := d.mix(ctx); err != nil {
		return false, err
	}
	for _, step := range []func(context.Context) error{d.sendDuplicatePayouts, d.exhaustBudget, d.reconcile} {
		if err := step(ctx); err != nil {
			return false, err
		}
	}
	return d.report()
}

func start(ctx context.Context, out io.Writer) (*demo, error) {
	fleet, err := localfleet.Start(fleetConfig())
	if err != nil {
		return nil, err
	}
	d := &demo{fleet: fleet, teams: newTeams(), out: out}
	var teamRows []core.TeamRow
	for _, demoTeam := range d.teams {
		teamRows = append(teamRows, demoTeam.row)
		if err := fleet.Budgets().TopUp(ctx, demoTeam.row.Budget, demoTeam.budget, "first-payment", operatorName); err != nil {
			return nil, err
		}
	}
	if err := fleet.CreateRows(ctx, teamRows, services()); err != nil {
		return nil, err
	}
	if err := fleet.StartHosts(ctx); err != nil {
		return nil, err
	}
	d.balancer.update(fleet)
	fmt.Fprintf(out, "started %d hosts in %d zones, %d engines, %d plain services, %d teams\n",
		len(fleet.Hosts), len(zones), len(fleet.Engines), len(fleet.Services), len(d.teams))
	return d, nil
}

func (d *demo) report() (bool, error) {
	if err := d.tally.print(d.out); err != nil {
		return false, err
	}
	kept := true
	for _, c := range d.checks {
		c.print(d.out)
		kept = kept && len(c.violations) == 0
	}
	return kept, nil
}

func (d *demo) newCheck(promise string) *check {
	created := &check{promise: promise}
	d.checks = append(d.checks, created)
	return created
}
