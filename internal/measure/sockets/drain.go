package sockets

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	"github.com/peridotreel/peridotreel/internal/measure"
	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// drainStep and drainTokens give answers of half a second to one.
	drainStep     = 20 * time.Millisecond
	drainTokens   = 50
	drainRate     = 60.0
	drainDeadline = 10 * time.Second
	// drainLength bounds the load; it ends when all hosts are replaced.
	drainLength = 40 * time.Second
	// balancerLag is how late the platform's balancer sees that a host is not
	// ready. The local fleet's hosts wait 200 ms for it.
	balancerLag = 100 * time.Millisecond
	// fixedWait is how long the baseline lets a host finish; it is the mean
	// length of an answer.
	fixedWait = 750 * time.Millisecond
)

func drainLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 4, engines: 6, deadline: drainDeadline, longDeadline: drainDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: drainStep, MaxRunning: 64},
	}
}

// balancer spreads jobs over the hosts that it takes for ready.
type balancer struct {
	ready atomic.Pointer[[]string]
}

func (b *balancer) set(fleet *localfleet.Fleet, without *localfleet.RunningHost) {
	var addresses []string
	for _, running := range fleet.Hosts {
		if running != without && !running.Stopped() {
			addresses = append(addresses, running.CallerAddress())
		}
	}
	b.ready.Store(&addresses)
}

func (b *balancer) enter(j *job) string {
	addresses := *b.ready.Load()
	return addresses[int(j.entry)%len(addresses)]
}

// replacement ends a host in one of two ways.
type replacement func(ctx context.Context, fleet *localfleet.Fleet, b *balancer, leaving *localfleet.RunningHost) error

// drainGracefully stops a host as a signal does. The balancer learns of it
// late.
func drainGracefully(ctx context.Context, fleet *localfleet.Fleet, b *balancer, leaving *localfleet.RunningHost) error {
	var without []string
	for _, running := range fleet.Hosts {
		if running != leaving && !running.Stopped() {
			without = append(without, running.CallerAddress())
		}
	}
	seen := time.AfterFunc(balancerLag, func() { b.ready.Store(&without) })
	defer seen.Stop()
	return fleet.DrainHost(ctx, leaving)
}

// killAfterWait takes a host out of the balancer and kills it after a fixed
// time.
func killAfterWait(ctx context.Context, fleet *localfleet.Fleet, b *balancer, leaving *localfleet.RunningHost) error {
	b.set(fleet, leaving)
	if err := task.Sleep(ctx, fixedWait); err != nil {
		return err
	}
	fleet.KillHost(leaving)
	return nil
}

// Drain measures requests that are cut off while all hosts of a dozen are
// replaced one after the other.
func Drain(ctx context.Context, seed uint64) ([]measure.Row, error) {
	rows := rowsOf("drain")
	for _, way := range []struct {
		name    string
		replace replacement
	}{{measure.Product, drainGracefully}, {"kill-after-wait", killAfterWait}} {
		outcomes, took, err := runDrain(ctx, seed, way.replace)
		if err != nil {
			return nil, err
		}
		rows.addFor(way.name, "requests cut", count(outcomes, lost)+count(outcomes, wrong), "requests", measure.AtMost(0))
		rows.add(way.name, "requests", float64(len(outcomes)), "requests", nil)
		rows.add(way.name, "refused before it ran", count(outcomes, refused), "requests", nil)
		rows.add(way.name, "time to replace all hosts", took.Seconds(), "s", nil)
	}
	return rows.list, nil
}

func runDrain(ctx context.Context, seed uint64, replace replacement) (outcomes []outcome, took time.Duration, err error) {
	l := drainLayout()
	f, err := productVariant.start(ctx, l)
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.Join(err, f.stop()) }()
	b := &balancer{}
	b.set(f.fleet, nil)
	load := demand{rate: func(time.Duration) float64 { return drainRate }, peak: drainRate, length: drainLength, tokens: drainTokens}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	played := make(chan []outcome, 1)
	go func() {
		played <- play(sending, load.jobs(seed), b.enter, func(*job) time.Duration { return drainDeadline })
	}()
	started := time.Now()
	err = replaceAll(ctx, f.fleet, b, replace)
	took = time.Since(started)
	stop()
	return <-played, took, err
}

// replaceAll ends each host and starts its successor before the next.
func replaceAll(ctx context.Context, fleet *localfleet.Fleet, b *balancer, replace replacement) error {
	for _, leaving := range append([]*localfleet.RunningHost(nil), fleet.Hosts...) {
		if err := replace(ctx, fleet, b, leaving); err != nil {
			return err
		}
		if err := restart(ctx, fleet, leaving.Name, leaving.Zone); err != nil {
			return err
		}
		b.set(fleet, nil)
	}
	return nil
}

func restart(ctx context.Context, fleet *localfleet.Fleet, name core.HostID, zone core.ZoneName) error {
	if _, err := fleet.StartHost(name, zone); err != nil {
		return err
	}
	return fleet.WaitReady(ctx)
}
