package gateway

import (
	"net/http"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Upstream is an entry of the platform's list of upstreams.
type Upstream struct {
	ID      core.UpstreamID
	Service core.ServiceName
	Address string
	Zone    core.ZoneName
	Slots   int
	// Leaving is true when the upstream must get no new work.
	Leaving bool
	// Born is the time of its start in Unix milliseconds, 0 if unknown. An
	// upstream that restarts may keep its id but not its state.
	Born int64
}

// Load is an upstream's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Slowdown is how long work takes compared to usual; 1 is usual.
	Slowdown float64
}

// AnswerHead is the start of an upstream's answer.
type AnswerHead struct {
	Status int
	// ID is the id of the request that the answer belongs to.
	ID     string
	Fields []Field
	// NotRun is true when the upstream states that it did not run the request.
	NotRun bool
	// WrongInstance is true when another upstream has the address.
	WrongInstance bool
	// Signed is true when the answer bears the upstream's signature.
	Signed bool
	// Encoded is true when the body has a content encoding, which no upstream
	// applies.
	Encoded bool
	// Load is nil if the answer reports none.
	Load *Load
}

// Success reports whether the upstream answered with success.
func (h *AnswerHead) Success() bool {
	return h.Status >= http.StatusOK && h.Status < http.StatusMultipleChoices
}
