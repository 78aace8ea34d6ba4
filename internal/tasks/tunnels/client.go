package tunnels

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
	"github.com/peridotreel/peridotreel/internal/decide/helpers"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// maxTries bounds the helpers that are asked for one tunnel.
	maxTries = 3
	// helperTimeout bounds one try: upstreamTimeout at the helper and a few round trips.
	helperTimeout = 400 * time.Millisecond
)

// ErrNoHelper means that no other host could open a tunnel now. It says nothing about the
// upstream.
var ErrNoHelper = errors.New("no other host can reach the upstream for this one now; retry later")

// UpstreamError means that a helper that reaches others answered that no request should
// be sent to this upstream now. Another one should be chosen.
type UpstreamError struct {
	Helper core.HostID
	// Answer has the status NotNow, Unreachable or Refused.
	Answer tunnel.Answer
}

// Error implements error.
func (e *UpstreamError) Error() string {
	return fmt.Sprintf("host %s opened no tunnel to the upstream: %s: %s", e.Helper, e.Answer.Status, e.Answer.Reason)
}

// Unwrap returns syscall.ECONNREFUSED if the upstream refused the helper's connection.
func (e *UpstreamError) Unwrap() error {
	if e.Answer.Status == tunnel.Refused {
		return syscall.ECONNREFUSED
	}
	return nil
}

// Target is the upstream to which a tunnel is wanted.
type Target struct {
	Upstream core.UpstreamID
	// StartMillis is the start time of its list entry, in Unix milliseconds.
	StartMillis int64
	Service     core.ServiceName
	Zone        core.ZoneName
}

// TargetOf returns the target of a listed upstream.
func TargetOf(upstream gateway.Upstream) Target {
	return Target{Upstream: upstream.ID, StartMillis: upstream.StartMillis, Service: upstream.Service, Zone: upstream.Zone}
}

// ClientConfig describes a Client.
type ClientConfig struct {
	Host core.HostID
	Zone core.ZoneName
	// Dial connects to the peer address of a host; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  *zap.Logger
	Now  func() time.Time
}

// Client is the task that knows the hosts that can help, and opens tunnels through them.
type Client struct {
	config ClientConfig
	inbox  *task.Inbox[any]
}

// ClientTotals are counts of a Client.
type ClientTotals struct {
	// Open is the number of open tunnels of this host.
	Open int64
	// Tried counts requests to helpers by result.
	Tried map[helpers.Result]int64
}

// Messages to the client's task.
type (
	setMembers struct{ members []allowance.Member }
	choose     struct {
		query helpers.Query
		reply chan<- chosen
	}
	chosen struct {
		host  helpers.Host
		found bool
	}
	tried struct {
		host    core.HostID
		service core.ServiceName
		result  helpers.Result
		err     error
	}
	closed struct{ host core.HostID }
	usable struct {
		service core.ServiceName
		reply   chan<- bool
	}
	countClient struct{ reply chan<- ClientTotals }
)

