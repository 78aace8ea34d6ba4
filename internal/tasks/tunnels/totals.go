package tunnels

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// Totals returns the counts of both tasks of a host for its metrics.
func Totals(ctx context.Context, client *Client, server *Server) (telemetry.TunnelTotals, error) {
	own, err := client.Totals(ctx)
	if err != nil {
		return telemetry.TunnelTotals{}, err
	}
	peers, err := server.Totals(ctx)
	if err != nil {
		return telemetry.TunnelTotals{}, err
	}
	totals := telemetry.TunnelTotals{
		OwnOpen: own.Open, PeersOpen: peers.Open, OwnRequests: make(map[string]int64), PeersRequests: make(map[string]int64),
	}
	for result, count := range own.Tried {
		totals.OwnRequests[result.String()] += count
	}
	for status, count := range peers.Answered {
		totals.PeersRequests[status.String()] += count
	}
	return totals, nil
}
