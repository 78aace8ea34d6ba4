package director

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/rowstore"
	"github.com/peridotreel/peridotreel/internal/tasks/follower"
)

// Guards against a host that starts after the store has come back from a copy: it
// kept to the older configuration that the store had, although its peers knew the
// newer one that the operator had been told is saved.
func TestAHostTakesANewerConfigurationFromItsPeersThanTheStoreHas(t *testing.T) {
	Convey("Given a host that has read version 3 from the store", t, func() {
		director := New(Config{
			ConfigTable: "config", ConfigKey: "current", Log: zap.NewNop(), Now: time.Now,
			DecodeConfig: func([]byte) (*gateway.Config, error) { return &gateway.Config{Version: 3}, nil },
			Changed:      func(*gateway.Config) {}, Serving: func() {},
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			director.Run(ctx)
			close(ended)
		}()
		Reset(func() {
			cancel()
			<-ended
		})
		director.Update(follower.Update{
			Table: "config", Full: true, Revision: core.Revision{Era: 2, Number: 5}, At: time.Now(),
			Rows: []rowstore.Row{{Key: "current", Revision: core.Revision{Era: 2, Number: 4}}},
		})
		lacksConfig := func() bool {
			state, err := director.Exchange(ctx, nil)
			So(err, ShouldBeNil)
			return state.LacksConfig
		}
		So(lacksConfig(), ShouldBeFalse)
		director.OfferConfig(4, nil, 0, "peer")
		So(lacksConfig(), ShouldBeTrue)
		director.OfferConfig(4, &gateway.Config{Version: 4}, 0, "peer")
		So(lacksConfig(), ShouldBeFalse)
		_, err := director.MergeCrashes(ctx, nil)
		So(err, ShouldBeNil)
		state, err := director.Current(ctx)
		So(err, ShouldBeNil)
		So(state.Config.Version, ShouldEqual, 4)
	})
}
