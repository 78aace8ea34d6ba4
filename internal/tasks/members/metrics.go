package members

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
)

type metrics struct {
	dropped, changes metric.Int64Counter
}

func newMetrics(t *Task) metrics {
	meter := t.config.Meter
	if meter == nil {
		meter = noop.Meter{}
	}
	var m metrics
	var errs [3]error
	m.dropped, errs[0] = meter.Int64Counter("peridotreel_members_gossip_dropped",
		metric.WithDescription("Messages of peers dropped because the inbox was full."))
	m.changes, errs[1] = meter.Int64Counter("peridotreel_members_changes",
		metric.WithDescription("Changes of the state of other hosts, by new state."))
	_, errs[2] = meter.Int64ObservableGauge("peridotreel_members",
		metric.WithDescription("Other hosts known, by state."),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			counts := make(map[core.PeerState]int64)
			for _, peer := range t.Peers().Peers {
				counts[peer.State]++
			}
			for _, state := range []core.PeerState{core.PeerAlive, core.PeerSuspect, core.PeerLeaving, core.PeerDead} {
				observer.Observe(counts[state], metric.WithAttributes(attribute.String("state", state.String())))
			}
			return nil
		}))
	for _, err := range errs {
		if err != nil {
			t.config.Log.Error("could not create a membership metric", zap.Error(err))
		}
	}
	return m
}

func (m *metrics) changed(state core.PeerState) {
	m.changes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("state", state.String())))
}
