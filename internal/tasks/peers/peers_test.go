package peers

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/evacuation"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

// fixedDirector is a director that knows a configuration and upstreams.
type fixedDirector struct{}

func (fixedDirector) Exchange(context.Context, *director.PeerState) (director.LocalState, error) {
	return director.LocalState{
		Config: &gateway.Config{Version: 7, Raw: []byte("raw")}, ConfigAge: time.Second,
		UpstreamRows: []rowstore.Row{{Key: "server-1"}}, ListRevision: core.Revision{Era: 2, Number: 9}, Hosts: 66,
	}, nil
}

func (fixedDirector) Receive(director.PeerState) {}

func (fixedDirector) OfferEvacuations(evacuation.Report, core.HostID) {}

func (fixedDirector) OfferConfig(int64, *gateway.Config, time.Duration, string) {}

func (fixedDirector) OfferUpstreams([]rowstore.Row, core.Revision, bool) {}

// Guards against peers that send each other all lists several times a second,
// which fills slow links, and against a host that can't read the store and gets
// no lists from its peers.
func TestListsAreSentWhereTheyAreWanted(t *testing.T) {
	Convey("Given a peer with newer lists", t, func() {
		handler := &Handler{New(Config{Director: fixedDirector{}, Now: time.Now})}
		ask := func(args Args) Reply {
			var reply Reply
			So(handler.Exchange(args, &reply), ShouldBeNil)
			So(reply.ConfigVersion, ShouldEqual, 7)
			So(reply.Hosts, ShouldEqual, 66)
			return reply
		}
		healthy := ask(Args{ConfigVersion: 6, ListRevision: core.Revision{Era: 2, Number: 8}})
		So(healthy.Config, ShouldBeNil)
		So(healthy.Rows, ShouldBeNil)
		behind := ask(Args{ConfigVersion: 6, ListRevision: core.Revision{Era: 2, Number: 8}, WantsConfig: true, WantsServers: true})
		So(string(behind.Config), ShouldEqual, "raw")
		So(len(behind.Rows), ShouldEqual, 1)
		returned := ask(Args{ConfigVersion: 7, ListRevision: core.Revision{Era: 1, Number: 400}, WantsServers: true})
		So(len(returned.Rows), ShouldEqual, 1)
		same := ask(Args{ConfigVersion: 7, ListRevision: core.Revision{Era: 2, Number: 9}, WantsConfig: true, WantsServers: true})
		So(same.Config, ShouldBeNil)
		So(same.Rows, ShouldBeNil)
	})
}

// recordingDirector records what it is told of peers, in order.
type recordingDirector struct {
	fixedDirector
	calls *[]string
}

func (d recordingDirector) Exchange(_ context.Context, peer *director.PeerState) (director.LocalState, error) {
	if peer != nil {
		*d.calls = append(*d.calls, "called at "+peer.Evacuations.Revision.String())
	}
	return director.LocalState{LacksConfig: true, Evacuations: evacuation.Report{Revision: core.Revision{Era: 1, Number: 9}}}, nil
}

func (d recordingDirector) OfferEvacuations(report evacuation.Report, _ core.HostID) {
	*d.calls = append(*d.calls, "evacuations at "+report.Revision.String())
}

func (d recordingDirector) OfferConfig(int64, *gateway.Config, time.Duration, string) {
	*d.calls = append(*d.calls, "configuration")
}

// handlerCaller passes calls to a peer's handler.
type handlerCaller struct{ handler *Handler }

func (c handlerCaller) Call(_ context.Context, _ core.Peer, _ string, args, reply any) error {
	return c.handler.Exchange(args.(Args), reply.(*Reply))
}

// Guards against evacuations that pass in one direction only, and against a host that begins
// to serve with a peer's configuration before it knows of the evacuations in the same reply.
func TestBothHostsOfACallTellTheirEvacuations(t *testing.T) {
	Convey("Given a call of a peer", t, func() {
		var calls []string
		task := New(Config{Director: recordingDirector{calls: &calls}, Now: time.Now})
		task.config.Caller = handlerCaller{&Handler{task}}
		task.exchange(t.Context(), "127.0.0.1:9", true)
		So(calls, ShouldResemble, []string{"called at 1.9", "evacuations at 1.9", "configuration"})
	})
}
