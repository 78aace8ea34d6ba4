// Package connections is the task that follows the connections of a net/http server, and
// reports to the account of endings when each is accepted, and why it was closed.
//
// What net/http does not let the task tell: whether bytes that the caller had sent were
// unread as a connection was closed, so that no close is reported with unread bytes; and
// which of two causes that come together was first, as when a caller closes a connection
// that the host closes too. Requests that net/http refuses before a handler starts
// (malformed heads, an unknown Expect) are no requests in the account: their connections
// are counted as closed because they were unreadable, but as idle if such a head arrived
// before the answer to the request before it had ended. OPTIONS * is answered by net/http
// and not counted either.
package connections

import (
	"context"
	"net"
	"net/http"

	"github.com/peridotreel/peridotreel/internal/decide/callerend"
	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity is the number of messages buffered when many connections change at once.
// Senders wait while it is full, as no close may be missing.
const inboxCapacity = 1024

// Account counts connections.
type Account interface {
	AcceptConnection() endings.ID
	CloseConnection(id endings.ID, closing gateway.Closing)
}

// Connections is the task.
type Connections struct {
	inbox   *task.Inbox[any]
	account Account
}

type stateChanged struct {
	connection net.Conn
	state      http.ConnState
}
type bytesRead struct{ connection net.Conn }
type transferFailed struct {
	connection net.Conn
	write      bool
	result     callerend.Transfer
}
type requestEnded struct {
	connection net.Conn
	ending     gateway.Ending
	closeAsked bool
}
type beginDrain struct{}
type endHost struct{}
type awaitClosed struct{ reply chan<- struct{} }
type awaitIdle struct{ reply chan<- struct{} }

// New returns the task.
func New(account Account) *Connections {
	return &Connections{inbox: task.NewInbox[any](inboxCapacity), account: account}
}

// Follow lets a server that has not started report its connections to the task. The
// server must serve a listener that Listener has returned.
func (c *Connections) Follow(server *http.Server) {
	server.ConnState = func(connection net.Conn, state http.ConnState) { c.send(stateChanged{connection, state}) }
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, connection)
	}
}

type connectionKey struct{}

// EndRequest reports how a request ended, before its handler returns. ctx is that of the
// request.
func (c *Connections) EndRequest(ctx context.Context, ending gateway.Ending, closeAsked bool) {
	if connection, found := ctx.Value(connectionKey{}).(net.Conn); found {
		c.send(requestEnded{connection, ending, closeAsked})
	}
}

// Drain reports that from now on each answer ends its connection.
func (c *Connections) Drain() { c.send(beginDrain{}) }

// EndHost reports that all connections are about to be closed.
func (c *Connections) EndHost() { c.send(endHost{}) }

// AwaitClosed waits until no connection is open. The error is task.ErrStopped, or that of
// ctx.
func (c *Connections) AwaitClosed(ctx context.Context) error {
	_, err := task.Ask(ctx, c.inbox, func(reply chan<- struct{}) any { return awaitClosed{reply} })
	return err
}

// AwaitIdle waits until no request is in progress on any connection. The error is
// task.ErrStopped, or that of ctx.
func (c *Connections) AwaitIdle(ctx context.Context) error {
	_, err := task.Ask(ctx, c.inbox, func(reply chan<- struct{}) any { return awaitIdle{reply} })
	return err
}

// send waits while the inbox is full. What is reported after the task has stopped is not
// counted.
func (c *Connections) send(message any) { _ = c.inbox.Send(context.Background(), message) }

// Run follows connections until ctx ends.
func (c *Connections) Run(ctx context.Context) {
	defer c.inbox.Close()
	state := connectionsState{account: c.account, open: make(map[net.Conn]*followed)}
	for {
		select {
		case message := <-c.inbox.Messages():
			state.handle(message)
		case <-ctx.Done():
			return
		}
	}
}

// followed is an open connection.
type followed struct {
	id   endings.ID
	seen callerend.Connection
}

// connectionsState is the state of Run.
type connectionsState struct {
	account             Account
	open                map[net.Conn]*followed
	draining, hostEnded bool
	waiting             []chan<- struct{}
	waitingForIdle      []chan<- struct{}
}

func (s *connectionsState) handle(message any) {
	switch m := message.(type) {
	case stateChanged:
		s.change(m)
	case bytesRead:
		// net/http does not report StateActive of a connection that was idle and gets a
		// malformed head at once.
		s.update(m.connection, func(seen *callerend.Connection) {
			if seen.Phase == callerend.Waiting {
				seen.Phase = callerend.Reading
			}
		})
	case transferFailed:
		s.update(m.connection, func(seen *callerend.Connection) {
			if m.write {
				seen.Write = m.result
			} else {
				seen.Read = m.result
			}
		})
	case requestEnded:
		s.update(m.connection, func(seen *callerend.Connection) {
			seen.Phase, seen.Ending, seen.CloseAsked = callerend.Answered, m.ending, m.closeAsked
		})
	case beginDrain:
		s.draining = true
	case endHost:
		s.hostEnded = true
	case awaitClosed:
		s.waiting = append(s.waiting, m.reply)
		s.answerWaiting()
	case awaitIdle:
		s.waitingForIdle = append(s.waitingForIdle, m.reply)
	}
	s.answerIdle()
}

func (s *connectionsState) update(connection net.Conn, change func(*callerend.Connection)) {
	if entry, found := s.open[connection]; found {
		change(&entry.seen)
	}
}

func (s *connectionsState) change(m stateChanged) {
	switch m.state {
	case http.StateNew:
		s.open[m.connection] = &followed{id: s.account.AcceptConnection()}
	case http.StateActive:
		s.update(m.connection, func(seen *callerend.Connection) { seen.Phase = callerend.Reading })
	case http.StateIdle:
		s.update(m.connection, func(seen *callerend.Connection) { *seen = callerend.Connection{} })
	case http.StateClosed, http.StateHijacked:
		// No handler takes a connection over; if one did, its end would not be known.
		s.close(m.connection)
	}
}

func (s *connectionsState) close(connection net.Conn) {
	entry, found := s.open[connection]
	if !found {
		return
	}
	entry.seen.Draining, entry.seen.HostEnded = s.draining, s.hostEnded
	s.account.CloseConnection(entry.id, gateway.Closing{Cause: entry.seen.CloseCause()})
	delete(s.open, connection)
	s.answerWaiting()
}

// answerIdle answers those that wait until no request is in progress.
func (s *connectionsState) answerIdle() {
	if len(s.waitingForIdle) == 0 {
		return
	}
	for _, entry := range s.open {
		if entry.seen.Phase != callerend.Waiting {
			return
		}
	}
	for _, reply := range s.waitingForIdle {
		reply <- struct{}{}
	}
	s.waitingForIdle = nil
}

func (s *connectionsState) answerWaiting() {
	if len(s.open) > 0 {
		return
	}
	for _, reply := range s.waiting {
		reply <- struct{}{}
	}
	s.waiting = nil
}
