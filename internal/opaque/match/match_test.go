package match

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/tasks/director"
)

type fixedConfig director.ConfigState

func (c fixedConfig) Current(context.Context) (director.ConfigState, error) {
	return director.ConfigState(c), nil
}

// Guards against a stopping host that takes a request which it cannot finish: it was
// passed on, and cut without an answer at the end of the grace period, also if it must
// not be repeated.
func TestAStoppingHostTakesOnlyWhatItCanFinish(t *testing.T) {
	Convey("Given a host that stops in 4 s", t, func() {
		now := time.Unix(1000, 0)
		const timeout = 10 * time.Second
		state := director.ConfigState{
			Config: &gateway.Config{
				Services: map[core.ServiceName]gateway.Service{"s": {Name: "s"}},
				Routes: []gateway.Route{
					{Name: "pay", Host: "h", Prefix: "/pay/", Retry: gateway.RunOnce, Timeout: timeout, Objective: 100 * time.Millisecond, Services: []gateway.WeightedService{{Service: "s", Weight: 1}}},
					{Name: "look", Host: "h", Prefix: "/look/", Retry: gateway.Idempotent, Timeout: timeout, Objective: 100 * time.Millisecond, Services: []gateway.WeightedService{{Service: "s", Weight: 1}}},
					{Name: "chat", Host: "h", Prefix: "/chat/", Retry: gateway.StreamOnce, Timeout: timeout, Objective: 100 * time.Millisecond, Services: []gateway.WeightedService{{Service: "s", Weight: 1}}},
				},
			},
			ShutdownAt: now.Add(4 * time.Second), ShutdownNoticed: now,
		}
		filter := &Filter{ConfigSource: fixedConfig(state)}
		Convey("while callers are still sent to it, it takes what most likely ends in time", func() {
			takes := func(target string, left time.Duration) bool {
				state.ShutdownAt, state.ShutdownNoticed = now.Add(left), now.Add(time.Millisecond)
				filter := &Filter{ConfigSource: fixedConfig(state)}
				_, err := filter.Apply(context.Background(), &gateway.Request{ID: "id", Host: "h", Target: target, Arrived: now})
				return err == nil
			}
			So(takes("/chat/x", typicalStreamTime), ShouldBeTrue)
			So(takes("/chat/x", typicalStreamTime-time.Millisecond), ShouldBeFalse)
			So(takes("/look/x", completionObjectives*100*time.Millisecond), ShouldBeTrue)
			So(takes("/look/x", completionObjectives*100*time.Millisecond-time.Millisecond), ShouldBeFalse)
			So(takes("/pay/x", timeout), ShouldBeTrue)
			So(takes("/pay/x", timeout-time.Millisecond), ShouldBeFalse)
		})
		for _, target := range []string{"/pay/x", "/look/x", "/chat/x"} {
			request := &gateway.Request{ID: "id", Host: "h", Target: target, Arrived: now}
			Convey("it takes a request to "+target+" whose time is up before", func() {
				request.Deadline = now.Add(3900 * time.Millisecond)
				_, err := filter.Apply(context.Background(), request)
				So(err, ShouldBeNil)
			})
			for name, deadline := range map[string]time.Time{"later": now.Add(4100 * time.Millisecond), "at the route's timeout": {}} {
				Convey("it rejects one to "+target+" whose time is up "+name, func() {
					request.Deadline = deadline
					_, err := filter.Apply(context.Background(), request)
					var refusal *gateway.Refusal
					So(errors.As(err, &refusal), ShouldBeTrue)
					So(refusal.Kind, ShouldEqual, gateway.Draining)
				})
			}
		}
	})
}
