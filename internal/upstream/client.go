// Package upstream is the client of engines and plain services.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const (
	// defaultDialTimeout bounds the set-up of a connection between zones that
	// are a few milliseconds apart; one lost packet is sent again within it.
	defaultDialTimeout = 1500 * time.Millisecond
	// defaultControlTimeout bounds probes, load reports and cancellations.
	defaultControlTimeout = time.Second
	// idleTimeout drops idle connections before devices on the way forget them.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream keeps connections for the usual number of streams of
	// one host at one upstream.
	maxIdlePerUpstream = 64
	// maxAnswerBytes bounds the answer of a plain service, like the request.
	maxAnswerBytes = 4 << 20
	// maxErrorBytes bounds what is read of an answer that refuses a request.
	maxErrorBytes = 4 << 10
)

// Client implements attempt.Upstreams over HTTP.
type Client struct {
	// pooled keeps connections. net/http repeats a request by itself on a new
	// connection when a pooled one turns out closed, if the request is
	// idempotent by its method or carries an Idempotency-Key.
	pooled *http.Transport
	// fresh uses each connection once, so net/http never repeats a request.
	fresh          *http.Transport
	controlTimeout time.Duration
	abandoned      atomic.Bool
	onLoad         LoadFunc
}

// LoadFunc is told the load that an engine's answer carries, as it arrives. It
// must not block, as the answer waits for it.
type LoadFunc func(target core.Target, load wire.AnswerLoad)

// Option changes a default of a client.
type Option func(*options)

type options struct {
	dialTimeout    time.Duration
	controlTimeout time.Duration
	onLoad         LoadFunc
}

// WithLoads passes on the load that engines' answers carry.
func WithLoads(onLoad LoadFunc) Option {
	return func(o *options) { o.onLoad = onLoad }
}

// WithDialTimeout bounds the set-up of a connection; the default is 1.5 s.
func WithDialTimeout(timeout time.Duration) Option {
	return func(o *options) { o.dialTimeout = timeout }
}

// WithControlTimeout bounds probes, load reports and cancellations; the
// default is 1 s.
func WithControlTimeout(timeout time.Duration) Option {
	return func(o *options) { o.controlTimeout = timeout }
}

// NewClient returns a client.
func NewClient(opts ...Option) *Client {
	chosen := options{dialTimeout: defaultDialTimeout, controlTimeout: defaultControlTimeout}
	for _, option := range opts {
		option(&chosen)
	}
	dial := (&net.Dialer{Timeout: chosen.dialTimeout}).DialContext
	return &Client{
		pooled: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		},
		fresh: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true,
		},
		controlTimeout: chosen.controlTimeout, onLoad: chosen.onLoad,
	}
}

// distrustPooled drops the idle connections after one has fallen silent. What
// silenced it silenced the others to its upstream as well; dropping those to
// other upstreams costs only new connections.
func (c *Client) distrustPooled() {
	c.pooled.CloseIdleConnections()
}

// Close drops idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Abandon makes streams that end from now on stay uncancelled at their engines,
// as when the process dies: callers may resume them through other hosts.
func (c *Client) Abandon() {
	c.abandoned.Store(true)
}

func (c *Client) transport(fresh bool) *http.Transport {
	if fresh {
		return c.fresh
	}
	return c.pooled
}

// send performs one request. Errors are *fault.Error; if no connection was
// obtained, no byte can have been written and the request did not run.
// Redirections are not followed, as they would repeat the request.
func (c *Client) send(request *http.Request, fresh bool) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := c.transport(fresh).RoundTrip(request)
	switch {
	case err == nil:
		return response, nil
	case connected.Load():
		return nil, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the upstream gave no answer; look the result up before a retry").WithCause(err)
	default:
		return nil, fault.Refuse(fault.NoUpstream,
			"the upstream accepts no connection; retry").WithCause(err)
	}
}

// refusal returns the error for an answer that refuses a request, and closes
// the answer. Only an upstream that says so has not run the request.
func refusal(response *http.Response) *fault.Error {
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	cause := fmt.Errorf("status %d: %s", response.StatusCode, text)
	if err != nil {
		cause = fmt.Errorf("status %d: %w", response.StatusCode, err)
	}
	if !refusedBeforeRun(response) {
		return fault.New(fault.UpstreamFailed, fault.Unknown,
			"the upstream answered with status %d", response.StatusCode).WithCause(cause)
	}
	refused := fault.Refuse(fault.UpstreamFailed, "the upstream took no work; retry").WithCause(cause)
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		refused = refused.WithRetryAfter(time.Duration(seconds) * time.Second)
	}
	return refused
}

func refusedBeforeRun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return response.Header.Get(wire.HeaderNotRun) == "true"
	default:
		return false
	}
}

// Probe implements attempt.Upstreams: it returns nil if the upstream answers
// on a new connection, even if it takes no new work, as it may still hold
// streams.
func (c *Client) Probe(ctx context.Context, target core.Target) error {
	ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
	defer cancel()
	response, err := c.control(ctx, target, http.MethodGet, wire.PathHealth, true)
	if err != nil {
		return err
	}
	response.Body.Close()
	return nil
}

// Load returns an upstream's load report.
func (c *Client) Load(ctx context.Context, target core.Target) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
	defer cancel()
	response, err := c.control(ctx, target, http.MethodGet, wire.PathLoad, false)
	if err != nil {
		return LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return LoadReport{}, refusal(response)
	}
	defer response.Body.Close()
	var report wire.Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&report); err != nil {
		return LoadReport{}, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the upstream's load report can't be read").WithCause(err)
	}
	return decodeLoad(report), nil
}

// control sends a request without body. The caller closes the answer.
func (c *Client) control(ctx context.Context, target core.Target, method, path string, fresh bool) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.Address+path, nil)
	if err != nil {
		return nil, badAddress(target, err)
	}
	return c.send(request, fresh)
}

func badAddress(target core.Target, err error) *fault.Error {
	return fault.Refuse(fault.NoUpstream,
		"upstream %s has an unusable address; correct the platform's list", target.Upstream).WithCause(err)
}
