// Package billing decides how bills reach the platform's table exactly once.
//
// The bills of one host process form a journal, which is written in numbered
// segments. A segment takes effect only if the number before it is the last
// one in the table, so the host itself and the peers that hold copies of its
// bills can all write the journal without agreement: the loser of a race
// reads which bills the winner wrote and continues with the rest.
package billing

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// SealAfter bounds the time a bill without a copy at a peer waits in the
	// open segment.
	SealAfter = 500 * time.Millisecond
	// SealCopiedAfter bounds the time a bill with a copy waits. A segment
	// costs a commit and an object: 330 hosts that seal every 4 s make 165
	// writes/s of the several hundred that the platform handles.
	SealCopiedAfter = 4 * time.Second
	// SealKeyed bounds the bills of keyed requests in a segment, so that a
	// commit stays within about 100 conditions.
	SealKeyed = 100
	// SealBills bounds a segment to about 500 KB of object. It is more than
	// three times the planned 142 requests/s bring in 4 s.
	SealBills = 2000
	// MaxPending is the number of bills above which a host takes no new work:
	// at about 250 bytes each they use 25 MB of the 256 MB a host may use.
	MaxPending = 100_000
)

// Mark identifies the attempt that wrote a segment. An attempt number is used
// for one segment only, so equal marks mean equal segments.
type Mark struct {
	By      core.HostRef
	Attempt uint64
}

// Head describes the last segment of a journal in the table.
type Head struct {
	// Number counts the segments of the journal; it is also the version of
	// the segment's row, as each segment writes the row once.
	Number uint64
	Mark   Mark
	// Count and Tokens are cumulative over all segments of the journal.
	Count  uint64
	Tokens core.Tokens
}

// Segment is a numbered group of bills.
type Segment struct {
	Owner  core.HostRef
	Number uint64
	Mark   Mark
	// Previous is the mark of the segment before, which makes all segments
	// reachable from the head.
	Previous Mark
	Bills    []core.Bill
}

// Copy is a bill with what a peer needs to write it in its owner's place.
type Copy struct {
	// Sequence numbers the owner's bills from 1.
	Sequence uint64
	// Base is a segment number up to which no segment contains the bill.
	Base uint64
	Bill core.Bill
}

// entry is a bill that is not known to be in the table.
type entry struct {
	Copy
	added time.Time
	// keeper is the peer that holds a copy, or zero.
	keeper core.HostRef
}

// journal is one host process's sequence of bills as seen by one writer.
type journal struct {
	owner core.HostRef
	head  Head
	// known is false when the head must be read before the next segment.
	known bool
	// checked is the segment number up to which no pending bill is contained
	// in a segment.
	checked uint64
	entries []*entry
	ids     map[core.RequestID]bool
	// keyed counts the entries of keyed requests.
	keyed int
	// running is the step in flight, or nil.
	running *Step
}

func newJournal(owner core.HostRef, known bool) *journal {
	return &journal{owner: owner, known: known, ids: make(map[core.RequestID]bool)}
}

// add appends a bill and reports false if the journal has it already.
func (j *journal) add(added *entry) bool {
	if j.ids[added.Bill.Request] {
		return false
	}
	if added.Base < j.checked || len(j.entries) == 0 && !j.known {
		j.checked = added.Base
		j.known = j.known && added.Base >= j.head.Number
	}
	j.ids[added.Bill.Request] = true
	j.entries = append(j.entries, added)
	if added.Bill.Keyed {
		j.keyed++
	}
	return true
}

// remove drops the entries that match and returns them.
func (j *journal) remove(match func(*entry) bool) []*entry {
	var removed []*entry
	j.entries = slices.DeleteFunc(j.entries, func(candidate *entry) bool {
		if !match(candidate) {
			return false
		}
		delete(j.ids, candidate.Bill.Request)
		if candidate.Bill.Keyed {
			j.keyed--
		}
		removed = append(removed, candidate)
		return true
	})
	return removed
}

// removeRequests drops the entries of the given requests and returns them.
func (j *journal) removeRequests(requests []core.RequestID) []*entry {
	drop := make(map[core.RequestID]bool, len(requests))
	for _, id := range requests {
		drop[id] = true
	}
	return j.remove(func(candidate *entry) bool { return drop[candidate.Bill.Request] })
}

// due reports whether the open segment must be sealed. uncopied is the oldest
// entry without a copy at a peer, or nil.
func (j *journal) due(now time.Time, uncopied *entry) bool {
	return len(j.entries) >= SealBills || j.keyed >= SealKeyed ||
		len(j.entries) > 0 && now.Sub(j.entries[0].added) >= SealCopiedAfter ||
		uncopied != nil && now.Sub(uncopied.added) >= SealAfter
}

// sealed returns how many of the oldest entries fit into one segment.
func (j *journal) sealed() int {
	keyed := 0
	for i, pending := range j.entries {
		if pending.Bill.Keyed {
			keyed++
		}
		if keyed > SealKeyed || i == SealBills {
			return i
		}
	}
	return len(j.entries)
}

// next returns the step that brings the pending bills into the table.
func (j *journal) next(mark Mark) *Step {
	if !j.known {
		j.running = &Step{Kind: StepRead, Owner: j.owner, After: j.checked}
		return j.running
	}
	sealed := j.entries[:j.sealed()]
	bills := make([]core.Bill, len(sealed))
	head := Head{Number: j.head.Number + 1, Mark: mark, Count: j.head.Count, Tokens: j.head.Tokens}
	for i, pending := range sealed {
		bills[i] = pending.Bill
		head.Count++
		head.Tokens += pending.Bill.Cost
	}
	j.running = &Step{Kind: StepWrite, Owner: j.owner, Head: head, Segment: Segment{
		Owner: j.owner, Number: head.Number, Mark: mark, Previous: j.head.Mark, Bills: bills,
	}}
	return j.running
}

// written takes the segment in flight as the head.
func (j *journal) written(step *Step) {
	requests := make([]core.RequestID, len(step.Segment.Bills))
	for i := range step.Segment.Bills {
		requests[i] = step.Segment.Bills[i].Request
	}
	j.removeRequests(requests)
	// A copy with a lower base may have come in meanwhile; then the segments
	// from there on must still be read.
	if j.known {
		j.head, j.checked = step.Head, step.Head.Number
	}
}

// read takes over the head and drops the bills that the segments after
// step.After contain.
func (j *journal) read(step *Step, head Head, contained []core.RequestID) {
	j.removeRequests(contained)
	j.head = head
	if step.After <= j.checked {
		j.known, j.checked = true, head.Number
	}
}
