// Package task starts and stops tasks. A task is one goroutine that owns its
// state and its sockets, and is accessed only through messages to its inbox.
package task

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrOverloaded is returned when an inbox stayed full until the sender's
// context ended.
var ErrOverloaded = errors.New("the task's inbox is full; retry later")

// ErrStopped is returned when the task has ended.
var ErrStopped = errors.New("the task has stopped")

// Inbox is a bounded queue of messages to one task.
type Inbox[M any] struct {
	messages chan M
	stopped  chan struct{}
}

// NewInbox returns an inbox that holds up to capacity messages.
func NewInbox[M any](capacity int) *Inbox[M] {
	return &Inbox[M]{messages: make(chan M, capacity), stopped: make(chan struct{})}
}

// Send adds a message to the inbox and blocks while it is full. It returns
// ErrOverloaded when ctx ends first and ErrStopped when the task has ended.
func (b *Inbox[M]) Send(ctx context.Context, message M) error {
	select {
	case b.messages <- message:
		return nil
	case <-b.stopped:
		return ErrStopped
	case <-ctx.Done():
		return errors.Join(ErrOverloaded, ctx.Err())
	}
}

// TrySend adds a message to the inbox without blocking. It returns false if the
// inbox is full or the task has ended.
func (b *Inbox[M]) TrySend(message M) bool {
	select {
	case <-b.stopped:
		return false
	default:
	}
	select {
	case b.messages <- message:
		return true
	default:
		return false
	}
}

// Messages returns the channel from which the owning task receives.
func (b *Inbox[M]) Messages() <-chan M {
	return b.messages
}

// Close marks the task as ended, which releases blocked senders. Only the
// owning task calls it, once, when its loop returns.
func (b *Inbox[M]) Close() {
	close(b.stopped)
}

// Ask sends the message that build makes with a reply channel and waits for the
// reply. The channel is buffered for one value, so the task never blocks on it.
func Ask[M, R any](ctx context.Context, inbox *Inbox[M], build func(reply chan<- R) M) (R, error) {
	var zero R
	reply := make(chan R, 1)
	if err := inbox.Send(ctx, build(reply)); err != nil {
		return zero, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-inbox.stopped:
		return zero, ErrStopped
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Sleep waits for a delay and returns nil, or ctx's error if ctx ends first.
func Sleep(ctx context.Context, delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Task is a unit of concurrency with its own state.
type Task interface {
	// Run handles messages until ctx ends.
	Run(ctx context.Context)
}

// Group starts tasks and stops them in reverse order, so that a task can rely on
// those started before it until it has ended.
type Group struct {
	running []*running
}

type running struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start runs a task in a goroutine of its own. A panic in a task is not
// recovered and ends the process, as the task's state would otherwise be lost
// silently. Start and Stop must be called from the same goroutine.
func (g *Group) Start(task Task) {
	ctx, cancel := context.WithCancel(context.Background())
	entry := &running{cancel: cancel}
	entry.done.Go(func() { task.Run(ctx) })
	g.running = append(g.running, entry)
}

// Stop cancels the tasks one by one, the last started first, and waits for each.
func (g *Group) Stop() {
	for i := len(g.running) - 1; i >= 0; i-- {
		g.running[i].cancel()
		g.running[i].done.Wait()
	}
	g.running = nil
}
