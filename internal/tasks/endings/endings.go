// Package endings is the task that counts how callers' requests and connections end.
package endings

import (
	"context"
	"sync/atomic"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/task"
)

const (
	// inboxCapacity is the number of reports that wait to be counted. Senders wait while
	// it is full, as no end may be missing.
	inboxCapacity = 1024
	// wakeLength is the number of waiting reports at which the task is woken to count
	// them. To wake it for each costs more processor time than to count it.
	wakeLength = inboxCapacity / 2
	// asksCapacity is the number of buffered questions, which come from scrapes and the
	// host's stop.
	asksCapacity = 4
)

// Endings is the task. What is reported to a nil Endings is not counted.
//
// Reports wait until the task is asked for the counts, or until there are many of them.
type Endings struct {
	reports *task.Inbox[any]
	asks    *task.Inbox[askTotals]
	// wake has an element if wakeLength reports wait.
	wake    chan struct{}
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
	return &Endings{
		reports: task.NewInbox[any](inboxCapacity), asks: task.NewInbox[askTotals](asksCapacity), wake: make(chan struct{}, 1),
		account: endings.NewAccount(),
	}
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
	return task.Ask(ctx, e.asks, func(reply chan<- endings.Totals) askTotals { return askTotals{reply} })
}

func (e *Endings) newID() endings.ID {
	if e == nil {
		return 0
	}
	return endings.ID(e.lastID.Add(1))
}

// send waits while the inbox is full. What is reported after the task has stopped is
// not counted.
func (e *Endings) send(message any) {
	if e == nil {
		return
	}
	// TrySend costs less than Send, and there is room nearly always.
	if !e.reports.TrySend(message) {
		_ = e.reports.Send(context.Background(), message)
	}
	if len(e.reports.Messages()) >= wakeLength {
		select {
		case e.wake <- struct{}{}:
		default:
		}
	}
}

// Run counts until ctx ends.
func (e *Endings) Run(ctx context.Context) {
	defer e.reports.Close()
	defer e.asks.Close()
	for {
		select {
		case <-e.wake:
			e.countWaiting()
		case ask := <-e.asks.Messages():
			e.countWaiting()
			ask.reply <- e.account.Totals()
		case <-ctx.Done():
			return
		}
	}
}

// countWaiting counts the reports that wait.
func (e *Endings) countWaiting() {
	for range len(e.reports.Messages()) {
		e.handle(<-e.reports.Messages())
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
	}
}
