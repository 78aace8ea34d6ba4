package peers

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

// fixedDirector is a director that knows a configuration and upstreams.
type fixedDirector struct{}

func (fixedDirector) Exchange(context.Context, *director.PeerState) (director.LocalState, error) {
	return director.LocalState{
		Config: &gateway.Config{Version: 7, Raw: []byte("raw")}, ConfigAge: time.Second,
		UpstreamRows: []rowstore.Row{{Key: "server-1"}}, ListRevision: core.Revision{Era: 2, Number: 9},
	}, nil
}

func (fixedDirector) Receive(director.PeerState) {}

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
