// Package upstream is the HTTP client for engines and plain services.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/fault"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

const (
	// defaultDialTimeout limits the time to establish a connection. The latency
	// between zones is a few milliseconds, and the limit leaves time to
	// retransmit one lost packet.
	defaultDialTimeout = 1500 * time.Millisecond
	// defaultControlTimeout limits probes, load reports and cancellations.
	defaultControlTimeout = time.Second
	// idleTimeout closes idle connections before middleboxes drop their state.
	idleTimeout = 30 * time.Second
	// maxIdlePerUpstream is about the usual number of streams from one host to
	// one upstream.
	maxIdlePerUpstream = 64
	// maxAnswerBytes is the largest answer of a plain service. Request bodies
	// have the same limit.
	maxAnswerBytes = 4 << 20
	// maxHeadBytes limits the head of an answer, interim answers before it included.
	maxHeadBytes = 16 << 10
	// maxErrorBytes limits what is read of an error answer, of a load report
	// and of a stream after its finish event.
	maxErrorBytes = 4 << 10
)

// Client implements attempt.Upstreams over HTTP.
type Client struct {
	// pooled reuses connections. If a reused connection turns out to be closed,
	// net/http itself repeats a request on a new one, provided that its method
	// is idempotent or it has an Idempotency-Key header.
	pooled *http.Transport
	// unpooled uses each connection once, so net/http never repeats a request.
	unpooled *http.Transport
	// tunnelled is unpooled over tunnels through other hosts.
	tunnelled *http.Transport
	// connect opens connections, and dial also reports to links how that ended.
	connect, dial        DialFunc
	links                Links
	controlTimeout       time.Duration
	cancellationDisabled atomic.Bool
	onLoad               LoadFunc
}

// LoadFunc is called with each load that an engine reports in an answer. It must
// not block, because it delays the answer.
type LoadFunc func(target core.Target, load wire.AnswerLoad)

// Option sets an option of a client.
type Option func(*options)

type options struct {
	dialTimeout    time.Duration
	controlTimeout time.Duration
	onLoad         LoadFunc
	dial           DialFunc
	links          Links
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Links tells whether this host reaches upstreams itself, and opens connections through
// other hosts (decision 22).
type Links interface {
	// CutOff reports whether an upstream is to be reached through another host.
	CutOff(upstream core.UpstreamID) bool
	// Dialed is told of each attempt to connect without another host. CutOff takes a
	// failure into account once it has returned.
	Dialed(address string, err error)
	// Tunnel opens a connection through another host, which carries one request. If it
	// returns an error, the upstream got nothing.
	Tunnel(ctx context.Context, target core.Target) (net.Conn, error)
}

// WithLinks sets the links; nil means that upstreams are reached directly only.
func WithLinks(links Links) Option {
	return func(o *options) { o.links = links }
}

// WithDial sets the function that opens connections to upstreams; nil means TCP. Tests cut
// a host's links by it.
func WithDial(dial DialFunc) Option {
	return func(o *options) { o.dial = dial }
}

// WithLoads sets the function that receives the loads in engines' answers.
func WithLoads(onLoad LoadFunc) Option {
	return func(o *options) { o.onLoad = onLoad }
}

// WithDialTimeout limits the time to establish a connection; the default is
// 1.5 s.
func WithDialTimeout(timeout time.Duration) Option {
	return func(o *options) { o.dialTimeout = timeout }
}

// WithControlTimeout limits the time of probes, load reports and cancellations;
// the default is 1 s.
func WithControlTimeout(timeout time.Duration) Option {
	return func(o *options) { o.controlTimeout = timeout }
}

// NewClient returns a client.
func NewClient(opts ...Option) *Client {
	settings := options{dialTimeout: defaultDialTimeout, controlTimeout: defaultControlTimeout}
	for _, option := range opts {
		option(&settings)
	}
	connect := dialer(settings.dial, settings.dialTimeout)
	dial := reportingDialer(connect, settings.links)
	return &Client{
		connect: connect, dial: dial, links: settings.links,
		tunnelled: &http.Transport{
			DialContext: tunnelDialer(settings.links), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		},
		pooled: &http.Transport{
			DialContext: dial, MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		},
		unpooled: &http.Transport{
			DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
		},
		controlTimeout: settings.controlTimeout, onLoad: settings.onLoad,
	}
}

// DropIdleConnections closes all idle connections after one connection went
// silent. The cause affects the others to the same upstream as well; closing
// those to other upstreams only costs new connections.
func (c *Client) DropIdleConnections() {
	c.pooled.CloseIdleConnections()
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// DisableCancellation stops cancelling requests at engines when their streams end, as if the
// process had died. Callers may then resume the answers through other hosts.
func (c *Client) DisableCancellation() {
	c.cancellationDisabled.Store(true)
}

// send sends one request to a target, through another host if this one is cut off from
// it, and returns the response. Errors are of type *fault.Error. If no connection was
// obtained, no byte was written and the request did not run. Redirects are not followed,
// as that would repeat the request.
func (c *Client) send(request *http.Request, target core.Target, newConnection bool) (*http.Response, error) {
	if c.links == nil {
		return roundTrip(c.transport(newConnection), request)
	}
	if !c.links.CutOff(target.Upstream) {
		// Should this attempt show the cut, it goes through another host, as it did not run.
		response, err := roundTrip(c.transport(newConnection), request)
		if err == nil || fault.From(err).Run != fault.NotRun || request.Context().Err() != nil || !c.links.CutOff(target.Upstream) {
			return response, err
		}
	}
	request = request.Clone(withTunnelTarget(request.Context(), target))
	if request.GetBody != nil {
		body, err := request.GetBody()
		if err != nil {
			return nil, fault.Refuse(fault.Internal, "the request's body can't be read once more").WithCause(err)
		}
		request.Body = body
	}
	return roundTrip(c.tunnelled, request)
}

func (c *Client) transport(newConnection bool) *http.Transport {
	if newConnection {
		return c.unpooled
	}
	return c.pooled
}

// roundTrip sends a request over a transport. Its errors are those of send.
func roundTrip(transport *http.Transport, request *http.Request) (*http.Response, error) {
	var observed exchange
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), observed.trace()))
	response, err := transport.RoundTrip(request)
	if err == nil {
		if err = observed.check(response); err != nil {
			response.Body.Close()
		}
	}
	switch {
	case err == nil && (!core.ValidStatus(response.StatusCode) || response.StatusCode < http.StatusOK):
		// No request asks for another protocol, so 101 is no answer to one either.
		response.Body.Close()
		return nil, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the upstream's answer has the invalid status %q; look the result up before a retry", response.Status)
	case err == nil:
		return response, nil
	case observed.connected.Load():
		return nil, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the upstream gave no valid answer; look the result up before a retry").WithCause(err)
	default:
		return nil, fault.Refuse(fault.NoUpstream,
			"the upstream accepts no connection; retry").WithCause(err)
	}
}

