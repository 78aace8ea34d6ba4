// Package admit is the filter for admission control: work waits until the
// limits of its team and the fleet's capacity allow it to run.
package admit

import (
	"context"

	"github.com/peridotreel/peridotreel/internal/core"
)

// Slot permits one request to run. It is returned exactly once.
type Slot struct {
	Serial uint64
}

// Admitter grants slots and queues waiting work fairly between teams.
type Admitter interface {
	// Enter waits for a slot. It refuses work that can't meet its deadline,
	// and removes the work from the queue when ctx ends.
	Enter(ctx context.Context, work *core.Work) (Slot, error)
	// Leave returns a slot and reports the tokens that the work used.
	Leave(slot Slot, used core.Tokens)
}

// Filter controls the admission of work.
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

// Leave returns the slot and reports the tokens that the work used.
func (f *Filter) Leave(slot Slot, used core.Tokens) {
	f.admitter.Leave(slot, used)
}
