package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/filter/attempt"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const (
	// resultCapacity is how many events are buffered for the relay. With chunks
	// of the usual size they take far less than 64 KiB per stream.
	resultCapacity = 16
	// bodyEndTimeout limits the wait for the end of the body after the finish
	// event. The end is needed only to reuse the connection.
	bodyEndTimeout = time.Second
)

// streamTask owns the connection of one streamed attempt.
type streamTask struct {
	client  *Client
	request attempt.Request
	results chan attempt.Result
}

// Stream implements attempt.Upstreams. If ctx ends before the stream, the request
// is cancelled at the engine, unless the cause is attempt.ErrKeepRunning.
func (c *Client) Stream(ctx context.Context, request attempt.Request) <-chan attempt.Result {
	stream := &streamTask{client: c, request: request, results: make(chan attempt.Result, resultCapacity)}
	go stream.run(ctx)
	return stream.results
}

func (t *streamTask) run(ctx context.Context) {
	reading, stop := context.WithCancel(ctx)
	defer stop()
	response, err := t.open(reading)
	if err != nil {
		t.fail(ctx, err)
		return
	}
	defer response.Body.Close()
	if err := t.forwardEvents(ctx, response.Body); err != nil {
		t.fail(ctx, err)
		return
	}
	close(t.results)
	timer := time.AfterFunc(bodyEndTimeout, stop)
	defer timer.Stop()
	// The connection is reused only if the body, which still contains the
	// [DONE] event, is read to its end.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
}

// open sends the request and returns the response if its status is 200.
func (t *streamTask) open(ctx context.Context) (*http.Response, error) {
	outgoing, err := t.newRequest(ctx)
	if err != nil {
		return nil, err
	}
	response, err := t.client.send(outgoing, t.request.Target, t.request.NewConnection)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(response)
	}
	return response, nil
}

func (t *streamTask) newRequest(ctx context.Context) (*http.Request, error) {
	body, err := encodeCompletion(t.request)
	if err != nil {
		return nil, fault.Refuse(fault.InvalidRequest, "a sampling parameter is not valid JSON; correct it").WithCause(err)
	}
	url := "http://" + t.request.Target.Address + wire.PathCompletions
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, addressError(t.request.Target, err)
	}
	header := outgoing.Header
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(wire.HeaderRequestID, t.request.Work.ID.String())
	header.Set(wire.HeaderAttempt, strconv.Itoa(t.request.Attempt))
	header.Set(wire.HeaderPriority, strconv.Itoa(t.request.Work.Class.Priority))
	if t.request.After > 0 {
		header.Set(wire.HeaderLastEventID, strconv.FormatInt(t.request.After, 10))
	}
	return outgoing, nil
}

// encodeCompletion returns the request body. Sampling parameters can't override
// the fields that the fleet sets.
func encodeCompletion(request attempt.Request) ([]byte, error) {
	completion := request.Work.Call.Completion
	if completion == nil {
		return nil, errors.New("the work is not a completion")
	}
	messages := make([]wire.Message, 0, len(completion.Messages))
	for _, message := range completion.Messages {
		messages = append(messages, wire.Message(message))
	}
	fields := make(map[string]any, len(completion.Parameters)+5)
	for _, parameter := range completion.Parameters {
		fields[parameter.Name] = json.RawMessage(parameter.JSON)
	}
	fields["model"] = completion.Model
	fields["messages"] = messages
	fields["max_tokens"] = request.Work.MaxGenerated
	fields["stream"] = true
	delete(fields, "partial_output")
	if request.Partial != "" {
		fields["partial_output"] = request.Partial
	}
	return json.Marshal(fields)
}

// forwardEvents sends the events to the results channel. It returns nil after
// the finish event.
func (t *streamTask) forwardEvents(ctx context.Context, body io.Reader) error {
	decoder := newSSEDecoder(body)
	texts := &textArena{}
	decoder.onComment = t.handleComment
	for {
		received, err := decoder.next()
		if err != nil {
			return streamError(err)
		}
		event, err := decodeEvent(received, texts)
		if err != nil {
			return streamError(err)
		}
		select {
		case t.results <- attempt.Result{Event: event}:
		case <-ctx.Done():
			return streamError(ctx.Err())
		}
		if event.Kind == core.EventFinish {
			return nil
		}
	}
}

// handleComment passes the load in a comment to the client's load function.
func (t *streamTask) handleComment(text []byte) {
	if t.client.onLoad == nil {
		return
	}
	if load, ok := wire.ParseAnswerLoad(text); ok {
		t.client.onLoad(t.request.Target, load)
	}
}

func decodeEvent(received *sseEvent, texts *textArena) (core.Event, error) {
	if string(received.Type) == wire.ErrorEvent {
		return core.Event{}, fmt.Errorf("the engine reported an error: %.500s", received.Data)
	}
	if string(received.Data) == wire.DoneData {
		return core.Event{}, errors.New("the stream ended without a finish reason")
	}
	if received.ID < 1 {
		return core.Event{}, errors.New("the id of an event is missing or less than 1")
	}
	parsed, err := parseChunk(received.Data, texts)
	if err != nil {
		return core.Event{}, err
	}
	return parsed.event(received.ID)
}

func streamError(err error) *fault.Error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fault.New(fault.UpstreamFailed, fault.Unknown, "the upstream's answer broke off; retry").WithCause(err)
}

// fail sends the error that ended the stream to the results channel and closes
// it. If ctx has ended, it also tries to cancel the request at the engine.
func (t *streamTask) fail(ctx context.Context, err error) {
	resumed := errors.Is(context.Cause(ctx), attempt.ErrKeepRunning)
	if resumed {
		t.client.DropIdleConnections()
	}
	if ctx.Err() == nil {
		select {
		case t.results <- attempt.Result{Err: err}:
			close(t.results)
			return
		case <-ctx.Done():
		}
	}
	select {
	case t.results <- attempt.Result{Err: err}:
	default: // the relay no longer reads the results
	}
	close(t.results)
	if fault.From(err).Run != fault.NotRun && !resumed && !t.client.cancellationDisabled.Load() {
		t.cancelAtEngine(ctx)
	}
}

func (t *streamTask) cancelAtEngine(ended context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ended), t.client.controlTimeout)
	defer cancel()
	url := "http://" + t.request.Target.Address + wire.PathRequestsPrefix + t.request.Work.ID.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
	if err != nil {
		return
	}
	request.Header.Set(wire.HeaderAttempt, strconv.Itoa(t.request.Attempt))
	// The request uses a new connection, as the pooled ones may be silent too.
	response, err := t.client.send(request, t.request.Target, true)
	if err == nil {
		response.Body.Close()
	}
}
