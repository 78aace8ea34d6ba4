package task

// Latest holds the latest message of a kind to one task, for messages that replace
// those before them. Two tasks that send to each other use it in one direction, so
// that neither waits for the other.
type Latest[M any] struct{ messages chan M }

// NewLatest returns a Latest without a message.
func NewLatest[M any]() *Latest[M] { return &Latest[M]{make(chan M, 1)} }

// Set replaces the message that the task has not received yet. It does not block.
func (l *Latest[M]) Set(message M) {
	for {
		select {
		case l.messages <- message:
			return
		case <-l.messages:
		}
	}
}

// Messages returns the channel from which the owning task receives.
func (l *Latest[M]) Messages() <-chan M { return l.messages }
