package director

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/connshare"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against a host that lends connections and goes on to use them, or that does not use
// what it has borrowed. Load: a peer that lacks connections, two hosts, 20 connections.
func TestLentAndBorrowedConnectionsChangeTheLimit(t *testing.T) {
	Convey("Given an upstream with 20 connections for two hosts", t, func() {
		f := newCrashFixture()
		limits := make(chan int, 64)
		f.director.config.Changed = func(*gateway.Config, time.Time) {}
		f.director.config.LimitConnections = func(_ core.UpstreamID, limit int) { limits <- limit }
		f.director.OfferConfig(1, &gateway.Config{Version: 1, Services: map[core.ServiceName]gateway.Service{"u": {Name: "u", MaxConnections: 20}}}, 0, "test")
		f.director.SetHosts(2, nil)
		place := func() Placed {
			placed, err := f.director.Place(context.Background(), PlacementRequest{Query: placement.Query{Service: "u"}})
			So(err, ShouldBeNil)
			return placed
		}
		placed := place()
		So(placed.MaxConnections, ShouldEqual, 8)
		Convey("what it lends, it does not use", func() {
			id := placed.Upstream.ID
			state, err := f.director.Exchange(context.Background(), &PeerState{Host: "peer", ConnectionWants: []connshare.Want{{Upstream: id, Count: 3}}})
			So(err, ShouldBeNil)
			So(state.ConnectionGrants, ShouldHaveLength, 1)
			So(state.ConnectionGrants[0].Count, ShouldEqual, 3)
			So(<-limits, ShouldEqual, 5)
		})
		Convey("what it borrows, it uses", func() {
			grant := connshare.Grant{Upstream: placed.Upstream.ID, Count: 4, For: time.Second}
			f.director.Receive(PeerState{Host: "peer", ConnectionGrants: []connshare.Grant{grant}, AskedAt: time.Unix(0, f.now.Load())})
			So(<-limits, ShouldEqual, 12)
			totals, err := f.director.ConnectionTotals(context.Background())
			So(err, ShouldBeNil)
			So(totals, ShouldResemble, ConnectionTotals{Borrowed: 4})
		})
	})
}
