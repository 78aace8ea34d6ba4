package explain

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const logs = `
   6.1 host-a {"time":"2026-01-01T00:00:01Z","event":"store_lost","table":"balances","error":"timeout"}
   6.2 host-b {"time":"2026-01-01T00:00:01.5Z","event":"store_lost","table":"balances","error":"other host"}
   6.2 host-a {"time":"2026-01-01T00:00:01.6Z","event":"upstream_removed","upstream":"u1"}
   6.3 host-a {"time":"2026-01-01T00:00:02Z","event":"request_done","request":"r1","outcome":"balance_unavailable","team":"t","reserved":7,"attempts":"u2 not_run"}
not a log line
`

// Guards against an explanation that omits the outage that caused a refusal, or
// that includes events of other hosts or of upstreams that were not tried.
func TestExplainRequest(t *testing.T) {
	Convey("Given the mixed lines of two hosts", t, func() {
		log, err := Read("file", strings.NewReader(logs))
		So(err, ShouldBeNil)
		So(log.Skipped, ShouldEqual, 2)
		var out strings.Builder
		So(WriteRequest(&out, log.Lines, "r1"), ShouldBeTrue)
		So(out.String(), ShouldContainSubstring, "outcome=balance_unavailable")
		So(out.String(), ShouldContainSubstring, "1s earlier: store_lost error=timeout table=balances")
		So(out.String(), ShouldNotContainSubstring, "other host")
		So(out.String(), ShouldNotContainSubstring, "u1")
		So(WriteRequest(&out, log.Lines, "r2"), ShouldBeFalse)
		out.Reset()
		WriteEvents(&out, log.Lines, time.Date(2026, 1, 1, 0, 0, 1, 200, time.UTC), "store_lost")
		So(strings.Count(out.String(), "\n"), ShouldEqual, 1)
	})
}

// Guards against events that docs/OPERATIONS.md does not explain.
func TestOperationsPageListsEveryEvent(t *testing.T) {
	Convey("Given the sources of the gateway and docs/OPERATIONS.md", t, func() {
		page, err := os.ReadFile("../../docs/OPERATIONS.md")
		So(err, ShouldBeNil)
		event := regexp.MustCompile(`zap\.String\("event", "([a-z_]+)"`)
		for _, root := range []string{"../api", "../host", "../front", "../opaque", "../edge", "../eventlog", "../tasks/director", "../tasks/balances", "../tasks/peers", "../tasks/follower", "../../cmd"} {
			err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
				if err != nil || !strings.HasSuffix(path, ".go") {
					return err
				}
				source, err := os.ReadFile(path)
				for _, match := range event.FindAllSubmatch(source, -1) {
					// A name that ends with an underscore is a prefix; the code appends the kind.
					name := string(match[1])
					if !strings.HasSuffix(name, "_") {
						name += "`"
					}
					So(string(page), ShouldContainSubstring, "`"+name)
				}
				return err
			})
			So(err, ShouldBeNil)
		}
	})
}
