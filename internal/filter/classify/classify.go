// Package classify is the filter that determines a call's class, request ID,
// deadline and maximum cost, and whether the call is idempotent.
package classify

import (
	"crypto/rand"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// messageOverhead is the most tokens that a chat template adds per message.
	messageOverhead core.Tokens = 16
	// bytesPerToken is the usual number of prompt bytes per token. Only the
	// estimate uses it; the maximum cost assumes one byte per token.
	bytesPerToken = 4
	// prefixBytes is how many bytes of the prompt are hashed for prefix cache
	// affinity. Prompts of one class start with the same instructions, which
	// fit in this length.
	prefixBytes = 1024
)

// Models reports which models the fleet currently serves.
type Models interface {
	Serves(model core.ModelName) bool
}

// Filter classifies calls by the current table.
type Filter struct {
	table  teamtable.Source
	models Models
}

// New returns the filter.
func New(table teamtable.Source, models Models) *Filter {
	return &Filter{table: table, models: models}
}

// Apply returns the work that the call requests.
func (f *Filter) Apply(call *core.Call, caller core.Caller, now time.Time) (*core.Work, error) {
	class, found := caller.Team.Class(call.Class)
	if !found {
		return nil, fault.Refuse(fault.ClassNotFound,
			"team %s has no class %q; use one of its classes or ask the operator to add it", caller.Team.Team, call.Class)
	}
	work := &core.Work{Call: call, Caller: caller, Class: class}
	if err := f.assignID(work); err != nil {
		return nil, err
	}
	setDeadline(work, now)
	if call.Kind == core.KindCompletion {
		return work, f.classifyCompletion(work)
	}
	return work, f.classifyService(work)
}

func (f *Filter) assignID(work *core.Work) error {
	if work.Call.IdempotencyKey != "" {
		work.Keyed = true
		work.ID = core.KeyedRequestID(work.Caller.Team.Team, work.Call.IdempotencyKey)
		return nil
	}
	id, err := ulid.New(ulid.Now(), rand.Reader)
	if err != nil {
		return fault.Refuse(fault.Internal, "no request id could be issued; retry").WithCause(err)
	}
	work.ID = core.RequestID(id)
	return nil
}

func setDeadline(work *core.Work, now time.Time) {
	limit := work.Class.Deadline
	if limit == 0 {
		limit = work.Caller.Team.Deadline
	}
	work.Deadline = now.Add(limit)
}

func (f *Filter) classifyCompletion(work *core.Work) error {
	request := work.Call.Completion
	if !work.Caller.Team.AllowsModel(request.Model) || !f.models.Serves(request.Model) {
		return fault.Refuse(fault.ModelNotFound,
			"model %q is not available to team %s; list the models with GET /v1/models", request.Model, work.Caller.Team.Team)
	}
	var bytes core.Tokens
	for _, message := range request.Messages {
		bytes += core.Tokens(len(message.Role) + len(message.Content))
	}
	overhead := messageOverhead * core.Tokens(len(request.Messages))
	work.MaxGenerated = request.MaxTokens
	if work.MaxGenerated == 0 {
		work.MaxGenerated = work.Class.MaxTokens
	}
	work.Idempotent = !work.Class.NonIdempotent
	work.MaxCost = bytes + overhead + work.MaxGenerated
	work.Estimate = bytes/bytesPerToken + work.MaxGenerated
	work.PrefixHash = prefixHash(request)
	return nil
}

func prefixHash(request *core.Completion) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(request.Model))
	remaining := prefixBytes
	for _, message := range request.Messages {
		part := message.Content[:min(remaining, len(message.Content))]
		_, _ = digest.WriteString(part)
		if remaining -= len(part); remaining == 0 {
			break
		}
	}
	return digest.Sum64()
}

func (f *Filter) classifyService(work *core.Work) error {
	call := work.Call.Service
	row, found := f.table.Current().Services[call.Service]
	if !found {
		return fault.Refuse(fault.ServiceNotFound,
			"service %q is not in the table; check the name or ask the operator to add its row", call.Service)
	}
	work.Idempotent = row.Idempotent(call.Method, call.Path)
	work.MaxCost = row.Cost
	work.Estimate = max(row.Cost, 1)
	return nil
}
