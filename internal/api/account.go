package api

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/callerend"
	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/eventlog"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// bufferedBytes is how much of an answer net/http keeps back until it is flushed: 2 KiB of
// the body in the response's buffer, and 4 KiB in that of the connection.
const bufferedBytes = (2 + 4) << 10

// Accounts are the tasks to which the front end reports how requests end.
type Accounts interface {
	// BeginRequest records that a request has begun.
	BeginRequest() endings.ID
	// EndRequest records how it ended.
	EndRequest(id endings.ID, ending gateway.Ending)
}

// Connections follow the connections on which requests arrive.
type Connections interface {
	// EndRequest records how the latest request of a connection ended.
	EndRequest(ctx context.Context, ending gateway.Ending, closeAsked bool)
}

// Account is the filter in front of the API that reports how requests end.
//
// A request begins when its handler starts, after net/http has read its head. Whether the
// last bytes of a streamed answer (the end of its chunks) are written is not known, as
// net/http writes them after the handler.
type Account struct {
	Requests    Accounts
	Connections Connections
	// HostEnded is closed before this host closes the connections of its callers.
	HostEnded <-chan struct{}
	Now       func() time.Time
	Log       *zap.Logger
}

// answer is the answer to one request, and what its end depends on.
type answer struct {
	http.ResponseWriter
	// head is true for a HEAD request, whose answer has no body.
	head bool
	// work is nil until the request is classified.
	work            *core.Work
	failure         *fault.Error
	upstreamFailure bool
	bodyEnded       bool
	written         int
	flushed         bool
	writeErr        error
}

// Unwrap lets http.ResponseController reach the response.
func (a *answer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if header := a.Header(); a.head && header.Get("Content-Length") == "0" {
		// An upstream's answer to HEAD comes without the length of the body.
		header.Del("Content-Length")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *answer) Write(data []byte) (int, error) {
	n, err := a.ResponseWriter.Write(data)
	a.written += n
	a.record(err)
	return n, err
}

// FlushError is called by http.ResponseController.
func (a *answer) FlushError() error {
	err := http.NewResponseController(a.ResponseWriter).Flush()
	a.flushed = a.flushed || err == nil
	a.record(err)
	return err
}

// SetWriteDeadline is called by http.ResponseController. It fails if the connection is
// closed.
func (a *answer) SetWriteDeadline(deadline time.Time) error {
	err := http.NewResponseController(a.ResponseWriter).SetWriteDeadline(deadline)
	a.record(err)
	return err
}

func (a *answer) record(err error) {
	if a.writeErr == nil {
		a.writeErr = err
	}
}

// refuse writes an error as the answer.
func (a *answer) refuse(err error) {
	a.failure = fault.From(err)
	writeError(a, a.failure)
}

// sendWhole writes a whole answer. Its length is declared, so that it can be flushed before
// the handler returns, and a failed write is noticed.
func sendWhole(w http.ResponseWriter, status int, body []byte) error {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// endpoint serves one path.
type endpoint func(response *answer, r *http.Request)

// wrap returns the handler that reports how the requests of an endpoint end.
func (a *Account) wrap(next endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, started := a.Requests.BeginRequest(), a.Now()
		response, aborted := &answer{ResponseWriter: w, head: r.Method == http.MethodHead}, true
		defer func() {
			ending := response.ending(r.Context(), aborted, a.hostEnded())
			a.Requests.EndRequest(id, ending)
			a.Connections.EndRequest(r.Context(), ending, closeAsked(r))
			a.logLoss(response, ending, a.Now().Sub(started))
		}()
		next(response, r)
		aborted = false
	}
}

func (a *Account) hostEnded() bool {
	select {
	case <-a.HostEnded:
		return true
	default:
		return false
	}
}

// closeAsked reports whether the caller asked for the end of the connection.
func closeAsked(r *http.Request) bool {
	return r.Close || !r.ProtoAtLeast(1, 1) && !slices.Contains(r.Header.Values("Connection"), "keep-alive")
}

func (a *answer) ending(ctx context.Context, aborted, hostEnded bool) gateway.Ending {
	stopping := errors.Is(context.Cause(ctx), fault.ErrHostStopping)
	seen := callerend.Request{
		UpstreamFailure: a.upstreamFailure, BodyEnded: a.bodyEnded, Begun: a.flushed || a.written > bufferedBytes,
		Aborted: aborted, Write: callerend.WriteResult(a.writeErr),
		CallerLeft: ctx.Err() != nil && !stopping, Stopping: stopping, HostEnded: hostEnded,
	}
	if a.failure != nil {
		seen.Code = a.failure.Code
	}
	return seen.Ending()
}

// logLoss writes a line if the caller was left without a whole answer.
func (a *Account) logLoss(response *answer, ending gateway.Ending, total time.Duration) {
	if !ending.End.Lost() {
		return
	}
	fields := []zap.Field{
		zap.String("event", "request_done"), zap.String("end", string(ending.End)), zap.String("end_cause", string(ending.Cause)),
		zap.Int64("total_ms", total.Milliseconds()),
	}
	if work := response.work; work != nil {
		fields = append(fields, zap.String("request", work.ID.String()),
			zap.String("class", string(work.Class.Name)), zap.String("team", string(work.Caller.Team.Team)))
	}
	if response.failure != nil {
		fields = append(fields, zap.Error(response.failure))
	}
	eventlog.Losses(a.Log).Warn("request ended without a whole answer", fields...)
}
