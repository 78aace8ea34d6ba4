package origins_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/coldstart"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
	"github.com/peridotreel/peridotreel/internal/tasks/origins"
)

// emptyStore has no rows and accepts all commits.
type emptyStore struct{ rowstore.Store }

func (emptyStore) Get(context.Context, string, string) ([]rowstore.Row, rowstore.Stamp, error) {
	return nil, rowstore.Stamp{}, nil
}

func (emptyStore) Commit(context.Context, rowstore.Commit) (rowstore.Stamp, error) {
	return rowstore.Stamp{}, nil
}

// Guards against a host that stops for good because two tasks wait for each other: the
// director tells the origins of a change of the list and the origins confirm a history to
// the director while the inboxes of both are full.
func TestTheDirectorAndTheOriginsDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Given a change of the list and a history at the same time, with both inboxes full", t, func() {
			const messages = 5000 // more than both inboxes hold
			listedNow, confirmedNow := make(chan struct{}), make(chan struct{})
			var d *director.Director
			o := origins.New(origins.Config{
				Host: "host-1", Store: emptyStore{}, Log: zap.NewNop(), Now: time.Now,
				Confirmed: func(service core.ServiceName, versions []string) {
					<-confirmedNow
					d.ConfirmSoftware(service, versions)
				},
			})
			lists := 0
			d = director.New(director.Config{
				Host: "host-1", Zone: "a", UpstreamTable: "upstreams", ColdBound: coldstart.Bound{Overage: 1.5, Slack: 5}, Log: zap.NewNop(), Now: time.Now,
				DecodeUpstream: func(id string, software []byte) (gateway.Upstream, error) {
					return gateway.Upstream{ID: core.UpstreamID(id), Service: "service", Zone: "a", Software: string(software)}, nil
				},
				Listed: func(listed map[core.ServiceName][]string) {
					if lists++; lists == 2 {
						<-listedNow
					}
					o.SetListed(listed)
				},
				Changed: func(*gateway.Config, time.Time) {}, Serving: func() {}, Forget: func([]core.UpstreamID) {},
				SuspicionsChanged: func(bool) {}, Dial: func(context.Context, string) error { return nil },
			})
			var group task.Group
			group.Start(o)
			group.Start(d)
			update := func(number int64, software string) {
				d.Update(follower.Update{Table: "upstreams", At: time.Now(), Revision: core.Revision{Number: number}, Rows: []rowstore.Row{
					{Key: "upstream-1", Value: []byte(software), Revision: core.Revision{Number: number}},
				}})
			}
			update(1, "v1") // the origins read the history and confirm it
			synctest.Wait()
			update(2, "v2")
			synctest.Wait()
			done := make(chan struct{})
			go func() {
				for range messages {
					d.SetHosts(1, nil)
				}
				done <- struct{}{}
			}()
			go func() {
				for range messages {
					o.Began("attempt", "v1")
				}
				done <- struct{}{}
			}()
			synctest.Wait()
			close(listedNow)
			synctest.Wait()
			close(confirmedNow)
			for range 2 {
				ended := false
				select {
				case <-done:
					ended = true
				case <-time.After(time.Minute):
				}
				So(ended, ShouldBeTrue)
			}
			group.Stop()
		})
	})
}
