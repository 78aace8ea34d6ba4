package upstream

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// LoadReport is the load that an upstream reports; it may be out of date.
type LoadReport struct {
	Upstream    core.UpstreamID
	Incarnation core.Incarnation
	// Leaving is true if the upstream must not be sent new work.
	Leaving    bool
	Running    int
	Waiting    int
	MaxRunning int
	// KVUsed and KVTotal are the used and the total size of the KV cache in
	// tokens.
	KVUsed  core.Tokens
	KVTotal core.Tokens
	// TokensPerSecond is the recent rate of generated tokens.
	TokensPerSecond float64
	// MeasuredAt is the time of the measurement on the upstream's clock.
	MeasuredAt time.Time
}

func decodeLoad(report wire.Load) LoadReport {
	return LoadReport{
		Upstream: core.UpstreamID(report.Upstream), Incarnation: core.Incarnation(report.Incarnation),
		Leaving: report.Leaving, Running: report.Running, Waiting: report.Waiting, MaxRunning: report.MaxRunning,
		KVUsed: core.Tokens(report.KVUsed), KVTotal: core.Tokens(report.KVTotal),
		TokensPerSecond: report.TokensPerSecond, MeasuredAt: report.MeasuredAt,
	}
}
