package billing

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

func recordBills(pending *PendingBills, bills int, now time.Time) {
	for i := range bills {
		var bill core.Bill
		binary.BigEndian.PutUint32(bill.Request[:], uint32(i))
		pending.Record(bill, now)
	}
}

// Guards against unbounded memory use by a host's own bills and by copies held
// for peers while the platform is down.
func TestBounds(t *testing.T) {
	now := time.Unix(0, 0)
	pending := NewPendingBills(core.HostRef{Host: "a"})
	recordBills(pending, MaxPendingBills-1, now)
	before := pending.Backlogged()
	pending.Record(core.Bill{Request: core.RequestID{15: 1}}, now)
	full := pending.HoldCopies(core.HostRef{Host: "b"}, 0, make([]Copy, MaxPendingBills+1), now)
	Convey("The limits hold", t, func() {
		So([]bool{before, pending.Backlogged(), full}, ShouldResemble, []bool{false, true, false})
	})
}

// Guards against segments that are sealed too late or exceed the size limit.
func TestSealing(t *testing.T) {
	now := time.Unix(0, 0)
	pending := NewPendingBills(core.HostRef{Host: "a"})
	recordBills(pending, 1, now)
	early, late := pending.NextOwnStep(now.Add(SealUncopiedAfter-1), false), pending.NextOwnStep(now.Add(SealUncopiedAfter), false)
	recordBills(pending, 2*MaxSegmentBills, now)
	second := pending.NextOwnStep(now, false)
	pending.FinishWrite(late)
	third := pending.NextOwnStep(now, false)
	Convey("A segment is sealed by age or size, one at a time", t, func() {
		So(early, ShouldBeNil)
		So(late.Segment.Bills, ShouldHaveLength, 1)
		So(second, ShouldBeNil)
		So(third.Segment.Bills, ShouldHaveLength, MaxSegmentBills)
		So(third.Head.Count, ShouldEqual, 1+MaxSegmentBills)
	})
}

// Guards against sealing so often that the platform gets more writes than
// needed, and against a bill without a copy that waits longer than
// SealUncopiedAfter.
func TestSealingOfCopiedBills(t *testing.T) {
	now := time.Unix(0, 0)
	peer := core.Peer{Ref: core.HostRef{Host: "b"}}
	copied := func() *PendingBills {
		pending := NewPendingBills(core.HostRef{Host: "a"})
		recordBills(pending, 5, now)
		batch, _ := pending.NextBatch([]core.Peer{peer}, now)
		pending.FinishBatch(batch, CopyHeld, now)
		return pending
	}
	due := func(pending *PendingBills, after time.Duration) bool {
		return pending.NextOwnStep(now.Add(after), false) != nil
	}
	Convey("A bill with a copy waits longer", t, func() {
		So(due(copied(), SealCopiedAfter-1), ShouldBeFalse)
		So(due(copied(), SealCopiedAfter), ShouldBeTrue)
	})
	Convey("A bill whose copy is lost, in flight or refused waits as long as one without a copy", t, func() {
		lost := copied()
		lost.RequeueLost(func(core.HostRef) bool { return true }, now)
		So(due(lost, SealUncopiedAfter), ShouldBeTrue)
		late := copied()
		late.Record(core.Bill{Request: core.RequestID{15: 1}}, now.Add(time.Second))
		_, _ = late.NextBatch([]core.Peer{peer}, now)
		So(due(late, time.Second+SealUncopiedAfter-1), ShouldBeFalse)
		So(due(late, time.Second+SealUncopiedAfter), ShouldBeTrue)
		refused := copied()
		refused.Record(core.Bill{Request: core.RequestID{15: 1}}, now)
		batch, _ := refused.NextBatch([]core.Peer{peer}, now)
		refused.FinishBatch(batch, CopyRefused, now)
		So(due(refused, SealUncopiedAfter), ShouldBeTrue)
	})
	Convey("A commit has at most 100 conditions on bills of keyed requests", t, func() {
		pending := NewPendingBills(core.HostRef{Host: "a"})
		for i := range 2*MaxSegmentKeyedBills + 50 {
			pending.Record(core.Bill{Request: core.RequestID{byte(i), byte(i >> 8)}, Keyed: i >= 50}, now)
		}
		first := pending.NextOwnStep(now, false)
		So(first.Segment.Bills, ShouldHaveLength, 50+MaxSegmentKeyedBills)
		pending.FinishWrite(first)
		So(pending.NextOwnStep(now, false).Segment.Bills, ShouldHaveLength, MaxSegmentKeyedBills)
	})
}

