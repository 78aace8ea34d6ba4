package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/peridotreel/peridotreel/internal/fault"
)

// RunHeader is the header that tells whether a failed request ran.
const RunHeader = "X-Peridotreel-Run"

// statusCallerGone is nginx's status for a request whose client closed the
// connection. It appears in logs and proxies and is never read by the client.
const statusCallerGone = 499

var httpStatuses = map[fault.Code]int{
	fault.InvalidRequest:        http.StatusBadRequest,
	fault.BodyTooLarge:          http.StatusRequestEntityTooLarge,
	fault.InvalidKey:            http.StatusUnauthorized,
	fault.ModelNotFound:         http.StatusNotFound,
	fault.ServiceNotFound:       http.StatusNotFound,
	fault.ClassNotFound:         http.StatusBadRequest,
	fault.InsufficientQuota:     http.StatusTooManyRequests,
	fault.BudgetUnavailable:     http.StatusServiceUnavailable,
	fault.BillingBacklog:        http.StatusServiceUnavailable,
	fault.Overloaded:            http.StatusTooManyRequests,
	fault.DeadlineTooShort:      http.StatusTooManyRequests,
	fault.DeadlineExceeded:      http.StatusGatewayTimeout,
	fault.NoUpstream:            http.StatusServiceUnavailable,
	fault.UpstreamFailed:        http.StatusBadGateway,
	fault.PlatformUnreachable:   http.StatusServiceUnavailable,
	fault.KeyRequired:           http.StatusBadRequest,
	fault.KeyInvalid:            http.StatusBadRequest,
	fault.KeyExpired:            http.StatusConflict,
	fault.KeyReused:             http.StatusUnprocessableEntity,
	fault.RequestInProgress:     http.StatusConflict,
	fault.OutcomeUnknown:        http.StatusConflict,
	fault.ConfigurationNotReady: http.StatusServiceUnavailable,
	fault.HostDraining:          http.StatusServiceUnavailable,
	fault.CallerGone:            statusCallerGone,
	fault.Internal:              http.StatusInternalServerError,
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string         `json:"message"`
	Type    string         `json:"type"`
	Code    fault.Code     `json:"code"`
	Run     fault.RunState `json:"run"`
}

func encodeError(err *fault.Error) []byte {
	errorType := "server_error"
	if httpStatuses[err.Code] < http.StatusInternalServerError {
		errorType = "invalid_request_error"
	}
	if err.Code == fault.InsufficientQuota {
		errorType = string(fault.InsufficientQuota)
	}
	body, marshalErr := json.Marshal(errorBody{errorDetail{err.Message, errorType, err.Code, err.Run}})
	if marshalErr != nil {
		return []byte(`{"error":{"message":"the error could not be encoded","type":"server_error","code":"internal","run":"unknown"}}`)
	}
	return body
}

// writeError sends an error as the response. Nothing may have been written to
// the response before. An *answer keeps the error of a failed write for the account of
// endings.
func writeError(w http.ResponseWriter, err *fault.Error) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(RunHeader, string(err.Run))
	if err.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(err.RetryAfter.Seconds()))))
	}
	status, known := httpStatuses[err.Code]
	if !known {
		status = http.StatusInternalServerError
	}
	_ = sendWhole(w, status, append(encodeError(err), '\n'))
}
