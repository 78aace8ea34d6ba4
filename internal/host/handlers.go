package host

import (
	"net/http"

	"github.com/gorilla/mux"

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
	"github.com/peridotreel/peridotreel/internal/pipeline"
)

// line composes the pipeline over the host's tasks.
func (h *Host) line() *pipeline.Line {
	t := h.tasks
	return &pipeline.Line{
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
		Recorder: discard{},
		Now:      h.options.Now,
	}
}

type discard struct{}

func (discard) Done(pipeline.Summary) {}

// callersHandler serves callers.
func (h *Host) callersHandler() http.Handler {
	return api.NewHandler(h.line(), h.tasks.balancer, h.log)
}

// adminHandler serves operators and the platform's balancer.
func (h *Host) adminHandler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !h.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return router
}
