// Package api is the HTTP front end for callers. It encodes answers and errors
// in the format of the OpenAI API and leaves all decisions to the pipeline.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
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

// NewHandler returns the HTTP handler in front of a pipeline.
func NewHandler(p *pipeline.Pipeline, models Models, log *zap.Logger) http.Handler {
	handler := &Handler{pipeline: p, authenticate: p.Authenticate, models: models, now: p.Now, log: log}
	router := mux.NewRouter()
	// The paths of plain services are passed on unchanged.
	router.SkipClean(true)
	router.UseEncodedPath()
	router.HandleFunc("/v1/chat/completions", handler.complete).Methods(http.MethodPost)
	router.HandleFunc("/v1/models", handler.listModels).Methods(http.MethodGet)
	router.HandleFunc("/services/{name}", handler.callService)
	router.HandleFunc("/services/{name}/{path:.*}", handler.callService)
	router.NotFoundHandler = http.HandlerFunc(notFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(notFound)
	return router
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, fault.Refuse(fault.InvalidRequest,
		"%s %s is not served; use POST /v1/chat/completions, GET /v1/models or /services/NAME/PATH", r.Method, r.URL.Path))
}

func (h *Handler) complete(w http.ResponseWriter, r *http.Request) {
	raw, err := h.readRequest(w, r)
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	call, err := decode.Completion(raw)
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	if call.Completion.Stream {
		h.serve(r, call, newStreamSink(w, call.Completion.Model, h.now()))
		return
	}
	h.serve(r, call, newNonStreamSink(w, call.Completion.Model, h.now()))
}

func (h *Handler) callService(w http.ResponseWriter, r *http.Request) {
	raw, err := h.readRequest(w, r)
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	variables := mux.Vars(r)
	call, err := decode.Service(raw, core.ServiceName(variables["name"]), variables["path"])
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	h.serve(r, call, newNonStreamSink(w, "", h.now()))
}

// sink is the part of streamSink and nonStreamSink that the handler uses.
type sink interface {
	pipeline.Sink
	errorSink
}

func (h *Handler) serve(r *http.Request, call *core.Call, sink sink) {
	err := h.pipeline.Serve(r.Context(), call, sink)
	if err == nil {
		return
	}
	typed := fault.From(err)
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

func (h *Handler) listModels(w http.ResponseWriter, r *http.Request) {
	raw, err := h.readRequest(w, r)
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	call, err := decode.ModelList(raw)
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	caller, err := h.authenticate.Apply(call)
	if err != nil {
		writeError(w, fault.From(err))
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range slices.Sorted(slices.Values(h.models.Models())) {
		if caller.Team.AllowsModel(model) {
			list.Data = append(list.Data, modelEntry{model, "model", "peridotreel"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
