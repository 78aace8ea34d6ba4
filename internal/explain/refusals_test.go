package explain

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const refusalLogs = `
   1.1 host-a {"time":"2026-01-01T00:00:01.2Z","event":"request_done","outcome":"balance_unavailable","team":"t1","reserved":100,"cause":"reserved","part_spent":850,"part_available":50,"part_reserved":60,"part_unsure":40}
   1.2 host-b {"time":"2026-01-01T00:00:01.1Z","event":"request_done","outcome":"balance_unavailable","team":"t1","reserved":30,"cause":"reserved","part_spent":970,"part_reserved":30}
   2.2 host-a {"time":"2026-01-01T00:00:02.9Z","event":"request_done","outcome":"balance_spent","team":"t2","reserved":7,"cause":"spent","part_spent":1000}
   2.3 host-a {"time":"2026-01-01T00:00:02.9Z","event":"request_done","outcome":"balance_unavailable","team":"t2","reserved":5}
   2.4 host-a {"time":"2026-01-01T00:00:02.9Z","event":"request_done","outcome":"answered","team":"t2","reserved":5,"cause":"spent"}
   2.5 host-a {"time":"2026-01-01T00:00:02.9Z","event":"request_done","outcome":"overloaded","team":"t2","reserved":5}
`

// Guards against refusals that a table leaves out, against lines of other outcomes in it,
// and against shares of lines that name no parts.
func TestRefusalsAreCountedByCauseTeamAndTime(t *testing.T) {
	Convey("Given the lines of refused and answered requests", t, func() {
		log, err := Read("file", strings.NewReader(refusalLogs))
		So(err, ShouldBeNil)
		var out strings.Builder
		So(WriteRefusals(&out, log.Lines, time.Second), ShouldBeNil)
		var rows []string
		for _, row := range strings.Split(out.String(), "\n") {
			rows = append(rows, strings.Join(strings.Fields(row), " "))
		}
		table := strings.Join(rows, "\n")
		So(table, ShouldStartWith, "cause requests tokens\nreserved 2 130\nspent 1 7\nunknown 1 5\n\n")
		So(table, ShouldContainSubstring, "team cause requests tokens\nt1 reserved 2 130\nt2 spent 1 7\nt2 unknown 1 5\n\n")
		So(table, ShouldContainSubstring, "from cause requests tokens\n2026-01-01T00:00:01Z reserved 2 130\n2026-01-01T00:00:02Z spent 1 7\n2026-01-01T00:00:02Z unknown 1 5\n\n")
		So(table, ShouldContainSubstring, "\nspent 94.0% 0\navailable 1.7% 0\n")
		So(table, ShouldContainSubstring, "\nreserved 3.0% 2\n")
		So(table, ShouldContainSubstring, "\nunsure 1.3% 0\n")
		Convey("Without refusals there are only the titles", func() {
			out.Reset()
			So(WriteRefusals(&out, nil, time.Second), ShouldBeNil)
			So(out.String(), ShouldNotContainSubstring, "NaN")
		})
	})
}
