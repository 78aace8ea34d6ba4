// Package admin serves the admin address: metrics, liveness and readiness
// probes, the operators' JSON API and the operators' page.
package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"embed"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/operate"
)

//go:embed page
var pageFiles embed.FS

// contentSecurityPolicy allows the operators' page to load only its own files.
const contentSecurityPolicy = "default-src 'self'; frame-ancestors 'none'; base-uri 'none'; form-action 'none'"

// Key is the API key of an operator. Callers' keys are not accepted here.
type Key struct {
	// Operator is the name that is recorded in the history.
	Operator string
	// Digest is the SHA-256 digest of the key in hexadecimal.
	Digest string
}

// Config configures the handler of the admin address.
type Config struct {
	Operator *operate.Operator
	// Metrics serves /metrics; nil means that there is no such path.
	Metrics http.Handler
	// Ready returns nil if the host can take new requests, otherwise the reason
	// why it must not get any.
	Ready func() error
	Keys  []Key
	Log   *zap.Logger
}

// Validate returns an error that names the first invalid key and its remedy.
func (c *Config) Validate() error {
	for i, key := range c.Keys {
		raw, err := hex.DecodeString(key.Digest)
		switch {
		case key.Operator == "":
			return fmt.Errorf("keys[%d].operator: must not be empty; name the operator", i)
		case err != nil || len(raw) != sha256.Size:
			return fmt.Errorf("keys[%d].digest: is not a SHA-256 digest; give 64 hexadecimal digits", i)
		}
	}
	return nil
}

type handler struct {
	config Config
}

// New returns the handler of the admin address.
func New(config Config) (http.Handler, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	files, err := fs.Sub(pageFiles, "page")
	if err != nil {
		return nil, fmt.Errorf("open the operators' page: %w", err)
	}
	h := &handler{config: config}
	router := mux.NewRouter()
	if config.Metrics != nil {
		router.Handle("/metrics", config.Metrics).Methods(http.MethodGet)
	}
	router.HandleFunc("/livez", h.handleLiveness).Methods(http.MethodGet)
	router.HandleFunc("/readyz", h.handleReadiness).Methods(http.MethodGet)
	h.routeAPI(router.PathPrefix("/api/v1").Subrouter())
	router.PathPrefix("/").Handler(withSecurityHeaders(http.FileServerFS(files))).Methods(http.MethodGet, http.MethodHead)
	return router, nil
}

func (h *handler) routeAPI(api *mux.Router) {
	api.HandleFunc("/teams", h.operatorOnly(h.listTeams)).Methods(http.MethodGet)
	api.HandleFunc("/changes", h.operatorOnly(h.listChanges)).Methods(http.MethodGet)
	api.HandleFunc("/teams/{team}", h.operatorOnly(h.getTeam)).Methods(http.MethodGet)
	api.HandleFunc("/teams/{team}", h.operatorOnly(h.putTeam)).Methods(http.MethodPut)
	api.HandleFunc("/teams/{team}", h.operatorOnly(h.deleteTeam)).Methods(http.MethodDelete)
	api.HandleFunc("/teams/{team}/undo", h.operatorOnly(h.undoTeam)).Methods(http.MethodPost)
	api.HandleFunc("/teams/{team}/history", h.operatorOnly(h.getHistory)).Methods(http.MethodGet)
	api.HandleFunc("/services", h.operatorOnly(h.listServices)).Methods(http.MethodGet)
	api.HandleFunc("/services/{service}", h.operatorOnly(h.putService)).Methods(http.MethodPut)
	api.HandleFunc("/hosts", h.operatorOnly(h.listHosts)).Methods(http.MethodGet)
	api.HandleFunc("/budgets", h.operatorOnly(h.listBudgets)).Methods(http.MethodGet)
	api.HandleFunc("/budgets/{budget}/topups", h.operatorOnly(h.topUp)).Methods(http.MethodPost)
	api.HandleFunc("/releases", h.operatorOnly(h.release)).Methods(http.MethodPost)
}

func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy", contentSecurityPolicy)
		w.Header().Set("X-Content-Type-Options", "nosniff")
		next.ServeHTTP(w, r)
	})
}

func (h *handler) handleLiveness(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (h *handler) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.config.Ready != nil {
		if err := h.config.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.WriteHeader(http.StatusOK)
}

// operation carries out an operator's request and returns the value to encode as
// the answer.
type operation func(r *http.Request, operator string) (any, error)

// operatorOnly returns a handler that authenticates the operator, runs the
// operation and encodes its result or error.
func (h *handler) operatorOnly(run operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, found := h.authenticate(r)
		if !found {
			writeError(w, &apiError{status: http.StatusUnauthorized, Code: "invalid_operator_key",
				Message: "the operator's key is missing or unknown; send the header Authorization: Bearer KEY with a key from the settings"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		value, err := run(r, operator)
		if err != nil {
			answer := toAPIError(err)
			if answer.status >= http.StatusInternalServerError {
				h.config.Log.Warn("request of an operator failed", zap.String("path", r.URL.Path), zap.Error(err))
			}
			writeError(w, answer)
			return
		}
		writeJSON(w, http.StatusOK, value)
	}
}

// authenticate returns the operator whose key the request carries. It compares
// all digests, each in constant time, so that the time taken doesn't tell which
// one matches.
func (h *handler) authenticate(r *http.Request) (name string, found bool) {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return "", false
	}
	digest := sha256.Sum256([]byte(key))
	text := []byte(hex.EncodeToString(digest[:]))
	for _, candidate := range h.config.Keys {
		if subtle.ConstantTimeCompare(text, []byte(strings.ToLower(candidate.Digest))) == 1 {
			name, found = candidate.Operator, true
		}
	}
	return name, found
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the operator closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, answer *apiError) {
	writeJSON(w, answer.status, map[string]*apiError{"error": answer})
}

// decodeBody decodes a JSON body. Unknown fields are an error.
func decodeBody(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &apiError{status: http.StatusRequestEntityTooLarge, Code: "body_too_large",
			Message: fmt.Sprintf("the body has more than %d bytes; send less", tooLarge.Limit)}
	case err != nil:
		return &apiError{status: http.StatusBadRequest, Code: "invalid_request",
			Message: fmt.Sprintf("the body is not the expected JSON object: %v", err)}
	}
	return nil
}
