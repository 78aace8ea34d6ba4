package relay

import "github.com/peridotreel/peridotreel/internal/fault"

// errTruncated is the error of a stream that ended without a finish event, so
// that it can't be mistaken for a complete answer.
var errTruncated = fault.New(fault.UpstreamFailed, fault.Unknown,
	"the upstream ended its answer early; retry with the same Idempotency-Key")

// errForeign is the error of a stream with an event that can't belong to the answer.
var errForeign = fault.New(fault.UpstreamFailed, fault.Unknown,
	"the upstream sent what does not belong to the answer; retry with the same Idempotency-Key")
