// Package gateway defines the types for opaque requests: requests, answers,
// refusals, upstreams and the configuration. An opaque request is forwarded
// unchanged, and the fleet does not read its content.
package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Field is one header field that is forwarded unchanged.
type Field struct {
	Name  string
	Value string
}

// PromptPart is a part of a prompt, which other requests may have in common.
type PromptPart struct {
	ID     string
	Tokens core.Tokens
}

// Prompt describes the work that a request is for a model engine.
type Prompt struct {
	Model core.ModelName
	// Input is the number of tokens in the prompt.
	Input core.Tokens
	// MaxOutput limits the number of generated tokens.
	MaxOutput core.Tokens
	// Parts lists the prompt's parts in order; the last is specific to the
	// request.
	Parts []PromptPart
}

// Request is one attempt of a caller, decoded.
type Request struct {
	// ID is unique to this attempt of the caller.
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
	// ResumeAfter is the id of the last event that the caller received, "" to
	// start from the beginning.
	ResumeAfter string
	// Resumes is the id of the caller's attempt that brought the first event, "" if the
	// request does not resume a stream or does not name it.
	Resumes string
	Arrived time.Time
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// fingerprintBytes is the length of a fingerprint's hash. It must not be possible to
// make a request that has the fingerprint of another team's.
const fingerprintBytes = 12

// fingerprintPrefix tells fingerprints from the ids of prompt parts.
const fingerprintPrefix = "request-"

// Fingerprint returns an id that requests of a team have in common if their method,
// host, target, body and prompt are equal. team is "" on public routes.
func (r *Request) Fingerprint(team core.TeamName) string {
	texts := [][]byte{[]byte(team), []byte(r.Method), []byte(r.Host), []byte(r.Target), r.Body}
	if r.Prompt != nil {
		texts = append(texts, fmt.Append(nil, *r.Prompt))
	}
	hash := sha256.New()
	for _, text := range texts {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(text))))
		hash.Write(text)
	}
	return fingerprintPrefix + hex.EncodeToString(hash.Sum(nil)[:fingerprintBytes])
}

// MaxCost returns the maximum that the request can consume of its team's balance.
func (r *Request) MaxCost() core.Tokens {
	if r.Prompt == nil {
		return 0
	}
	return r.Prompt.Input + r.Prompt.MaxOutput
}

// SharedParts returns the parts that other requests may have in common: all but
// the last, which is specific to the request. A prompt with a single
// part shares none.
func (p *Prompt) SharedParts() []PromptPart {
	if len(p.Parts) <= 1 {
		return nil
	}
	return p.Parts[:len(p.Parts)-1]
}

// AffinityPart returns the id of the last part that other requests may have in
// common, and the number of tokens up to and including it.
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
	// Instance is the intended upstream; any other refuses the request.
	Instance core.UpstreamID
	Team     core.TeamName
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Urgency ranges from 0, the most urgent, to 9.
	Urgency int
	// ResumeAfter is the id of the last event delivered, "" to start from the
	// beginning.
	ResumeAfter string
}
