package localfleet_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/localfleet"
	"github.com/peridotreel/peridotreel/internal/rows"
	platformstandin "github.com/peridotreel/peridotreel/internal/standin/platform"
)

// addresses returns the caller addresses of the running hosts, rotated to start
// at a position.
func (f *testFleet) addresses(from int) []string {
	running := f.running()
	found := make([]string, 0, len(running))
	for i := range running {
		found = append(found, running[(from+i)%len(running)].CallerAddress())
	}
	return found
}

// warmUp sends requests through all hosts until each holds a share that lasts for
// some time without the platform.
func (f *testFleet) warmUp() {
	const requestsPerHost, minGranted = 8, 2500
	for round := 0; ; round++ {
		results := runConcurrently(requestsPerHost*len(f.running()), func(number int) result {
			return f.complete(requestsPerHost*len(f.Hosts)*round+number, 40, f.addresses(number)...)
		})
		So(f.record(collect(results)...), ShouldBeEmpty)
		if f.leastGranted() >= minGranted {
			return
		}
		So(round, ShouldBeLessThan, maxRounds)
		time.Sleep(roundInterval)
	}
}

const (
	// maxRounds bounds a warm-up that makes no progress.
	maxRounds = 60
	// roundInterval gives hosts time to draw tokens ahead of their need, which
	// they do once a second.
	roundInterval = 300 * time.Millisecond
)

// leastGranted returns the smallest number of tokens granted to a running host.
func (f *testFleet) leastGranted() core.Tokens {
	read, err := f.Store.List(f.ctx, rows.SharePrefix)
	So(err, ShouldBeNil)
	decoded, err := rows.DecodeBudgetRows(read)
	So(err, ShouldBeNil)
	granted := make(map[core.HostRef]core.Tokens)
	for _, share := range decoded.Shares {
		granted[share.ID.Holder] = share.Granted
	}
	least := core.Tokens(prepaid)
	for _, running := range f.running() {
		least = min(least, granted[running.Ref()])
	}
	return least
}

// checkRefusedForTokens returns "" if an unanswered request was refused for lack
// of tokens before it ran, and the other error if not.
func checkRefusedForTokens(r result) string {
	for _, reason := range r.errors {
		if !strings.Contains(reason, "insufficient_quota (not_run)") && !strings.Contains(reason, "budget_unavailable (not_run)") {
			return "request " + r.key + ": " + reason
		}
	}
	return ""
}

// Guards P1, P2 and P5 against writes that are applied twice because the
// platform's replies were lost.
func TestPlatformLosesReplies(t *testing.T) {
	Convey("The platform applies writes and loses every reply for a while under traffic", t, func() {
		f := start(3, 1)
		f.warmUp()
		f.Platform.SetMode(platformstandin.ModeLoseReply)
		payouts := make([]*payout, 6)
		paid := runConcurrently(len(payouts), func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].addOutcome(f.sendPayout(f.addresses(number)[0], payouts[number].key))
			return result{}
		})
		results := collect(runConcurrently(30, func(number int) result { return f.complete(100+number, 20, f.addresses(number)...) }))
		f.Platform.SetMode(platformstandin.ModeNone)
		collect(paid)
		So(f.record(results...), ShouldBeEmpty)
		f.repeatUntilKnown(payouts)
		So(f.checkPayouts(payouts), ShouldBeEmpty)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}

// repeatUntilKnown repeats each payout through another host until it is answered
// or reported as outcome_unknown.
func (f *testFleet) repeatUntilKnown(payouts []*payout) {
	for number, p := range payouts {
		f.waitUntil("payout "+p.key+" has an outcome", func() bool {
			code, run := f.sendPayout(f.addresses(number + 1)[0], p.key)
			p.addOutcome(code, run)
			return code == "" || code == "outcome_unknown"
		})
		if p.codes[len(p.codes)-1] == "" {
			f.answered[core.KeyedRequestID(teamName, p.key).String()] = callCost
		}
	}
}

