// Package tunnels has the tasks of both ends of tunnels: Server, by which a host reaches
// upstreams for others, and Client, by which it reaches them through others. Decision 22
// tells when they are used.
package tunnels

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tunnel"
)

const (
	// defaultMaxTunnels takes at most 8 MiB for buffers and 512 of the 4,100 file
	// descriptors that the smallest hosts have.
	defaultMaxTunnels = 256
	// requestTimeout bounds the wait for the rest of an opening, which its requester
	// writes at once, and for the write of the answer.
	requestTimeout = time.Second
	// upstreamTimeout bounds the decision and the connection to the upstream, which has
	// 250 ms by itself. The requester waits for at most helperTimeout.
	upstreamTimeout = 300 * time.Millisecond
	inboxCapacity   = 512
)

// Gate decides which upstreams this host reaches for others.
type Gate interface {
	// Admit returns the listed address of the upstream and the status Opened, or the
	// answer with which the request is refused. An upstream that this host itself reaches
	// only by a tunnel is refused as CutOff, so that no tunnel leads through two hosts.
	Admit(ctx context.Context, request tunnel.Request) (address string, verdict tunnel.Answer)
	// Dialed is told of each attempt to connect to an upstream that was admitted; err is
	// nil if it succeeded.
	Dialed(request tunnel.Request, err error)
	// Observe is told the head of the answer that passed through a tunnel. The upstream
	// counts this host as the one that sent the request.
	Observe(upstream core.UpstreamID, startMillis int64, head gateway.AnswerHead)
}

// ServerConfig describes a Server.
type ServerConfig struct {
	Gate Gate
	// Dial connects to an address that the gate returned, without a tunnel.
	Dial       func(ctx context.Context, address string) (net.Conn, error)
	DecodeHead func(response *http.Response) gateway.AnswerHead
	// MaxTunnels bounds the open tunnels; 0 means 256.
	MaxTunnels int
	Log        *zap.Logger
}

// Server is the task that owns the count of the tunnels open through this host. Each
// tunnel is a task of its own, which owns its two sockets.
type Server struct {
	config ServerConfig
	inbox  *task.Inbox[any]
}

// ServerTotals are counts of a Server.
type ServerTotals struct {
	// Open is the number of tunnels that are open or being opened.
	Open int64
	// Answered counts requests by the status of their answer.
	Answered map[tunnel.Status]int64
}

// Messages to the server's task.
type (
	enter    struct{ reply chan<- tunnel.Answer }
	answered struct{ status tunnel.Status }
	left     struct{}
	drain    struct{ reply chan<- struct{} }
	count    struct{ reply chan<- ServerTotals }
)

