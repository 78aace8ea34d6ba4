package director

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// newListDirector returns a director that knows the list alone, on a clock that the test
// moves.
func newListDirector(now *time.Time) *Director {
	director := New(Config{
		UpstreamTable: "servers", Log: zap.NewNop(), Now: func() time.Time { return *now },
		DecodeUpstream: func(id string, _ []byte) (gateway.Upstream, error) {
			return gateway.Upstream{ID: core.UpstreamID(id), Service: "svc"}, nil
		},
		Listed: func(map[core.ServiceName][]string) {}, Forget: func([]core.UpstreamID) {},
	})
	director.expiry = time.NewTimer(time.Hour)
	return director
}

// Guards against requests to an upstream that was removed while one call to the store got
// no answer, as its connection was cut: the store has answered all others meanwhile.
func TestACallWithoutAnAnswerDoesNotKeepARemovedUpstream(t *testing.T) {
	Convey("Given a call that fails 2.2 s after it began, and a removal in the next answer", t, func() {
		start := time.Unix(1000, 0)
		now := start
		director := newListDirector(&now)
		read := func(at time.Duration, deleted bool, number int64) {
			now = start.Add(at)
			revision := core.Revision{Number: number}
			director.handle(t.Context(), follower.Update{
				Table: "servers", Revision: revision, At: now, Rows: []rowstore.Row{{Key: "u1", Revision: revision, Deleted: deleted}},
			})
		}
		read(0, false, 1)
		now = start.Add(2450 * time.Millisecond)
		director.handle(t.Context(), follower.Health{Table: "servers", Since: start.Add(250 * time.Millisecond)})
		read(2560*time.Millisecond, true, 2)
		_, listed := director.roster.Upstream("u1")
		So(listed, ShouldBeFalse)
	})
}

// Guards against requests to an upstream that was removed while only this host could not
// reach the store, although its peers know that; and against dropping an upstream that may
// have expired in an outage, because a peer reached the store again sooner.
func TestPeersTellWhichEntriesAreGone(t *testing.T) {
	Convey("Given two hosts, one of which has not reached the store for 5 s", t, func() {
		start := time.Unix(1000, 0)
		now := start
		cut, peer := newListDirector(&now), newListDirector(&now)
		row := rowstore.Row{Key: "u1", Revision: core.Revision{Number: 1}}
		update := follower.Update{Table: "servers", Full: true, Revision: row.Revision, At: now, Rows: []rowstore.Row{row}}
		cut.handle(t.Context(), update)
		peer.handle(t.Context(), update)
		lost := follower.Health{Table: "servers", Since: start}
		cut.handle(t.Context(), lost)
		now = start.Add(5 * time.Second)
		remove := func() {
			peer.handle(t.Context(), follower.Update{Table: "servers", Full: true, Revision: core.Revision{Number: 2}, At: now})
		}
		offer := func() bool {
			state := peer.localState(now)
			cut.handle(t.Context(), offeredUpstreams{rows: state.UpstreamRows, revision: state.ListRevision, settled: state.ListSettled})
			_, listed := cut.roster.Upstream("u1")
			return listed
		}
		Convey("what the peer knows to be gone is gone", func() {
			remove()
			So(offer(), ShouldBeFalse)
		})
		Convey("what a peer lacks that has just started may come back", func() {
			peer = newListDirector(&now)
			remove()
			So(offer(), ShouldBeTrue)
			now = now.Add(2 * time.Second)
			peer.handle(t.Context(), follower.Update{Table: "servers", Revision: core.Revision{Number: 3}, At: now})
			So(offer(), ShouldBeFalse)
		})
		Convey("what lapsed at the peer is kept until it expires there", func() {
			peer.handle(t.Context(), lost)
			remove()
			peer.handle(t.Context(), follower.Health{Table: "servers", Reachable: true, Since: now})
			So(offer(), ShouldBeTrue)
			now = now.Add(2 * time.Second)
			peer.handle(t.Context(), follower.Update{Table: "servers", Revision: core.Revision{Number: 3}, At: now})
			So(offer(), ShouldBeFalse)
		})
	})
}
