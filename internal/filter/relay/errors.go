package relay

import "github.com/peridotreel/peridotreel/internal/fault"

// errEndedEarly reports a stream that ended without a finish event. It must
// not pass for a whole answer.
var errEndedEarly = fault.New(fault.UpstreamFailed, fault.Unknown,
	"the upstream ended its answer early; retry with the same Idempotency-Key")
