package opaque

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/eventlog"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/relay"
	"github.com/peridotreel/peridotreel/internal/tasks/owners"
)

// The outcomes of requests other than the kinds of refusal.
const (
	// outcomeAnswered is that of a request that got an upstream's answer.
	outcomeAnswered = "answered"
	// outcomeUndelivered is that of a request of which the answer or refusal could not be
	// written whole, though its caller had not closed the connection.
	outcomeUndelivered = "undelivered"
)

// outcomeOf returns the outcome of a request, from its refusal, nil for none, and its end.
func outcomeOf(refusal *gateway.Refusal, ending gateway.Ending) string {
	switch {
	case ending.End == gateway.EndCallerGone:
		return string(gateway.CallerGone)
	case ending.End == gateway.EndAnswered, ending.End == gateway.EndUpstreamFailure:
		return outcomeAnswered
	case refusal != nil && (ending.End == gateway.EndRefused || ending.Cause == refusal.Cut):
		return string(refusal.Kind)
	default:
		return outcomeUndelivered
	}
}

// report logs the decisions on the request and how it ended, and records its summary.
func (r *requestRun) report(ctx context.Context, err error, ending gateway.Ending) {
	total := r.pipeline.Now().Sub(r.request.Arrived)
	var refusal *gateway.Refusal
	_ = errors.As(err, &refusal)
	outcome := outcomeOf(refusal, ending)
	summary := Summary{Outcome: outcome, Total: total, Attempts: len(r.attempts)}
	fields := []zap.Field{
		zap.String("event", "request_done"), zap.String("request", r.request.ID), zap.String("outcome", outcome),
		zap.String("end", string(ending.End)), zap.String("end_cause", string(ending.Cause)), zap.Int64("total_ms", total.Milliseconds()),
	}
	if r.matched != nil {
		summary.Route = r.matched.Route.Name
		fields = append(fields, zap.String("route", r.matched.Route.Name), zap.String("service", string(r.matched.Service.Name)),
			zap.Int64("config_version", r.matched.ConfigState.Config.Version), zap.Int64("config_age_ms", r.matched.ConfigState.Age.Milliseconds()),
			zap.Int64("time_ms", r.matched.Deadline.Sub(r.request.Arrived).Milliseconds()))
		if r.matched.Team != nil {
			summary.Team = r.matched.Team.Name
			fields = append(fields, zap.String("team", string(r.matched.Team.Name)))
		}
	}
	if r.reserved.Amount > 0 {
		fields = append(fields, zap.Int64("reserved", int64(r.reserved.Amount)), zap.String("balance", string(r.reserved.Grant.Outcome)),
			zap.Int64("available", int64(r.reserved.Grant.Available)), zap.Int64("unallocated", int64(r.reserved.Grant.Unallocated)),
			zap.Int64("unsure", int64(r.reserved.Grant.Unsure)), zap.Bool("store_away", r.reserved.Grant.StoreAway),
			zap.Int64("elsewhere", int64(r.reserved.Grant.Elsewhere)), zap.Int64("prepaid", int64(r.reserved.Grant.Prepaid)), zap.Int64("spent", int64(r.spent)),
			zap.Int64("ledger_version", r.reserved.Grant.Version), zap.String("owner", string(r.reserved.Owner.Host)))
	}
	if refusal != nil && (refusal.Kind == gateway.BalanceUnavailable || refusal.Kind == gateway.BalanceSpent) && r.reserved.Refusal != nil {
		summary.RefusalCause = r.reserved.Refusal.Cause
		fields = append(fields, refusalFields(r.reserved.Refusal)...)
	}
	if r.request.ResumeAfter != "" {
		fields = append(fields, zap.String("resumes", r.request.Resumes), zap.String("resume_after", r.request.ResumeAfter))
	}
	if len(r.attempts) > 0 {
		fields = append(fields, zap.String("attempts", r.describeAttempts()))
	}
	if r.notRepeated != nil {
		fields = append(fields, zap.String("not_repeated", r.notRepeated.Error()))
	}
	if !r.progress.FirstEvent.IsZero() {
		summary.FirstEvent = r.progress.FirstEvent.Sub(r.request.Arrived)
		fields = append(fields, zap.Int64("first_event_ms", summary.FirstEvent.Milliseconds()),
			zap.Int("events", r.progress.Events), zap.Int64("longest_pause_ms", r.progress.LongestPause.Milliseconds()))
	}
	if r.lostAttempt() {
		fields = append(fields, zap.String("fingerprint", r.matched.Fingerprint))
		if parts := r.sharedParts(); parts != "" {
			fields = append(fields, zap.String("prompt_parts", parts))
		}
	}
	r.logOutcome(outcome, refusal, ending, fields)
	r.pipeline.Recorder.Done(ctx, summary)
}

