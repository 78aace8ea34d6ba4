package bills

import (
	"context"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/billing"
)

// copyWait is the wait of an answer for a copy of its bill.
type copyWait struct {
	since time.Time
	done  chan<- struct{}
}

// copyWaits holds the answers that wait for copies of their bills, by the sequence
// number of the bill. Only the task's goroutine uses it.
type copyWaits struct {
	task  *Task
	waits map[uint64]copyWait
	// releasing is true while answers go out without copies, so that only the
	// change is logged.
	releasing bool
}

func newCopyWaits(t *Task) *copyWaits {
	return &copyWaits{task: t, waits: make(map[uint64]copyWait)}
}

func (w *copyWaits) begin(sequence uint64, done chan<- struct{}) {
	w.waits[sequence] = copyWait{since: w.task.config.Now(), done: done}
}

// endDurable ends the wait for a bill that has a copy or is in the table.
func (w *copyWaits) endDurable(sequence uint64) {
	if _, found := w.waits[sequence]; !found {
		return
	}
	if w.releasing {
		w.releasing = false
		w.task.config.Log.Info("answers wait for copies of their bills again")
	}
	w.end(sequence)
}

// endSettled ends the waits for bills that are in the table.
func (w *copyWaits) endSettled(settled uint64) {
	for sequence := range w.waits {
		if sequence < settled {
			w.endDurable(sequence)
		}
	}
}

// endExpired ends the waits that have reached billing.MaxCopyWait.
func (w *copyWaits) endExpired(ctx context.Context) {
	now := w.task.config.Now()
	for sequence, wait := range w.waits {
		if now.Sub(wait.since) >= billing.MaxCopyWait {
			w.release(ctx, sequence)
		}
	}
}

// endAll ends all waits, as no peer can take a copy.
func (w *copyWaits) endAll(ctx context.Context) {
	for sequence := range w.waits {
		w.release(ctx, sequence)
	}
}

// release ends the wait for a bill that this host alone holds.
func (w *copyWaits) release(ctx context.Context, sequence uint64) {
	w.task.counters.uncopied.Add(ctx, 1)
	if !w.releasing {
		w.releasing = true
		w.task.config.Log.Warn("answers go out without copies of their bills; " +
			"a bill is lost if this host fails before it is in the table; check the connections to peers")
	}
	w.end(sequence)
}

func (w *copyWaits) end(sequence uint64) {
	w.waits[sequence].done <- struct{}{}
	delete(w.waits, sequence)
}
