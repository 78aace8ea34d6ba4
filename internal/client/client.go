// Package client is a simple client of the callers' HTTP API for the demo, the
// measurements and the end-to-end tests.
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

	"github.com/peridotreel/peridotreel/internal/httpresponse"
)

const (
	// maxIdlePerHost is more than the concurrency of any load that the demo and
	// the measurements send to one host.
	maxIdlePerHost = 512
	dialTimeout    = 2 * time.Second
	// maxLineBytes is the longest accepted line of a streamed answer.
	maxLineBytes = 1 << 20
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

// Answer is the answer to a chat completion. It is incomplete if it comes with
// an error.
type Answer struct {
	RequestID       string
	Text            string
	PromptTokens    int64
	GeneratedTokens int64
	FirstToken      time.Duration
	Total           time.Duration
	// Chunks counts the chunks of text received.
	Chunks int
	// LongestGap is the longest wait for a chunk of a streamed answer, including
	// the first.
	LongestGap time.Duration
	lastChunk  time.Time
}

// Error is an error reported by the host.
type Error struct {
	Status     int
	Code       string
	Run        string
	Message    string
	RetryAfter string
}

// Error returns the status, the code, the run state and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Status, e.Code, e.Run, e.Message)
}

// ErrTruncated is the error of a stream that ended without [DONE].
var ErrTruncated = errors.New("the stream ended without [DONE]; retry with the same Idempotency-Key")

// Client sends requests with one bearer key.
type Client struct {
	http      *http.Client
	bearerKey string
}

// New returns a client for a bearer key.
func New(key string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: httpresponse.Transport{Base: transport}}, bearerKey: key}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Complete sends a chat completion to the host at address and reads the answer.
// If it returns an error, the answer holds the text received until then.
func (c *Client) Complete(ctx context.Context, address string, request Request) (Answer, error) {
	body, err := json.Marshal(newRequestBody(request))
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
		err = answer.readNonStream(response.Body, started)
	}
	answer.Total = time.Since(started)
	return answer, err
}

// Call sends a request to a plain service through the host at address and
// returns the status and the body of the answer.
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
	// io.NopCloser keeps net/http from rewinding the body, so that it never
	// repeats a request by itself.
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.bearerKey)
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

func newRequestBody(request Request) requestBody {
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

type answerBody struct {
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

func (a *Answer) readNonStream(body io.Reader, started time.Time) error {
	var decoded answerBody
	if err := json.NewDecoder(body).Decode(&decoded); err != nil {
		return err
	}
	if len(decoded.Choices) != 1 || decoded.Usage == nil {
		return fmt.Errorf("answer has %d choices or no usage; expected one choice with usage", len(decoded.Choices))
	}
	a.Text = decoded.Choices[0].Message.Content
	a.PromptTokens, a.GeneratedTokens = decoded.Usage.Prompt, decoded.Usage.Generated
	a.FirstToken = time.Since(started)
	return nil
}

func (a *Answer) readStream(body io.Reader, started time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	var text strings.Builder
	failed := false
	a.lastChunk = started
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
		if err := a.addChunk(data, &text, started); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return err
	}
	return ErrTruncated
}

func (a *Answer) addChunk(data []byte, text *strings.Builder, started time.Time) error {
	var chunk answerBody
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if chunk.Usage != nil {
		a.PromptTokens, a.GeneratedTokens = chunk.Usage.Prompt, chunk.Usage.Generated
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		now := time.Now()
		if a.Chunks == 0 {
			a.FirstToken = now.Sub(started)
		}
		a.LongestGap = max(a.LongestGap, now.Sub(a.lastChunk))
		a.lastChunk = now
		a.Chunks++
		text.WriteString(choice.Delta.Content)
	}
	return nil
}
