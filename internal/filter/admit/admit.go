// Package admit is the filter that lets work in as limits and capacity allow.
package admit

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Slot is the right of one request to run. It is returned exactly once.
type Slot struct {
	Serial uint64
}

// Admitter queues work fairly between teams and grants slots.
type Admitter interface {
	// Enter waits for a slot. It refuses work that can't meet its deadline
	// and removes it from the queue when ctx ends.
	Enter(ctx context.Context, work *core.Work) (Slot, error)
	// Leave returns a slot with the tokens that the work really took.
	Leave(slot Slot, used core.Tokens)
}

// Filter admits work.
type Filter struct {
	admitter Admitter
}

// New returns the filter.
func New(admitter Admitter) *Filter {
	return &Filter{admitter: admitter}
}

// Apply waits until the work may run.
func (f *Filter) Apply(ctx context.Context, work *core.Work) (Slot, error) {
	return f.admitter.Enter(ctx, work)
}

// Leave returns the slot.
func (f *Filter) Leave(slot Slot, used core.Tokens) {
	f.admitter.Leave(slot, used)
}
