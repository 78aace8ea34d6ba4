package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/teamtable"
	"github.com/peridotreel/peridotreel/internal/operate"
	"github.com/peridotreel/peridotreel/internal/platform"
	standin "github.com/peridotreel/peridotreel/internal/standin/platform"
	"github.com/peridotreel/peridotreel/internal/task"
	"github.com/peridotreel/peridotreel/internal/telemetry"
)

// adminHarness sends requests to the admin handler of a host that runs on the
// platform's stand-in.
type adminHarness struct {
	handler http.Handler
	table   platform.Table
	ready   error
	topUps  []string
}

// List, TopUp and Release implement operate.Budgets.
func (h *adminHarness) List(context.Context) ([]operate.Budget, error) {
	return []operate.Budget{{Budget: "b", Prepaid: 10, Left: 4, Spent: 3, Held: 2, Stranded: 1}}, nil
}

func (h *adminHarness) TopUp(_ context.Context, budget core.BudgetID, amount core.Tokens, token, by string) error {
	h.topUps = append(h.topUps, fmt.Sprint(budget, amount, token, by))
	return nil
}

func (h *adminHarness) Release(_ context.Context, process core.HostRef, _ string) (core.Tokens, error) {
	return core.Tokens(process.Incarnation), nil
}

// lostReplyTable applies every commit but loses the reply of the first.
type lostReplyTable struct {
	platform.Table
	commits int
}

func (l *lostReplyTable) Commit(ctx context.Context, commit platform.Commit) (platform.Revision, error) {
	revision, err := l.Table.Commit(ctx, commit)
	if l.commits++; l.commits == 1 {
		return 0, platform.ErrUnavailable
	}
	return revision, err
}

func newAdminHarness() (*adminHarness, func()) {
	service := standin.NewService()
	var group task.Group
	group.Start(service)
	digest := sha256.Sum256([]byte("operator-key"))
	meters, err := telemetry.New()
	if err != nil {
		panic(err)
	}
	requests, err := telemetry.NewRequestHistograms(meters.Meter())
	if err != nil {
		panic(err)
	}
	requests.Record("lima", "price", "answered", 300*time.Millisecond, time.Second)
	h := &adminHarness{table: service}
	h.handler, err = New(Config{
		Operator: operate.New(operate.Config{Table: service, Budgets: h,
			Now: func() time.Time { return time.Unix(1796000000, 0) }}),
		Metrics: meters.Handler(), Ready: func() error { return h.ready },
		Keys: []Key{{Operator: "ana", Digest: hex.EncodeToString(digest[:])}}})
	if err != nil {
		panic(err)
	}
	return h, group.Stop
}

func (h *adminHarness) request(method, path, key, body string) (int, string) {
	request := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	recorder := httptest.NewRecorder()
	h.handler.ServeHTTP(recorder, request)
	return recorder.Code, recorder.Body.String()
}

func (h *adminHarness) api(method, path, body string) (int, string) {
	return h.request(method, "/api/v1/"+path, "operator-key", body)
}

func putBody(expected, weight int) string {
	return fmt.Sprintf(`{"expected":%d,"row":{"weight":%d,"budget":"b","max_in_flight":1,"tokens_per_second":1,
		"queue_length":1,"deadline":"30s","classes":[{"name":"c","max_tokens":1}]}}`, expected, weight)
}

// Guards against API paths that can be used without an operator's key.
func TestOperatorKeysAreRequired(t *testing.T) {
	Convey("Every API path needs an operator's key; probes and the page don't", t, func() {
		h, stop := newAdminHarness()
		defer stop()
		for _, path := range []string{"teams", "teams/a", "changes?since=0", "teams/a/history", "services", "hosts", "budgets"} {
			for _, key := range []string{"", "wrong"} {
				status, _ := h.request(http.MethodGet, "/api/v1/"+path, key, "")
				So(status, ShouldEqual, http.StatusUnauthorized)
			}
		}
		for _, path := range []string{"teams/a/undo", "budgets/b/topups", "releases"} {
			status, _ := h.request(http.MethodPost, "/api/v1/"+path, "wrong", "{}")
			So(status, ShouldEqual, http.StatusUnauthorized)
		}
		for _, path := range []string{"/livez", "/readyz", "/metrics", "/", "/page.js", "/grid.js", "/model.js", "/api.js", "/page.css"} {
			status, _ := h.request(http.MethodGet, path, "", "")
			So(status, ShouldEqual, http.StatusOK)
		}
		h.ready = errors.New("draining; use another host")
		status, body := h.request(http.MethodGet, "/readyz", "", "")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(body, ShouldContainSubstring, "draining")
	})
	Convey("A bad digest in the settings is named", t, func() {
		_, err := New(Config{Keys: []Key{{Operator: "ana", Digest: "00"}}})
		So(err.Error(), ShouldStartWith, "keys[0].digest:")
	})
}

