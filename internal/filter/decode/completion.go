package decode

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// maxGenerated is the largest accepted max_tokens, well above the longest
// context of an engine.
const maxGenerated = 1 << 20

// interpretedFields are the body's fields that the fleet interprets. All others
// are passed to the engine unchanged.
var interpretedFields = []string{"model", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "metadata", "n"}

type completionBody struct {
	Model               string        `json:"model"`
	Messages            []messageBody `json:"messages"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	Choices             *int          `json:"n"`
	Metadata            struct {
		Class string `json:"class"`
	} `json:"metadata"`
}

type messageBody struct {
	Role    string      `json:"role"`
	Content contentBody `json:"content"`
}

// contentBody is the text of a message, sent as a string or a list of text
// parts.
type contentBody string

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON accepts both forms of message content.
func (c *contentBody) UnmarshalJSON(data []byte) error {
	if bytes.Equal(data, []byte("null")) {
		return nil
	}
	if len(data) > 0 && data[0] == '"' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fault.Refuse(fault.InvalidRequest, "messages: content part of type %q is not supported; send text parts only", part.Type)
		}
		text.WriteString(part.Text)
	}
	*c = contentBody(text.String())
	return nil
}

func parseCompletion(body []byte) (*core.Completion, core.ClassName, error) {
	var parsed completionBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, "", fault.Refuse(fault.InvalidRequest, "the body is not a valid chat completion: %v; correct the JSON", err).WithCause(err)
	}
	if err := parsed.validate(); err != nil {
		return nil, "", err
	}
	parameters, err := passthroughParameters(body)
	if err != nil {
		return nil, "", err
	}
	request := &core.Completion{
		Model: core.ModelName(parsed.Model), MaxTokens: parsed.maxTokens(),
		Stream: parsed.Stream, Parameters: parameters,
	}
	for _, message := range parsed.Messages {
		request.Messages = append(request.Messages, core.Message{Role: message.Role, Content: string(message.Content)})
	}
	return request, core.ClassName(parsed.Metadata.Class), nil
}

func (b *completionBody) validate() error {
	switch {
	case b.Model == "":
		return fault.Refuse(fault.InvalidRequest, "model: is missing; name a model from GET /v1/models")
	case len(b.Messages) == 0:
		return fault.Refuse(fault.InvalidRequest, "messages: is empty; send at least one message")
	case len(b.Messages) > maxMessages:
		return fault.Refuse(fault.InvalidRequest, "messages: has %d entries; send at most %d", len(b.Messages), maxMessages)
	case b.Choices != nil && *b.Choices != 1:
		return fault.Refuse(fault.InvalidRequest, "n: is %d; only 1 is supported, send the request several times instead", *b.Choices)
	}
	for name, limit := range map[string]*int64{"max_tokens": b.MaxTokens, "max_completion_tokens": b.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > maxGenerated) {
			return fault.Refuse(fault.InvalidRequest, "%s: is %d; set it between 1 and %d or leave it out", name, *limit, maxGenerated)
		}
	}
	for i, message := range b.Messages {
		if message.Role == "" {
			return fault.Refuse(fault.InvalidRequest, "messages[%d].role: is missing; use system, user or assistant", i)
		}
	}
	return nil
}

func (b *completionBody) maxTokens() core.Tokens {
	switch {
	case b.MaxCompletionTokens != nil:
		return core.Tokens(*b.MaxCompletionTokens)
	case b.MaxTokens != nil:
		return core.Tokens(*b.MaxTokens)
	}
	return 0
}

// passthroughParameters returns the fields that are passed to the engine
// unchanged, sorted by name.
func passthroughParameters(body []byte) ([]core.Parameter, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.Refuse(fault.InvalidRequest, "the body is not a JSON object: %v; correct it", err).WithCause(err)
	}
	var parameters []core.Parameter
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		if !slices.Contains(interpretedFields, name) {
			parameters = append(parameters, core.Parameter{Name: name, JSON: fields[name]})
		}
	}
	return parameters, nil
}