// refusalFields returns the fields that tell why tokens could not be reserved.
func refusalFields(refused *owners.Refusal) []zap.Field {
	fields := []zap.Field{zap.String("cause", string(refused.Cause))}
	for _, part := range refused.Parts.Named() {
		fields = append(fields, zap.Int64("part_"+part.Name, int64(part.Tokens)))
	}
	return fields
}

// logOutcome selects the message by outcome, because log lines are sampled by
// message: successful requests must not displace failures. Lost requests are not sampled
// with others.
func (r *requestRun) logOutcome(outcome string, refusal *gateway.Refusal, ending gateway.Ending, fields []zap.Field) {
	if refusal != nil {
		fields = append(fields, zap.String("reason", refusal.Message))
	}
	switch {
	case ending.End.Lost():
		eventlog.Losses(r.pipeline.Log).Warn("request ended without a whole answer", fields...)
	case refusal != nil:
		r.pipeline.Log.Warn("request "+outcome, fields...)
	case r.failureAnswer != nil && r.lastOutcome.Ending != relay.Delivered:
		r.pipeline.Log.Info("request answered with an upstream's failure", append(fields, zap.Int("status", r.failureAnswer.Head.Status))...)
	case len(r.attempts) > 1:
		r.pipeline.Log.Info("request answered after a retry", fields...)
	default:
		r.pipeline.Log.Info("request answered", fields...)
	}
}

// maxLoggedParts limits the prompt parts named in a log line.
const maxLoggedParts = 8

// sharedParts formats the ids of the prompt parts that other requests may have
// in common.
func (r *requestRun) sharedParts() string {
	if r.request.Prompt == nil {
		return ""
	}
	var ids []string
	for _, part := range r.request.Prompt.SharedParts() {
		if len(ids) == maxLoggedParts {
			break
		}
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// lostAttempt reports whether an attempt ended without a whole answer.
func (r *requestRun) lostAttempt() bool {
	return slices.ContainsFunc(r.attempts, func(a attemptRecord) bool { return a.ending == relay.Broke })
}

// loggedSendDelay is the time before an attempt is sent from which it is logged. The
// upstream may have said meanwhile that it leaves.
const loggedSendDelay = 50 * time.Millisecond

// describeAttempts formats the attempts on one line.
func (r *requestRun) describeAttempts() string {
	var out strings.Builder
	for i, attempt := range r.attempts {
		if i > 0 {
			out.WriteString("; ")
		}
		fmt.Fprintf(&out, "%s %s", attempt.upstream, attempt.ending)
		if attempt.status != 0 {
			fmt.Fprintf(&out, " %d", attempt.status)
		}
		if attempt.events > 0 {
			fmt.Fprintf(&out, " after %d events", attempt.events)
		}
		fmt.Fprintf(&out, " in %s, cost %.0f", attempt.duration.Round(time.Millisecond), attempt.cost)
		if attempt.sentAfter >= loggedSendDelay {
			fmt.Fprintf(&out, ", sent after %s", attempt.sentAfter.Round(time.Millisecond))
		}
		if attempt.affinity {
			out.WriteString(", home")
		}
		if attempt.software != "" {
			fmt.Fprintf(&out, ", software %s", attempt.software)
		}
		switch {
		case attempt.tunnelled:
			out.WriteString(", new connection through another host")
		case attempt.newConnection:
			out.WriteString(", new connection")
		}
		if attempt.err != nil {
			fmt.Fprintf(&out, ", %v", attempt.err)
		}
	}
	return out.String()
}
