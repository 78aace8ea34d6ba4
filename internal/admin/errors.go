package admin

import (
	"errors"
	"net/http"
	"strings"

	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// apiError is an error answer of the API.
type apiError struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the invalid field of a row or argument.
	Field string `json:"field,omitempty"`
	// Current is the row that another operator saved in the meantime. It is only
	// set on a conflict, and not if the row was deleted.
	Current *teamAnswer `json:"current,omitempty"`
}

// Error returns the message.
func (e *apiError) Error() string {
	return e.Message
}

// toAPIError converts an error to an answer with its status and code.
func toAPIError(err error) *apiError {
	var (
		apiErr          *apiError
		rowConflict     *teamtable.ConflictError
		invalid         *teamtable.InvalidError
		argument        *operate.ArgumentError
		versionConflict *platform.ConflictError
	)
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &rowConflict):
		answer := &apiError{status: http.StatusConflict, Code: "conflict", Message: err.Error()}
		if rowConflict.Current != nil {
			value, encodeErr := rows.EncodeTeam(rowConflict.Current)
			if encodeErr == nil {
				answer.Current = &teamAnswer{Team: rowConflict.Team, Version: rowConflict.Current.Version, Row: value}
			}
		}
		return answer
	case errors.As(err, &invalid):
		field, _, _ := strings.Cut(invalid.Reason, ":")
		return &apiError{status: http.StatusUnprocessableEntity, Code: "invalid_row", Message: err.Error(), Field: field}
	case errors.As(err, &argument):
		field, _, _ := strings.Cut(argument.Reason, ":")
		return &apiError{status: http.StatusUnprocessableEntity, Code: "invalid_argument", Message: err.Error(), Field: field}
	case errors.As(err, &versionConflict):
		return &apiError{status: http.StatusConflict, Code: "conflict", Message: err.Error()}
	case errors.Is(err, operate.ErrNotFound):
		return &apiError{status: http.StatusNotFound, Code: "not_found", Message: err.Error()}
	case errors.Is(err, operate.ErrNoBudgets):
		return &apiError{status: http.StatusNotImplemented, Code: "not_offered", Message: err.Error()}
	case errors.Is(err, platform.ErrUnavailable):
		return &apiError{status: http.StatusServiceUnavailable, Code: "platform_unreachable",
			Message: "the platform gave no answer, so the change may or may not be saved; reload and compare before trying again"}
	default:
		return &apiError{status: http.StatusInternalServerError, Code: "internal", Message: err.Error()}
	}
}

// invalidRow converts an error of the form "field: remedy" to an answer that
// names the field.
func invalidRow(err error) error {
	field, _, _ := strings.Cut(err.Error(), ":")
	return &apiError{status: http.StatusUnprocessableEntity, Code: "invalid_row", Message: err.Error(), Field: field}
}