// Guards against saves that overwrite another operator's changes, and against
// versions that are missing from the history or that undo skips.
func TestEditing(t *testing.T) {
	Convey("Save, conflict, undo, delete and history", t, func() {
		h, stop := newAdminHarness()
		defer stop()
		status, body := h.api(http.MethodPut, "teams/lima", putBody(0, 1))
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, `"version":1`)
		status, _ = h.api(http.MethodPut, "teams/lima", putBody(1, 2))
		So(status, ShouldEqual, http.StatusOK)

		status, body = h.api(http.MethodPut, "teams/lima", putBody(1, 3))
		So(status, ShouldEqual, http.StatusConflict)
		var refused struct{ Error apiError }
		So(json.Unmarshal([]byte(body), &refused), ShouldBeNil)
		So(refused.Error.Current.Version, ShouldEqual, int64(2))
		So(string(refused.Error.Current.Row), ShouldContainSubstring, `"weight":2`)

		status, body = h.api(http.MethodPost, "teams/lima/undo", `{"expected":2}`)
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, `"version":3`)
		_, body = h.api(http.MethodGet, "teams/lima", "")
		So(body, ShouldContainSubstring, `"weight":1`)

		status, _ = h.api(http.MethodDelete, "teams/lima", `{"expected":3}`)
		So(status, ShouldEqual, http.StatusOK)
		status, _ = h.api(http.MethodGet, "teams/lima", "")
		So(status, ShouldEqual, http.StatusNotFound)
		status, body = h.api(http.MethodPost, "teams/lima/undo", `{"expected":0}`)
		So(status, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, `"version":5`)
		status, _ = h.api(http.MethodPost, "teams/lima/undo", `{"expected":5}`)
		So(status, ShouldEqual, http.StatusOK)
		status, _ = h.api(http.MethodGet, "teams/lima", "")
		So(status, ShouldEqual, http.StatusNotFound)

		_, body = h.api(http.MethodGet, "teams/lima/history", "")
		So(strings.Count(body, `"by":"ana"`), ShouldEqual, 5)
	})
	Convey("A save whose reply is lost is saved once", t, func() {
		h, stop := newAdminHarness()
		defer stop()
		table := &lostReplyTable{Table: h.table}
		operator := operate.New(operate.Config{Table: table})
		saved, err := operator.Save(t.Context(), teamtable.Edit{Team: "lima", By: "ana", Row: &core.TeamRow{Team: "lima", Weight: 1,
			Budget: "b", MaxInFlight: 1, TokensPerSecond: 1, Deadline: time.Second, Classes: []core.ClassRow{{Name: "c", MaxTokens: 1}}}})
		So(err, ShouldBeNil)
		So(table.commits, ShouldEqual, 2)
		So(saved.Version, ShouldEqual, int64(1))
	})
	Convey("A bad field is named with its remedy", t, func() {
		h, stop := newAdminHarness()
		defer stop()
		status, body := h.api(http.MethodPut, "teams/lima", putBody(0, 0))
		So(status, ShouldEqual, http.StatusUnprocessableEntity)
		So(body, ShouldContainSubstring, `"field":"weight"`)
		status, body = h.api(http.MethodPut, "teams/lima", strings.Replace(putBody(0, 1), "queue_length", "queue_size", 1))
		So(status, ShouldEqual, http.StatusUnprocessableEntity)
		So(body, ShouldContainSubstring, `"field":"queue_size"`)
	})
}

// Guards against budgets that operators can't read or top up, and against
// top-ups without a token, which a retry would count twice.
func TestBudgets(t *testing.T) {
	Convey("Budgets are listed, topped up and released", t, func() {
		h, stop := newAdminHarness()
		defer stop()
		_, body := h.api(http.MethodGet, "budgets", "")
		So(body, ShouldContainSubstring, `"prepaid":10,"left":4,"spent":3,"held":2,"stranded":1`)
		status, _ := h.api(http.MethodPost, "budgets/b/topups", `{"amount":5,"token":"t1"}`)
		So(status, ShouldEqual, http.StatusOK)
		So(h.topUps, ShouldResemble, []string{fmt.Sprint(core.BudgetID("b"), core.Tokens(5), "t1", "ana")})
		status, body = h.api(http.MethodPost, "budgets/b/topups", `{"amount":5}`)
		So(status, ShouldEqual, http.StatusUnprocessableEntity)
		So(body, ShouldContainSubstring, `"field":"token"`)
		_, body = h.api(http.MethodPost, "releases", `{"host":"h","incarnation":7}`)
		So(body, ShouldContainSubstring, `"returned":7`)
	})
}

// Guards against histograms without the bucket bounds that the latency targets
// need.
func TestMetrics(t *testing.T) {
	Convey("Histograms of a team and class have a bound at the target of 0.36 s", t, func() {
		h, stop := newAdminHarness()
		defer stop()
		_, body := h.request(http.MethodGet, "/metrics", "", "")
		So(body, ShouldContainSubstring, `peridotreel_first_token_seconds_bucket{class="price",team="lima",le="0.36"} 1`)
		So(body, ShouldContainSubstring, `peridotreel_request_seconds_bucket{class="price",outcome="answered",team="lima",le="1"} 1`)
	})
}
