// Package connlimit decides what a host at its limit of open connections does with a new
// one: an idle connection makes room for it, or its request is refused over one of the
// few connections that are kept back for that.
package connlimit

import (
	"container/list"
	"time"
)

// minIdle is how long a connection must have been idle to make room for another. The
// request of a younger one may be on its way.
const minIdle = 500 * time.Millisecond

// reserveFraction is one part in so many of the limit that is kept back for refusals. A
// refusal takes milliseconds, so that few connections refuse many callers.
const reserveFraction = 32

// Verdict is what is done with a new connection.
type Verdict int

// The verdicts.
const (
	// Serve means that the connection is served like others.
	Serve Verdict = iota
	// Refuse means that its request is refused, and the connection is closed.
	Refuse
)

// Table has the open connections, which are identified by keys, and the order in which
// they have become idle.
type Table[K comparable] struct {
	limit, reserve int
	open           map[K]*list.Element
	// idle has idleConnection values, the longest idle first.
	idle *list.List
	// evicted has the open connections that were told to close. Each is told once. The
	// value is true if a request has arrived on one since, so that it stays open until the
	// answer; crossed is the number of these.
	evicted map[K]bool
	crossed int
}

type idleConnection[K comparable] struct {
	key   K
	since time.Time
}

// New returns a table for at most limit connections, of which a part is kept back for
// refusals. A limit below 2 counts as 2.
func New[K comparable](limit int) *Table[K] {
	limit = max(limit, 2)
	reserve := max(limit/reserveFraction, 1)
	return &Table[K]{limit: limit - reserve, reserve: reserve, open: make(map[K]*list.Element), idle: list.New(), evicted: make(map[K]bool)}
}

// Open adds a connection, which is idle until its first request. If evict is true,
// evicted is a connection that is to be closed for it as soon as it is idle. Open must
// not be called while the table is full.
func (t *Table[K]) Open(key K, now time.Time) (verdict Verdict, evicted K, evict bool) {
	if len(t.open) >= t.limit {
		evicted, evict = t.evict(now)
		if !evict {
			verdict = Refuse
		}
	}
	t.open[key] = nil
	if verdict == Serve {
		t.Idle(key, now)
	}
	return verdict, evicted, evict
}

// MakeRoom returns a connection that is to be closed as soon as it is idle, where the host
// lacks a file descriptor below the limit. It reports false if none can make room.
func (t *Table[K]) MakeRoom(now time.Time) (K, bool) { return t.evict(now) }

// evict takes the connection that has been idle for longest out of the order. It takes
// none if those that were evicted and stay open for an answer have half of the reserve, as
// the rest is needed to refuse requests while these last.
func (t *Table[K]) evict(now time.Time) (K, bool) {
	if longest := t.idle.Front(); longest != nil && t.crossed < (t.reserve+1)/2 {
		entry := longest.Value.(idleConnection[K])
		if now.Sub(entry.since) >= minIdle {
			t.Busy(entry.key)
			t.evicted[entry.key] = false
			return entry.key, true
		}
	}
	var none K
	return none, false
}

// Idle records that a connection waits for its next request. One that was evicted closes
// instead, although it may have answered a request that crossed its eviction.
func (t *Table[K]) Idle(key K, now time.Time) {
	if _, evicted := t.evicted[key]; evicted {
		return
	}
	if element, found := t.open[key]; found && element == nil {
		t.open[key] = t.idle.PushBack(idleConnection[K]{key, now})
	}
}

// Busy records that a request is read or served on a connection.
func (t *Table[K]) Busy(key K) {
	if crossed, evicted := t.evicted[key]; evicted && !crossed {
		t.evicted[key] = true
		t.crossed++
	}
	if element := t.open[key]; element != nil {
		t.idle.Remove(element)
		t.open[key] = nil
	}
}

// Close removes a connection.
func (t *Table[K]) Close(key K) {
	t.Busy(key)
	delete(t.open, key)
	if _, evicted := t.evicted[key]; evicted {
		t.crossed--
		delete(t.evicted, key)
	}
}

// Len returns the number of open connections.
func (t *Table[K]) Len() int { return len(t.open) }

// Full reports whether no further connection may be accepted until one is closed.
func (t *Table[K]) Full() bool { return len(t.open) >= t.limit+t.reserve }
