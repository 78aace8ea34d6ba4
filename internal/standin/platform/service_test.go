package platform

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/platform"
	"github.com/peridotreel/peridotreel/internal/task"
)

// platformAPI is the platform in one process or over HTTP.
type platformAPI interface {
	platform.Table
	platform.Directory
	Objects() platform.Objects
}

// forEachTransport runs a check against a new service, once by direct calls and
// once over HTTP, to show that both give the same results.
func forEachTransport(t *testing.T, check func(service *Service, api platformAPI)) {
	for _, transport := range []string{"in one process", "over HTTP"} {
		Convey(transport, func() {
			service := NewService()
			var group task.Group
			group.Start(service)
			t.Cleanup(group.Stop)
			if transport == "over HTTP" {
				server := httptest.NewServer(service.Handler())
				t.Cleanup(server.Close)
				check(service, platform.NewClient(server.URL, platform.WithTimeout(time.Minute)))
				return
			}
			check(service, service)
		})
	}
}

func put(key, value string) platform.Write {
	return platform.Write{Key: key, Value: []byte(value)}
}

// Guards against commits that are applied in part or despite a failed
// condition.
func TestConditions(t *testing.T) {
	cases := []struct {
		name       string
		conditions []platform.Condition
		failed     []string
	}{
		{"no condition", nil, nil},
		{"right version", []platform.Condition{{Key: "a", Version: 2}}, nil},
		{"old version", []platform.Condition{{Key: "a", Version: 1}}, []string{"a"}},
		{"absent row is absent", []platform.Condition{{Key: "none", Version: 0}}, nil},
		{"deleted row is absent", []platform.Condition{{Key: "deleted", Version: 0}}, nil},
		{"present row is not absent", []platform.Condition{{Key: "a", Version: 0}}, []string{"a"}},
		{"absent row has no version", []platform.Condition{{Key: "none", Version: 1}}, []string{"none"}},
		{"one of two fails", []platform.Condition{{Key: "a", Version: 2}, {Key: "b", Version: 9}}, []string{"b"}},
	}
	Convey("A commit is applied as a whole or not at all", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				forEachTransport(t, func(_ *Service, api platformAPI) { checkCondition(api, c.conditions, c.failed) })
			})
		}
	})
}

func checkCondition(api platformAPI, conditions []platform.Condition, failed []string) {
	ctx := context.Background()
	for _, commit := range []platform.Commit{
		{Writes: []platform.Write{put("a", "1"), put("b", "1"), put("deleted", "1")}},
		{Writes: []platform.Write{put("a", "2"), {Key: "deleted", Delete: true}}},
	} {
		_, err := api.Commit(ctx, commit)
		So(err, ShouldBeNil)
	}
	revision, err := api.Commit(ctx, platform.Commit{
		Conditions: conditions, Writes: []platform.Write{put("a", "3"), put("new", "\x00\xff")},
	})
	rows, readErr := api.Get(ctx, "a", "new", "deleted")
	So(readErr, ShouldBeNil)
	if len(failed) == 0 {
		So(err, ShouldBeNil)
		So(revision, ShouldEqual, 3)
		So(rows, ShouldResemble, []platform.Row{
			{Key: "a", Version: 3, Revision: 3, Value: []byte("3")},
			{Key: "new", Version: 1, Revision: 3, Value: []byte("\x00\xff")},
		})
		return
	}
	var conflict *platform.ConflictError
	So(errors.As(err, &conflict), ShouldBeTrue)
	var keys []string
	for _, row := range conflict.Rows {
		keys = append(keys, row.Key)
	}
	So(keys, ShouldResemble, failed)
	So(rows, ShouldHaveLength, 1)
	So(string(rows[0].Value), ShouldEqual, "2")
}

