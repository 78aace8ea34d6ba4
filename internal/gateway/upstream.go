package gateway

import (
	"net/http"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Upstream is an entry of the platform's list of upstreams.
type Upstream struct {
	ID      core.UpstreamID
	Service core.ServiceName
	Address string
	Zone    core.ZoneName
	Slots   int
	// Leaving is true if the upstream must not get new requests.
	Leaving bool
	// StartMillis is the time when the upstream started, in Unix milliseconds, or 0 if
	// unknown. It reveals a restart, after which an upstream may have the same id
	// but has lost its state.
	StartMillis int64
	// Software is the version of the upstream's software, "" if unknown. A stream may
	// be resumed only at the software that began it.
	Software string
	// ColdLeft is how much longer the upstream stays cold, as of its entry.
	ColdLeft time.Duration
}

// Load is an upstream's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is the duration of work as a multiple of the usual duration.
	Slowdown float64
}

// AnswerHead is the start of an upstream's answer.
type AnswerHead struct {
	Status int
	// ID is the id of the request that is answered.
	ID string
	// Ambiguous is true if the answer names several requests.
	Ambiguous bool
	Fields    []Field
	// NotRun is true if the upstream reports that it did not run the request.
	NotRun bool
	// WrongInstance is true if another upstream has the address.
	WrongInstance bool
	// Stamped is true if the answer has the upstream's stamp, which is present in
	// the answer of a request that an upstream ran. The stamp is opaque and
	// returned to the caller unchanged.
	Stamped bool
	// Encoded is true if the body has a content encoding. Upstreams do not apply
	// one, so the answer is not an upstream's.
	Encoded bool
	// Load is nil if the answer does not report a load.
	Load *Load
	// RequestLimit is the number of requests a second that the upstream takes from
	// all hosts together, nil if it names none.
	RequestLimit *float64
	// MaxRejections is the number of requests that a brittle upstream can turn away in
	// a second for want of room without falling over, nil if it is not brittle.
	MaxRejections *int
	// ColdLeft is how much longer the upstream stays cold, nil if it does not say.
	ColdLeft *time.Duration
	// Leaving is true if the upstream says that it leaves.
	Leaving bool
	// Quiet is how long an upstream that turned the request away wants nothing from
	// this host, 0 if it does not say.
	Quiet time.Duration
}

// Success reports whether the status is 2xx.
func (h *AnswerHead) Success() bool {
	return h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
}
