package telemetry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/decide/endings"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

// Guards against metrics of ends that are missing, or that are read from different counts
// so that a scrape does not add up.
func TestTheMetricsOfEndsAreOfOneMoment(t *testing.T) {
	Convey("Given counts of ends", t, func() {
		asked := 0
		telemetry, err := New()
		So(err, ShouldBeNil)
		So(RegisterEndings(telemetry.Meter(), func(context.Context) (endings.Totals, error) {
			asked++
			return endings.Totals{
				RequestsBegun: 6, RequestsInFlight: 1, ConnectionsAccepted: 5, ConnectionsOpen: 2, Unmatched: 7,
				Ends:   map[gateway.Ending]int64{{End: gateway.EndAnswered}: 3, {End: gateway.EndCut, Cause: gateway.CauseDeadline}: 2},
				Closes: map[gateway.Closing]int64{{Cause: gateway.CloseIdle}: 1, {Cause: gateway.CloseLimit, UnreadBytes: true}: 2},
			}, nil
		}), ShouldBeNil)
		page := httptest.NewRecorder()
		telemetry.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		var lines []string
		for text := range strings.Lines(page.Body.String()) {
			if strings.HasPrefix(text, "peridotreel_") {
				lines = append(lines, strings.TrimSpace(text))
			}
		}
		So(lines, ShouldResemble, []string{
			`peridotreel_connection_closes_total{cause="idle",unread_bytes="false"} 1`,
			`peridotreel_connection_closes_total{cause="limit",unread_bytes="true"} 2`,
			`peridotreel_connections_accepted_total 5`,
			`peridotreel_connections_open 2`,
			`peridotreel_endings_unmatched_total 7`,
			`peridotreel_request_ends_total{cause="",end="answered"} 3`,
			`peridotreel_request_ends_total{cause="deadline",end="cut"} 2`,
			`peridotreel_requests_begun_total 6`,
			`peridotreel_requests_in_flight 1`,
		})
		So(asked, ShouldEqual, 1)
	})
}
