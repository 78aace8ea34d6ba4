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
	// drainStepTime and drainMaxTokens give answers of half a second to one second.
	drainStepTime  = 20 * time.Millisecond
	drainMaxTokens = 50
	drainRate      = 60.0
	drainDeadline  = 10 * time.Second
	// drainMaxDuration bounds the load, which ends when all hosts are replaced.
	drainMaxDuration = 40 * time.Second
	// balancerLag is the delay until the platform's balancer sees that a host is
	// not ready. The hosts of the local fleet wait 200 ms for it.
	balancerLag = 100 * time.Millisecond
	// killDelay is how long the baseline lets a host finish requests before it is
	// killed: the mean duration of an answer.
	killDelay = 750 * time.Millisecond
)

func drainLayout() *layout {
	return &layout{
		zones: 3, hostsPerZone: 4, engines: 6, deadline: drainDeadline, longDeadline: drainDeadline,
		engine: upstreamstandin.EngineSettings{StepTime: drainStepTime, MaxRunning: 64},
	}
}

// balancer distributes jobs over the hosts that were ready at its last update.
type balancer struct {
	ready atomic.Pointer[[]string]
}

func (b *balancer) setReady(fleet *localfleet.Fleet, excluded *localfleet.RunningHost) {
	var addresses []string
	for _, running := range fleet.Hosts {
		if running != excluded && !running.Stopped() {
			addresses = append(addresses, running.CallerAddress())
		}
	}
	b.ready.Store(&addresses)
}

func (b *balancer) pick(j *job) string {
	addresses := *b.ready.Load()
	return addresses[int(j.hostRandom)%len(addresses)]
}

// stopFunc stops a host that is to be replaced.
type stopFunc func(ctx context.Context, fleet *localfleet.Fleet, b *balancer, leaving *localfleet.RunningHost) error

// drainGracefully drains a host as a signal does. The balancer learns of it after
// balancerLag.
func drainGracefully(ctx context.Context, fleet *localfleet.Fleet, b *balancer, leaving *localfleet.RunningHost) error {
	var without []string
	for _, running := range fleet.Hosts {
		if running != leaving && !running.Stopped() {
			without = append(without, running.CallerAddress())
		}
	}
	update := time.AfterFunc(balancerLag, func() { b.ready.Store(&without) })
	defer update.Stop()
	return fleet.DrainHost(ctx, leaving)
}

// killAfterWait removes a host from the balancer and kills it after killDelay.
func killAfterWait(ctx context.Context, fleet *localfleet.Fleet, b *balancer, leaving *localfleet.RunningHost) error {
	b.setReady(fleet, leaving)
	if err := task.Sleep(ctx, killDelay); err != nil {
		return err
	}
	fleet.KillHost(leaving)
	return nil
}

// Drain measures the requests that are cut off during a rolling replacement of
// twelve hosts.
func Drain(ctx context.Context, seed uint64) ([]measure.Row, error) {
	rows := newRowList("drain")
	for _, method := range []struct {
		name string
		stop stopFunc
	}{{measure.Product, drainGracefully}, {"kill-after-wait", killAfterWait}} {
		outcomes, elapsed, err := runDrain(ctx, seed, method.stop)
		if err != nil {
			return nil, err
		}
		rows.addFor(method.name, "requests cut", count(outcomes, lost)+count(outcomes, wrong), "requests", measure.AtMost(0))
		rows.add(method.name, "requests", float64(len(outcomes)), "requests", nil)
		rows.add(method.name, "refused before it ran", count(outcomes, refused), "requests", nil)
		rows.add(method.name, "time to replace all hosts", elapsed.Seconds(), "s", nil)
	}
	return rows.list, nil
}

func runDrain(ctx context.Context, seed uint64, stop stopFunc) (outcomes []outcome, elapsed time.Duration, err error) {
	l := drainLayout()
	d, err := productVariant.start(ctx, l)
	if err != nil {
		return nil, 0, err
	}
	defer func() { err = errors.Join(err, d.stop()) }()
	b := &balancer{}
	b.setReady(d.fleet, nil)
	load := demand{rate: func(time.Duration) float64 { return drainRate }, peakRate: drainRate, duration: drainMaxDuration, maxTokens: drainMaxTokens}
	sendCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	sent := make(chan []outcome, 1)
	go func() {
		sent <- sendAll(sendCtx, load.jobs(seed), b.pick, func(*job) time.Duration { return drainDeadline })
	}()
	started := time.Now()
	err = replaceAll(ctx, d.fleet, b, stop)
	elapsed = time.Since(started)
	stopSending()
	return <-sent, elapsed, err
}

// replaceAll replaces the hosts one by one. It waits until the fleet is ready
// before it stops the next one.
func replaceAll(ctx context.Context, fleet *localfleet.Fleet, b *balancer, stop stopFunc) error {
	for _, leaving := range append([]*localfleet.RunningHost(nil), fleet.Hosts...) {
		if err := stop(ctx, fleet, b, leaving); err != nil {
			return err
		}
		if err := startReplacement(ctx, fleet, leaving.Name, leaving.Zone); err != nil {
			return err
		}
		b.setReady(fleet, nil)
	}
	return nil
}

func startReplacement(ctx context.Context, fleet *localfleet.Fleet, name core.HostID, zone core.ZoneName) error {
	if _, err := fleet.StartHost(name, zone); err != nil {
		return err
	}
	return fleet.WaitReady(ctx)
}
