package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
)

const (
	// writeTimeout bounds how long a slow caller may block its own stream.
	// The kernel's buffers and at most 64 KiB of events wait meanwhile.
	writeTimeout = 10 * time.Second
	// deadlineInterval is how often the deadline of writes is moved on while
	// chunks follow each other closely. A blocked write ends after 9 s to
	// 10 s.
	deadlineInterval = time.Second
	// flushSize is the size at which buffered chunks are written out even if
	// more events wait.
	flushSize = 32 << 10
)

// requestIDHeader returns the identity of a request to its caller.
const requestIDHeader = "X-Request-Id"

// answerWriter is what the front end needs of a sink beside pipeline.Sink.
type answerWriter interface {
	// fail ends the answer with an error.
	fail(err *fault.Error)
}

// streamSink writes a completion as server-sent events.
type streamSink struct {
	response http.ResponseWriter
	control  *http.ResponseController
	model    string
	created  int64
	prefix   []byte
	buffer   []byte
	started  bool
	tokens   bool
	// extended is when the deadline of writes was last moved on.
	extended time.Time
}

func newStreamSink(w http.ResponseWriter, model core.ModelName, now time.Time) *streamSink {
	return &streamSink{response: w, control: http.NewResponseController(w), model: string(model), created: now.Unix()}
}

// Begin implements pipeline.Sink.
func (s *streamSink) Begin(work *core.Work) {
	s.response.Header().Set(requestIDHeader, work.ID.String())
	s.prefix = append(s.prefix, `data: {"id":"chatcmpl-`...)
	s.prefix = append(s.prefix, work.ID.String()...)
	s.prefix = append(s.prefix, `","object":"chat.completion.chunk","created":`...)
	s.prefix = strconv.AppendInt(s.prefix, s.created, 10)
	s.prefix = append(s.prefix, `,"model":`...)
	s.prefix = appendString(s.prefix, s.model)
	s.prefix = append(s.prefix, `,"choices":[`...)
}

// Token implements relay.Sink.
func (s *streamSink) Token(text string) error {
	s.buffer = append(s.buffer, s.prefix...)
	if s.tokens {
		s.buffer = append(s.buffer, `{"index":0,"delta":{"content":`...)
	} else {
		s.buffer = append(s.buffer, `{"index":0,"delta":{"role":"assistant","content":`...)
		s.tokens = true
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
	if !s.started {
		s.started = true
		header := s.response.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-cache")
		s.response.WriteHeader(http.StatusOK)
	}
	if err := s.extendDeadline(time.Now()); err != nil {
		return err
	}
	_, err := s.response.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamSink) extendDeadline(now time.Time) error {
	if now.Sub(s.extended) < deadlineInterval {
		return nil
	}
	s.extended = now
	return s.control.SetWriteDeadline(now.Add(writeTimeout))
}

// Finish implements pipeline.Sink: the last chunk carries finish reason and usage.
func (s *streamSink) Finish(answer *core.Answer) error {
	completion := answer.Completion
	if completion == nil {
		return fault.New(fault.KeyReused, fault.Ran, "the Idempotency-Key belongs to a call of another kind; use a new key")
	}
	if !s.tokens && completion.Text != "" {
		if err := s.Token(completion.Text); err != nil {
			return err
		}
	}
	s.buffer = append(s.buffer, s.prefix...)
	s.buffer = append(s.buffer, `{"index":0,"delta":{},"finish_reason":`...)
	s.buffer = appendString(s.buffer, completion.FinishReason)
	s.buffer = append(s.buffer, `}],"usage":`...)
	s.buffer = appendUsage(s.buffer, completion.Usage)
	s.buffer = append(s.buffer, "}\n\ndata: [DONE]\n\n"...)
	return s.Flush()
}

// fail ends the stream with an error event. Without [DONE] and with the
// connection closed, it can't pass for a whole answer.
func (s *streamSink) fail(err *fault.Error) {
	if !s.started && len(s.buffer) == 0 {
		writeError(s.response, err)
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, encodeError(err)...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.Flush()
	panic(http.ErrAbortHandler)
}

// wholeSink collects an answer and writes it in one piece.
type wholeSink struct {
	response http.ResponseWriter
	model    core.ModelName
	created  int64
	id       string
}

func newWholeSink(w http.ResponseWriter, model core.ModelName, now time.Time) *wholeSink {
	return &wholeSink{response: w, model: model, created: now.Unix()}
}

// Begin implements pipeline.Sink.
func (s *wholeSink) Begin(work *core.Work) {
	s.id = work.ID.String()
	s.response.Header().Set(requestIDHeader, s.id)
}

// Token implements relay.Sink; the text comes whole with Finish.
func (s *wholeSink) Token(string) error { return nil }

// Flush implements relay.Sink.
func (s *wholeSink) Flush() error { return nil }

type completionBody struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []choiceBody  `json:"choices"`
	Tokens  completionUse `json:"usage"`
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

type completionUse struct {
	Prompt     core.Tokens `json:"prompt_tokens"`
	Completion core.Tokens `json:"completion_tokens"`
	Total      core.Tokens `json:"total_tokens"`
}

// Finish implements pipeline.Sink.
func (s *wholeSink) Finish(answer *core.Answer) error {
	if answer.Service != nil {
		return s.finishService(answer.Service)
	}
	completion := answer.Completion
	body, err := json.Marshal(completionBody{
		ID: "chatcmpl-" + s.id, Object: "chat.completion", Created: s.created, Model: string(s.model),
		Choices: []choiceBody{{Message: messageBody{"assistant", completion.Text}, FinishReason: completion.FinishReason}},
		Tokens:  completionUse{completion.Usage.Prompt, completion.Usage.Generated, completion.Usage.Total()},
	})
	if err != nil {
		return err
	}
	s.response.Header().Set("Content-Type", "application/json")
	s.response.WriteHeader(http.StatusOK)
	_, err = s.response.Write(append(body, '\n'))
	return err
}

func (s *wholeSink) finishService(answer *core.ServiceAnswer) error {
	if answer.ContentType != "" {
		s.response.Header().Set("Content-Type", answer.ContentType)
	}
	s.response.WriteHeader(answer.Status)
	_, err := s.response.Write(answer.Body)
	return err
}

func (s *wholeSink) fail(err *fault.Error) {
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
