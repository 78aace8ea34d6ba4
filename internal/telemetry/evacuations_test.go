package telemetry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against metrics of evacuations that are missing or mixed up.
func TestTheMetricsOfEvacuations(t *testing.T) {
	Convey("Given one evacuated zone with two attempts", t, func() {
		telemetry, err := New()
		So(err, ShouldBeNil)
		So(RegisterEvacuations(telemetry.Meter(), func(context.Context) (EvacuationTotals, error) {
			return EvacuationTotals{Zones: 1, Attempts: 2}, nil
		}), ShouldBeNil)
		page := httptest.NewRecorder()
		telemetry.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
		So(page.Body.String(), ShouldContainSubstring, "peridotreel_evacuated_zones 1\n")
		So(page.Body.String(), ShouldContainSubstring, "peridotreel_evacuated_attempts 2\n")
	})
}
