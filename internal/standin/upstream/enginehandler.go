package upstream

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// maxBodyBytes bounds a request, so that a faulty client can't exhaust memory.
const maxBodyBytes = 16 << 20

// Paths of the control requests, which only the stand-ins have.
const (
	PathEngineControl = "/standin/engine"
	PathCounters      = "/standin/counters"
)

// EngineControl is the body of a control request of an engine. Absent fields
// change nothing.
type EngineControl struct {
	Leaving        *bool    `json:"leaving,omitempty"`
	Slowdown       *float64 `json:"slowdown,omitempty"`
	MisdeliverFrom *int64   `json:"misdeliver_from,omitempty"`
}

// Handler serves the engine's HTTP interface and its control requests.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc(wire.PathCompletions, e.serveCompletion).Methods(http.MethodPost)
	router.HandleFunc(wire.PathRequestsPrefix+"{id}", e.serveCancel).Methods(http.MethodDelete)
	router.HandleFunc(wire.PathLoad, e.serveLoad).Methods(http.MethodGet)
	router.HandleFunc(wire.PathHealth, e.serveHealth).Methods(http.MethodGet)
	router.HandleFunc(wire.PathOrders, e.serveOrder).Methods(http.MethodPost)
	router.HandleFunc(PathEngineControl, e.serveControl).Methods(http.MethodPut)
	router.HandleFunc(PathCounters, e.serveCounters).Methods(http.MethodGet)
	return router
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	request, err := readSubmission(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	result, err := ask(r.Context(), e, func(owned *engineState) submitResult {
		return owned.submit(request, time.Now())
	})
	switch {
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, "the engine has stopped")
	case result.refusal == refusedLeaving:
		refuseBeforeRun(w, r, http.StatusServiceUnavailable, "the engine is leaving; use another")
	case result.refusal == refusedFull:
		refuseBeforeRun(w, r, http.StatusTooManyRequests, "the engine's queue is full; retry later")
	case result.refusal == refusedUnknownStream:
		refuse(w, http.StatusBadRequest,
			"the engine does not hold the stream, and partial_output is not the answer up to Last-Event-ID")
	default:
		newEventWriter(w, request, result).writeEvents(r.Context())
		if result.cancelSerial > 0 {
			e.control(func(owned *engineState) { owned.disconnect(request.id, result.cancelSerial) })
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id, err := core.ParseRequestID(mux.Vars(r)["id"])
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	attempt := math.MaxInt
	if given, err := strconv.Atoi(r.Header.Get(wire.HeaderAttempt)); err == nil {
		attempt = given
	}
	e.control(func(owned *engineState) { owned.cancel(id, attempt) })
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	report, err := ask(r.Context(), e, func(owned *engineState) wire.Load { return owned.visibleLoad(time.Now()) })
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "the engine has stopped")
		return
	}
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveHealth(w http.ResponseWriter, r *http.Request) {
	leaving, err := ask(r.Context(), e, func(owned *engineState) bool { return owned.leaving })
	if err != nil || leaving {
		refuse(w, http.StatusServiceUnavailable, "the engine takes no work")
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order wire.Order
	if err := readJSON(r, &order); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	type result struct {
		Fencing int64 `json:"fencing"`
		ok      bool
	}
	answer, err := ask(r.Context(), e, func(owned *engineState) result {
		highest, ok := owned.acceptOrder(order)
		return result{highest, ok}
	})
	switch {
	case err != nil:
		refuse(w, http.StatusServiceUnavailable, "the engine has stopped")
	case !answer.ok:
		writeJSON(w, http.StatusConflict, answer)
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var body EngineControl
	if err := readJSON(r, &body); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if body.Leaving != nil {
		e.SetLeaving(*body.Leaving)
	}
	if body.Slowdown != nil {
		e.SetSlowdown(*body.Slowdown)
	}
	if body.MisdeliverFrom != nil {
		e.SetMisdelivery(*body.MisdeliverFrom)
	}
	w.WriteHeader(http.StatusNoContent)
}

// CountersBody is the JSON form of Counters.
type CountersBody struct {
	Runs            map[string]int `json:"runs"`
	Resumed         int            `json:"resumed"`
	Cancelled       int            `json:"cancelled"`
	GeneratedTokens int64          `json:"generated_tokens"`
	PrefillTokens   int64          `json:"prefill_tokens"`
}

func (e *Engine) serveCounters(w http.ResponseWriter, _ *http.Request) {
	counters := e.Counters()
	body := CountersBody{
		Runs: make(map[string]int, len(counters.Runs)), Resumed: counters.Resumed,
		Cancelled: counters.Cancelled, GeneratedTokens: counters.GeneratedTokens, PrefillTokens: counters.PrefillTokens,
	}
	for id, runs := range counters.Runs {
		body.Runs[id.String()] = runs
	}
	writeJSON(w, http.StatusOK, body)
}

func readJSON(r *http.Request, target any) error {
	return json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(target)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller is gone if this fails
}

func refuse(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, wire.ErrorBody{Error: wire.ErrorDetail{Message: message}})
}

func refuseBeforeRun(w http.ResponseWriter, r *http.Request, status int, message string) {
	w.Header().Set(wire.HeaderNotRun, "true")
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	w.Header().Set("Retry-After", strconv.Itoa(1))
	refuse(w, status, message)
}
