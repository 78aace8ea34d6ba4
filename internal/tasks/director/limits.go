package director

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// loggedLimitChange is the relative change of an upstream's limit from which the
// change is logged.
const loggedLimitChange = 0.2

// observeHead records what the head of an answer tells about its upstream.
func (d *Director) observeHead(upstream core.UpstreamID, head *gateway.AnswerHead, now time.Time) {
	if head.Load != nil {
		d.balancer.ObserveLoad(upstream, *head.Load, now)
	}
	if head.WrongInstance {
		return
	}
	known, limited := d.requestLimits[upstream]
	switch {
	case head.RequestLimit == nil && limited:
		delete(d.requestLimits, upstream)
		d.config.Log.Info("upstream names no request limit any more", zap.String("event", "upstream_unlimited"),
			zap.String("upstream", string(upstream)), zap.Float64("earlier_per_second", known))
	case head.RequestLimit != nil && (!limited || math.Abs(*head.RequestLimit-known) > loggedLimitChange*known):
		d.requestLimits[upstream] = *head.RequestLimit
		d.config.Log.Info("upstream names a request limit", zap.String("event", "upstream_limited"),
			zap.String("upstream", string(upstream)), zap.Float64("per_second", *head.RequestLimit))
	}
}
