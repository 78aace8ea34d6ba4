package director

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/retrybudget"
	"github.com/peridotreel/peridotreel/internal/task"
)

// RetryTotals counts the decisions on retries to a service since the start.
type RetryTotals struct{ Allowed, Refused uint64 }

// serviceRetries is what this host knows of the retries to one service.
type serviceRetries struct {
	budget retrybudget.Budget
	totals RetryTotals
	// lastRefused is when a retry was refused for the last time.
	lastRefused time.Time
	// exhausted is true from a refused retry until none was refused for a window.
	exhausted bool
	// refusedBefore is the number of refusals at the latest log line.
	refusedBefore uint64
}

type getRetryTotals struct {
	reply chan<- map[core.ServiceName]RetryTotals
}

// RetryTotals returns the decisions on retries by service.
func (d *Director) RetryTotals(ctx context.Context) (map[core.ServiceName]RetryTotals, error) {
	return task.Ask(ctx, d.inbox, func(reply chan<- map[core.ServiceName]RetryTotals) any { return getRetryTotals{reply} })
}

func (d *Director) retryTotals() map[core.ServiceName]RetryTotals {
	totals := make(map[core.ServiceName]RetryTotals, len(d.retries))
	for name, service := range d.retries {
		totals[name] = service.totals
	}
	return totals
}

// retriesOf returns what is known of the retries to a service.
func (d *Director) retriesOf(name core.ServiceName) *serviceRetries {
	service, found := d.retries[name]
	if !found {
		service = &serviceRetries{}
		d.retries[name] = service
	}
	return service
}

// allowRetry reports whether the retry budget of a service allows a retry, and counts it.
func (d *Director) allowRetry(name core.ServiceName, now time.Time) bool {
	service, slack := d.retriesOf(name), d.retryShare.Slack(d.config.RetryBound, now)
	if service.budget.AllowRetry(d.config.RetryBound, slack, now) {
		service.totals.Allowed++
		return true
	}
	service.totals.Refused++
	service.lastRefused = now
	if !service.exhausted {
		service.exhausted = true
		usage := service.budget.Usage(d.config.RetryBound, slack, now)
		d.config.Log.Warn("the retry budget of a service is used up; failed requests are not sent again",
			zap.String("event", "retry_budget_exhausted"), zap.String("service", string(name)),
			zap.Int("requests", usage.Requests), zap.Int("retries", usage.Retries), zap.Float64("retries_allowed", usage.Allowed),
			zap.Int("hosts", d.retryShare.Hosts(d.config.RetryBound, now)), zap.Bool("hosts_listed", d.hostsListed), zap.Duration("process_age", now.Sub(d.startup.began)))
	}
	return false
}

// logRegainedRetries logs the services whose retry budget has refused nothing for a window.
func (d *Director) logRegainedRetries() {
	now := d.config.Now()
	for name, service := range d.retries {
		if !service.exhausted || now.Sub(service.lastRefused) < d.config.RetryBound.Window {
			continue
		}
		service.exhausted = false
		d.config.Log.Info("the retry budget of a service allows retries again",
			zap.String("event", "retry_budget_regained"), zap.String("service", string(name)),
			zap.Uint64("retries_refused", service.totals.Refused-service.refusedBefore))
		service.refusedBefore = service.totals.Refused
	}
}
