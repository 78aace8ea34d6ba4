// Package wire defines the JSON protocol of engines and plain services for the
// client and the stand-ins. It is described in docs/design.md, section 7.2.
package wire

import "time"

// Paths of the protocol. The request id follows PathRequestsPrefix.
const (
	PathCompletions    = "/v1/chat/completions"
	PathRequestsPrefix = "/v1/requests/"
	PathLoad           = "/v1/load"
	PathHealth         = "/healthz"
	PathOrders         = "/v1/orders"
)

// Headers of the protocol.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderAttempt        = "X-Attempt"
	HeaderPriority       = "X-Priority"
	HeaderLastEventID    = "Last-Event-ID"
	HeaderNotRun         = "X-Not-Run"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ChunkIDPrefix precedes the request ID in the id of each chunk.
const ChunkIDPrefix = "chatcmpl-"

// DoneData is the data of the event that ends a stream.
const DoneData = "[DONE]"

// ErrorEvent is the type of an event that reports an error.
const ErrorEvent = "error"

// Message is one message of a prompt.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Completion is the body of a completion request without sampling parameters.
type Completion struct {
	Model         string    `json:"model"`
	Messages      []Message `json:"messages"`
	MaxTokens     int64     `json:"max_tokens"`
	Stream        bool      `json:"stream"`
	PartialOutput string    `json:"partial_output,omitempty"`
}

// Chunk is the data of one event of a streamed answer.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Attempt int      `json:"attempt"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice holds a chunk's part of the answer.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds to the answer.
type Delta struct {
	Content string `json:"content,omitempty"`
}

// Usage counts the tokens that a request used.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// ErrorBody is the body of an error in the format of the OpenAI API.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type,omitempty"`
	Code    string `json:"code,omitempty"`
}

// Load is a load report.
type Load struct {
	Upstream        string    `json:"upstream"`
	Incarnation     uint64    `json:"incarnation"`
	Leaving         bool      `json:"leaving"`
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	MaxRunning      int       `json:"max_running"`
	KVUsed          int64     `json:"kv_used"`
	KVTotal         int64     `json:"kv_total"`
	TokensPerSecond float64   `json:"tokens_per_second"`
	MeasuredAt      time.Time `json:"measured_at"`
}

// Order is a command to an engine, for example to load a model.
type Order struct {
	Fencing int64  `json:"fencing"`
	Order   string `json:"order"`
	Model   string `json:"model"`
}
