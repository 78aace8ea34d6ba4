package peers

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/connshare"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

// lendingDirector lacks connections, lends what it is asked for, and records what it borrows.
type lendingDirector struct {
	fixedDirector
	borrowed chan director.PeerState
}

func (d lendingDirector) Exchange(_ context.Context, peer *director.PeerState) (director.LocalState, error) {
	if peer == nil {
		return director.LocalState{ConnectionWants: []connshare.Want{{Upstream: "u", Count: 3}}}, nil
	}
	grants := make([]connshare.Grant, len(peer.ConnectionWants))
	for i, want := range peer.ConnectionWants {
		grants[i] = connshare.Grant{Upstream: want.Upstream, Count: want.Count, For: time.Second}
	}
	return director.LocalState{ConnectionGrants: grants}, nil
}

func (d lendingDirector) Receive(peer director.PeerState) { d.borrowed <- peer }

// directCaller calls the handler of a peer, which takes a second.
type directCaller struct {
	handler *Handler
	now     *time.Time
}

func (c directCaller) Call(_ context.Context, _ core.Peer, _ string, args, reply any) error {
	*c.now = c.now.Add(time.Second)
	return c.handler.Exchange(args.(Args), reply.(*Reply))
}

// Guards against loans that do not pass between hosts, and against a borrower that counts the
// time of a loan from when the reply arrived: the lender would use the connections too.
func TestConnectionsAreLentInTheReplyToAReport(t *testing.T) {
	Convey("Given a host that lacks connections and a peer", t, func() {
		start := time.Unix(1_000_000, 0)
		now := start
		d := lendingDirector{borrowed: make(chan director.PeerState, 1)}
		lender := &Handler{New(Config{Host: "lender", Director: d, Now: time.Now})}
		borrower := New(Config{Host: "borrower", Director: d, Caller: directCaller{lender, &now}, Now: func() time.Time { return now }})
		borrower.exchange(context.Background(), "address", false)
		received := <-d.borrowed
		So(received.Host, ShouldEqual, core.HostID("lender"))
		So(received.ConnectionGrants, ShouldResemble, []connshare.Grant{{Upstream: "u", Count: 3, For: time.Second}})
		So(received.AskedAt.Equal(start), ShouldBeTrue)
	})
}
