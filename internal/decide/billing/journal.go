// Package billing decides how bills reach the platform's table exactly once.
//
// The bills of one host process form a journal, an append-only log that is
// written in numbered segments. A segment is committed only if its predecessor
// is the last one in the table (compare and swap). The host itself and the
// peers that hold copies of its bills can therefore write the same journal
// without coordination: the loser of a race reads which bills the winner wrote
// and continues with the rest.
package billing

import (
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// SealUncopiedAfter is the longest time that a bill without a copy at a
	// peer waits before its segment is sealed.
	SealUncopiedAfter = 500 * time.Millisecond
	// SealCopiedAfter is the same for a bill with a copy. Each segment costs
	// one commit and one object write: 330 hosts that seal every 4 s cause 165
	// writes/s of the several hundred that the platform handles.
	SealCopiedAfter = 4 * time.Second
	// MaxSegmentKeyedBills limits the bills of keyed requests in a segment, so
	// that a commit has about 100 conditions at most.
	MaxSegmentKeyedBills = 100
	// MaxSegmentBills limits a segment's object to about 500 KB. It is more
	// than three times the bills of 4 s at the planned 142 requests/s.
	MaxSegmentBills = 2000
	// MaxPendingBills is the number of pending bills at which a host refuses
	// new work, and the most copies that it holds for peers. At about 250
	// bytes each, 100,000 bills take 25 MB of the 256 MB a host may use.
	MaxPendingBills = 100_000
)

// WriteID identifies the attempt that wrote a segment. A writer uses an attempt
// number for one segment only, so equal IDs mean equal segments.
type WriteID struct {
	Writer  core.HostRef
	Attempt uint64
}

// Head describes the last segment of a journal in the table.
type Head struct {
	// Number is the number of the segment, counted from 1. It is also the
	// version of the head's row, because each segment writes the row once.
	Number  uint64
	WriteID WriteID
	// Count and Tokens are cumulative over all segments of the journal.
	Count  uint64
	Tokens core.Tokens
}

// Segment is a numbered group of bills.
type Segment struct {
	Owner   core.HostRef
	Number  uint64
	WriteID WriteID
	// Previous is the write ID of the preceding segment. It makes all segments
	// reachable from the head.
	Previous WriteID
	Bills    []core.Bill
}

// Copy is a bill with the data that a peer needs to write it on behalf of its
// owner.
type Copy struct {
	// Sequence numbers the owner's bills from 1.
	Sequence uint64
	// Base is the number of a segment. Neither it nor any earlier segment
	// contains the bill.
	Base uint64
	Bill core.Bill
}

// pendingBill is a bill, of this host or held for a peer, that is not known to
// be in the table.
type pendingBill struct {
	Copy
	addedAt time.Time
	// copyHolder is the peer that is known to hold a copy, or zero.
	copyHolder core.HostRef
}

// journal is the journal of one host process as one writer knows it.
type journal struct {
	owner core.HostRef
	head  Head
	// headKnown is false if the head must be read before the next segment is
	// written.
	headKnown bool
	// checkedThrough is the number of a segment. Neither it nor any earlier
	// segment contains a pending bill.
	checkedThrough uint64
	pending        []*pendingBill
	// requests holds the requests of the pending bills.
	requests map[core.RequestID]bool
	// keyedCount is the number of pending bills of keyed requests.
	keyedCount int
	// inFlight is the step in flight, or nil.
	inFlight *Step
}

func newJournal(owner core.HostRef, headKnown bool) *journal {
	return &journal{owner: owner, headKnown: headKnown, requests: make(map[core.RequestID]bool)}
}

// add appends a bill. It returns false if a bill of the same request is pending.
func (j *journal) add(added *pendingBill) bool {
	if j.requests[added.Bill.Request] {
		return false
	}
	if added.Base < j.checkedThrough || len(j.pending) == 0 && !j.headKnown {
		j.checkedThrough = added.Base
		j.headKnown = j.headKnown && added.Base >= j.head.Number
	}
	j.requests[added.Bill.Request] = true
	j.pending = append(j.pending, added)
	if added.Bill.Keyed {
		j.keyedCount++
	}
	return true
}

