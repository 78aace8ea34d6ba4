// Package endings is the task that counts how callers' requests and connections end.
package endings

import (
	"context"
	"sync/atomic"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity is the number of messages buffered when many requests or connections
// begin or end at once. Senders wait while it is full, as no end may be missing.
const inboxCapacity = 1024

// Endings is the task.
type Endings struct {
	inbox   *task.Inbox[any]
	account *endings.Account
	lastID  atomic.Uint64
}

type requestBegun struct{ id endings.ID }
type requestEnded struct {
	id     endings.ID
	ending gateway.Ending
}
type connectionAccepted struct{ id endings.ID }
type connectionClosed struct {
	id      endings.ID
	closing gateway.Closing
}
type askTotals struct{ reply chan<- endings.Totals }

// New returns the task.
func New() *Endings {
	return &Endings{inbox: task.NewInbox[any](inboxCapacity), account: endings.NewAccount()}
}

// BeginRequest records that the first byte of a request was read, and returns the id
// with which its end is reported.
func (e *Endings) BeginRequest() endings.ID {
	id := e.newID()
	e.send(requestBegun{id})
	return id
}

// EndRequest records how a request ended.
func (e *Endings) EndRequest(id endings.ID, ending gateway.Ending) { e.send(requestEnded{id, ending}) }

// AcceptConnection records that a connection was accepted, and returns the id with which
// its close is reported.
func (e *Endings) AcceptConnection() endings.ID {
	id := e.newID()
	e.send(connectionAccepted{id})
	return id
}

// CloseConnection records how a connection was closed.
func (e *Endings) CloseConnection(id endings.ID, closing gateway.Closing) {
	e.send(connectionClosed{id, closing})
}

// Totals returns the counts after all that was reported before the call. The error is
// task.ErrStopped, or that of ctx.
func (e *Endings) Totals(ctx context.Context) (endings.Totals, error) {
	return task.Ask(ctx, e.inbox, func(reply chan<- endings.Totals) any { return askTotals{reply} })
}

func (e *Endings) newID() endings.ID { return endings.ID(e.lastID.Add(1)) }

// send waits while the inbox is full. What is reported after the task has stopped is
// not counted.
func (e *Endings) send(message any) { _ = e.inbox.Send(context.Background(), message) }

// Run counts until ctx ends.
func (e *Endings) Run(ctx context.Context) {
	defer e.inbox.Close()
	for {
		select {
		case message := <-e.inbox.Messages():
			e.handle(message)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Endings) handle(message any) {
	switch m := message.(type) {
	case requestBegun:
		e.account.Begin(m.id)
	case requestEnded:
		e.account.End(m.id, m.ending)
	case connectionAccepted:
		e.account.Accept(m.id)
	case connectionClosed:
		e.account.Close(m.id, m.closing)
	case askTotals:
		m.reply <- e.account.Totals()
	}
}
