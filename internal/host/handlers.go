package host

import (
	"net/http"

	"github.com/peridotreel/peridotreel/internal/admin"
	"github.com/peridotreel/peridotreel/internal/api"
	"github.com/peridotreel/peridotreel/internal/decide/claims"
	"github.com/peridotreel/peridotreel/internal/filter/admit"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/filter/claim"
	"github.com/peridotreel/peridotreel/internal/filter/classify"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/reserve"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/pipeline"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// line composes the pipeline over the host's tasks.
func (h *Host) line() *pipeline.Pipeline {
	t := h.tasks
	return &pipeline.Pipeline{
		Filters: pipeline.Filters{
			Authenticate: authenticate.New(t.teams),
			Classify:     classify.New(t.teams, t.balancer),
			Claim:        claim.New(t.claimant, claims.ValidateKey),
			Admit:        admit.New(t.admitter),
			Reserve:      reserve.New(t.shares),
			Route:        route.New(t.balancer),
			Attempt:      attempt.New(t.upstream),
			Relay:        relay.New(h.options.Now),
			Settle:       settle.New(t.shares, t.bills),
		},
		Registry: t.calls,
		Backlog:  t.bills,
		Recorder: recorder{h.requests},
		Now:      h.options.Now,
	}
}

// outcomeAnswered is the outcome of requests that ended without an error.
const outcomeAnswered = "answered"

// recorder gives the summaries of requests to the histograms.
type recorder struct {
	requests *telemetry.Requests
}

// Done implements pipeline.Recorder.
func (r recorder) Done(summary pipeline.Summary) {
	outcome := outcomeAnswered
	if summary.Code != "" {
		outcome = string(summary.Code)
	}
	r.requests.Record(summary.Team, summary.Class, outcome, summary.FirstToken, summary.Total)
}

// callersHandler serves callers.
func (h *Host) callersHandler() http.Handler {
	return api.NewHandler(h.line(), h.tasks.balancer, h.log)
}

// adminHandler serves operators and the platform's balancer.
func (h *Host) adminHandler() (http.Handler, error) {
	t := h.tasks
	var keys []admin.Key
	for _, operator := range h.options.Settings.Operators {
		keys = append(keys, admin.Key{Operator: operator.Name, Digest: operator.KeyDigest})
	}
	return admin.New(admin.Config{
		Operator: operate.New(operate.Config{
			Table: t.store, View: t.teams, Peers: t.members,
			Budgets: operate.NewTableBudgets(t.store, t.store.Objects(), h.options.Now), Now: h.options.Now,
		}),
		Metrics: h.telemetry.Handler(), Ready: h.Ready, Keys: keys, Log: h.log,
	})
}
