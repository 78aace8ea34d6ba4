package slopes

import (
	"context"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/platform"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// Guards against a capacity plan that extrapolates along a wrong line.
func TestFits(t *testing.T) {
	point := func(parameter string, at, value float64) Point {
		return Point{"role", parameter, at, "metric", value, "B"}
	}
	points := []Point{point("hosts", 1, 5), point("zones", 3, 9), point("hosts", 2, 7), point("hosts", 3, 9)}
	Convey("only a parameter with several sizes gets a line", t, func() {
		fits := Fits(points)
		So(fits, ShouldHaveLength, 1)
		So(fits[0], ShouldResemble, Fit{"role", "hosts", "metric", "B", 3, 3, 2})
		So(fits[0].At(330), ShouldEqual, 663)
	})
	Convey("the line through points with an outlier is the least-squares line", t, func() {
		intercept, slope, ok := fitLine([]Point{point("hosts", 0, 0), point("hosts", 1, 3), point("hosts", 2, 0)})
		So([]any{intercept, slope, ok}, ShouldResemble, []any{1.0, 0.0, true})
	})
}

// Guards against traffic that is not counted, or that is counted in an encoding
// other than that on the wire.
func TestCounting(t *testing.T) {
	var group task.Group
	service := standin.NewService()
	group.Start(service)
	defer group.Stop()
	var counts platformCounts
	table := countedTable{service, &counts}
	Convey("commits and reads are counted with the size of their JSON bodies", t, func() {
		ctx := context.Background()
		_, err := table.Commit(ctx, platform.Commit{Token: "t", Writes: []platform.Write{{Key: "k", Value: []byte("abc")}}})
		So(err, ShouldBeNil)
		committed := `{"token":"t","conditions":null,"writes":[{"key":"k","value":"YWJj"}]}` + `{"revision":1}`
		So(counts.tableBytes.Load(), ShouldEqual, len(committed))
		_, err = table.Get(ctx, "k")
		So(err, ShouldBeNil)
		read := `{"keys":["k"]}` + `{"rows":[{"key":"k","version":1,"revision":1,"value":"YWJj"}]}`
		So(counts.tableBytes.Load(), ShouldEqual, len(committed)+len(read))
		So([]int64{counts.commits.Load(), counts.writes.Load(), counts.reads.Load()}, ShouldResemble, []int64{1, 1, 1})
	})
}

// Guards against a fake clock that doesn't reach the tasks: without ticks
// nothing is reported, and if time stands still each request draws tokens.
func TestBudgetsOnFakeClock(t *testing.T) {
	// The tasks bound their calls to the platform and to peers by the time of the
	// bubble, which passes only while all of them wait. By wall-clock time, a busy
	// machine would exceed these bounds.
	synctest.Test(t, func(t *testing.T) {
		Convey("a busy budget has fewer draws than requests, and draws reach the zone's owner", t, func() {
			points, err := budgetSize{"test", 2, 1, 2, 4, 2}.run(context.Background(), 1)
			So(err, ShouldBeNil)
			perRequest := Find(points, "budgets", "test", "commits per request")
			So(perRequest, ShouldHaveLength, 1)
			So(perRequest[0].Value, ShouldBeBetween, 0, 1)
			So(Find(points, "budgets", "test", "peer traffic per host")[0].Value, ShouldBeGreaterThan, 0)
			So(Find(points, "budgets", "test", "rows per commit")[0].Value, ShouldBeGreaterThanOrEqualTo, 1)
		})
	})
}

// Guards against an unknown role name that is silently ignored.
func TestRoles(t *testing.T) {
	Convey("an unknown role is an error", t, func() {
		_, err := Run(context.Background(), Options{}, "no such role")
		So(err, ShouldNotBeNil)
	})
}
