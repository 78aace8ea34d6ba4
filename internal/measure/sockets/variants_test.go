package sockets

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	upstreamstandin "github.com/peridotreel/peridotreel/internal/standin/upstream"
)

// Guards against measuring a variant that gives no answers or incomplete ones.
func TestVariantsGiveTheWholeAnswer(t *testing.T) {
	l := &layout{
		zones: 1, hostsPerZone: 1, engines: 2, deadline: time.Minute, longDeadline: time.Minute,
		engine: upstreamstandin.EngineSettings{StepTime: time.Millisecond, MaxRunning: 4},
	}
	jobs := []job{{prompt: "first", maxTokens: 20}, {prompt: "second", maxTokens: 30, long: true, team: 3}}
	for _, v := range []variant{directVariant, bareVariant, roundRobinVariant, leastConnectionsVariant, productVariant} {
		Convey("Answers are complete with "+v.name, t, func() {
			outcomes, err := runLoad(context.Background(), v, l, jobs, nil)
			So(err, ShouldBeNil)
			So(count(outcomes, answered), ShouldEqual, len(jobs))
		})
	}
}

// Guards against a baseline that prefers one engine.
func TestEnginesAreChosenInTurn(t *testing.T) {
	Convey("Each engine is chosen once per round", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		targets := make(chan string)
		go chooseRoundRobin(ctx, []string{"a", "b", "c"}, targets)
		So([]string{<-targets, <-targets, <-targets, <-targets}, ShouldResemble, []string{"a", "b", "c", "a"})
	})
}
