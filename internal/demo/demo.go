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

// The times of the faults within the mix.
const (
	mixTime       = 6 * time.Second
	loseRepliesAt = time.Second
	repliesBackAt = 1800 * time.Millisecond
	editAt        = 2 * time.Second
	killAt        = 2700 * time.Millisecond
	leaveAt       = 3 * time.Second
	drainAt       = 4 * time.Second
)

// check is one promise as the demo saw it.
type check struct {
	promise string
	broken  []string
	detail  string
}

// operatorName appears in the history of what the demo changes.
const operatorName = "demo"

// maxShown bounds the violations printed for one promise.
const maxShown = 3

// breakf notes a violation.
func (c *check) breakf(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

func (c *check) print(out io.Writer) {
	verdict := "kept  "
	if len(c.broken) > 0 {
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "%s  %s (%s)\n", verdict, c.promise, c.detail)
	for i, violation := range c.broken {
		if i == maxShown {
			fmt.Fprintf(out, "        and %d more\n", len(c.broken)-maxShown)
			break
		}
		fmt.Fprintf(out, "        %s\n", violation)
	}
}

// balancer stands for the platform's balancer: it spreads callers over the
// hosts that are ready.
type balancer struct {
	ready atomic.Pointer[[]string]
}

func (b *balancer) set(fleet *localfleet.Fleet, without ...*localfleet.RunningHost) {
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

// demo is the state of a run. It belongs to the goroutine of Run.
type demo struct {
	fleet    *localfleet.Fleet
	teams    []*team
	balancer balancer
	out      io.Writer
	checks   []*check
	drained  *check
	tally    *tally
	// later are samples of the steps after the mix.
	later []sample
}

// Run starts the fleet, sends the mix with faults, checks the promises and
// prints what it saw. It reports whether every promise was kept.
func Run(ctx context.Context, out io.Writer) (bool, error) {
	d, err := start(ctx, out)
	if err != nil {
		return false, err
	}
	defer func() { _ = d.fleet.Stop() }()
	if err := d.mix(ctx); err != nil {
		return false, err
	}
	for _, step := range []func(context.Context) error{d.payoutsTwice, d.budgetRunsOut, d.settle} {
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
	for _, of := range d.teams {
		teamRows = append(teamRows, of.row)
		if err := fleet.Budgets().TopUp(ctx, of.row.Budget, of.budget, "first-payment", operatorName); err != nil {
			return nil, err
		}
	}
	if err := fleet.Fill(ctx, teamRows, services()); err != nil {
		return nil, err
	}
	if err := fleet.StartHosts(ctx); err != nil {
		return nil, err
	}
	d.balancer.set(fleet)
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
		kept = kept && len(c.broken) == 0
	}
	return kept, nil
}

func (d *demo) newCheck(promise string) *check {
	created := &check{promise: promise}
	d.checks = append(d.checks, created)
	return created
}
