package opaque

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/relay"
)

// outcomeAnswered is the outcome of a request with an upstream's answer; other
// outcomes are kinds of refusal.
const outcomeAnswered = "answered"

// report writes the line of the request's decisions and its summary.
func (p *passage) report(ctx context.Context, err error) {
	total := p.line.Now().Sub(p.request.Arrived)
	outcome := outcomeAnswered
	var refusal *gateway.Refusal
	if errors.As(err, &refusal) {
		outcome = string(refusal.Kind)
	}
	summary := Summary{Outcome: outcome, Total: total, Attempts: len(p.trail)}
	fields := []zap.Field{
		zap.String("event", "request_done"), zap.String("request", p.request.ID), zap.String("outcome", outcome),
		zap.Int64("total_ms", total.Milliseconds()),
	}
	if p.matched != nil {
		summary.Route = p.matched.Route.Name
		fields = append(fields, zap.String("route", p.matched.Route.Name), zap.String("service", string(p.matched.Service.Name)),
			zap.Int64("config_version", p.matched.ConfigState.Config.Version), zap.Int64("config_age_ms", p.matched.ConfigState.Age.Milliseconds()),
			zap.Int64("time_ms", p.matched.Deadline.Sub(p.request.Arrived).Milliseconds()))
		if p.matched.Team != nil {
			summary.Team = p.matched.Team.Name
			fields = append(fields, zap.String("team", string(p.matched.Team.Name)))
		}
	}
	if p.reserved.Amount > 0 {
		fields = append(fields, zap.Int64("reserved", int64(p.reserved.Amount)), zap.String("balance", string(p.reserved.Grant.Outcome)),
			zap.Int64("available", int64(p.reserved.Grant.Available)), zap.Int64("unallocated", int64(p.reserved.Grant.Unallocated)),
			zap.Int64("unsure", int64(p.reserved.Grant.Unsure)), zap.Bool("store_away", p.reserved.Grant.StoreAway),
			zap.Int64("elsewhere", int64(p.reserved.Grant.Elsewhere)), zap.Int64("prepaid", int64(p.reserved.Grant.Prepaid)), zap.Int64("spent", int64(p.spent)),
			zap.Int64("ledger_version", p.reserved.Grant.Version), zap.String("owner", string(p.reserved.Owner.Host)))
	}
	if len(p.trail) > 0 {
		fields = append(fields, zap.String("attempts", p.describeTrail()))
	}
	if !p.progress.FirstEvent.IsZero() {
		summary.FirstEvent = p.progress.FirstEvent.Sub(p.request.Arrived)
		fields = append(fields, zap.Int64("first_event_ms", summary.FirstEvent.Milliseconds()),
			zap.Int("events", p.progress.Events), zap.Int64("longest_pause_ms", p.progress.LongestPause.Milliseconds()))
	}
	p.write(outcome, refusal, fields)
	p.line.Recorder.Done(ctx, summary)
}

// write chooses the message by outcome, because lines are sampled by message:
// ordinary answers must not displace failures.
func (p *passage) write(outcome string, refusal *gateway.Refusal, fields []zap.Field) {
	switch {
	case refusal != nil:
		p.line.Log.Warn("request "+outcome, append(fields, zap.String("reason", refusal.Message))...)
	case p.failure != nil && p.last.Ending != relay.Delivered:
		p.line.Log.Info("request answered with an upstream's failure", append(fields, zap.Int("status", p.failure.Head.Status))...)
	case len(p.trail) > 1:
		p.line.Log.Info("request answered after a repeat", fields...)
	default:
		p.line.Log.Info("request answered", fields...)
	}
}

// describeTrail renders the attempts on one line.
func (p *passage) describeTrail() string {
	var out strings.Builder
	for i, step := range p.trail {
		if i > 0 {
			out.WriteString("; ")
		}
		fmt.Fprintf(&out, "%s %s", step.upstream, step.ending)
		if step.status != 0 {
			fmt.Fprintf(&out, " %d", step.status)
		}
		fmt.Fprintf(&out, " in %s, cost %.0f", step.took.Round(time.Millisecond), step.cost)
		if step.home {
			out.WriteString(", home")
		}
		if step.fresh {
			out.WriteString(", new connection")
		}
		if step.err != nil {
			fmt.Fprintf(&out, ", %v", step.err)
		}
	}
	return out.String()
}
