package director

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// crashFixture is a director that knows upstreams u-0 to u-3 of its zone.
type crashFixture struct {
	director *Director
	now      atomic.Int64
	revision int64
	// refusing tells which addresses refuse connections, those of tunnels too.
	refusing func(address string) bool
	// finished has the line of each check that has ended.
	finished chan string
}

func newCrashFixture() *crashFixture {
	f := &crashFixture{finished: make(chan string, 16)}
	f.now.Store(time.Unix(1_800_000_000, 0).UnixNano())
	dial := func(_ context.Context, address string) error {
		if f.refusing(address) {
			return syscall.ECONNREFUSED
		}
		return nil
	}
	// Each check ends with one of two lines.
	finished := zap.Hooks(func(entry zapcore.Entry) error {
		if strings.Contains(entry.Message, "crashed") {
			f.finished <- entry.Message
		}
		return nil
	})
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "msg"}), zapcore.AddSync(io.Discard), zap.InfoLevel), finished)
	f.director = New(Config{
		Host: "host-1", Zone: "a", UpstreamTable: "upstreams", Log: log, Now: func() time.Time { return time.Unix(0, f.now.Load()) },
		DecodeUpstream: func(id string, _ []byte) (gateway.Upstream, error) {
			service, _, _ := strings.Cut(id, "-")
			return gateway.Upstream{ID: core.UpstreamID(id), Service: core.ServiceName(service), Address: id, Zone: "a"}, nil
		},
		Listed: func(map[core.ServiceName][]string) {}, Forget: func([]core.UpstreamID) {}, Serving: func() {},
		SuspicionsChanged: func(bool) {}, Dial: dial,
		DialThrough: func(ctx context.Context, upstream gateway.Upstream) error { return dial(ctx, upstream.Address) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		f.director.Run(ctx)
		close(ended)
	}()
	Reset(func() {
		cancel()
		<-ended
	})
	f.list("u-0", "u-1", "u-2", "u-3")
	return f
}

// list adds upstreams, of the service that their id begins with.
func (f *crashFixture) list(ids ...string) {
	f.revision++
	rows := make([]rowstore.Row, len(ids))
	for i, id := range ids {
		rows[i] = rowstore.Row{Key: id, Revision: core.Revision{Number: f.revision}}
	}
	f.director.Update(follower.Update{
		Table: "upstreams", Full: f.revision == 1, Revision: core.Revision{Number: f.revision}, At: time.Unix(0, f.now.Load()), Rows: rows,
	})
}

// lose reports that upstreams, one after the other, closed the connection of a request with
// the same prompt part before they answered.
func (f *crashFixture) lose(tunnelled bool) {
	for i := range 6 {
		f.now.Add(int64(3 * time.Second))
		id := core.UpstreamID(fmt.Sprint("u-", i%3))
		f.director.Observe(Observation{Upstream: id, Signal: placement.ClosedEarly, Traits: []quarantine.Trait{{ID: "part"}}, Tunnelled: tunnelled})
		<-f.finished
	}
}

func (f *crashFixture) held() bool {
	state, err := f.director.Current(context.Background())
	So(err, ShouldBeNil)
	_, held := state.Holds["part"]
	return held
}

// Guards against a host that takes the loss of its own links, after which all its
// connections are refused, for crashes of upstreams: all hosts then refused the prompt parts
// that were in flight.
func TestConnectionsRefusedByAllUpstreamsShowNoCrash(t *testing.T) {
	for _, tunnelled := range []bool{false, true} {
		Convey(fmt.Sprintf("Given requests whose connections end early, through another host: %t", tunnelled), t, func() {
			f := newCrashFixture()
			Convey("Nothing is held if all upstreams refuse connections", func() {
				f.refusing = func(string) bool { return true }
				f.lose(tunnelled)
				So(f.held(), ShouldBeFalse)
			})
			Convey("The part that they share is held if one upstream does not", func() {
				f.refusing = func(address string) bool { return address != "u-3" }
				f.lose(tunnelled)
				So(f.held(), ShouldBeTrue)
			})
		})
	}
}
