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

// load is a group of callers that send one request after the other to the
// hosts that are ready.
type load struct {
	ready   atomic.Pointer[[]string]
	begun   []atomic.Int64
	stopped atomic.Bool
	results <-chan result
}

// startLoad starts callers whose requests ask for the given number of tokens.
func (w *world) startLoad(callers, tokens int) *load {
	l := &load{begun: make([]atomic.Int64, callers)}
	l.use(w.addresses(0))
	results := make(chan result, maxResults)
	l.results = results
	sending := together(callers, func(number int) result {
		for !l.stopped.Load() {
			count := int(l.begun[number].Add(1))
			targets := *l.ready.Load()
			results <- w.ask(maxResults*number+count, tokens, targets[(number+count)%len(targets)])
		}
		return result{}
	})
	go func() {
		all(sending)
		close(results)
	}()
	return l
}

// maxResults is more than what the callers of a test get.
const maxResults = 100_000

func (l *load) use(addresses []string) { l.ready.Store(&addresses) }

// moved waits until every caller has begun a request after this call, so that
// none has yet to connect to an address that is no longer in use.
func (l *load) moved(w *world) {
	for i := range l.begun {
		before := l.begun[i].Load()
		w.until("each caller has turned to the hosts that are ready", func() bool { return l.begun[i].Load() > before })
	}
}

// stop ends the callers and returns their results.
func (l *load) stop() []result {
	l.stopped.Store(true)
	return all(l.results)
}

// Guards P7 and P2 against requests that are cut, and bills and shares that are
// left behind, when all hosts are restarted one after the other.
func TestRollingRestart(t *testing.T) {
	Convey("All hosts are restarted gracefully under load", t, func() {
		w := start(3, 1)
		callers := w.startLoad(6, 20)
		for round, old := range w.running() {
			_, err := w.StartHost(old.Name, old.Zone)
			So(err, ShouldBeNil)
			So(w.WaitReady(w.ctx), ShouldBeNil)
			callers.use(w.addressesWithout(old))
			callers.moved(w)
			keys := []string{newKey(), newKey(), newKey(), newKey()}
			flying := together(len(keys), func(number int) result {
				return w.askUnder(keys[number], 10*round+number, 200, old.CallerAddress())
			})
			for _, key := range keys {
				w.until("a long request is in flight", func() bool { return w.ran(key) })
			}
			So(w.DrainHost(w.ctx, old), ShouldBeNil)
			So(w.take(all(flying)...), ShouldBeEmpty)
		}
		So(w.take(callers.stop()...), ShouldBeEmpty)
		w.drainAll()
		So(w.checkBills(), ShouldBeEmpty)
		budgets, err := w.Budgets().List(w.ctx)
		So(err, ShouldBeNil)
		So(budgets[0].Held+budgets[0].Stranded, ShouldEqual, 0)
	})
}

// addressesWithout returns the callers' addresses of all running hosts but one.
func (w *world) addressesWithout(excluded *localfleet.RunningHost) []string {
	var found []string
	for _, running := range w.running() {
		if running != excluded {
			found = append(found, running.CallerAddress())
		}
	}
	return found
}

// saved is what the admin interface answers to a save.
type saved struct {
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

// Guards P8 against two edits of a row that both take effect or are merged.
func TestConcurrentSaves(t *testing.T) {
	Convey("Two operators save one row at the same time through different hosts", t, func() {
		w := start(3, 1)
		for round := range 4 {
			version := int64(round + 1)
			w.until("the last version is in force", func() bool { return w.inForce(version) })
			// The edits change different fields, so that a merge would show.
			edits := [2]core.TeamRow{w.row, w.row}
			edits[0].Weight = 10 + round
			edits[1].QueueLength = 300 + round
			var answers [2]saved
			bodies := [2]string{saveBody(version, &edits[0]), saveBody(version, &edits[1])}
			hosts := w.running()
			all(together(2, func(number int) result {
				answers[number] = w.save(hosts[number].AdminAddress(), bodies[number])
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
			So(w.parse(version+1, loser.Error.Current.Row), ShouldResemble, w.withVersion(edits[winner], version+1))
			stored, err := w.Store.Get(w.ctx, rows.TeamKey(teamName))
			So(err, ShouldBeNil)
			So(w.parse(stored[0].Version, stored[0].Value), ShouldResemble, w.withVersion(edits[winner], version+1))
			w.row = edits[winner]
		}
	})
}

func saveBody(expected int64, row *core.TeamRow) string {
	value, err := rows.EncodeTeam(row)
	So(err, ShouldBeNil)
	return fmt.Sprintf(`{"expected":%d,"row":%s}`, expected, value)
}

// save sends a row to a host's admin interface. It asserts nothing, as it runs
// beside the test's goroutine.
func (w *world) save(address, body string) (answer saved) {
	answer.status = w.operator(address, http.MethodPut, "/teams/"+teamName, body, &answer)
	return answer
}

func (w *world) parse(version int64, value []byte) core.TeamRow {
	row, err := rows.DecodeTeam(teamName, version, value)
	So(err, ShouldBeNil)
	return *row
}

func (w *world) withVersion(row core.TeamRow, version int64) core.TeamRow {
	row.Version = version
	return row
}

// Guards P6 against new work for a leaving engine while the platform's list
// still shows it as live, and against a leaving mark that is taken back.
func TestLeavingEngine(t *testing.T) {
	Convey("An engine leaves and the platform's list does not show it", t, func() {
		// target is that of P6, after which the engine is watched for as long.
		const target = 2 * time.Second
		w := start(3, 1)
		leaving := w.Engines[0]
		callers := w.startLoad(6, 8)
		w.until("the engine has run work", func() bool { return len(leaving.Counters().Runs) > 10 })
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
				So(w.take(r), ShouldBeEmpty)
				continue
			}
			So(r.errors, ShouldHaveLength, 1)
			So(r.errors[0], ShouldContainSubstring, "(not_run)")
		}
	})
}
