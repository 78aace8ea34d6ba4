// Package api is the HTTP front end for callers. It encodes answers and errors
// in the format of the OpenAI API and leaves all decisions to the pipeline.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/callerend"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/authenticate"
	"github.com/peridotreel/peridotreel/internal/filter/decode"
	"github.com/peridotreel/peridotreel/internal/pipeline"
)

// drainRetryAfter is the retry delay given by a host that stops. It is short, because the
// retry reaches another host.
const drainRetryAfter = 50 * time.Millisecond

// Models lists the models that the fleet currently serves.
type Models interface {
	Models() []core.ModelName
}

// Handler serves the callers' HTTP API.
type Handler struct {
	pipeline     *pipeline.Pipeline
	authenticate *authenticate.Filter
	models       Models
	now          func() time.Time
	log          *zap.Logger
}

// NewHandler returns the HTTP handler in front of a pipeline. It reports to account how
// each request ends.
func NewHandler(p *pipeline.Pipeline, models Models, account *Account, log *zap.Logger) http.Handler {
	handler := &Handler{pipeline: p, authenticate: p.Authenticate, models: models, now: p.Now, log: log}
	router := mux.NewRouter()
	// The paths of plain services are passed on unchanged.
	router.SkipClean(true)
	router.UseEncodedPath()
	router.HandleFunc("/v1/chat/completions", account.wrap(handler.complete)).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", account.wrap(handler.listModels)).Methods(http.MethodGet)
	router.HandleFunc("/services/{name}", account.wrap(handler.callService))
	router.HandleFunc("/services/{name}/{path:.*}", account.wrap(handler.callService))
	router.NotFoundHandler = account.wrap(notFound)
	router.MethodNotAllowedHandler = account.wrap(notFound)
	return router
}

func notFound(response *answer, r *http.Request) {
	response.refuse(fault.Refuse(fault.InvalidRequest,
		"%s %s is not served; use POST /v1/chat/completions, GET /v1/models or /services/NAME/PATH", r.Method, r.URL.Path))
}

func (h *Handler) complete(response *answer, r *http.Request) {
	raw, err := h.readBody(response, r)
	if err != nil {
		response.refuse(err)
		return
	}
	call, err := decode.Completion(raw)
	if err != nil {
		response.refuse(err)
		return
	}
	if call.Completion.Stream {
		h.serve(response, r, call, newStreamSink(response, call.Completion.Model, h.now()))
		return
	}
	h.serve(response, r, call, newNonStreamSink(response, call.Completion.Model, h.now()))
}

func (h *Handler) callService(response *answer, r *http.Request) {
	raw, err := h.readBody(response, r)
	if err != nil {
		response.refuse(err)
		return
	}
	variables := mux.Vars(r)
	call, err := decode.Service(raw, core.ServiceName(variables["name"]), variables["path"])
	if err != nil {
		response.refuse(err)
		return
	}
	h.serve(response, r, call, newNonStreamSink(response, "", h.now()))
}

// sink is the part of streamSink and nonStreamSink that the handler uses.
type sink interface {
	pipeline.Sink
	errorSink
}

func (h *Handler) serve(response *answer, r *http.Request, call *core.Call, sink sink) {
	err := h.pipeline.Serve(r.Context(), call, accountedSink{sink, response})
	if err == nil {
		return
	}
	typed := fault.From(err)
	response.failure = typed
	if typed.Code == fault.Internal {
		h.log.Error("request failed with an internal error", zap.Error(err))
	}
	if typed.Code == fault.CallerGone {
		// The caller may still be connected, for example after a write that
		// timed out, and could take a response that ends normally for a
		// complete answer. Aborting closes the connection instead.
		panic(http.ErrAbortHandler)
	}
	sink.fail(typed)
}

// accountedSink keeps for the account of endings which work an answer belongs to, and
// whether it is an upstream's failure.
type accountedSink struct {
	pipeline.Sink
	response *answer
}

// Begin implements pipeline.Sink.
func (s accountedSink) Begin(work *core.Work) {
	s.response.work = work
	s.Sink.Begin(work)
}

// Finish implements pipeline.Sink.
func (s accountedSink) Finish(whole *core.Answer) error {
	s.response.upstreamFailure = whole.Service != nil && whole.Service.Status >= http.StatusInternalServerError
	return s.Sink.Finish(whole)
}

// readBody reads a request, and keeps whether its connection ended before its body.
func (h *Handler) readBody(response *answer, r *http.Request) (decode.Raw, error) {
	// MaxBytesReader asks net/http's own response to close the connection.
	raw, err := h.readRequest(response.ResponseWriter, r)
	response.bodyEnded = err != nil && (callerend.ReadResult(err) == callerend.CallerClosed || errors.Is(err, net.ErrClosed))
	return raw, err
}

func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (decode.Raw, error) {
	// Clear the write deadline of an earlier stream on this connection, which
	// would otherwise cut off this answer.
	control := http.NewResponseController(w)
	if err := control.SetWriteDeadline(time.Time{}); err != nil {
		return decode.Raw{}, fault.Refuse(fault.Internal, "the connection can't be used; retry on a new one").WithCause(err)
	}
	// The body is no longer waited for once the host stops.
	stopWaiting := context.AfterFunc(r.Context(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	defer stopWaiting()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, decode.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return decode.Raw{}, fault.Refuse(fault.BodyTooLarge,
			"the body has more than %d bytes; shorten the prompt or split the request", decode.MaxBody)
	}
	if err != nil && errors.Is(context.Cause(r.Context()), fault.ErrHostStopping) {
		return decode.Raw{}, fault.Refuse(fault.HostDraining,
			"this host stops, and the body has not arrived; retry, which reaches another host").WithRetryAfter(drainRetryAfter).WithCause(err)
	}
	if err != nil {
		return decode.Raw{}, fault.Refuse(fault.InvalidRequest, "the body could not be read; send the request again").WithCause(err)
	}
	return decode.Raw{
		Method: r.Method, Path: r.URL.EscapedPath(), Query: r.URL.RawQuery,
		Header: r.Header, Body: body, Received: h.now(),
	}, nil
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      core.ModelName `json:"id"`
	Object  string         `json:"object"`
	OwnedBy string         `json:"owned_by"`
}

func (h *Handler) listModels(response *answer, r *http.Request) {
	raw, err := h.readBody(response, r)
	if err != nil {
		response.refuse(err)
		return
	}
	call, err := decode.ModelList(raw)
	if err != nil {
		response.refuse(err)
		return
	}
	caller, err := h.authenticate.Apply(call)
	if err != nil {
		response.refuse(err)
		return
	}
	h.sendModels(response, caller)
}

func (h *Handler) sendModels(response *answer, caller core.Caller) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range slices.Sorted(slices.Values(h.models.Models())) {
		if caller.Team.AllowsModel(model) {
			list.Data = append(list.Data, modelEntry{model, "model", "peridotreel"})
		}
	}
	body, err := json.Marshal(list)
	if err != nil {
		response.refuse(err)
		return
	}
	response.Header().Set("Content-Type", "application/json")
	// The answer keeps the error of a failed write for the account of endings.
	_ = sendWhole(response, http.StatusOK, append(body, '\n'))
}
