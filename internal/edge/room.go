package edge

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/decide/room"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// roomTotals returns the decisions on room at engines under the names of the metrics.
func roomTotals(ctx context.Context, d *director.Director) (telemetry.RoomTotals, error) {
	current, err := d.RoomTotals(ctx)
	if err != nil {
		return telemetry.RoomTotals{}, err
	}
	totals := telemetry.RoomTotals{Short: current.Short, Pressure: current.Pressure, FreePerSecond: current.FreePerSecond, Dismissed: current.Dismissed[:]}
	for rank := range room.Ranks {
		results := map[string]uint64{"sent": current.Sent[rank], "returned": current.Returned[rank]}
		for cause, count := range current.Refused[rank] {
			if room.Cause(cause) != room.None {
				results["refused_"+room.Causes[cause]] = count
			}
		}
		totals.Decisions = append(totals.Decisions, results)
	}
	return totals, nil
}
