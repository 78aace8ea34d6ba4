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
	"github.com/peridotreel/peridotreel/internal/filter/lifetime"
	"github.com/peridotreel/peridotreel/internal/filter/relay"
	"github.com/peridotreel/peridotreel/internal/filter/reserve"
	"github.com/peridotreel/peridotreel/internal/filter/route"
	"github.com/peridotreel/peridotreel/internal/filter/settle"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/pipeline"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// newPipeline builds the request pipeline on top of the host's tasks.
func (h *Host) newPipeline() *pipeline.Pipeline {
	t := h.tasks
	return &pipeline.Pipeline{
		Filters: pipeline.Filters{
			Authenticate: authenticate.New(t.teams),
			Classify:     classify.New(t.teams, t.balancer),
			Claim:        claim.New(t.claimant, claims.ValidateKey),
			Lifetime:     lifetime.New(h),
			Admit:        admit.New(t.admitter),
			Reserve:      reserve.New(t.shares),
			Route:        route.New(t.balancer),
			Attempt:      attempt.New(t.upstream),
			Relay:        relay.New(h.options.Now),
			Settle:       settle.New(t.shares, t.bills),
		},
		Registry: t.calls,
		Backlog:  t.bills,
		Recorder: requestRecorder{h.requests},
		Now:      h.options.Now,
	}
}

// outcomeAnswered is the outcome of requests that ended without an error.
const outcomeAnswered = "answered"

// requestRecorder records the summaries of requests in the histograms.
type requestRecorder struct {
	requests *telemetry.RequestHistograms
}

// Done implements pipeline.Recorder.
func (r requestRecorder) Done(summary pipeline.Summary) {
	outcome := outcomeAnswered
	if summary.Code != "" {
		outcome = string(summary.Code)
	}
	r.requests.Record(summary.Team, summary.Class, outcome, summary.FirstToken, summary.Total)
}

// callerHandler returns the handler of the callers' address.
func (h *Host) callerHandler() http.Handler {
	account := &api.Account{
		Requests: h.tasks.endings, Connections: h.tasks.connections, HostEnded: h.callersEnded, Now: h.options.Now, Log: h.log,
	}
	return api.NewHandler(h.newPipeline(), h.tasks.balancer, account, h.log)
}

// closeAfterAnswer lets each answer of a stopping host end its connection. Closing idle
// connections instead would cut off requests that net/http has read but not begun.
func (h *Host) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// adminHandler returns the handler of the admin address, which serves operators
// and the health checks of the platform's load balancer.
func (h *Host) adminHandler() (http.Handler, error) {
	t := h.tasks
	var keys []admin.Key
	for _, operator := range h.options.Settings.Operators {
		keys = append(keys, admin.Key{Operator: operator.Name, Digest: operator.KeyDigest})
	}
	return admin.New(admin.Config{
		Operator: operate.New(operate.Config{
			Table: t.store, Snapshots: t.teams, Peers: t.members,
			Budgets: operate.NewTableBudgets(t.store, t.store.Objects(), h.options.Now), Now: h.options.Now,
		}),
		Metrics: h.telemetry.Handler(), Ready: h.Ready, Keys: keys, Log: h.log,
	})
}
