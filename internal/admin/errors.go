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

// apiError is an error as the API shows it.
type apiError struct {
	status  int
	Code    string `json:"code"`
	Message string `json:"message"`
	// Field names the bad field of an invalid row.
	Field string `json:"field,omitempty"`
	// Current is the row that another operator saved; it is set on a conflict
	// unless the row was deleted.
	Current *teamAnswer `json:"current,omitempty"`
}

// Error returns the message.
func (e *apiError) Error() string {
	return e.Message
}

// describe chooses status and code for an error.
func describe(err error) *apiError {
	var (
		known    *apiError
		conflict *teamtable.ConflictError
		invalid  *teamtable.InvalidError
		argument *operate.ArgumentError
		changed  *platform.ConflictError
	)
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &conflict):
		answer := &apiError{status: http.StatusConflict, Code: "conflict", Message: err.Error()}
		if conflict.Current != nil {
			value, encodeErr := rows.EncodeTeam(conflict.Current)
			if encodeErr == nil {
				answer.Current = &teamAnswer{Team: conflict.Team, Version: conflict.Current.Version, Row: value}
			}
		}
		return answer
	case errors.As(err, &invalid):
		field, _, _ := strings.Cut(invalid.Reason, ":")
		return &apiError{status: http.StatusUnprocessableEntity, Code: "invalid_row", Message: err.Error(), Field: field}
	case errors.As(err, &argument):
		field, _, _ := strings.Cut(argument.Reason, ":")
		return &apiError{status: http.StatusUnprocessableEntity, Code: "invalid_argument", Message: err.Error(), Field: field}
	case errors.As(err, &changed):
		return &apiError{status: http.StatusConflict, Code: "conflict", Message: err.Error()}
	case errors.Is(err, operate.ErrNotFound):
		return &apiError{status: http.StatusNotFound, Code: "not_found", Message: err.Error()}
	case errors.Is(err, operate.ErrNotOffered):
		return &apiError{status: http.StatusNotImplemented, Code: "not_offered", Message: err.Error()}
	case errors.Is(err, platform.ErrUnavailable):
		return &apiError{status: http.StatusServiceUnavailable, Code: "platform_unreachable",
			Message: "the platform gave no answer, so the change may or may not be saved; reload and compare before trying again"}
	default:
		return &apiError{status: http.StatusInternalServerError, Code: "internal", Message: err.Error()}
	}
}

// invalid wraps an error that names a field and its remedy.
func invalid(err error) error {
	field, _, _ := strings.Cut(err.Error(), ":")
	return &apiError{status: http.StatusUnprocessableEntity, Code: "invalid_row", Message: err.Error(), Field: field}
}