// BenchmarkJournal measures the cost per bill of all decisions: record, copy
// and write.
func BenchmarkJournal(b *testing.B) {
	now := time.Unix(0, 0)
	pending := NewPendingBills(core.HostRef{Host: "a"})
	peers := []core.Peer{{Ref: core.HostRef{Host: "b"}}}
	var bill core.Bill
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(bill.Request[:], uint64(i))
		pending.Record(bill, now)
		if batch, _ := pending.NextBatch(peers, now); batch != nil {
			pending.FinishBatch(batch, CopyHeld, now)
		}
		if step := pending.NextOwnStep(now, false); step != nil {
			pending.FinishWrite(step)
		}
	}
}

// askPeers lets the peers leave a bill's batches unanswered until its answer waits no
// longer. It returns the peers asked with the timeouts.
func askPeers(pending *PendingBills, peers []core.Peer, start time.Time) (asked []string) {
	for now := start; now.Sub(start) < MaxCopyWait; {
		batch, reachable := pending.NextBatch(peers, now)
		switch {
		case !reachable:
			return append(asked, "none reachable")
		case batch == nil:
			now = now.Add(time.Millisecond)
		default:
			asked = append(asked, fmt.Sprint(batch.Peer.Ref.Host, " ", batch.Timeout))
			now = now.Add(batch.Timeout)
			pending.FinishBatch(batch, CopyUnanswered, now)
		}
	}
	return asked
}

// Guards against giving up on slow peers while an answer waits, against asking them
// again with a timeout that they exceed again, and against asking them for bills
// whose answers have gone out.
func TestSlowPeersAreAskedAgainWhileAnAnswerWaits(t *testing.T) {
	now := time.Unix(0, 0)
	peers := []core.Peer{{Ref: core.HostRef{Host: "b"}}, {Ref: core.HostRef{Host: "c"}}}
	Convey("The timeouts double up to their maximum while the answer waits", t, func() {
		pending := NewPendingBills(core.HostRef{Host: "a"})
		recordBills(pending, 1, now)
		So(askPeers(pending, peers, now), ShouldResemble,
			[]string{"b 22ms", "c 22ms", "b 44ms", "c 88ms", "b 176ms", "c 250ms", "b 250ms", "c 250ms"})
		early, _ := pending.NextBatch(peers[1:], now.Add(MaxCopyWait+reaskDelay))
		So(early, ShouldBeNil)
	})
	Convey("Without an answer that waits, a slow peer is asked after its backoff and has time to answer", t, func() {
		pending := NewPendingBills(core.HostRef{Host: "a"})
		recordBills(pending, 1, now)
		askPeers(pending, peers, now)
		batch, _ := pending.NextBatch(peers, now.Add(MaxCopyWait+2*firstPeerBackoff))
		So(batch.Timeout, ShouldEqual, maxAskTimeout)
	})
	Convey("A peer that refuses is not asked again, and no answer waits for it", t, func() {
		pending := NewPendingBills(core.HostRef{Host: "a"})
		recordBills(pending, 1, now)
		for range peers {
			batch, _ := pending.NextBatch(peers, now)
			pending.FinishBatch(batch, CopyRefused, now)
		}
		So(askPeers(pending, peers, now), ShouldResemble, []string{"none reachable"})
	})
	Convey("A peer whose calls fail at once is not asked in a busy loop", t, func() {
		pending := NewPendingBills(core.HostRef{Host: "a"})
		recordBills(pending, 1, now)
		batch, _ := pending.NextBatch(peers[:1], now)
		pending.FinishBatch(batch, CopyUnanswered, now)
		early, reachable := pending.NextBatch(peers[:1], now.Add(reaskDelay-1))
		due, _ := pending.NextBatch(peers[:1], now.Add(reaskDelay))
		So(early, ShouldBeNil)
		So(reachable, ShouldBeTrue)
		So(due, ShouldNotBeNil)
	})
}
