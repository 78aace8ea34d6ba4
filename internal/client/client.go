// Package client is a small client of the callers' interface. The demo, the
// measures and the end-to-end tests use it.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// connectionsPerHost bounds idle connections, above the concurrency of
	// any load that the demo and the measures send to one host.
	connectionsPerHost = 512
	dialTimeout        = 2 * time.Second
	// maxLine bounds a line of a streamed answer.
	maxLine = 1 << 20
)

// Request is a chat completion.
type Request struct {
	Model          string
	Class          string
	System         string
	Prompt         string
	MaxTokens      int64
	Stream         bool
	IdempotencyKey string
}

// Answer is what came back, whole or not.
type Answer struct {
	RequestID  string
	Text       string
	Prompt     int64
	Generated  int64
	FirstToken time.Duration
	Total      time.Duration
	// Chunks counts the pieces of text received.
	Chunks int
	// LongestGap is the longest wait for a piece of a streamed answer, the
	// first one included.
	LongestGap time.Duration
	last       time.Time
}

// Error is a typed refusal or failure.
type Error struct {
	Status     int
	Code       string
	Run        string
	Message    string
	RetryAfter string
}

// Error returns code, run state and message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Run, e.Message)
}

// ErrTruncated is returned for a stream that ended without a last event.
var ErrTruncated = errors.New("the stream ended without [DONE]; retry with the same Idempotency-Key")

// Client sends requests with one team's key.
type Client struct {
	http *http.Client
	key  string
}

// New returns a client for a bearer key.
func New(key string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: connectionsPerHost,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}, key: key}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Complete sends a chat completion to the host at address and reads its
// answer. The text received is returned with an error, too.
func (c *Client) Complete(ctx context.Context, address string, request Request) (Answer, error) {
	body, err := json.Marshal(bodyOf(request))
	if err != nil {
		return Answer{}, err
	}
	started := time.Now()
	response, err := c.send(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", request.IdempotencyKey, body)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	answer := Answer{RequestID: response.Header.Get("X-Request-Id")}
	if response.StatusCode != http.StatusOK {
		return answer, readError(response)
	}
	if request.Stream {
		err = answer.readStream(response.Body, started)
	} else {
		err = answer.readWhole(response.Body, started)
	}
	answer.Total = time.Since(started)
	return answer, err
}

// Call sends a request to a plain service.
func (c *Client) Call(ctx context.Context, address, method, path, idempotencyKey string, body []byte) (int, []byte, error) {
	response, err := c.send(ctx, method, "http://"+address+"/services"+path, idempotencyKey, body)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	if response.Header.Get("X-Peridotreel-Run") != "" {
		return response.StatusCode, nil, readError(response)
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

func (c *Client) send(ctx context.Context, method, url, idempotencyKey string, body []byte) (*http.Response, error) {
	// The body is not a type that net/http can rewind, so that it never
	// repeats a request by itself.
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.key)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	return c.http.Do(request)
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     string            `json:"model"`
	Messages  []messageBody     `json:"messages"`
	MaxTokens int64             `json:"max_tokens,omitempty"`
	Stream    bool              `json:"stream,omitempty"`
	Metadata  map[string]string `json:"metadata,omitempty"`
}

func bodyOf(request Request) requestBody {
	body := requestBody{Model: request.Model, MaxTokens: request.MaxTokens, Stream: request.Stream}
	if request.System != "" {
		body.Messages = append(body.Messages, messageBody{"system", request.System})
	}
	body.Messages = append(body.Messages, messageBody{"user", request.Prompt})
	if request.Class != "" {
		body.Metadata = map[string]string{"class": request.Class}
	}
	return body
}

type usageBody struct {
	Prompt    int64 `json:"prompt_tokens"`
	Generated int64 `json:"completion_tokens"`
}

type chunkBody struct {
	Choices []struct {
		Delta        messageBody `json:"delta"`
		Message      messageBody `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage *usageBody `json:"usage"`
}

type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Code    string `json:"code"`
		Run     string `json:"run"`
	} `json:"error"`
}

func readError(response *http.Response) error {
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return decodeError(content, response.StatusCode, response.Header.Get("Retry-After"))
}

func decodeError(content []byte, status int, retryAfter string) error {
	var body errorBody
	if err := json.Unmarshal(content, &body); err != nil {
		return fmt.Errorf("status %d with an error body that is not JSON: %w", status, err)
	}
	return &Error{Status: status, Code: body.Error.Code, Run: body.Error.Run, Message: body.Error.Message, RetryAfter: retryAfter}
}

func (a *Answer) readWhole(body io.Reader, started time.Time) error {
	var whole chunkBody
	if err := json.NewDecoder(body).Decode(&whole); err != nil {
		return err
	}
	if len(whole.Choices) != 1 || whole.Usage == nil {
		return fmt.Errorf("answer has %d choices; expected one with usage", len(whole.Choices))
	}
	a.Text = whole.Choices[0].Message.Content
	a.Prompt, a.Generated = whole.Usage.Prompt, whole.Usage.Generated
	a.FirstToken = time.Since(started)
	return nil
}

func (a *Answer) readStream(body io.Reader, started time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	var text strings.Builder
	failed := false
	a.last = started
	defer func() { a.Text = text.String() }()
	for scanner.Scan() {
		line := scanner.Bytes()
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
		}
		data, found := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !found:
			continue
		case failed:
			return decodeError(data, http.StatusOK, "")
		case bytes.Equal(data, []byte("[DONE]")):
			return nil
		}
		if err := a.take(data, &text, started); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return ErrTruncated
}

func (a *Answer) take(data []byte, text *strings.Builder, started time.Time) error {
	var chunk chunkBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Usage != nil {
		a.Prompt, a.Generated = chunk.Usage.Prompt, chunk.Usage.Generated
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		now := time.Now()
		if a.Chunks == 0 {
			a.FirstToken = now.Sub(started)
		}
		a.LongestGap = max(a.LongestGap, now.Sub(a.last))
		a.last = now
		a.Chunks++
		text.WriteString(choice.Delta.Content)
	}
	return nil
}
