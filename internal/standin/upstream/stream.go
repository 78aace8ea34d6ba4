package upstream

import (
	"container/heap"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/upstream/wire"
)

// progress is the state of a stream's generation. It only advances, so a
// subscriber needs only the latest value.
type progress struct {
	generated int64
	finished  bool
	cancelled bool
	// load is the engine's load when the first token was generated.
	load wire.AnswerLoad
}

// stream is an answer that is waiting, running, or retained for resumption after
// it has finished. It belongs to the engine's task.
type stream struct {
	id       core.RequestID
	prompt   prompt
	length   int64
	priority int
	// attempt is the latest attempt that requested the stream. A cancellation
	// by an earlier attempt is stale and ignored.
	attempt int
	// serial numbers streams in order of arrival.
	serial uint64
	// prefill is the number of prompt tokens to process before the next token
	// is generated.
	prefill     int64
	progress    progress
	subscribers []chan progress
	expires     time.Time
}

// subscribe returns a channel that holds the latest progress until it is
// received.
func (s *stream) subscribe() <-chan progress {
	updates := make(chan progress, 1)
	updates <- s.progress
	if !s.progress.finished {
		s.subscribers = append(s.subscribers, updates)
	}
	return updates
}

// publish sends the progress to all subscribers and replaces earlier progress
// that they have not received. The engine's task is the only sender, so the send
// never blocks.
func (s *stream) publish() {
	for _, updates := range s.subscribers {
		select {
		case <-updates:
		default:
		}
		updates <- s.progress
	}
}

// step advances the stream by one step and reports whether it generated a token.
func (s *stream) step(prefillPerStep int64) bool {
	if s.prefill > 0 {
		s.prefill -= prefillPerStep
		if s.prefill > 0 {
			return false
		}
	}
	// A continued stream may have all tokens and lack only the finish event.
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
