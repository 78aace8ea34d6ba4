package upstream

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// chunk holds the fields of an event's data that a relay needs.
type chunk struct {
	// id may be a subslice of the event's data.
	id           []byte
	attempt      int
	text         string
	finishReason string
	finished     bool
	usage        core.Usage
	hasUsage     bool
}

// parseChunk parses the data of an event.
func parseChunk(data []byte, texts *textArena) (chunk, error) {
	if parsed, ok := scanChunk(data, texts); ok {
		return parsed, nil
	}
	return parseChunkSlow(data)
}

// parseChunkSlow parses any valid chunk with encoding/json.
func parseChunkSlow(data []byte) (chunk, error) {
	var decoded wire.Chunk
	if err := json.Unmarshal(data, &decoded); err != nil {
		return chunk{}, fmt.Errorf("chunk is not valid JSON: %w", err)
	}
	parsed := chunk{id: []byte(decoded.ID), attempt: decoded.Attempt}
	if len(decoded.Choices) > 0 {
		choice := decoded.Choices[0]
		parsed.text = choice.Delta.Content
		if choice.FinishReason != nil {
			parsed.finished, parsed.finishReason = true, *choice.FinishReason
		}
	}
	if decoded.Usage != nil {
		parsed.hasUsage = true
		parsed.usage = core.Usage{
			Prompt:    core.Tokens(decoded.Usage.PromptTokens),
			Generated: core.Tokens(decoded.Usage.CompletionTokens),
		}
	}
	return parsed, nil
}

// event converts the chunk at a position to an event of the answer.
func (c *chunk) event(position int64) (core.Event, error) {
	request, err := parseChunkID(c.id)
	if err != nil {
		return core.Event{}, err
	}
	event := core.Event{
		Kind: core.EventToken, Request: request, Attempt: c.attempt, Position: position, Text: c.text,
	}
	if c.finished {
		if !c.hasUsage {
			return core.Event{}, errors.New("the last chunk has no usage")
		}
		if c.usage.Prompt < 0 || c.usage.Generated < 0 {
			return core.Event{}, errors.New("the last chunk has a negative usage")
		}
		event.Kind, event.FinishReason, event.Usage = core.EventFinish, c.finishReason, c.usage
	}
	return event, nil
}

// parseChunkID returns the request ID in a chunk's id, without allocating.
func parseChunkID(id []byte) (core.RequestID, error) {
	var request core.RequestID
	digits, found := bytes.CutPrefix(id, []byte(wire.ChunkIDPrefix))
	if !found || len(digits) != hex.EncodedLen(len(request)) {
		return core.RequestID{}, fmt.Errorf("chunk id %.60q must be %s followed by 32 hexadecimal digits", id, wire.ChunkIDPrefix)
	}
	if _, err := hex.Decode(request[:], digits); err != nil {
		return core.RequestID{}, fmt.Errorf("chunk id %.60q must be hexadecimal: %w", id, err)
	}
	return request, nil
}