// NewClient returns the task.
func NewClient(config ClientConfig) *Client {
	if config.Dial == nil {
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Client{config: config, inbox: task.NewInbox[any](inboxCapacity)}
}

// clientState is what the client's task owns.
type clientState struct {
	helpers *helpers.Helpers
	open    int64
	tried   map[helpers.Result]int64
	// failing has the helpers whose last answer was a failure, so that the log has one
	// line for each change.
	failing map[core.HostID]bool
}

// Run handles messages until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.inbox.Close()
	state := &clientState{
		helpers: helpers.New(c.config.Host, c.config.Zone), tried: make(map[helpers.Result]int64), failing: make(map[core.HostID]bool),
	}
	for {
		select {
		case message := <-c.inbox.Messages():
			c.handle(state, message)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) handle(state *clientState, message any) {
	now := c.config.Now()
	switch m := message.(type) {
	case setMembers:
		state.setMembers(m.members)
	case choose:
		host, found := state.helpers.Choose(m.query, now, rand.IntN)
		m.reply <- chosen{host, found}
	case tried:
		state.helpers.Tried(m.host, m.service, m.result, now)
		state.tried[m.result]++
		if m.result == helpers.Opened {
			state.open++
		}
		c.logChange(state, m)
	case closed:
		state.helpers.Closed(m.host)
		state.open--
	case usable:
		m.reply <- state.helpers.Usable(m.service, now)
	case countClient:
		m.reply <- ClientTotals{Open: state.open, Tried: maps.Clone(state.tried)}
	}
}

func (s *clientState) setMembers(members []allowance.Member) {
	hosts := make([]helpers.Host, len(members))
	failing := make(map[core.HostID]bool)
	for i, member := range members {
		hosts[i] = helpers.Host{ID: member.Host, Zone: member.Zone, Address: member.Address}
		if s.failing[member.Host] {
			failing[member.Host] = true
		}
	}
	s.failing = failing
	s.helpers.SetHosts(hosts)
}

func (c *Client) logChange(state *clientState, m tried) {
	switch m.result {
	case helpers.CutOff, helpers.Failed, helpers.Unsupported:
		if !state.failing[m.host] {
			state.failing[m.host] = true
			c.config.Log.Warn("a host could not open a tunnel", zap.String("event", "helper_lost"), zap.String("peer", string(m.host)),
				zap.String("service", string(m.service)), zap.Error(m.err))
		}
	case helpers.Opened:
		if state.failing[m.host] {
			delete(state.failing, m.host)
			c.config.Log.Info("a host opens tunnels again", zap.String("event", "helper_regained"), zap.String("peer", string(m.host)),
				zap.String("service", string(m.service)))
		}
	default:
		// The other results are those of a host that works.
	}
}

// SetMembers sets the hosts that may be asked for tunnels.
func (c *Client) SetMembers(members []allowance.Member) {
	_ = c.inbox.Send(context.Background(), setMembers{members})
}

// Usable reports whether a host is left that may be asked for a tunnel to a service: none
// has been tried yet, one has worked, or the back-off of one is over.
func (c *Client) Usable(ctx context.Context, service core.ServiceName) bool {
	found, err := task.Ask(ctx, c.inbox, func(reply chan<- bool) any { return usable{service, reply} })
	return err == nil && found
}

// Totals returns the counts since the start.
func (c *Client) Totals(ctx context.Context) (ClientTotals, error) {
	return task.Ask(ctx, c.inbox, func(reply chan<- ClientTotals) any { return countClient{reply} })
}

// Dial opens a tunnel to an upstream. It asks up to three hosts. The connection carries
// one request, and must be closed after it. The error is an *UpstreamError, or wraps
// ErrNoHelper or ctx's error; in each case the upstream got nothing.
func (c *Client) Dial(ctx context.Context, target Target) (net.Conn, error) {
	query := helpers.Query{Service: target.Service, Zone: target.Zone}
	last := ErrNoHelper
	for range maxTries {
		choice, err := task.Ask(ctx, c.inbox, func(reply chan<- chosen) any { return choose{query, reply} })
		if err != nil {
			return nil, err
		}
		if !choice.found {
			break
		}
		query.Excluded = append(query.Excluded, choice.host.ID)
		conn, err := c.try(ctx, choice.host, target)
		if ctx.Err() != nil && err != nil {
			return nil, errors.Join(ctx.Err(), err)
		}
		var refused *UpstreamError
		if err == nil || errors.As(err, &refused) {
			return conn, err
		}
		last = fmt.Errorf("%w: host %s: %w", ErrNoHelper, choice.host.ID, err)
	}
	return nil, last
}

// opened is the outcome of one try.
type opened struct {
	conn net.Conn
	err  error
}

// Probe opens a tunnel to an upstream and closes it without sending anything. Its error is
// that of Dial.
func (c *Client) Probe(ctx context.Context, target Target) error {
	conn, err := c.Dial(ctx, target)
	if err != nil {
		return err
	}
	return conn.Close()
}

// try asks one host for a tunnel. The worker that does so goes on when ctx ends, so that
// the task learns of a host that does not answer whatever the time that requests have.
func (c *Client) try(ctx context.Context, helper helpers.Host, target Target) (net.Conn, error) {
	outcome := make(chan opened, 1)
	go func() {
		askCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), helperTimeout)
		defer cancel()
		conn, result, err := c.ask(askCtx, helper, target)
		_ = c.inbox.Send(context.Background(), tried{helper.ID, target.Service, result, err})
		outcome <- opened{conn, err}
	}()
	select {
	case got := <-outcome:
		return got.conn, got.err
	case <-ctx.Done():
		go func() {
			if got := <-outcome; got.conn != nil {
				_ = got.conn.Close()
			}
		}()
		return nil, ctx.Err()
	}
}