// NewServer returns the task.
func NewServer(config ServerConfig) *Server {
	if config.MaxTunnels == 0 {
		config.MaxTunnels = defaultMaxTunnels
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	return &Server{config: config, inbox: task.NewInbox[any](inboxCapacity)}
}

// serverState is what the server's task owns.
type serverState struct {
	open     int
	answered map[tunnel.Status]int64
	// full is true from a refusal for want of room until half of it is free, so that the
	// log has one line for each.
	full     bool
	draining bool
	drained  []chan<- struct{}
}

// Run handles messages until ctx ends.
func (s *Server) Run(ctx context.Context) {
	defer s.inbox.Close()
	state := &serverState{answered: make(map[tunnel.Status]int64)}
	for {
		select {
		case message := <-s.inbox.Messages():
			s.handle(state, message)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) handle(state *serverState, message any) {
	switch m := message.(type) {
	case enter:
		m.reply <- s.enter(state)
	case answered:
		state.answered[m.status]++
	case left:
		state.open--
		if state.full && state.open <= s.config.MaxTunnels/2 {
			state.full = false
			s.config.Log.Info("tunnels of other hosts are taken again", zap.String("event", "tunnels_free"))
		}
	case drain:
		state.draining = true
		state.drained = append(state.drained, m.reply)
	case count:
		m.reply <- ServerTotals{Open: int64(state.open), Answered: maps.Clone(state.answered)}
	}
	if state.draining && state.open == 0 {
		for _, reply := range state.drained {
			reply <- struct{}{}
		}
		state.drained = nil
	}
}

func (s *Server) enter(state *serverState) tunnel.Answer {
	switch {
	case state.draining:
		return tunnel.Answer{Status: tunnel.Busy, Reason: "this host is stopping"}
	case state.open >= s.config.MaxTunnels:
		if !state.full {
			state.full = true
			s.config.Log.Warn("refusing tunnels of other hosts for want of room", zap.String("event", "tunnels_full"), zap.Int("open", state.open))
		}
		return tunnel.Answer{Status: tunnel.Busy, Reason: fmt.Sprintf("%d tunnels are open", state.open)}
	default:
		state.open++
		return tunnel.Answer{Status: tunnel.Opened}
	}
}

// Totals returns the counts since the start.
func (s *Server) Totals(ctx context.Context) (ServerTotals, error) {
	return task.Ask(ctx, s.inbox, func(reply chan<- ServerTotals) any { return count{reply} })
}

// Drain refuses further tunnels and waits until none is open.
func (s *Server) Drain(ctx context.Context) error {
	_, err := task.Ask(ctx, s.inbox, func(reply chan<- struct{}) any { return drain{reply} })
	return err
}

// Serve serves the connection of a tunnel, of which the first byte has been read, and
// closes it. It returns once the tunnel has ended; when ctx ends, the tunnel is reset.
func (s *Server) Serve(ctx context.Context, requester net.Conn) {
	defer func() { _ = requester.Close() }()
	if err := errors.Join(tunnel.Configure(requester), requester.SetDeadline(time.Now().Add(requestTimeout))); err != nil {
		return
	}
	request, err := tunnel.ReadRequest(requester)
	if err != nil {
		if errors.Is(err, tunnel.ErrMalformed) {
			s.config.Log.Warn("closed a tunnel with a malformed request", zap.String("event", "tunnel_malformed"), zap.Error(err))
		}
		return
	}
	verdict, err := task.Ask(context.WithoutCancel(ctx), s.inbox, func(reply chan<- tunnel.Answer) any { return enter{reply} })
	if err != nil {
		return
	}
	if verdict.Status != tunnel.Opened {
		s.answer(requester, verdict)
		return
	}
	defer func() { _ = s.inbox.Send(context.WithoutCancel(ctx), left{}) }()
	upstream, verdict := s.reach(ctx, request)
	if upstream != nil {
		defer func() { _ = upstream.Close() }()
	}
	if !s.answer(requester, verdict) || upstream == nil || requester.SetDeadline(time.Time{}) != nil {
		return
	}
	head := &headReader{decode: s.config.DecodeHead, observe: func(head gateway.AnswerHead) {
		s.config.Gate.Observe(request.Upstream, request.StartMillis, head)
	}}
	newRelay(requester, upstream, head).run(ctx)
}

// answer counts and sends the answer to a request. It reports whether it was sent.
func (s *Server) answer(requester net.Conn, verdict tunnel.Answer) bool {
	_ = s.inbox.Send(context.Background(), answered{verdict.Status})
	return requester.SetWriteDeadline(time.Now().Add(requestTimeout)) == nil && tunnel.WriteAnswer(requester, verdict) == nil
}

// reach asks the gate and connects to the upstream. The connection is nil if the answer's
// status is not Opened.
func (s *Server) reach(ctx context.Context, request tunnel.Request) (net.Conn, tunnel.Answer) {
	ctx, cancel := context.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	address, verdict := s.config.Gate.Admit(ctx, request)
	if verdict.Status != tunnel.Opened {
		return nil, verdict
	}
	upstream, err := s.config.Dial(ctx, address)
	switch {
	case errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE):
		return nil, tunnel.Answer{Status: tunnel.Busy, Reason: "no file descriptor is free"}
	case errors.Is(err, syscall.ECONNREFUSED):
		s.config.Gate.Dialed(request, err)
		return nil, tunnel.Answer{Status: tunnel.Refused, Reason: err.Error()}
	case err != nil:
		s.config.Gate.Dialed(request, err)
		return nil, tunnel.Answer{Status: tunnel.Unreachable, Reason: err.Error()}
	}
	s.config.Gate.Dialed(request, nil)
	return upstream, verdict
}

var _ task.Task = (*Server)(nil)
