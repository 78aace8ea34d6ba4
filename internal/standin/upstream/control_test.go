package upstream

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/task"
)

// testServer is a stand-in that a test calls over HTTP.
type testServer struct {
	base   string
	client *http.Client
}

func serve(t *testing.T, standIn task.Task, handler http.Handler) testServer {
	server, err := Listen("127.0.0.1:0", handler)
	if err != nil {
		t.Fatal(err)
	}
	var group task.Group
	group.Start(standIn)
	group.Start(server)
	t.Cleanup(group.Stop)
	return testServer{"http://" + server.Address(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

func (s testServer) ask(method, path, key, body string) (status int, header http.Header, answer string) {
	request, err := http.NewRequest(method, s.base+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	request.Header.Set("Idempotency-Key", key)
	response, err := s.client.Do(request)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	var content bytes.Buffer
	_, err = io.Copy(&content, response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, response.Header, content.String()
}

// Guards against control requests over HTTP without effect, on which a trial
// would rely.
func TestEngineControlOverHTTP(t *testing.T) {
	engine := NewEngine(EngineSettings{})
	server := serve(t, engine, engine.Handler())
	Convey("A leaving engine fails its health check", t, func() {
		status, _, _ := server.ask(http.MethodPut, PathEngineControl, "", `{"leaving":true,"slowdown":2}`)
		So(status, ShouldEqual, http.StatusNoContent)
		status, _, _ = server.ask(http.MethodGet, "/healthz", "", "")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		_, _, body := server.ask(http.MethodGet, PathCounters, "", "")
		var counters CountersBody
		So(json.Unmarshal([]byte(body), &counters), ShouldBeNil)
		So(counters.Runs, ShouldBeEmpty)
	})
	Convey("An unknown action on connections is refused", t, func() {
		status, _, _ := server.ask(http.MethodPut, PathConnections, "", `{"action":"odd"}`)
		So(status, ShouldEqual, http.StatusBadRequest)
		status, _, _ = server.ask(http.MethodPut, PathConnections, "", `{"action":"cut"}`)
		So(status, ShouldEqual, http.StatusNoContent)
	})
}

// Guards against run counts that hide a call that ran twice.
func TestServiceCountsRuns(t *testing.T) {
	service := NewService(ServiceSettings{Name: "ledger", MaxRunning: 1})
	server := serve(t, service, service.Handler())
	Convey("Each run is counted by key, refused calls are not", t, func() {
		for range 2 {
			status, _, body := server.ask(http.MethodPost, "/payouts/1%2F2?x=y", "k", "amount")
			So(status, ShouldEqual, http.StatusOK)
			So(body, ShouldContainSubstring, `"path":"/payouts/1%2F2?x=y"`)
			// echo -n amount | sha256sum
			So(body, ShouldContainSubstring, `"body_sha256":"cf38d95c9c6b1d9d5125c04d41a54df57727ef4cfb3f5116a602fe2b25115c13"`)
		}
		So(service.Runs(), ShouldResemble, map[string]int{"k": 2})
		service.control(func(owned *serviceState) { owned.running = 1 })
		status, header, _ := server.ask(http.MethodPost, "/payouts", "k", "amount")
		So(status, ShouldEqual, http.StatusServiceUnavailable)
		So(header.Get("X-Not-Run"), ShouldEqual, "true")
		_, _, body := server.ask(http.MethodGet, PathCounters, "", "")
		So(body, ShouldEqual, `{"runs":{"k":2}}`+"\n")
	})
}
