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

// Guards against requests to an upstream that was removed while one call to the store got
// no answer, as its connection was cut: the store has answered all others meanwhile.
func TestACallWithoutAnAnswerDoesNotKeepARemovedUpstream(t *testing.T) {
	Convey("Given a call that fails 2.2 s after it began, and a removal in the next answer", t, func() {
		start := time.Unix(1000, 0)
		now := start
		director := New(Config{
			UpstreamTable: "servers", Log: zap.NewNop(), Now: func() time.Time { return now },
			DecodeUpstream: func(id string, _ []byte) (gateway.Upstream, error) {
				return gateway.Upstream{ID: core.UpstreamID(id), Service: "svc"}, nil
			},
			Listed: func(map[core.ServiceName][]string) {}, Forget: func([]core.UpstreamID) {},
		})
		director.expiry = time.NewTimer(time.Hour)
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