// Guards against reads that miss a changed or deleted row, an object or a
// machine.
func TestReads(t *testing.T) {
	Convey("Rows are listed by prefix, and changes include deleted rows", t, func() {
		forEachTransport(t, func(_ *Service, api platformAPI) {
			ctx := context.Background()
			for _, writes := range [][]platform.Write{
				{put("team/b", "1"), put("team/a", "1"), put("other", "1")}, {put("team/a", "2")}, {{Key: "team/b", Delete: true}},
			} {
				_, err := api.Commit(ctx, platform.Commit{Writes: writes})
				So(err, ShouldBeNil)
			}
			rows, err := api.List(ctx, "team/")
			So(err, ShouldBeNil)
			So(rows, ShouldResemble, []platform.Row{{Key: "team/a", Version: 2, Revision: 2, Value: []byte("2")}})
			set, err := api.Changes(ctx, 1, []string{"team/", "history/"})
			So(err, ShouldBeNil)
			So(set, ShouldResemble, platform.ChangeSet{Through: 3, Rows: []platform.Row{
				{Key: "team/a", Version: 2, Revision: 2, Value: []byte("2")},
				{Key: "team/b", Version: 2, Revision: 3, Deleted: true},
			}})
		})
	})
	Convey("Objects of any name are stored", t, func() {
		forEachTransport(t, func(_ *Service, api platformAPI) {
			name := "segments/host 1/7%2F?#.json"
			_, found, err := api.Objects().Get(context.Background(), name)
			So(err, ShouldBeNil)
			So(found, ShouldBeFalse)
			So(api.Objects().Put(context.Background(), name, []byte{0, 1}), ShouldBeNil)
			content, found, err := api.Objects().Get(context.Background(), name)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(content, ShouldResemble, []byte{0, 1})
		})
	})
	Convey("The list of machines is read completely", t, func() {
		forEachTransport(t, func(service *Service, api platformAPI) {
			members := []platform.Member{
				{Role: platform.RoleHost, ID: "h", Incarnation: 1 << 63, Zone: "z", Address: "127.0.0.1:1", Leaving: true},
				{Role: platform.RoleEngine, ID: "e", Models: []core.ModelName{"m", "n"}, ChecksFencing: true},
				{Role: platform.RoleService, ID: "s", Service: "ledger"},
			}
			service.SetMembers(members)
			listed, err := api.Members(context.Background())
			So(err, ShouldBeNil)
			So(listed, ShouldResemble, members)
		})
	})
}

// insert succeeds once; a repetition without its token conflicts.
var insert = platform.Commit{
	Token: "t", Conditions: []platform.Condition{{Key: "a"}}, Writes: []platform.Write{put("a", "1")},
}

// Guards against a write that is applied twice, or never, when it is repeated
// after a lost reply.
func TestTokensUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		fault   Fault
		applied bool
		err     error
	}{
		{"none", Fault{Mode: ModeNone}, true, nil},
		{"down", Fault{Mode: ModeDown}, false, platform.ErrUnavailable},
		{"lose_reply", Fault{Mode: ModeLoseReply}, true, platform.ErrUnavailable},
		{"slow", Fault{Mode: ModeSlow, Delay: time.Millisecond}, true, nil},
		{"down for commits", Fault{Mode: ModeDown, Operations: []Operation{OperationCommit}}, false, platform.ErrUnavailable},
		{"down for other operations", Fault{Mode: ModeDown, Operations: []Operation{OperationGet, OperationList}}, true, nil},
	}
	Convey("A commit with a repeated token returns the first result after any fault", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				forEachTransport(t, func(service *Service, api platformAPI) {
					ctx := context.Background()
					So(service.SetFault(c.fault), ShouldBeNil)
					_, err := api.Commit(ctx, insert)
					So(errors.Is(err, c.err), ShouldBeTrue)
					service.SetMode(ModeNone)
					rows, err := api.List(ctx, "")
					So(err, ShouldBeNil)
					So(len(rows) == 1, ShouldEqual, c.applied)
					for range 2 {
						revision, err := api.Commit(ctx, insert)
						So(err, ShouldBeNil)
						So(revision, ShouldEqual, 1)
					}
				})
			})
		}
	})
}

// Guards against a repeated commit that succeeds after its first result was a
// conflict, and against invalid faults that are accepted and have no effect.
func TestConflictTokensAndInvalidFaults(t *testing.T) {
	Convey("A commit with a repeated token returns the first conflict, even after the row was deleted", t, func() {
		forEachTransport(t, func(_ *Service, api platformAPI) {
			ctx := context.Background()
			_, err := api.Commit(ctx, platform.Commit{Writes: []platform.Write{put("a", "1")}})
			So(err, ShouldBeNil)
			_, first := api.Commit(ctx, insert)
			_, err = api.Commit(ctx, platform.Commit{Writes: []platform.Write{{Key: "a", Delete: true}}})
			So(err, ShouldBeNil)
			_, second := api.Commit(ctx, insert)
			So(first, ShouldHaveSameTypeAs, &platform.ConflictError{})
			So(second, ShouldResemble, first)
		})
	})
	Convey("An invalid fault is refused with a remedy", t, func() {
		for _, fault := range []Fault{{}, {Mode: "odd"}, {Mode: ModeSlow}, {Mode: ModeDown, Operations: []Operation{"odd"}}} {
			So(NewService().SetFault(fault), ShouldNotBeNil)
		}
	})
}

// inBubble runs a check against a service with limits on a fake clock.
func inBubble(t *testing.T, settings Settings, check func(t *testing.T, service *Service)) {
	synctest.Test(t, func(t *testing.T) {
		service := NewServiceWithSettings(settings)
		var group task.Group
		group.Start(service)
		defer group.Stop()
		Convey("On a fake clock", t, func() { check(t, service) })
	})
}

