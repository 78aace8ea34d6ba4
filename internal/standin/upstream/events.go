package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// readSubmission decodes a completion request.
func readSubmission(r *http.Request) (submission, error) {
	id, err := core.ParseRequestID(r.Header.Get(wire.HeaderRequestID))
	if err != nil {
		return submission{}, fmt.Errorf("%s: %w", wire.HeaderRequestID, err)
	}
	request := submission{id: id}
	var attempt, priority int64
	for _, header := range []struct {
		name   string
		target *int64
	}{
		{wire.HeaderAttempt, &attempt}, {wire.HeaderPriority, &priority}, {wire.HeaderLastEventID, &request.after},
	} {
		text := r.Header.Get(header.name)
		if text == "" {
			continue
		}
		if *header.target, err = strconv.ParseInt(text, 10, 64); err != nil {
			return submission{}, fmt.Errorf("%s: %q is not a number", header.name, text)
		}
	}
	if request.after < 0 {
		return submission{}, fmt.Errorf("%s: must not be negative", wire.HeaderLastEventID)
	}
	var body wire.Completion
	if err := readJSON(r, &body); err != nil {
		return submission{}, fmt.Errorf("the body is not a completion: %w", err)
	}
	request.attempt, request.priority = int(attempt), int(priority)
	request.prompt = newPrompt(body.Model, body.Messages)
	request.maxTokens, request.partialOutput = body.MaxTokens, body.PartialOutput
	return request, nil
}

// eventWriter writes one answer as server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	request submission
	answer  submitResult
	buffer  bytes.Buffer
	// nextPosition is the position of the next token to write.
	nextPosition int64
}

func newEventWriter(w http.ResponseWriter, request submission, answer submitResult) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	writer := &eventWriter{w: w, request: request, answer: answer, nextPosition: request.after + 1}
	writer.writeLoad(answer.load)
	return writer
}

// writeEvents writes events as the stream progresses, until the stream ends or
// the connection breaks. The stream continues without a reader, so that another
// connection can resume it.
func (w *eventWriter) writeEvents(ctx context.Context) {
	for {
		if !w.flush() {
			return
		}
		select {
		case latest := <-w.answer.updates:
			w.writeProgress(latest)
			if latest.finished || latest.cancelled {
				w.flush()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (w *eventWriter) writeProgress(latest progress) {
	if w.nextPosition == 1 && latest.generated > 0 {
		w.writeLoad(latest.load)
	}
	for ; w.nextPosition <= latest.generated; w.nextPosition++ {
		w.writeEvent(w.nextPosition, wire.Choice{Delta: wire.Delta{Content: w.request.prompt.tokenAt(w.nextPosition)}}, nil)
	}
	switch {
	case latest.cancelled:
		w.buffer.WriteString("event: " + wire.ErrorEvent + "\ndata: {\"error\":{\"message\":\"cancelled\"}}\n\n")
	case latest.finished:
		prompt, generated := w.request.prompt.tokens, w.answer.length
		usage := &wire.Usage{PromptTokens: prompt, CompletionTokens: generated, TotalTokens: prompt + generated}
		w.writeEvent(w.answer.length+1, wire.Choice{FinishReason: &w.answer.finishReason}, usage)
		w.buffer.WriteString("data: " + wire.DoneData + "\n\n")
	}
}

// writeLoad writes the engine's load as an SSE comment.
func (w *eventWriter) writeLoad(load wire.AnswerLoad) {
	fmt.Fprintf(&w.buffer, "%s\n\n", load)
}

func (w *eventWriter) writeEvent(position int64, choice wire.Choice, usage *wire.Usage) {
	id := w.request.id
	if from := w.answer.misdeliverFrom; from > 0 && position >= from {
		id[0] ^= 0xFF // another request's id
	}
	data, err := json.Marshal(wire.Chunk{
		ID: wire.ChunkIDPrefix + id.String(), Object: "chat.completion.chunk",
		Attempt: w.request.attempt, Choices: []wire.Choice{choice}, Usage: usage,
	})
	if err != nil {
		panic(err) // the chunk holds nothing that can't be encoded
	}
	fmt.Fprintf(&w.buffer, "id: %d\ndata: %s\n\n", position, data)
}

// flush sends the buffered events. It returns false if the connection is broken.
func (w *eventWriter) flush() bool {
	_, err := w.w.Write(w.buffer.Bytes())
	w.buffer.Reset()
	if err != nil {
		return false
	}
	return http.NewResponseController(w.w).Flush() == nil
}
