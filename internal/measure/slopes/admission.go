package slopes

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"runtime"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/admission"
	"github.com/peridotreel/peridotreel/internal/decide/upstreams"
	"github.com/peridotreel/peridotreel/internal/tasks/admitter"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// admissions measures the admission queues by the number of teams that a host
// has seen.
func admissions(ctx context.Context, options Options) ([]Point, error) {
	const requests = 50_000
	now := time.Unix(1_800_000_000, 0)
	var points []Point
	for _, count := range []int{10, 100, 1000, designTeams} {
		teams := make([]*core.TeamRow, count)
		for i := range teams {
			teams[i] = &core.TeamRow{
				Team: core.TeamName(fmt.Sprintf("team-%05d", i)), Version: 1, Weight: 1 + i%5, MaxInFlight: 1000,
				TokensPerSecond: 1_000_000_000, QueueLength: 1000, Deadline: time.Minute,
			}
		}
		controller, heapBytes := heapOf(func() *admission.Controller {
			controller := admission.NewController()
			now, _ = runRequests(controller, teams, len(teams), now)
			return controller
		})
		var refused int
		requestMicros := microsPerOperation(options.Repeats, requests, func() { now, refused = runRequests(controller, teams, requests, now) })
		demandsMicros := microsPerOperation(options.Repeats, 1, func() { runtime.KeepAlive(controller.Demands(now)) })
		points = append(points,
			Point{"admission", "teams", float64(count), "processor time per request", requestMicros, "µs"},
			Point{"admission", "teams", float64(count), "refused requests", float64(refused), "requests"},
			Point{"admission", "teams", float64(count), "processor time per list of demands", demandsMicros, "µs"},
			Point{"admission", "teams", float64(count), "heap of the queues", heapBytes, "B"})
	}
	for _, count := range []int{1, 10, 64} {
		points = append(points, Point{"admission", "teams in an exchange", float64(count), "size of an exchange of demands", exchangeSize(count), "B"})
	}
	return points, ctx.Err()
}

// exchangeSize returns the gob-encoded size of an exchange of demands and of the
// grants that answer it, without the framing of net/rpc.
func exchangeSize(count int) float64 {
	demands := make([]admission.Demand, count)
	for i := range demands {
		demands[i] = admission.Demand{Team: core.TeamName(fmt.Sprintf("team-%05d", i)), Part: 1 / float64(i+3)}
	}
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	for _, message := range []any{admitter.Exchange{From: "host-001", Demands: demands}, admitter.Grants{Parts: demands}} {
		if err := encoder.Encode(message); err != nil {
			return 0
		}
	}
	return float64(encoded.Len())
}

// runRequests sends requests of all teams in turn through the queues and keeps
// some of them running. It returns the time at which the last one ended and the
// number of refused requests.
func runRequests(controller *admission.Controller, teams []*core.TeamRow, requests int, now time.Time) (end time.Time, refused int) {
	const inFlight = 20
	var running []admission.Ticket
	for i := range requests {
		now = now.Add(time.Millisecond)
		ticket, refusal := controller.Enter(now, admission.Request{
			Team: teams[i%len(teams)], Pool: upstreams.Pool{Model: modelName(i)},
			Estimate: requestCost, Deadline: now.Add(time.Minute),
		})
		controller.Granted()
		if refusal != nil {
			refused++
			continue
		}
		running = append(running, ticket)
		if len(running) > inFlight {
			controller.Leave(now, running[0], requestCost)
			running = running[1:]
		}
	}
	for _, ticket := range running {
		controller.Leave(now, ticket, requestCost)
	}
	controller.Granted()
	return now, refused
}

// metrics measures the request histograms by the number of pairs of team and
// class.
func metrics(ctx context.Context, options Options) ([]Point, error) {
	const classes = 4
	var points []Point
	for _, pairs := range []int{100, 1000, 4000, designTeams, designTeams * classes} {
		var failure error
		record := func(requests *telemetry.RequestHistograms) {
			for i := range pairs {
				requests.Record(core.TeamName(fmt.Sprintf("team-%05d", i/classes)), core.ClassName(fmt.Sprintf("class-%d", i%classes)),
					"answered", time.Second, time.Second)
			}
		}
		var requests *telemetry.RequestHistograms
		meters, heapBytes := heapOf(func() *telemetry.Telemetry {
			meters, err := telemetry.New()
			if err != nil {
				failure = err
				return nil
			}
			if requests, failure = telemetry.NewRequestHistograms(meters.Meter()); failure == nil {
				record(requests)
			}
			return meters
		})
		if failure != nil {
			return points, failure
		}
		requestMicros := microsPerOperation(options.Repeats, pairs, func() { record(requests) })
		if err := meters.Shutdown(ctx); err != nil {
			return points, err
		}
		points = append(points,
			Point{"metrics", "pairs of team and class", float64(pairs), "heap of the histograms", heapBytes, "B"},
			Point{"metrics", "pairs of team and class", float64(pairs), "processor time per request", requestMicros, "µs"})
	}
	return points, ctx.Err()
}
