package billing

import (
	"encoding/binary"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
)

func fill(book *Book, bills int, now time.Time) {
	for i := range bills {
		var bill core.Bill
		binary.BigEndian.PutUint32(bill.Request[:], uint32(i))
		book.Record(bill, now)
	}
}

// Guards against unbounded memory while the platform is down, for a host's
// own bills and for copies of peers.
func TestBounds(t *testing.T) {
	now := time.Unix(0, 0)
	book := NewBook(core.HostRef{Host: "a"})
	fill(book, MaxPending-1, now)
	before := book.Backlogged()
	book.Record(core.Bill{Request: core.RequestID{15: 1}}, now)
	full := book.Keep(core.HostRef{Host: "b"}, 0, make([]Copy, MaxPending+1), now)
	Convey("The bounds hold", t, func() {
		So([]bool{before, book.Backlogged(), full}, ShouldResemble, []bool{false, true, false})
	})
}

// Guards against segments that are sealed late or exceed the bound.
func TestSealing(t *testing.T) {
	now := time.Unix(0, 0)
	book := NewBook(core.HostRef{Host: "a"})
	fill(book, 1, now)
	early, late := book.NextOwn(now.Add(SealAfter-1), false), book.NextOwn(now.Add(SealAfter), false)
	fill(book, 2*SealBills, now)
	second := book.NextOwn(now, false)
	book.Written(late)
	third := book.NextOwn(now, false)
	Convey("A segment is sealed by time or size, one at a time", t, func() {
		So(early, ShouldBeNil)
		So(late.Segment.Bills, ShouldHaveLength, 1)
		So(second, ShouldBeNil)
		So(third.Segment.Bills, ShouldHaveLength, SealBills)
		So(third.Head.Count, ShouldEqual, 1+SealBills)
	})
}

// Guards against segments that cost the platform more writes than needed, or
// that keep a bill without a copy for longer than before.
func TestSealingOfCopiedBills(t *testing.T) {
	now := time.Unix(0, 0)
	peer := core.Peer{Ref: core.HostRef{Host: "b"}}
	copied := func() *Book {
		book := NewBook(core.HostRef{Host: "a"})
		fill(book, 5, now)
		batch, _ := book.NextBatch([]core.Peer{peer}, now)
		book.Sent(batch, true, now)
		return book
	}
	due := func(book *Book, after time.Duration) bool { return book.NextOwn(now.Add(after), false) != nil }
	Convey("Bills with a copy wait for longer", t, func() {
		So(due(copied(), SealCopiedAfter-1), ShouldBeFalse)
		So(due(copied(), SealCopiedAfter), ShouldBeTrue)
	})
	Convey("Bills whose copy is lost, on its way or refused wait for no longer than before", t, func() {
		lost := copied()
		lost.Lost(func(core.HostRef) bool { return true }, now)
		So(due(lost, SealAfter), ShouldBeTrue)
		late := copied()
		late.Record(core.Bill{Request: core.RequestID{15: 1}}, now.Add(time.Second))
		_, _ = late.NextBatch([]core.Peer{peer}, now)
		So(due(late, time.Second+SealAfter-1), ShouldBeFalse)
		So(due(late, time.Second+SealAfter), ShouldBeTrue)
		refused := copied()
		refused.Record(core.Bill{Request: core.RequestID{15: 1}}, now)
		batch, _ := refused.NextBatch([]core.Peer{peer}, now)
		refused.Sent(batch, false, now)
		So(due(refused, SealAfter), ShouldBeTrue)
	})
	Convey("A commit has at most 100 conditions on bills of keyed requests", t, func() {
		book := NewBook(core.HostRef{Host: "a"})
		for i := range 2*SealKeyed + 50 {
			book.Record(core.Bill{Request: core.RequestID{byte(i), byte(i >> 8)}, Keyed: i >= 50}, now)
		}
		first := book.NextOwn(now, false)
		So(first.Segment.Bills, ShouldHaveLength, 50+SealKeyed)
		book.Written(first)
		So(book.NextOwn(now, false).Segment.Bills, ShouldHaveLength, SealKeyed)
	})
}

// BenchmarkJournal measures the decisions per bill: recorded, copied, written.
func BenchmarkJournal(b *testing.B) {
	now := time.Unix(0, 0)
	book := NewBook(core.HostRef{Host: "a"})
	peers := []core.Peer{{Ref: core.HostRef{Host: "b"}}}
	var bill core.Bill
	for i := 0; b.Loop(); i++ {
		binary.BigEndian.PutUint64(bill.Request[:], uint64(i))
		book.Record(bill, now)
		if batch, _ := book.NextBatch(peers, now); batch != nil {
			book.Sent(batch, true, now)
		}
		if step := book.NextOwn(now, false); step != nil {
			book.Written(step)
		}
	}
}
