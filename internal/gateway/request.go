// Package gateway holds the types that requests, configurations and upstreams
// have on their way through the line of an opaque request: one that is
// forwarded unchanged and whose content the fleet does not read.
package gateway

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Field is one header field that is forwarded unchanged.
type Field struct {
	Name  string
	Value string
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens core.Tokens
}

// Prompt describes the work that a request asks of a model engine.
type Prompt struct {
	Model core.ModelName
	// Input is the number of tokens in the prompt.
	Input core.Tokens
	// MaxOutput bounds the tokens that are generated.
	MaxOutput core.Tokens
	// Parts lists the prompt's parts in order; the last belongs to the request.
	Parts []PromptPart
}

// Request is one attempt of a caller, decoded.
type Request struct {
	// ID is unique to one attempt of the caller.
	ID     string
	Method string
	// Target is the request target as received, query included.
	Target string
	Host   string
	Fields []Field
	Body   []byte
	// Key is the caller's API key, "" if none was sent.
	Key string
	// Prompt is nil for requests that are not model work.
	Prompt *Prompt
	// ResumeAfter is the id of the last event the caller has; "" starts anew.
	ResumeAfter string
	Arrived     time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// MaxCost returns the most that the request can consume of its team's balance.
func (r *Request) MaxCost() core.Tokens {
	if r.Prompt == nil {
		return 0
	}
	return r.Prompt.Input + r.Prompt.MaxOutput
}

// AffinityPart returns the id of the deepest part that other requests may
// share, and the number of tokens up to and including it.
func (p *Prompt) AffinityPart() (string, core.Tokens) {
	shared := p.Parts
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	var tokens core.Tokens
	for _, part := range shared {
		tokens += part.Tokens
	}
	if len(shared) == 0 {
		return "", 0
	}
	return shared[len(shared)-1].ID, tokens
}

// Dispatch is what the fleet adds to a request that it sends to an upstream.
type Dispatch struct {
	// Instance is the upstream that is meant; any other refuses the request.
	Instance core.UpstreamID
	Team     core.TeamName
	// TimeLeft is the time after which the answer is of no use.
	TimeLeft time.Duration
	// Urgency is from 0, the most urgent, to 9.
	Urgency int
	// ResumeAfter is the id of the last event delivered, "" to start anew.
	ResumeAfter string
}
