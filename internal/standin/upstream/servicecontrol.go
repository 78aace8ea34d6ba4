package upstream

import (
	"net/http"
	"time"

	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// PathServiceControl is the path of a plain service's control request.
const PathServiceControl = "/standin/service"

// ServiceControl is the body of a control request of a plain service. Absent
// fields change nothing.
type ServiceControl struct {
	Leaving     *bool  `json:"leaving,omitempty"`
	DelayMS     *int64 `json:"delay_ms,omitempty"`
	LoseAnswers *bool  `json:"lose_answers,omitempty"`
}

// RunsBody is the JSON form of the run counts by idempotency key.
type RunsBody struct {
	Runs map[string]int `json:"runs"`
}

func (s *Service) serveControl(w http.ResponseWriter, r *http.Request) {
	var body ServiceControl
	if err := readJSON(r, &body); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if body.Leaving != nil {
		s.SetLeaving(*body.Leaving)
	}
	if body.DelayMS != nil {
		s.SetDelay(time.Duration(*body.DelayMS) * time.Millisecond)
	}
	if body.LoseAnswers != nil {
		s.SetLoseAnswers(*body.LoseAnswers)
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, RunsBody{Runs: s.Runs()})
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	report, err := askService(r.Context(), s, func(owned *serviceState) wire.Load { return owned.visibleLoad(time.Now()) })
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the service has stopped")
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (s *Service) serveHealth(w http.ResponseWriter, r *http.Request) {
	leaving, err := askService(r.Context(), s, func(owned *serviceState) bool { return owned.leaving })
	if err != nil || leaving {
		refuse(w, http.StatusServiceUnavailable, "the service takes no calls")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o *serviceState) publishLoad(now time.Time) {
	o.publishedLoad = wire.Load{
		Upstream: string(o.settings.ID), Incarnation: uint64(o.settings.Incarnation), Leaving: o.leaving,
		Running: o.running, MaxRunning: o.settings.MaxRunning, MeasuredAt: now,
	}
}

// visibleLoad returns the published load report, renewed if its age has reached
// the lag.
func (o *serviceState) visibleLoad(now time.Time) wire.Load {
	if now.Sub(o.publishedLoad.MeasuredAt) >= o.settings.LoadLag {
		o.publishLoad(now)
	}
	return o.publishedLoad
}
