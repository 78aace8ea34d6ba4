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
	// resultCapacity bounds the events that wait for the relay; with usual
	// chunks it stays far below 64 KiB a stream.
	resultCapacity = 16
	// endTimeout bounds the wait for the end of the body after the last
	// event, which is needed only to use the connection again.
	endTimeout = time.Second
)

// streamTask owns the connection of one attempt.
type streamTask struct {
	client  *Client
	request attempt.Request
	results chan attempt.Result
}

// Stream implements attempt.Upstreams. When ctx ends early, the request is
// cancelled at the engine, unless the cause is attempt.ErrKeepRunning.
func (c *Client) Stream(ctx context.Context, request attempt.Request) <-chan attempt.Result {
	owner := &streamTask{client: c, request: request, results: make(chan attempt.Result, resultCapacity)}
	go owner.run(ctx)
	return owner.results
}

func (t *streamTask) run(ctx context.Context) {
	reading, stop := context.WithCancel(ctx)
	defer stop()
	response, err := t.open(reading)
	if err != nil {
		t.end(ctx, err)
		return
	}
	defer response.Body.Close()
	if err := t.relay(ctx, response.Body); err != nil {
		t.end(ctx, err)
		return
	}
	close(t.results)
	timer := time.AfterFunc(endTimeout, stop)
	defer timer.Stop()
	// The rest is the end mark; without it the connection is not used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes))
}

// open sends the request and returns the answer if it is a stream.
func (t *streamTask) open(ctx context.Context) (*http.Response, error) {
	outgoing, err := t.encode(ctx)
	if err != nil {
		return nil, err
	}
	response, err := t.client.send(outgoing, t.request.Fresh)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusal(response)
	}
	return response, nil
}

func (t *streamTask) encode(ctx context.Context) (*http.Request, error) {
	body, err := encodeCompletion(t.request)
	if err != nil {
		return nil, fault.Refuse(fault.InvalidRequest, "a sampling parameter is not valid JSON; correct it").WithCause(err)
	}
	url := "http://" + t.request.Target.Address + wire.PathCompletions
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, badAddress(t.request.Target, err)
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

// encodeCompletion returns the body. Sampling parameters can't replace the
// fields that the fleet sets.
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

// relay passes events on until the finish event, and returns nil after it.
func (t *streamTask) relay(ctx context.Context, body io.Reader) error {
	decoder := newSSEDecoder(body)
	texts := &textArena{}
	decoder.onComment = t.comment
	for {
		received, err := decoder.next()
		if err != nil {
			return brokenStream(err)
		}
		event, err := decodeEvent(received, texts)
		if err != nil {
			return brokenStream(err)
		}
		select {
		case t.results <- attempt.Result{Event: event}:
		case <-ctx.Done():
			return brokenStream(ctx.Err())
		}
		if event.Kind == core.EventFinish {
			return nil
		}
	}
}

// comment passes on the load that an engine's answer carries.
func (t *streamTask) comment(text []byte) {
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
		return core.Event{}, errors.New("an event has no position")
	}
	parsed, err := parseChunk(received.Data, texts)
	if err != nil {
		return core.Event{}, err
	}
	return parsed.event(received.ID)
}

func brokenStream(err error) *fault.Error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return fault.New(fault.UpstreamFailed, fault.Unknown, "the upstream's answer broke off; retry").WithCause(err)
}

// end reports the error that ended the stream. If the caller ended it, the
// request is cancelled at the engine, on a best-effort basis.
func (t *streamTask) end(ctx context.Context, err error) {
	replaced := errors.Is(context.Cause(ctx), attempt.ErrKeepRunning)
	if replaced {
		t.client.distrustPooled()
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
	default: // the caller has stopped to read
	}
	close(t.results)
	if fault.From(err).Run != fault.NotRun && !replaced && !t.client.abandoned.Load() {
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
	// A new connection, as the pooled ones may be silent like the stream's.
	response, err := t.client.send(request, true)
	if err == nil {
		response.Body.Close()
	}
}