// ask connects to a host and sends the request. ctx bounds both.
func (c *Client) ask(ctx context.Context, helper helpers.Host, target Target) (net.Conn, helpers.Result, error) {
	conn, err := c.config.Dial(ctx, helper.Address)
	if err != nil {
		return nil, helpers.Failed, err
	}
	answer, err := request(ctx, conn, tunnel.Request{Upstream: target.Upstream, StartMillis: target.StartMillis, Service: target.Service})
	if err == nil && answer.Status == tunnel.Opened {
		return &openTunnel{Conn: conn, closed: sync.OnceFunc(func() { _ = c.inbox.Send(context.Background(), closed{helper.ID}) })}, helpers.Opened, nil
	}
	_ = conn.Close()
	if err != nil {
		return nil, resultOfError(err), err
	}
	refusal := fmt.Errorf("%s: %s", answer.Status, answer.Reason)
	switch answer.Status {
	case tunnel.Busy:
		return nil, helpers.Busy, refusal
	case tunnel.CutOff:
		return nil, helpers.CutOff, refusal
	case tunnel.NotNow:
		return nil, helpers.Answered, &UpstreamError{helper.ID, answer}
	case tunnel.Refused:
		// The helper's links work as far as this tells: nothing listens there.
		return nil, helpers.Answered, &UpstreamError{helper.ID, answer}
	case tunnel.Unreachable:
		return nil, helpers.Unreachable, &UpstreamError{helper.ID, answer}
	default:
		return nil, helpers.Answered, refusal
	}
}

// request sends a request over a new connection and reads the answer.
func request(ctx context.Context, conn net.Conn, wanted tunnel.Request) (tunnel.Answer, error) {
	if err := tunnel.Configure(conn); err != nil {
		return tunnel.Answer{}, err
	}
	interrupted := context.AfterFunc(ctx, func() { _ = conn.Close() })
	err := tunnel.WriteRequest(conn, wanted)
	var answer tunnel.Answer
	if err == nil {
		answer, err = tunnel.ReadAnswer(conn)
	}
	if !interrupted() {
		return tunnel.Answer{}, errors.Join(ctx.Err(), err)
	}
	return answer, err
}

// resultOfError tells what the error of a request means. A host that does not know
// tunnels closes the connection.
func resultOfError(err error) helpers.Result {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) ||
		errors.Is(err, tunnel.ErrMalformed) {
		return helpers.Unsupported
	}
	return helpers.Failed
}

// openTunnel is the connection of a tunnel, whose end is reported to the task.
type openTunnel struct {
	net.Conn
	closed func()
}

// Close implements net.Conn. A request of which bytes are not sent yet was cancelled or is
// no longer wanted: an end in order would wait behind them until the upstream has read.
func (t *openTunnel) Close() error {
	defer t.closed()
	if tunnel.Unsent(t.Conn) {
		_ = tunnel.ResetOnClose(t.Conn, true)
	}
	return t.Conn.Close()
}

var _ task.Task = (*Client)(nil)
