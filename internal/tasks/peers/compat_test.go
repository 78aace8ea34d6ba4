package peers

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// earlierHostRow is hostRow of build e577979.
type earlierHostRow struct {
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	Era     *int64 `json:"era,omitempty"`
}

// Guards against hosts of two builds that do not know each other. Each host writes its own
// row only, so that an unknown field is not lost.
func TestRowsOfHostsOfTheEarlierBuild(t *testing.T) {
	Convey("A host's row is read by both builds", t, func() {
		era := int64(3)
		for name, want := range map[string]hostRow{
			"host": {Address: "10.0.0.1:7001", Zone: "z1", Era: &era}, "host_leaving": {Address: "10.0.0.2:7001", Zone: "z2", Leaving: true, Era: &era},
		} {
			raw, err := os.ReadFile("testdata/e577979/" + name + ".json")
			So(err, ShouldBeNil)
			read, err := decodeHostRow(raw)
			So(err, ShouldBeNil)
			So(read, ShouldResemble, want)
			raw, err = json.Marshal(want)
			So(err, ShouldBeNil)
			var earlier earlierHostRow
			So(json.Unmarshal(raw, &earlier), ShouldBeNil)
			So([]any{earlier.Address, earlier.Zone, earlier.Leaving, *earlier.Era}, ShouldResemble, []any{want.Address, want.Zone, want.Leaving, era})
		}
	})
}