// remove removes the matching bills and returns them.
func (j *journal) remove(match func(*pendingBill) bool) []*pendingBill {
	var removed []*pendingBill
	j.pending = slices.DeleteFunc(j.pending, func(candidate *pendingBill) bool {
		if !match(candidate) {
			return false
		}
		delete(j.requests, candidate.Bill.Request)
		if candidate.Bill.Keyed {
			j.keyedCount--
		}
		removed = append(removed, candidate)
		return true
	})
	return removed
}

// removeRequests removes the bills of the given requests and returns them.
func (j *journal) removeRequests(requests []core.RequestID) []*pendingBill {
	drop := make(map[core.RequestID]bool, len(requests))
	for _, id := range requests {
		drop[id] = true
	}
	return j.remove(func(candidate *pendingBill) bool { return drop[candidate.Bill.Request] })
}

// sealDue reports whether the pending bills must be sealed into a segment.
// uncopied is the oldest bill without a copy at a peer, or nil.
func (j *journal) sealDue(now time.Time, uncopied *pendingBill) bool {
	return len(j.pending) >= MaxSegmentBills || j.keyedCount >= MaxSegmentKeyedBills ||
		len(j.pending) > 0 && now.Sub(j.pending[0].addedAt) >= SealCopiedAfter ||
		uncopied != nil && now.Sub(uncopied.addedAt) >= SealUncopiedAfter
}

// nextSegmentSize returns how many of the oldest bills fit into one segment.
func (j *journal) nextSegmentSize() int {
	keyed := 0
	for i, pending := range j.pending {
		if pending.Bill.Keyed {
			keyed++
		}
		if keyed > MaxSegmentKeyedBills || i == MaxSegmentBills {
			return i
		}
	}
	return len(j.pending)
}

// nextStep starts the next step toward writing the pending bills to the table:
// a read while the head is unknown, else the write of a segment.
func (j *journal) nextStep(writeID WriteID) *Step {
	if !j.headKnown {
		j.inFlight = &Step{Kind: StepRead, Owner: j.owner, After: j.checkedThrough}
		return j.inFlight
	}
	sealed := j.pending[:j.nextSegmentSize()]
	bills := make([]core.Bill, len(sealed))
	head := Head{Number: j.head.Number + 1, WriteID: writeID, Count: j.head.Count, Tokens: j.head.Tokens}
	for i, pending := range sealed {
		bills[i] = pending.Bill
		head.Count++
		head.Tokens += pending.Bill.Cost
	}
	j.inFlight = &Step{Kind: StepWrite, Owner: j.owner, Head: head, Segment: Segment{
		Owner: j.owner, Number: head.Number, WriteID: writeID, Previous: j.head.WriteID, Bills: bills,
	}}
	return j.inFlight
}

// applyWrite removes the bills of a committed segment and makes it the head.
func (j *journal) applyWrite(step *Step) {
	requests := make([]core.RequestID, len(step.Segment.Bills))
	for i := range step.Segment.Bills {
		requests[i] = step.Segment.Bills[i].Request
	}
	j.removeRequests(requests)
	// If a copy with a lower base arrived in the meantime, headKnown is false
	// and the segments after that base must still be read.
	if j.headKnown {
		j.head, j.checkedThrough = step.Head, step.Head.Number
	}
}

// applyRead stores the head that was read and removes the bills that the
// segments after step.After contain.
func (j *journal) applyRead(step *Step, head Head, billed []core.RequestID) {
	j.removeRequests(billed)
	j.head = head
	if step.After <= j.checkedThrough {
		j.headKnown, j.checkedThrough = true, head.Number
	}
}
