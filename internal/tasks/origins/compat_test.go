package origins

import (
	"encoding/json"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against records of streams that a host of the other build cannot read, so that the
// streams could not be resumed. A row is only written, never changed.
func TestSavedRecordsOfTheEarlierBuild(t *testing.T) {
	Convey("Saved records are read by both builds", t, func() {
		raw, err := os.ReadFile("testdata/e577979/origins.json")
		So(err, ShouldBeNil)
		want := map[string][]string{"v1": {"a-1", "a-2"}, "v2": {"b-1"}}
		var read savedRecords
		So(json.Unmarshal(raw, &read), ShouldBeNil)
		So(read, ShouldResemble, savedRecords(want))
		written, err := json.Marshal(read)
		So(err, ShouldBeNil)
		var earlier map[string][]string
		So(json.Unmarshal(written, &earlier), ShouldBeNil)
		So(earlier, ShouldResemble, want)
	})
}
