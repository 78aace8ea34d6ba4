package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/platform/wire"
)

// maxBodyBytes bounds a request, so that a faulty client can't exhaust memory.
const maxBodyBytes = 64 << 20

// Paths of the control requests, which only the stand-in has.
const (
	PathFaults  = "/standin/faults"
	PathMembers = "/standin/members"
	// PathWeightsPrefix is followed by the name of the weights to store.
	PathWeightsPrefix = "/standin/weights/"
)

// FaultBody is the body of a request to inject a fault.
type FaultBody struct {
	Mode Mode `json:"mode"`
	// DelayMS is the delay of replies in mode slow, in milliseconds.
	DelayMS    int64       `json:"delay_ms,omitempty"`
	Operations []Operation `json:"operations,omitempty"`
}

// Handler serves the platform's HTTP interface and the stand-in's control
// requests.
func (s *Service) Handler() http.Handler {
	// Object names may contain escaped slashes, which must not split the path.
	router := mux.NewRouter().UseEncodedPath()
	router.HandleFunc(wire.PathCommit, s.serveCommit).Methods(http.MethodPost)
	router.HandleFunc(wire.PathGet, s.serveGet).Methods(http.MethodPost)
	router.HandleFunc(wire.PathRows, s.serveList).Methods(http.MethodGet)
	router.HandleFunc(wire.PathChanges, s.serveChanges).Methods(http.MethodPost)
	router.HandleFunc(wire.PathMembers, s.serveMembers).Methods(http.MethodGet)
	router.HandleFunc(wire.PathObjectsPrefix+"{name}", s.servePutObject).Methods(http.MethodPut)
	router.HandleFunc(wire.PathObjectsPrefix+"{name}", s.serveGetObject).Methods(http.MethodGet)
	router.HandleFunc(wire.PathWeightsPrefix+"{name}", s.serveGetWeights).Methods(http.MethodGet)
	router.HandleFunc(PathFaults, s.serveSetFault).Methods(http.MethodPut)
	router.HandleFunc(PathMembers, s.serveSetMembers).Methods(http.MethodPut)
	router.HandleFunc(PathWeightsPrefix+"{name}", s.serveSetWeights).Methods(http.MethodPut)
	return router
}

func (s *Service) serveCommit(w http.ResponseWriter, r *http.Request) {
	var body wire.Commit
	if !readJSON(w, r, &body) {
		return
	}
	revision, err := s.Commit(r.Context(), platform.DecodeCommit(body))
	writeResult(w, wire.Committed{Revision: int64(revision)}, err)
}

func (s *Service) serveGet(w http.ResponseWriter, r *http.Request) {
	var body wire.Keys
	if !readJSON(w, r, &body) {
		return
	}
	rows, err := s.Get(r.Context(), body.Keys...)
	writeResult(w, wire.Rows{Rows: platform.EncodeRows(rows)}, err)
}

func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	rows, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, wire.Rows{Rows: platform.EncodeRows(rows)}, err)
}

func (s *Service) serveChanges(w http.ResponseWriter, r *http.Request) {
	var body wire.Since
	if !readJSON(w, r, &body) {
		return
	}
	set, err := s.Changes(r.Context(), platform.Revision(body.Since), body.Prefixes)
	writeResult(w, wire.Changes{Rows: platform.EncodeRows(set.Rows), Through: int64(set.Through)}, err)
}

func (s *Service) serveMembers(w http.ResponseWriter, r *http.Request) {
	members, err := s.Members(r.Context())
	writeResult(w, platform.EncodeMembers(members), err)
}

func (s *Service) servePutObject(w http.ResponseWriter, r *http.Request) {
	content, ok := readBody(w, r)
	if !ok {
		return
	}
	err := s.Put(r.Context(), nameAfterPrefix(r, wire.PathObjectsPrefix), content)
	writeResult(w, struct{}{}, err)
}

func (s *Service) serveGetObject(w http.ResponseWriter, r *http.Request) {
	s.serveContent(w, r, wire.PathObjectsPrefix, s.getObject)
}

func (s *Service) serveGetWeights(w http.ResponseWriter, r *http.Request) {
	s.serveContent(w, r, wire.PathWeightsPrefix, s.getWeights)
}

func (s *Service) serveContent(
	w http.ResponseWriter, r *http.Request, prefix string,
	read func(context.Context, string) (storedContent, error),
) {
	stored, err := read(r.Context(), nameAfterPrefix(r, prefix))
	switch {
	case err != nil:
		writeResult(w, nil, err)
	case !stored.found:
		http.Error(w, "no content of this name; store it first", http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(stored.content) // the caller is gone if this fails
	}
}

func (s *Service) serveSetFault(w http.ResponseWriter, r *http.Request) {
	var body FaultBody
	if !readJSON(w, r, &body) {
		return
	}
	delay := time.Duration(body.DelayMS) * time.Millisecond
	if err := s.SetFault(Fault{Mode: body.Mode, Delay: delay, Operations: body.Operations}); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeResult(w, struct{}{}, nil)
}

func (s *Service) serveSetMembers(w http.ResponseWriter, r *http.Request) {
	var body wire.Members
	if !readJSON(w, r, &body) {
		return
	}
	s.SetMembers(platform.DecodeMembers(body))
	writeResult(w, struct{}{}, nil)
}

func (s *Service) serveSetWeights(w http.ResponseWriter, r *http.Request) {
	content, ok := readBody(w, r)
	if !ok {
		return
	}
	s.SetWeights(nameAfterPrefix(r, PathWeightsPrefix), content)
	writeResult(w, struct{}{}, nil)
}

// nameAfterPrefix returns the name that follows a prefix of the path.
func nameAfterPrefix(r *http.Request, prefix string) string {
	name := strings.TrimPrefix(r.URL.EscapedPath(), prefix)
	if unescaped, err := url.PathUnescape(name); err == nil {
		return unescaped
	}
	return name
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body can't be read: "+err.Error(), http.StatusBadRequest)
		return nil, false
	}
	return content, true
}

func readJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	content, ok := readBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(content, target); err != nil {
		http.Error(w, "the body is not the JSON that the design page describes: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResult writes a value, or the status code for an error. A lost reply
// aborts the connection.
func writeResult(w http.ResponseWriter, value any, err error) {
	var conflict *platform.ConflictError
	var limited *platform.RateLimitError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, value)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, wire.Rows{Rows: platform.EncodeRows(conflict.Rows)})
	case errors.As(err, &limited):
		w.Header().Set("Retry-After", strconv.Itoa(int(limited.RetryAfter/time.Second)))
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case errors.Is(err, errReplyLost):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value) // the caller is gone if this fails
}