// Dial sets up a connection without another host, as for another host's tunnel. The result
// is not reported to the client's links.
func (c *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := c.connect(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if opened, ok := connection.(*socket); ok {
		// The relay of a tunnel reads the state of the connection itself.
		return opened.Conn, nil
	}
	return connection, nil
}

// Connect sets up a connection without another host and closes it. The result is not
// reported to the client's links.
func (c *Client) Connect(ctx context.Context, address string) error {
	connection, err := c.connect(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return connection.Close()
}

// LinksLost implements attempt.Upstreams.
func (c *Client) LinksLost(ctx context.Context, target core.Target) bool {
	if c.links == nil {
		return false
	}
	if !c.links.CutOff(target.Upstream) {
		connection, err := c.dial(ctx, "tcp", target.Address)
		if err == nil {
			_ = connection.Close()
			return false
		}
	}
	return c.links.CutOff(target.Upstream)
}

// refusalError converts a response that refuses a request to an error and closes
// its body. The request counts as not run only if the upstream says so.
func refusalError(response *http.Response) *fault.Error {
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

// refusedBeforeRun reports whether the upstream states that it refused the
// request without running it. The refusal must name the request: a faulty upstream may
// write an earlier one once more on a kept connection.
func refusedBeforeRun(response *http.Response) bool {
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return response.Header.Get(wire.HeaderNotRun) == "true" &&
			namesOnly(response.Header[wire.HeaderRequestID], response.Request.Header.Get(wire.HeaderRequestID))
	default:
		return false
	}
}

// namesOnly reports whether a response with some ids of requests answers that one only.
func namesOnly(ids []string, id string) bool {
	return len(ids) > 0 && !slices.ContainsFunc(ids, func(named string) bool { return named != id })
}

// Probe implements attempt.Upstreams. It returns nil if the upstream responds on
// a new connection, whatever the status: an upstream that accepts no new work
// may still have running streams.
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

// Load requests the upstream's load report.
func (c *Client) Load(ctx context.Context, target core.Target) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.controlTimeout)
	defer cancel()
	response, err := c.control(ctx, target, http.MethodGet, wire.PathLoad, false)
	if err != nil {
		return LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return LoadReport{}, refusalError(response)
	}
	defer response.Body.Close()
	var report wire.Load
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&report); err != nil {
		return LoadReport{}, fault.New(fault.UpstreamFailed, fault.Unknown,
			"the upstream's load report can't be read").WithCause(err)
	}
	return decodeLoad(report), nil
}

// control sends a request without a body. The caller closes the response body.
func (c *Client) control(ctx context.Context, target core.Target, method, path string, newConnection bool) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target.Address+path, nil)
	if err != nil {
		return nil, addressError(target, err)
	}
	return c.send(request, target, newConnection)
}

func addressError(target core.Target, err error) *fault.Error {
	return fault.Refuse(fault.NoUpstream,
		"upstream %s has an unusable address; correct the platform's list", target.Upstream).WithCause(err)
}
