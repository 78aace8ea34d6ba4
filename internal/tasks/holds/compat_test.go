package holds

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
)

// earlierCrash is savedCrash of build e577979.
type earlierCrash struct {
	Part     string `json:"p"`
	Depth    int    `json:"d"`
	Own      bool   `json:"own,omitempty"`
	Upstream string `json:"u"`
	At       int64  `json:"t"`
	Origin   string `json:"o"`
	SameZone bool   `json:"z,omitempty"`
	Repeat   bool   `json:"r,omitempty"`
}

// Guards against saved crashes that a host of the other build cannot read, and against a
// field that is lost once that build writes the row.
func TestSavedCrashesOfTheEarlierBuild(t *testing.T) {
	Convey("Saved crashes are read and kept by both builds", t, func() {
		raw, err := os.ReadFile("testdata/e577979/quarantine.json")
		So(err, ShouldBeNil)
		read, err := decodeRow(raw, time.Hour)
		So(err, ShouldBeNil)
		So(read, ShouldResemble, []quarantine.CrashReport{
			{Part: "p-1", Depth: 2, Own: true, Upstream: "u-1", Age: 1500 * time.Millisecond, Origin: "h-1", SameZone: true, Repeat: true},
			{Part: "p-2", Upstream: "u-2", Origin: "h-2"},
		})
		written, err := encodeRow(read, time.Hour)
		So(err, ShouldBeNil)
		So(string(written), ShouldEqual, string(raw))
		var earlier []earlierCrash
		So(json.Unmarshal(written, &earlier), ShouldBeNil)
		again, err := json.Marshal(earlier)
		So(err, ShouldBeNil)
		So(string(again), ShouldEqual, string(written))
	})
}
