package core

import "time"

// Kind distinguishes completion requests to models from calls to plain services.
type Kind uint8

// The kinds of call.
const (
	KindCompletion Kind = iota + 1
	KindService
)

// Message is one entry of a chat prompt.
type Message struct {
	Role    string
	Content string
}

// Parameter is a field of a completion request that is passed to the engine
// unchanged, for example a sampling parameter.
type Parameter struct {
	Name string
	// JSON is the encoded value as the caller sent it.
	JSON []byte
}

// Completion is a request for generated text.
type Completion struct {
	Model    ModelName
	Messages []Message
	// MaxTokens is the maximum number of generated tokens; 0 means the class's maximum.
	MaxTokens  Tokens
	Stream     bool
	Parameters []Parameter
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Service     ServiceName
	Method      string
	Path        string
	Query       string
	ContentType string
	Body        []byte
}

// Call is a decoded request that is not authenticated yet. Exactly one of
// Completion and Service is set, according to Kind.
type Call struct {
	Kind           Kind
	BearerKey      string
	IdempotencyKey string
	Class          ClassName
	Completion     *Completion
	Service        *ServiceCall
	Received       time.Time
	// Fingerprint is a digest of the request's content. A repeated idempotency
	// key must come with the same fingerprint.
	Fingerprint [32]byte
}

// Bytes returns the length of the call's text or body, without its fields.
func (c *Call) Bytes() int64 {
	switch {
	case c == nil:
		return 0
	case c.Service != nil:
		return int64(len(c.Service.Body))
	case c.Completion == nil:
		return 0
	}
	total := 0
	for i := range c.Completion.Messages {
		total += len(c.Completion.Messages[i].Content)
	}
	return int64(total)
}

// Caller is the authenticated origin of a call.
type Caller struct {
	Team *TeamRow
}

// Work is an authenticated call with the values that later filters decide on.
type Work struct {
	ID     RequestID
	Call   *Call
	Caller Caller
	Class  ClassRow
	// Keyed is true when ID derives from the caller's idempotency key.
	Keyed bool
	// Idempotent is false for calls that must not run twice.
	Idempotent bool
	// MaxCost is the upper bound of the bill and the amount reserved.
	MaxCost Tokens
	// MaxGenerated is the maximum number of generated tokens and is sent to the engine.
	MaxGenerated Tokens
	// Estimate is the expected work in tokens, used for queueing and routing.
	Estimate Tokens
	// PrefixHash is a hash of the start of the prompt, used for prefix cache affinity.
	PrefixHash uint64
	// Deadline is when the request must have ended, time in the queue included.
	Deadline time.Time
}

// Model returns the model asked for, or "" for a plain service.
func (w *Work) Model() ModelName {
	if w.Call.Completion == nil {
		return ""
	}
	return w.Call.Completion.Model
}

// Reservation is an amount of tokens reserved from a share for one request.
type Reservation struct {
	Share  ShareID
	Amount Tokens
	// Serial is unique within the reserving host process.
	Serial uint64
}

// Target is the upstream chosen for one attempt.
type Target struct {
	Upstream    UpstreamID
	Incarnation Incarnation
	Zone        ZoneName
	// Address is host:port with an IP number.
	Address string
}

// Usage is the number of tokens that an upstream reports to have used.
type Usage struct {
	Prompt    Tokens
	Generated Tokens
}

// Total returns prompt and generated tokens together.
func (u Usage) Total() Tokens {
	return u.Prompt + u.Generated
}

// EventKind is the kind of an event in a streamed answer.
type EventKind uint8

// The kinds of event in a streamed answer.
const (
	// EventToken carries generated text.
	EventToken EventKind = iota + 1
	// EventFinish carries the finish reason and the usage; it comes last.
	EventFinish
)

// Event is one event of a streamed answer from an upstream.
type Event struct {
	Kind    EventKind
	Request RequestID
	Attempt int
	// Position counts tokens of the answer from 1. A finish event has the
	// position after the last token.
	Position int64
	Text     string
	// FinishReason and Usage are set on EventFinish only.
	FinishReason string
	Usage        Usage
}

// StreamResult is one event of a streamed attempt, or the error that ended it.
type StreamResult struct {
	Event Event
	Err   error
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Bill is the charge for one request.
type Bill struct {
	Request  RequestID
	Keyed    bool
	Team     TeamName
	Class    ClassName
	Share    ShareID
	Usage    Usage
	Cost     Tokens
	Finished time.Time
}

// CompletionAnswer is a complete generated answer.
type CompletionAnswer struct {
	Text         string
	FinishReason string
	Usage        Usage
}

// Answer is a complete answer of either kind, as recorded for a call that must
// not run twice. Exactly one field is set.
type Answer struct {
	Completion *CompletionAnswer
	Service    *ServiceAnswer
}
