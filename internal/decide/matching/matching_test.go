package matching

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against matching a route of another host or with a shorter prefix.
func TestRouteLongestPrefix(t *testing.T) {
	config := &gateway.Config{Routes: []gateway.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"}, {Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}}
	Convey("Given routes of two hosts", t, func() {
		for target, name := range map[string]string{"/x/1": "short", "/x/y/1": "long", "/x/y": "short", "/x/%79/1?/x/y/": "short"} {
			route, found := Route(config, "A.example:80", target)
			So(found, ShouldBeTrue)
			So(route.Name, ShouldEqual, name)
		}
		_, found := Route(config, "a.example", "/y/")
		So(found, ShouldBeFalse)
	})
}

// Guards against a traffic split that deviates from the weights, and against
// repeats that go to another service.
func TestServiceFollowsWeights(t *testing.T) {
	route := &gateway.Route{Services: []gateway.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	Convey("Given weights of 90, 10 and 0", t, func() {
		counts := map[string]int{}
		for i := range 10_000 {
			id := fmt.Sprintf("id-%d", i)
			service, found := Service(route, id)
			again, _ := Service(route, id)
			So(found && service == again, ShouldBeTrue)
			counts[string(service)]++
		}
		So(counts["c"], ShouldEqual, 0)
		So(counts["b"], ShouldBeBetween, 850, 1150)
	})
}

// Guards against a route's rank that takes precedence over a team's.
func TestUrgencyTeamRankTakesPrecedence(t *testing.T) {
	Convey("Given two teams", t, func() {
		first, second := &gateway.Team{Rank: 0}, &gateway.Team{Rank: 1}
		So(Urgency(first, &gateway.Route{Rank: 2}), ShouldBeLessThan, Urgency(second, &gateway.Route{Rank: 0}))
		So(Urgency(&gateway.Team{Rank: 7}, &gateway.Route{Rank: 2}), ShouldEqual, leastUrgency)
	})
}
