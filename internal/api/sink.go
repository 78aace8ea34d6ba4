package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

// flushSize is the size at which buffered chunks are written even if more events are
// available. While a caller does not read, this and the kernel's buffers are held, and at
// most 64 KiB of events. Its connection ends writes that it does not take.
const flushSize = 32 << 10

// requestIDHeader is the response header with the request's ID.
const requestIDHeader = "X-Request-Id"

// errorSink sends errors to the caller.
type errorSink interface {
	// fail ends the answer with an error.
	fail(err *fault.Error)
}

// streamSink writes a completion as server-sent events.
type streamSink struct {
	response      http.ResponseWriter
	control       *http.ResponseController
	model         string
	created       int64
	chunkPrefix   []byte
	buffer        []byte
	headerWritten bool
	tokenWritten  bool
}

func newStreamSink(w http.ResponseWriter, model core.ModelName, now time.Time) *streamSink {
	return &streamSink{response: w, control: http.NewResponseController(w), model: string(model), created: now.Unix()}
}

// Begin implements pipeline.Sink.
func (s *streamSink) Begin(work *core.Work) {
	s.response.Header().Set(requestIDHeader, work.ID.String())
	s.chunkPrefix = append(s.chunkPrefix, `data: {"id":"chatcmpl-`...)
	s.chunkPrefix = append(s.chunkPrefix, work.ID.String()...)
	s.chunkPrefix = append(s.chunkPrefix, `","object":"chat.completion.chunk","created":`...)
	s.chunkPrefix = strconv.AppendInt(s.chunkPrefix, s.created, 10)
	s.chunkPrefix = append(s.chunkPrefix, `,"model":`...)
	s.chunkPrefix = appendString(s.chunkPrefix, s.model)
	s.chunkPrefix = append(s.chunkPrefix, `,"choices":[`...)
}

// Token implements relay.Sink.
func (s *streamSink) Token(text string) error {
	s.buffer = append(s.buffer, s.chunkPrefix...)
	if s.tokenWritten {
		s.buffer = append(s.buffer, `{"index":0,"delta":{"content":`...)
	} else {
		s.buffer = append(s.buffer, `{"index":0,"delta":{"role":"assistant","content":`...)
		s.tokenWritten = true
	}
	s.buffer = appendString(s.buffer, text)
	s.buffer = append(s.buffer, "},\"finish_reason\":null}]}\n\n"...)
	if len(s.buffer) >= flushSize {
		return s.Flush()
	}
	return nil
}

// Flush implements relay.Sink.
func (s *streamSink) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	if !s.headerWritten {
		s.headerWritten = true
		header := s.response.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.response.WriteHeader(http.StatusOK)
	}
	_, err := s.response.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

// Finish implements pipeline.Sink. The last chunk carries the finish reason and
// the usage.
func (s *streamSink) Finish(answer *core.Answer) error {
	completion := answer.Completion
	if completion == nil {
		return fault.New(fault.KeyReused, fault.Ran, "the Idempotency-Key belongs to a call of another kind; use a new key")
	}
	if !s.tokenWritten && completion.Text != "" {
		if err := s.Token(completion.Text); err != nil {
			return err
		}
	}
	s.buffer = append(s.buffer, s.chunkPrefix...)
	s.buffer = append(s.buffer, `{"index":0,"delta":{},"finish_reason":`...)
	s.buffer = appendString(s.buffer, completion.FinishReason)
	s.buffer = append(s.buffer, `}],"usage":`...)
	s.buffer = appendUsage(s.buffer, completion.Usage)
	s.buffer = append(s.buffer, "}\n\ndata: [DONE]\n\n"...)
	return s.Flush()
}

// fail ends the stream with an error event. It omits [DONE] and closes the
// connection, so that the caller can't mistake the text for a complete answer.
func (s *streamSink) fail(err *fault.Error) {
	if !s.headerWritten && len(s.buffer) == 0 {
		writeError(s.response, err)
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, encodeError(err)...)
	s.buffer = append(s.buffer, "\n\n"...)
	// The answer keeps the error of a failed write for the account of endings.
	_ = s.Flush()
	panic(http.ErrAbortHandler)
}

// nonStreamSink writes a complete answer as one response body.
type nonStreamSink struct {
	response http.ResponseWriter
	model    core.ModelName
	created  int64
	id       string
}

func newNonStreamSink(w http.ResponseWriter, model core.ModelName, now time.Time) *nonStreamSink {
	return &nonStreamSink{response: w, model: model, created: now.Unix()}
}

// Begin implements pipeline.Sink.
func (s *nonStreamSink) Begin(work *core.Work) {
	s.id = work.ID.String()
	s.response.Header().Set(requestIDHeader, s.id)
}

// Token implements relay.Sink. It ignores the text, as Finish gets all of it.
func (s *nonStreamSink) Token(string) error { return nil }

// Flush implements relay.Sink.
func (s *nonStreamSink) Flush() error { return nil }

type completionBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceBody `json:"choices"`
	Usage   usageBody    `json:"usage"`
}

type choiceBody struct {
	Index        int         `json:"index"`
	Message      messageBody `json:"message"`
	FinishReason string      `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usageBody struct {
	Prompt     core.Tokens `json:"prompt_tokens"`
	Completion core.Tokens `json:"completion_tokens"`
	Total      core.Tokens `json:"total_tokens"`
}

// Finish implements pipeline.Sink.
func (s *nonStreamSink) Finish(answer *core.Answer) error {
	if answer.Service != nil {
		return s.finishService(answer.Service)
	}
	completion := answer.Completion
	body, err := json.Marshal(completionBody{
		ID: "chatcmpl-" + s.id, Object: "chat.completion", Created: s.created, Model: string(s.model),
		Choices: []choiceBody{{Message: messageBody{"assistant", completion.Text}, FinishReason: completion.FinishReason}},
		Usage:   usageBody{completion.Usage.Prompt, completion.Usage.Generated, completion.Usage.Total()},
	})
	if err != nil {
		return err
	}
	s.response.Header().Set("Content-Type", "application/json")
	return sendWhole(s.response, http.StatusOK, append(body, '\n'))
}

func (s *nonStreamSink) finishService(answer *core.ServiceAnswer) error {
	if answer.ContentType != "" {
		s.response.Header().Set("Content-Type", answer.ContentType)
	}
	return sendWhole(s.response, answer.Status, answer.Body)
}

func (s *nonStreamSink) fail(err *fault.Error) {
	writeError(s.response, err)
}

func appendUsage(buffer []byte, usage core.Usage) []byte {
	buffer = append(buffer, `{"prompt_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(usage.Prompt), 10)
	buffer = append(buffer, `,"completion_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(usage.Generated), 10)
	buffer = append(buffer, `,"total_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(usage.Total()), 10)
	return append(buffer, '}')
}