// Guards against a stand-in that allows higher rates than the platform.
func TestRateLimits(t *testing.T) {
	inBubble(t, DefaultSettings(), func(t *testing.T, service *Service) {
		ctx := t.Context()
		for range DefaultWritesPerSecond {
			_, err := service.Commit(ctx, platform.Commit{})
			So(err, ShouldBeNil)
		}
		_, err := service.Commit(ctx, platform.Commit{Token: "t", Writes: []platform.Write{put("a", "1")}})
		var limited *platform.RateLimitError
		So(errors.As(err, &limited), ShouldBeTrue)
		So(limited.RetryAfter, ShouldEqual, time.Second)
		So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
		rows, err := service.List(ctx, "")
		So(err, ShouldBeNil)
		So(rows, ShouldBeEmpty)
		time.Sleep(time.Second / DefaultWritesPerSecond)
		_, err = service.Commit(ctx, platform.Commit{Token: "t", Writes: []platform.Write{put("a", "1")}})
		So(err, ShouldBeNil)
	})
}

// Guards against a stand-in that shows changes of the list of machines at once,
// so that tests of hosts miss the effects of its lag.
func TestMembersLag(t *testing.T) {
	inBubble(t, DefaultSettings(), func(t *testing.T, service *Service) {
		service.SetMembers([]platform.Member{{ID: "a"}})
		time.Sleep(time.Second)
		service.SetMembers([]platform.Member{{ID: "b"}})
		for _, expected := range []string{"", "a", "b"} {
			members, err := service.Members(t.Context())
			So(err, ShouldBeNil)
			listed := ""
			for _, member := range members {
				listed += member.ID
			}
			So(listed, ShouldEqual, expected)
			time.Sleep(time.Second)
		}
	})
}

// Guards against callers that wait beyond their deadline in mode slow.
func TestSlowModeEndsWithContext(t *testing.T) {
	inBubble(t, Settings{}, func(t *testing.T, service *Service) {
		So(service.SetFault(Fault{Mode: ModeSlow, Delay: time.Hour}), ShouldBeNil)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := service.Commit(ctx, platform.Commit{Writes: []platform.Write{put("a", "1")}})
		So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
		service.SetMode(ModeNone)
		rows, err := service.List(t.Context(), "")
		So(err, ShouldBeNil)
		So(rows, ShouldHaveLength, 1)
	})
}

// Guards against control requests that hang after the task has ended.
func TestControlAfterStop(t *testing.T) {
	Convey("Control requests return once the task has ended", t, func() {
		service := NewService()
		var group task.Group
		group.Start(service)
		group.Stop()
		for range 10 { // Send chooses at random between the inbox and the end
			service.SetMode(ModeDown)
		}
		_, err := service.List(context.Background(), "")
		So(errors.Is(err, platform.ErrUnavailable), ShouldBeTrue)
	})
}

// Guards against control requests over HTTP that differ from the design page.
func TestControlOverHTTP(t *testing.T) {
	inBubble(t, Settings{WeightsPerSecond: 1}, func(_ *testing.T, service *Service) {
		handler := service.Handler()
		ask := func(method, path, body string) *httptest.ResponseRecorder {
			answer := httptest.NewRecorder()
			handler.ServeHTTP(answer, httptest.NewRequest(method, path, strings.NewReader(body)))
			return answer
		}
		Convey("Faults are set by operation", func() {
			fault := `{"mode":"down","operations":["list"]}`
			So(ask("PUT", "/standin/faults", fault).Code, ShouldEqual, http.StatusOK)
			So(ask("GET", "/v1/table/rows?prefix=", "").Code, ShouldEqual, http.StatusServiceUnavailable)
			So(ask("GET", "/v1/members", "").Code, ShouldEqual, http.StatusOK)
			So(ask("PUT", "/standin/faults", `{"mode":"odd"}`).Code, ShouldEqual, http.StatusBadRequest)
		})
		Convey("Members are replaced", func() {
			So(ask("PUT", "/standin/members", `{"members":[{"role":"host","id":"h1"}]}`).Code, ShouldEqual, http.StatusOK)
			So(ask("GET", "/v1/members", "").Body.String(), ShouldContainSubstring, `"id":"h1"`)
		})
		Convey("Reads of weights are limited, and the limit is reported as such", func() {
			So(ask("PUT", "/standin/weights/m.bin", "w").Code, ShouldEqual, http.StatusOK)
			So(ask("GET", "/v1/weights/m.bin", "").Body.String(), ShouldEqual, "w")
			answer := ask("GET", "/v1/weights/m.bin", "")
			So(answer.Code, ShouldEqual, http.StatusTooManyRequests)
			So(answer.Header().Get("Retry-After"), ShouldEqual, "1")
		})
	})
}
