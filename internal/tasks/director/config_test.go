package director

import (
	"context"
	"errors"
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
			Changed:      func(*gateway.Config, time.Time) {}, Serving: func() {},
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

// Guards against a team that is taken as new, so that its balance may be granted again,
// because a configuration was the latest in the store only as far as the host could tell.
func TestAConfigurationIsAppliedWithTheTimeAtWhichTheOneBeforeWasTheLatest(t *testing.T) {
	Convey("Given a host that follows the configuration", t, func() {
		var applied []time.Time
		director := New(Config{
			ConfigTable: "config", ConfigKey: "current", Log: zap.NewNop(), Now: time.Now,
			DecodeConfig: func(raw []byte) (*gateway.Config, error) {
				if len(raw) == 0 {
					return nil, errors.New("malformed")
				}
				return &gateway.Config{Version: int64(raw[0])}, nil
			},
			Changed: func(_ *gateway.Config, before time.Time) { applied = append(applied, before) }, Serving: func() {},
		})
		start := time.Unix(1000, 0)
		read := func(second int, rows ...[]byte) {
			update := follower.Update{Table: "config", At: start.Add(time.Duration(second) * time.Second)}
			for _, raw := range rows {
				update.Rows = append(update.Rows, rowstore.Row{Key: "current", Value: raw})
			}
			director.applyUpdate(update)
		}
		read(0, []byte{1})
		read(5)
		read(6, []byte{2})
		director.applyConfig(&gateway.Config{Version: 3}, "peer", time.Time{})
		read(7, nil)
		read(8, []byte{4})
		read(9, []byte{5})
		So(applied, ShouldResemble, []time.Time{{}, start.Add(5 * time.Second), {}, {}, start.Add(8 * time.Second)})
	})
}
