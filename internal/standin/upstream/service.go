package upstream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// ServiceSettings describe a plain service, for example a ledger.
type ServiceSettings struct {
	ID          core.UpstreamID
	Incarnation core.Incarnation
	Name        core.ServiceName
	// Delay is the time that a call takes.
	Delay time.Duration
	// MaxRunning bounds the calls in progress. Further calls are refused with
	// 503 before they run. 0 means no bound.
	MaxRunning int
	// LoadLag is the age at which a load report is renewed; 0 keeps reports
	// current.
	LoadLag time.Duration
}

// Service simulates a plain service. It runs and counts each call that it
// receives, without deduplication by idempotency key.
type Service struct {
	settings ServiceSettings
	inbox    *task.Inbox[func(*serviceState)]
}

// ServiceAnswerBody is the body of a plain service's answer to a call.
type ServiceAnswerBody struct {
	Service        core.ServiceName `json:"service"`
	Method         string           `json:"method"`
	Path           string           `json:"path"`
	IdempotencyKey string           `json:"idempotency_key,omitempty"`
	RequestID      string           `json:"request_id,omitempty"`
	// BodySHA256 shows that the call's body arrived unchanged.
	BodySHA256 string `json:"body_sha256"`
}

// serviceState belongs to the service's task.
type serviceState struct {
	settings      ServiceSettings
	runs          map[string]int
	running       int
	delay         time.Duration
	loseAnswers   bool
	leaving       bool
	publishedLoad wire.Load
}

// NewService returns a service that handles calls once its Run method runs.
func NewService(settings ServiceSettings) *Service {
	return &Service{settings: settings, inbox: task.NewInbox[func(*serviceState)](inboxCapacity)}
}

// Run handles calls until ctx ends.
func (s *Service) Run(ctx context.Context) {
	defer s.inbox.Close()
	owned := &serviceState{settings: s.settings, runs: make(map[string]int), delay: s.settings.Delay}
	owned.publishLoad(time.Now())
	for {
		select {
		case message := <-s.inbox.Messages():
			message(owned)
		case <-ctx.Done():
			return
		}
	}
}

func askService[R any](ctx context.Context, s *Service, function func(*serviceState) R) (R, error) {
	return task.Ask(ctx, s.inbox, func(replies chan<- R) func(*serviceState) {
		return func(owned *serviceState) { replies <- function(owned) }
	})
}

// control runs a function in the service's task; it does nothing when the
// task has ended.
func (s *Service) control(function func(*serviceState)) {
	_, err := askService(context.Background(), s, func(owned *serviceState) struct{} {
		function(owned)
		return struct{}{}
	})
	_ = err // the only error is task.ErrStopped
}

// SetDelay changes the time that calls take.
func (s *Service) SetDelay(delay time.Duration) {
	s.control(func(owned *serviceState) { owned.delay = delay })
}

// SetLoseAnswers makes the service run calls and close their connections without
// an answer.
func (s *Service) SetLoseAnswers(lose bool) {
	s.control(func(owned *serviceState) { owned.loseAnswers = lose })
}

// SetLeaving makes the service refuse calls before they run.
func (s *Service) SetLeaving(leaving bool) {
	s.control(func(owned *serviceState) { owned.leaving = leaving })
}

// Runs returns the number of runs by idempotency key. Calls without a key are
// counted under "".
func (s *Service) Runs() map[string]int {
	var runs map[string]int
	s.control(func(owned *serviceState) { runs = maps.Clone(owned.runs) })
	return runs
}

// Handler serves the service's HTTP interface and its control requests. All
// paths that the protocol doesn't name are calls.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter().SkipClean(true)
	router.HandleFunc(wire.PathLoad, s.serveLoad).Methods(http.MethodGet)
	router.HandleFunc(wire.PathHealth, s.serveHealth).Methods(http.MethodGet)
	router.HandleFunc(PathServiceControl, s.serveControl).Methods(http.MethodPut)
	router.HandleFunc(PathCounters, s.serveRuns).Methods(http.MethodGet)
	router.PathPrefix("/").HandlerFunc(s.serveCall)
	return router
}

// callDecision says how the service handles a call.
type callDecision struct {
	refused    bool
	loseAnswer bool
	delay      time.Duration
}

func (o *serviceState) startCall(key string) callDecision {
	full := o.settings.MaxRunning > 0 && o.running >= o.settings.MaxRunning
	if o.leaving || full {
		return callDecision{refused: true}
	}
	o.runs[key]++
	o.running++
	return callDecision{loseAnswer: o.loseAnswers, delay: o.delay}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	digest := sha256.New()
	if _, err := io.Copy(digest, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		refuse(w, http.StatusBadRequest, "the body can't be read")
		return
	}
	key := r.Header.Get(wire.HeaderIdempotencyKey)
	decision, err := askService(r.Context(), s, func(owned *serviceState) callDecision { return owned.startCall(key) })
	switch {
	case err != nil:
		panic(http.ErrAbortHandler) // the call may be in the inbox
	case decision.refused:
		refuseBeforeRun(w, r, http.StatusServiceUnavailable, "the service takes no calls; use another instance")
		return
	}
	defer s.control(func(owned *serviceState) { owned.running-- })
	if !sleep(r.Context(), decision.delay) || decision.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, ServiceAnswerBody{
		Service: s.settings.Name, Method: r.Method, Path: r.URL.RequestURI(),
		IdempotencyKey: key, RequestID: r.Header.Get(wire.HeaderRequestID),
		BodySHA256: hex.EncodeToString(digest.Sum(nil)),
	})
}

// sleep waits for the delay. It returns false if ctx ends first.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
