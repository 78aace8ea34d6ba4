package upstream

import (
	"container/heap"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// progress is how far a stream has come. It only grows, so a subscriber needs
// the latest value alone.
type progress struct {
	generated int64
	finished  bool
	cancelled bool
	// load is the engine's when the first token came.
	load wire.AnswerLoad
}

// stream is an answer that is waiting, running or held after its end. It
// belongs to the engine's task.
type stream struct {
	id       core.RequestID
	prompt   prompt
	length   int64
	priority int
	// attempt is the latest attempt that asked for the stream; a cancellation
	// by an earlier one comes late and is ignored.
	attempt int
	// serial orders streams of equal priority.
	serial uint64
	// prefill is how many prompt tokens are left before the next token.
	prefill     int64
	progress    progress
	subscribers []chan progress
	expires     time.Time
}

// subscribe returns a channel that always holds the latest progress that its
// receiver has not seen.
func (s *stream) subscribe() <-chan progress {
	updates := make(chan progress, 1)
	updates <- s.progress
	if !s.progress.finished {
		s.subscribers = append(s.subscribers, updates)
	}
	return updates
}

// publish replaces what subscribers have not received yet. The engine's task
// is the only sender, so the second send never blocks.
func (s *stream) publish() {
	for _, updates := range s.subscribers {
		select {
		case <-updates:
		default:
		}
		updates <- s.progress
	}
}

// step advances the stream by one step and reports whether a token came.
func (s *stream) step(prefillPerStep int64) bool {
	if s.prefill > 0 {
		s.prefill -= prefillPerStep
		if s.prefill > 0 {
			return false
		}
	}
	// A continued stream may lack only the finish event.
	generated := s.progress.generated < s.length
	if generated {
		s.progress.generated++
	}
	s.progress.finished = s.progress.generated >= s.length
	s.publish()
	return generated
}

// waitingQueue orders streams by priority, then by arrival.
type waitingQueue []*stream

func (q waitingQueue) Len() int      { return len(q) }
func (q waitingQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waitingQueue) Push(x any)   { *q = append(*q, x.(*stream)) }

func (q waitingQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].serial < q[j].serial
}

func (q *waitingQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (q *waitingQueue) remove(s *stream) {
	for i, waiting := range *q {
		if waiting == s {
			heap.Remove(q, i)
			return
		}
	}
}
