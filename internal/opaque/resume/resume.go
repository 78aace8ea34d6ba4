// Package resume is the filter that finds out at which software the stream began that
// a request resumes.
package resume

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
)

// ageMargin is added to a route's timeout to get the greatest age of a stream that a
// caller resumes: callers may wait between their attempts.
const ageMargin = 3 * time.Second

// Origins knows at which software streams began.
type Origins interface {
	Find(ctx context.Context, attempt string, service core.ServiceName, age time.Duration) (string, bool)
}

// Filter finds the software of streams that are resumed.
type Filter struct {
	Origins Origins
}

// Apply returns the software that an upstream must have, nil if the request resumes no
// stream. It returns a *gateway.Refusal if that is not known: two versions in one
// stream do not fit together, and nothing in the stream would show it.
func (f *Filter) Apply(ctx context.Context, matched *match.Matched) (*string, error) {
	request := matched.Request
	if request.ResumeAfter == "" || matched.Route.Retry != gateway.StreamResumable {
		return nil, nil
	}
	software, known := f.Origins.Find(ctx, request.Resumes, matched.Service.Name, matched.Route.Timeout+ageMargin)
	if !known {
		return nil, gateway.Refuse(gateway.UnknownOrigin, 0,
			"it is not known at which software version the stream of attempt %q began; send the request anew, from its start", request.Resumes)
	}
	return &software, nil
}
