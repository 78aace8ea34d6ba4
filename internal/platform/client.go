package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peridotreel/peridotreel/internal/httpresponse"
	"github.com/peridotreel/peridotreel/internal/platform/wire"
)

const (
	// defaultTimeout is the timeout of one operation. A healthy platform answers
	// within tens of milliseconds; a longer wait only delays the task that
	// repeats the operation.
	defaultTimeout = 2 * time.Second
	// dialTimeout limits connection set-up; zones are a few milliseconds apart.
	dialTimeout = time.Second
	// idleTimeout closes idle connections before network devices on the path
	// discard their state.
	idleTimeout = 30 * time.Second
	// maxAnswerBytes is the maximum size of an answer. It is enough for a full
	// read of the table: 12,000 teams with rows of a few hundred bytes to a few
	// KiB each.
	maxAnswerBytes = 64 << 20
)

// RateLimitError means that the platform's rate limit rejected an operation,
// which was not applied. It wraps ErrUnavailable because the remedy is the same:
// repeat the operation later with the same token.
type RateLimitError struct {
	// RetryAfter is the delay that the platform requests.
	RetryAfter time.Duration
}

// Error includes the delay.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("the platform's rate limit refused the operation; retry after %s", e.RetryAfter)
}

// Unwrap returns ErrUnavailable.
func (e *RateLimitError) Unwrap() error {
	return ErrUnavailable
}

// Client is a client of the platform's HTTP protocol. It implements Table and
// Directory; its method Objects returns the client of the object store.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

// ClientOption overrides a default of a client.
type ClientOption func(*Client)

// WithTimeout sets the timeout of one operation; the default is 2 s.
func WithTimeout(timeout time.Duration) ClientOption {
	return func(c *Client) { c.timeout = timeout }
}

// NewClient returns a client for the platform at baseURL, for example
// http://10.0.0.1:7000.
func NewClient(baseURL string, options ...ClientOption) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxIdleConnsPerHost: 4,
	}
	client := &Client{
		base: strings.TrimRight(baseURL, "/"), http: &http.Client{Transport: httpresponse.Transport{Base: transport}},
		timeout: defaultTimeout,
	}
	for _, option := range options {
		option(client)
	}
	return client
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, commit Commit) (Revision, error) {
	var committed wire.Committed
	err := c.exchange(ctx, http.MethodPost, wire.PathCommit, EncodeCommit(commit), &committed)
	return Revision(committed.Revision), err
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var rows wire.Rows
	err := c.exchange(ctx, http.MethodPost, wire.PathGet, wire.Keys{Keys: keys}, &rows)
	return DecodeRows(rows.Rows), err
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var rows wire.Rows
	path := wire.PathRows + "?prefix=" + url.QueryEscape(prefix)
	err := c.exchange(ctx, http.MethodGet, path, nil, &rows)
	return DecodeRows(rows.Rows), err
}

// Changes implements Table.
func (c *Client) Changes(ctx context.Context, since Revision, prefixes []string) (ChangeSet, error) {
	var changes wire.Changes
	body := wire.Since{Since: int64(since), Prefixes: prefixes}
	err := c.exchange(ctx, http.MethodPost, wire.PathChanges, body, &changes)
	return ChangeSet{Rows: DecodeRows(changes.Rows), Through: Revision(changes.Through)}, err
}

// Members implements Directory.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	var members wire.Members
	err := c.exchange(ctx, http.MethodGet, wire.PathMembers, nil, &members)
	return DecodeMembers(members), err
}

// Objects returns a client of the platform's object store.
func (c *Client) Objects() Objects {
	return objectClient{c}
}

// exchange sends a JSON body and decodes a JSON answer.
func (c *Client) exchange(ctx context.Context, method, path string, body, into any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return fmt.Errorf("encode the request for %s: %w", path, err)
		}
	}
	answer, err := c.send(ctx, method, path, encoded)
	if err != nil {
		return err
	}
	if err := answer.failure(); err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return fmt.Errorf("%w: answer of %s is not valid JSON: %w", ErrUnavailable, path, err)
	}
	return nil
}

type answer struct {
	path   string
	status int
	header http.Header
	body   []byte
}

// send sends a request and returns any complete answer, whatever its status. A
// connection that fails and an incomplete answer are ErrUnavailable.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("platform address %q is not a URL; correct it in the settings: %w", c.base, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// Open connections may have gone silent for good while new ones work.
			c.http.CloseIdleConnections()
		}
		return answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(content) > maxAnswerBytes {
		return answer{}, fmt.Errorf("answer of %s exceeds %d bytes; read fewer rows at a time", path, maxAnswerBytes)
	}
	return answer{path: path, status: response.StatusCode, header: response.Header, body: content}, nil
}

// failure returns the error for the answer's status, or nil if it is 200.
func (a answer) failure() error {
	switch {
	case a.status == http.StatusOK:
		return nil
	case a.status == http.StatusConflict:
		var rows wire.Rows
		if err := json.Unmarshal(a.body, &rows); err != nil {
			return errors.Join(&ConflictError{}, err)
		}
		return &ConflictError{Rows: DecodeRows(rows.Rows)}
	case a.status == http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(a.header)}
	case a.status >= http.StatusInternalServerError:
		return fmt.Errorf("%w: %s answered with status %d", ErrUnavailable, a.path, a.status)
	}
	return fmt.Errorf("the platform refused %s with status %d: %.200s", a.path, a.status, a.body)
}

// retryAfter parses a Retry-After header in seconds. It returns 0 if the header is
// absent or malformed.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// objectClient implements Objects. It is a separate type because its Get has
// another signature than the table's.
type objectClient struct {
	client *Client
}

// Put implements Objects.
func (o objectClient) Put(ctx context.Context, name string, content []byte) error {
	answer, err := o.client.send(ctx, http.MethodPut, objectPath(name), content)
	if err != nil {
		return err
	}
	return answer.failure()
}

// Get implements Objects.
func (o objectClient) Get(ctx context.Context, name string) ([]byte, bool, error) {
	answer, err := o.client.send(ctx, http.MethodGet, objectPath(name), nil)
	if err != nil {
		return nil, false, err
	}
	if answer.status == http.StatusNotFound {
		return nil, false, nil
	}
	if err := answer.failure(); err != nil {
		return nil, false, err
	}
	return answer.body, true, nil
}

func objectPath(name string) string {
	return wire.PathObjectsPrefix + url.PathEscape(name)
}