// Guards P1, P2, P4 and P5 during a platform outage that lasts longer than the
// deadlines of all requests.
func TestPlatformDown(t *testing.T) {
	Convey("The platform is down for longer than every deadline under traffic", t, func() {
		f := start(3, 1)
		f.shortenDeadline()
		f.warmUp()
		f.Platform.SetMode(platformstandin.ModeDown)
		began := time.Now()
		payouts := make([]*payout, 6)
		refused := runConcurrently(len(payouts), func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].addOutcome(f.sendPayout(f.addresses(number)[0], payouts[number].key))
			return result{}
		})
		served := 0
		for number := 0; time.Since(began) < 2*f.row.Deadline; number += 6 {
			batch := collect(runConcurrently(6, func(offset int) result { return f.complete(1000+number+offset, 4, f.addresses(offset)[0]) }))
			for _, r := range batch {
				if r.answered {
					So(f.record(r), ShouldBeEmpty)
					served++
				} else {
					So(checkRefusedForTokens(r), ShouldBeEmpty)
				}
			}
			time.Sleep(5 * retryDelay)
		}
		So(served, ShouldBeGreaterThan, 0)
		collect(refused)
		for _, p := range payouts {
			So(p.codes, ShouldResemble, []string{"platform_unreachable"})
			So(p.runs, ShouldResemble, []string{"unknown"})
		}
		for key, runs := range f.ledgerRuns() {
			So(fmt.Sprintf("payout %s ran %d times while the platform was down", key, runs), ShouldBeEmpty)
		}
		f.Platform.SetMode(platformstandin.ModeNone)
		f.repeatUntilKnown(payouts)
		So(f.checkPayouts(payouts), ShouldBeEmpty)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}

// shortenDeadline shortens the deadline of requests, so that calls which need the
// platform fail soon while it is unreachable.
func (f *testFleet) shortenDeadline() {
	f.row.Deadline = 2 * time.Second
	version, err := f.SaveTeam(f.ctx, &f.row)
	So(err, ShouldBeNil)
	f.waitUntil("the short deadline is in force", func() bool { return f.inForce(version) })
}

// inForce reports whether all running hosts use a version of the team's row or a
// later one.
func (f *testFleet) inForce(version int64) bool {
	for _, running := range f.running() {
		if running.TeamVersion(teamName) < version {
			return false
		}
	}
	return true
}

// Guards P1, P2 and P8 during a network partition between zones while rows and
// budgets change on one side.
func TestZoneCutOff(t *testing.T) {
	Convey("A zone is partitioned while a budget is topped up and a row edited on the other side", t, func() {
		const topUp = 50_000
		f := start(3, 2)
		f.shortenDeadline()
		f.warmUp()
		cut, connected := f.splitByZone(zones[2])
		before := cut[0].TeamVersion(teamName)
		f.CutZone(zones[2])
		f.row.Weight = 7
		version, err := f.SaveTeam(f.ctx, &f.row)
		So(err, ShouldBeNil)
		for range 2 {
			So(f.Budgets().TopUp(f.ctx, teamName, topUp, "during-partition", "test"), ShouldBeNil)
		}
		f.waitUntil("the new row is in force on the connected side", func() bool { return inForceOn(connected, version) })
		served := collect(runConcurrently(24, func(number int) result {
			return f.complete(200+number, 10, connected[number%len(connected)].CallerAddress())
		}))
		So(f.record(served...), ShouldBeEmpty)
		spent := f.spendShares(cut)
		So(spent, ShouldBeGreaterThan, 0)
		for _, running := range cut {
			So(running.TeamVersion(teamName), ShouldEqual, before)
			code, run := f.sendPayout(running.CallerAddress(), newKey())
			So(code, ShouldEqual, "platform_unreachable")
			So(run, ShouldEqual, "unknown")
		}
		f.HealZone(zones[2])
		f.waitUntil("the newer row is in force everywhere", func() bool { return f.inForce(version) })
		f.warmUp()
		So(f.inForce(version), ShouldBeTrue)
		budgets, err := f.Budgets().List(f.ctx)
		So(err, ShouldBeNil)
		So(budgets[0].Prepaid, ShouldEqual, prepaid+topUp)
		f.drainAll()
		So(f.checkBills(), ShouldBeEmpty)
	})
}

// splitByZone splits the running hosts into those of a zone and the others.
func (f *testFleet) splitByZone(zone core.ZoneName) (inZone, others []*localfleet.RunningHost) {
	for _, running := range f.running() {
		if running.Zone == zone {
			inZone = append(inZone, running)
		} else {
			others = append(others, running)
		}
	}
	return inZone, others
}

func inForceOn(hosts []*localfleet.RunningHost, version int64) bool {
	for _, running := range hosts {
		if running.TeamVersion(teamName) < version {
			return false
		}
	}
	return true
}

// spendShares sends requests to hosts that can't reach the platform until each
// refuses one for lack of budget. It returns the number of answered requests.
func (f *testFleet) spendShares(hosts []*localfleet.RunningHost) int {
	const maxRequests = 4000
	served := 0
	for _, running := range hosts {
		refused := false
		for number := 0; !refused && number < maxRequests; number += 20 {
			for _, r := range collect(runConcurrently(20, func(offset int) result { return f.complete(5000+number+offset, 60, running.CallerAddress()) })) {
				if r.answered {
					So(f.record(r), ShouldBeEmpty)
					served++
					continue
				}
				So(checkRefusedForTokens(r), ShouldBeEmpty)
				refused = true
			}
		}
		So(refused, ShouldBeTrue)
	}
	return served
}
