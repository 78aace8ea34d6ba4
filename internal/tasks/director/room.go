package director

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/room"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
)

// Caller is what the decision on room at engines needs to know of a request's caller.
type Caller struct {
	// Route is the route's name, Rank the urgency, and Team "" on public routes.
	Route string
	Rank  int
	Team  core.TeamName
	// Left is the time left until the request's deadline, Arrived what it was when the
	// request arrived.
	Left, Arrived time.Duration
}

// RoomTotals are the decisions on room at engines since the start, and the present state.
type RoomTotals struct {
	room.Counts
	room.State
}

type getRoomTotals struct{ reply chan<- RoomTotals }

// RoomTotals returns the decisions on room at engines.
func (d *Director) RoomTotals(ctx context.Context) (RoomTotals, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- RoomTotals) any { return getRoomTotals{reply} })
}

// saturated decides whether a request is refused for want of room at engines, and returns
// the answer then. Retries are sent in any case. A further attempt of a request that was
// sent to no upstream was decided on before, so that only its expected wait counts.
func (d *Director) saturated(request PlacementRequest, choice placement.Choice, now time.Time) (Placed, bool) {
	if request.MaxWait <= 0 || request.Retry || request.Prompt == nil || request.Engine == nil {
		return Placed{}, false
	}
	if !request.First {
		return Placed{Outcome: Saturated, RetryAfter: saturatedDelay * choice.Wait}, choice.Wait > request.MaxWait
	}
	verdict := d.room.Decide(room.Request{
		Kind: request.Caller.Route, Rank: request.Caller.Rank, Team: request.Caller.Team, Tokens: request.Prompt.Input + request.Prompt.MaxOutput,
		Wait: choice.Wait, MaxWait: request.MaxWait, Busy: d.busy(request, choice, now), Left: request.Caller.Left, Arrived: request.Caller.Arrived,
	}, now)
	return Placed{Outcome: Saturated, RetryAfter: verdict.ReturnIn, NoReturn: verdict.ReturnIn == 0, Cause: verdict.Cause}, !verdict.Send
}

// busy reports whether a chosen engine has no free slot. It is not looked for below a wait
// that decides nothing.
func (d *Director) busy(request PlacementRequest, choice placement.Choice, now time.Time) bool {
	if choice.Wait < time.Duration(room.ShortFraction*float64(request.MaxWait)) {
		return false
	}
	occupancy, known := d.balancer.Occupancy(choice.Upstream.ID, now)
	slots := occupancy.Slots
	if slots == 0 {
		slots = request.Engine.Slots
	}
	return known && occupancy.Total >= slots
}

// beginRoom records an attempt at an engine.
func (d *Director) beginRoom(request PlacementRequest, now time.Time) {
	if request.Prompt != nil && request.Engine != nil {
		d.room.Began(d.lastAttempt, request.Caller.Route, request.Caller.Rank, now)
	}
}

// observeRoom records that an attempt has started or ended.
func (d *Director) observeRoom(m Observation, now time.Time) {
	switch m.Signal {
	case placement.Started, placement.Progressed:
		d.room.Started(m.Attempt)
	case placement.Stalled, placement.Connected:
		// The attempt goes on.
	default:
		d.room.Ended(m.Attempt, now)
	}
}

// configureRoom forgets routes and teams that the configuration lacks.
func (d *Director) configureRoom(config *gateway.Config) {
	d.room.Configure(func(name string) bool {
		return slices.ContainsFunc(config.Routes, func(route gateway.Route) bool { return route.Name == name })
	}, func(name core.TeamName) bool { return config.Teams[name] != nil })
}

// tickRoom logs when room at engines becomes short, and when it no longer is.
func (d *Director) tickRoom(now time.Time) {
	state, changed := d.room.Tick(now)
	if !changed {
		return
	}
	fields := []zap.Field{
		zap.Float64("free_per_second", state.FreePerSecond), zap.Float64("pressure", state.Pressure), zap.String("team", string(state.Team)),
	}
	counts := d.room.Counts()
	for rank, refused := range counts.Refused {
		for cause, count := range refused {
			if count > d.roomLogged.Refused[rank][cause] {
				fields = append(fields, zap.Uint64("refused_"+room.Causes[cause]+"_"+string(rune('0'+rank)), count-d.roomLogged.Refused[rank][cause]))
			}
		}
	}
	d.roomLogged = counts
	if state.Short {
		d.config.Log.Warn("engines have no room for all requests; some are refused", append(fields, zap.String("event", "room_short"))...)
		return
	}
	d.config.Log.Info("engines have room again", append(fields, zap.String("event", "room_enough"))...)
}
