package sockets

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// countingCaller reads streamed answers without decoding them. Unlike with a JSON
// decoder, its processor time per chunk hardly depends on the relay, so it does
// not distort the difference between two runs.
type countingCaller struct {
	transport *http.Transport
}

func newCountingCaller() *countingCaller {
	return &countingCaller{transport: &http.Transport{MaxIdleConnsPerHost: relayIdleConns, DisableCompression: true}}
}

func (c *countingCaller) close() { c.transport.CloseIdleConnections() }

// countedAnswer is an answer as seen by a countingCaller.
type countedAnswer struct {
	firstToken time.Duration
	chunks     int64
}

type countingBody struct {
	Model     string            `json:"model"`
	Messages  []countingMessage `json:"messages"`
	MaxTokens int64             `json:"max_tokens"`
	Stream    bool              `json:"stream"`
	Metadata  map[string]string `json:"metadata"`
}

type countingMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// send sends a job and counts the chunks of its answer.
func (c *countingCaller) send(ctx context.Context, address string, j *job) (countedAnswer, error) {
	body, err := json.Marshal(countingBody{
		Model: string(model), Messages: []countingMessage{{"user", j.prompt}}, MaxTokens: j.maxTokens, Stream: true,
		Metadata: map[string]string{"class": string(j.class())},
	})
	if err != nil {
		return countedAnswer{}, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return countedAnswer{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+apiKey(j.team))
	started := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return countedAnswer{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return countedAnswer{}, fmt.Errorf("unexpected HTTP status %d", response.StatusCode)
	}
	return countChunks(bufio.NewScanner(response.Body), started)
}

var errNoEndMarker = errors.New("answer ended without [DONE]")

// countChunks counts the events with data before the end marker.
func countChunks(lines *bufio.Scanner, started time.Time) (countedAnswer, error) {
	var answer countedAnswer
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		switch {
		case !found:
			continue
		case bytes.Equal(data, []byte("[DONE]")):
			return answer, nil
		}
		if answer.chunks++; answer.chunks == 1 {
			answer.firstToken = time.Since(started)
		}
	}
	return answer, errors.Join(errNoEndMarker, lines.Err())
}

// check returns an error unless the answer has one chunk per token of the
// expected answer and a last one for the usage.
func (a *countedAnswer) check(j *job) error {
	if expected := int64(j.expected().Usage.Generated) + 1; a.chunks != expected {
		return fmt.Errorf("answer has %d chunks instead of %d", a.chunks, expected)
	}
	return nil
}
