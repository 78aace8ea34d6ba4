package localfleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	"github.com/peridotreel/peridotreel/internal/rows"
)

// load is a group of callers, each of which sends requests one after the other to
// the hosts that are ready.
type load struct {
	readyAddresses atomic.Pointer[[]string]
	started        []atomic.Int64
	stopped        atomic.Bool
	results        <-chan result
}

// startLoad starts callers whose requests ask for the given number of tokens.
func (f *testFleet) startLoad(callers, tokens int) *load {
	l := &load{started: make([]atomic.Int64, callers)}
	l.setAddresses(f.addresses(0))
	results := make(chan result, maxResults)
	l.results = results
	sending := runConcurrently(callers, func(number int) result {
		for !l.stopped.Load() {
			count := int(l.started[number].Add(1))
			targets := *l.readyAddresses.Load()
			results <- f.complete(maxResults*number+count, tokens, targets[(number+count)%len(targets)])
		}
		return result{}
	})
	go func() {
		collect(sending)
		close(results)
	}()
	return l
}

// maxResults is more than the number of results in a test.
const maxResults = 100_000

func (l *load) setAddresses(addresses []string) { l.readyAddresses.Store(&addresses) }

// waitUntilMoved waits until every caller has started a new request, so that no
// request is still about to connect to an address that is no longer in use.
func (l *load) waitUntilMoved(f *testFleet) {
	for i := range l.started {
		before := l.started[i].Load()
		f.waitUntil("each caller has switched to the ready hosts", func() bool { return l.started[i].Load() > before })
	}
}

// stop stops the callers and returns their results.
func (l *load) stop() []result {
	l.stopped.Store(true)
	return collect(l.results)
}

// Guards P7 and P2 against requests that are cut off, and bills or shares that
// are left behind, during a rolling restart of all hosts.
func TestRollingRestart(t *testing.T) {
	Convey("All hosts are restarted gracefully under load", t, func() {
		f := start(3, 1)
		callers := f.startLoad(6, 20)
		for round, old := range f.running() {
			_, err := f.StartHost(old.Name, old.Zone)
			So(err, ShouldBeNil)
			So(f.WaitReady(f.ctx), ShouldBeNil)
			callers.setAddresses(f.addressesWithout(old))
			callers.waitUntilMoved(f)
			keys := []string{newKey(), newKey(), newKey(), newKey()}
			inFlight := runConcurrently(len(keys), func(number int) result {
				return f.completeWithKey(keys[number], 10*round+number, 200, old.CallerAddress())
			})
			for _, key := range keys {
				f.waitUntil("a long request is in flight", func() bool { return f.hasRun(key) })
			}
			So(f.DrainHost(f.ctx, old), ShouldBeNil)
			So(f.record(collect(inFlight)...), ShouldBeEmpty)
		}
		So(f.record(callers.stop()...), ShouldBeEmpty)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
		budgets, err := f.Budgets().List(f.ctx)
		So(err, ShouldBeNil)
		So(budgets[0].Held+budgets[0].Stranded, ShouldEqual, 0)
	})
}

// addressesWithout returns the caller addresses of all running hosts but one.
func (f *testFleet) addressesWithout(excluded *localfleet.RunningHost) []string {
	var found []string
	for _, running := range f.running() {
		if running != excluded {
			found = append(found, running.CallerAddress())
		}
	}
	return found
}

// saveAnswer is the admin interface's answer to a save.
type saveAnswer struct {
	status  int
	Version int64 `json:"version"`
	Error   struct {
		Code    string `json:"code"`
		Current struct {
			Version int64           `json:"version"`
			Row     json.RawMessage `json:"row"`
		} `json:"current"`
	} `json:"error"`
}

// Guards P8 against concurrent edits of a row that both take effect or are
// merged.
func TestConcurrentSaves(t *testing.T) {
	Convey("Two operators save one row at the same time through different hosts", t, func() {
		f := start(3, 1)
		for round := range 4 {
			version := int64(round + 1)
			f.waitUntil("the last version is in force", func() bool { return f.inForce(version) })
			// The edits change different fields, so that a merge is detected.
			edits := [2]core.TeamRow{f.row, f.row}
			edits[0].Weight = 10 + round
			edits[1].QueueLength = 300 + round
			var answers [2]saveAnswer
			bodies := [2]string{saveBody(version, &edits[0]), saveBody(version, &edits[1])}
			hosts := f.running()
			collect(runConcurrently(2, func(number int) result {
				answers[number] = f.save(hosts[number].AdminAddress(), bodies[number])
				return result{}
			}))
			winner := 0
			if answers[0].status != http.StatusOK {
				winner = 1
			}
			So(answers[winner].status, ShouldEqual, http.StatusOK)
			So(answers[winner].Version, ShouldEqual, version+1)
			loser := answers[1-winner]
			So(loser.status, ShouldEqual, http.StatusConflict)
			So(loser.Error.Code, ShouldEqual, "conflict")
			So(loser.Error.Current.Version, ShouldEqual, version+1)
			So(f.parse(version+1, loser.Error.Current.Row), ShouldResemble, f.withVersion(edits[winner], version+1))
			stored, err := f.Store.Get(f.ctx, rows.TeamKey(teamName))
			So(err, ShouldBeNil)
			So(f.parse(stored[0].Version, stored[0].Value), ShouldResemble, f.withVersion(edits[winner], version+1))
			f.row = edits[winner]
		}
	})
}

func saveBody(expected int64, row *core.TeamRow) string {
	value, err := rows.EncodeTeam(row)
	So(err, ShouldBeNil)
	return fmt.Sprintf(`{"expected":%d,"row":%s}`, expected, value)
}

// save sends a row to a host's admin interface. It contains no assertion, because
// it doesn't run in the test's goroutine.
func (f *testFleet) save(address, body string) (answer saveAnswer) {
	answer.status = f.adminRequest(address, http.MethodPut, "/teams/"+teamName, body, &answer)
	return answer
}

func (f *testFleet) parse(version int64, value []byte) core.TeamRow {
	row, err := rows.DecodeTeam(teamName, version, value)
	So(err, ShouldBeNil)
	return *row
}

func (f *testFleet) withVersion(row core.TeamRow, version int64) core.TeamRow {
	row.Version = version
	return row
}

// Guards P6 against new work for a leaving engine while the platform's list still
// shows it as live, also after the engine no longer reports that it is leaving.
func TestLeavingEngine(t *testing.T) {
	Convey("An engine leaves and the platform's list does not show it", t, func() {
		// target is the time limit of P6. The engine is then watched for as long.
		const target = 2 * time.Second
		f := start(3, 1)
		leaving := f.Engines[0]
		callers := f.startLoad(6, 8)
		f.waitUntil("the engine has run requests", func() bool { return len(leaving.Counters().Runs) > 10 })
		leaving.SetLeaving(true)
		time.Sleep(target)
		before := leaving.Counters()
		time.Sleep(target)
		after := leaving.Counters()
		So(len(after.Runs), ShouldEqual, len(before.Runs))
		So(after.Refused, ShouldEqual, before.Refused)
		leaving.SetLeaving(false)
		time.Sleep(target)
		after = leaving.Counters()
		So(len(after.Runs), ShouldEqual, len(before.Runs))
		So(after.Refused, ShouldEqual, before.Refused)
		for _, r := range callers.stop() {
			if r.answered {
				So(f.record(r), ShouldBeEmpty)
				continue
			}
			So(r.errors, ShouldHaveLength, 1)
			So(r.errors[0], ShouldContainSubstring, "(not_run)")
		}
	})
}
