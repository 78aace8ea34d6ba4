// Package buffers is the task that owns the memory which a host has for the buffered
// bodies of requests and answers. Together they could exceed the host's memory, and the
// platform would end the process with all its requests.
package buffers

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/decide/buffers"
	"github.com/peridotreel/peridotreel/internal/task"
)

// inboxCapacity is enough for the large bodies of a host's requests in flight.
const inboxCapacity = 256

type take struct {
	bytes int64
	reply chan<- bool
}

type giveBack struct{ bytes int64 }

// Buffers is the task.
type Buffers struct {
	inbox *task.Inbox[any]
	pool  buffers.Pool
}

// New returns a task that owns a number of bytes.
func New(capacity int64) *Buffers {
	return &Buffers{inbox: task.NewInbox[any](inboxCapacity), pool: buffers.New(capacity)}
}

// Run handles messages until ctx ends.
func (b *Buffers) Run(ctx context.Context) {
	defer b.inbox.Close()
	for {
		select {
		case message := <-b.inbox.Messages():
			switch m := message.(type) {
			case take:
				m.reply <- b.pool.Take(m.bytes)
			case giveBack:
				b.pool.Return(m.bytes)
			}
		case <-ctx.Done():
			return
		}
	}
}

const (
	// Free is the size in bytes up to which a body is buffered without asking, as nearly
	// all are.
	Free = 16 << 10
	// step is the number of bytes of which a multiple is asked for at once.
	step = 32 << 10
)

// Account is what one body holds of the memory. It is owned by the goroutine that
// buffers the body.
type Account struct {
	buffers *Buffers
	held    int64
}

// Account returns the account of a new body. That of a nil Buffers has no limit.
func (b *Buffers) Account() *Account { return &Account{buffers: b} }

// Cover reports whether a body of a number of bytes may be buffered, and takes what it
// lacks.
func (a *Account) Cover(bytes int64) bool {
	if bytes <= a.held || bytes <= Free {
		return true
	}
	if a.buffers == nil {
		return true
	}
	bytes = (bytes + step - 1) / step * step
	missing := bytes - a.held
	taken, err := task.Ask(context.Background(), a.buffers.inbox, func(reply chan<- bool) any { return take{missing, reply} })
	if err != nil || !taken {
		return false
	}
	a.held = bytes
	return true
}

// Shrink gives back what is held beyond a number of bytes.
func (a *Account) Shrink(bytes int64) {
	if bytes >= a.held {
		return
	}
	// The inbox is closed only if the task has ended.
	_ = a.buffers.inbox.Send(context.Background(), giveBack{a.held - bytes})
	a.held = bytes
}

// Close gives back all that is held.
func (a *Account) Close() { a.Shrink(0) }
