package measure

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

var exampleRows = []Row{
	{Measure: "relay", Variant: Product, Metric: "cpu", Value: 3, Unit: "us", Target: AtMost(2)},
	{Measure: "relay", Variant: "bare", Metric: "cpu", Value: 4, Unit: "us"},
	{Measure: "relay", Variant: Product, Metric: "throughput", Value: 0.85, Unit: "ratio", Target: AtLeast(0.85)},
}

// Guards against a missed target reported as met, and against target fields on
// rows without a target.
func TestTargetsAreReported(t *testing.T) {
	Convey("JSON has one object per line, with target and met only for rows with a target", t, func() {
		var out bytes.Buffer
		So(WriteJSON(&out, exampleRows), ShouldBeNil)
		So(out.String(), ShouldEqual, `{"measure":"relay","variant":"product","metric":"cpu","value":3,"unit":"us","target":2,"met":false}
{"measure":"relay","variant":"bare","metric":"cpu","value":4,"unit":"us"}
{"measure":"relay","variant":"product","metric":"throughput","value":0.85,"unit":"ratio","target":0.85,"met":true}
`)
	})
	Convey("The table shows the product's value divided by the baseline's", t, func() {
		var out bytes.Buffer
		So(WriteTable(&out, exampleRows), ShouldBeNil)
		So(out.String(), ShouldContainSubstring, "0.750")
		So(out.String(), ShouldContainSubstring, "<= 2")
	})
}
