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

// addresses returns the callers' addresses of the running hosts, from the
// given position on.
func (w *world) addresses(from int) []string {
	running := w.running()
	found := make([]string, 0, len(running))
	for i := range running {
		found = append(found, running[(from+i)%len(running)].CallerAddress())
	}
	return found
}

// warm sends requests through all hosts until each has drawn a share that
// lasts for a while.
func (w *world) warm() {
	const each, enough = 8, 2500
	for round := 0; ; round++ {
		results := together(each*len(w.running()), func(number int) result {
			return w.ask(each*len(w.Hosts)*round+number, 40, w.addresses(number)...)
		})
		So(w.take(all(results)...), ShouldBeEmpty)
		if w.leastGranted() >= enough {
			return
		}
		So(round, ShouldBeLessThan, maxRounds)
		time.Sleep(roundPause)
	}
}

const (
	// maxRounds stops a hung test.
	maxRounds = 60
	// roundPause lets hosts draw ahead of their need, once a second.
	roundPause = 300 * time.Millisecond
)

// leastGranted returns the smallest total that was granted to a running host.
func (w *world) leastGranted() core.Tokens {
	read, err := w.Store.List(w.ctx, rows.SharePrefix)
	So(err, ShouldBeNil)
	decoded, err := rows.DecodeBudgetRows(read)
	So(err, ShouldBeNil)
	granted := make(map[core.HostRef]core.Tokens)
	for _, share := range decoded.Shares {
		granted[share.ID.Holder] = share.Granted
	}
	least := core.Tokens(prepaid)
	for _, running := range w.running() {
		least = min(least, granted[running.Ref()])
	}
	return least
}

// refusedForTokens returns why an unanswered request was not refused, before it
// ran, for lack of tokens; "" if it was.
func refusedForTokens(r result) string {
	for _, reason := range r.errors {
		if !strings.Contains(reason, "insufficient_quota (not_run)") && !strings.Contains(reason, "budget_unavailable (not_run)") {
			return "request " + r.key + ": " + reason
		}
	}
	return ""
}

// Guards P1, P2 and P5 against writes that are repeated because their answers
// were lost.
func TestPlatformLosesReplies(t *testing.T) {
	Convey("The platform applies writes and loses every reply for a while under traffic", t, func() {
		w := start(3, 1)
		w.warm()
		w.Platform.SetMode(platformstandin.ModeLoseReply)
		payouts := make([]*payout, 6)
		paid := together(len(payouts), func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].tell(w.pay(w.addresses(number)[0], payouts[number].key))
			return result{}
		})
		results := all(together(30, func(number int) result { return w.ask(100+number, 20, w.addresses(number)...) }))
		w.Platform.SetMode(platformstandin.ModeNone)
		all(paid)
		So(w.take(results...), ShouldBeEmpty)
		w.repeatUntilKnown(payouts)
		So(w.checkPayouts(payouts), ShouldBeEmpty)
		w.drainAll()
		So(w.checkBills(), ShouldBeEmpty)
	})
}

// repeatUntilKnown repeats each payout through other hosts until it is
// answered or its outcome is known to be unknown.
func (w *world) repeatUntilKnown(payouts []*payout) {
	for number, p := range payouts {
		w.until("payout "+p.key+" has an outcome", func() bool {
			code, run := w.pay(w.addresses(number + 1)[0], p.key)
			p.tell(code, run)
			return code == "" || code == "outcome_unknown"
		})
		if p.codes[len(p.codes)-1] == "" {
			w.answered[core.KeyedRequestID(teamName, p.key).String()] = callCost
		}
	}
}

// Guards P1, P2, P4 and P5 in an outage of the platform that outlasts the
// deadlines of all requests.
func TestPlatformDown(t *testing.T) {
	Convey("The platform is down for longer than every deadline under traffic", t, func() {
		w := start(3, 1)
		w.shortenDeadline()
		w.warm()
		w.Platform.SetMode(platformstandin.ModeDown)
		began := time.Now()
		payouts := make([]*payout, 6)
		refused := together(len(payouts), func(number int) result {
			payouts[number] = &payout{key: newKey()}
			payouts[number].tell(w.pay(w.addresses(number)[0], payouts[number].key))
			return result{}
		})
		served := 0
		for number := 0; time.Since(began) < 2*w.row.Deadline; number += 6 {
			batch := all(together(6, func(of int) result { return w.ask(1000+number+of, 4, w.addresses(of)[0]) }))
			for _, r := range batch {
				if r.answered {
					So(w.take(r), ShouldBeEmpty)
					served++
				} else {
					So(refusedForTokens(r), ShouldBeEmpty)
				}
			}
			time.Sleep(5 * retryPause)
		}
		So(served, ShouldBeGreaterThan, 0)
		all(refused)
		for _, p := range payouts {
			So(p.codes, ShouldResemble, []string{"platform_unreachable"})
			So(p.runs, ShouldResemble, []string{"unknown"})
		}
		for key, runs := range w.ledgerRuns() {
			So(fmt.Sprintf("payout %s ran %d times while the platform was down", key, runs), ShouldBeEmpty)
		}
		w.Platform.SetMode(platformstandin.ModeNone)
		w.repeatUntilKnown(payouts)
		So(w.checkPayouts(payouts), ShouldBeEmpty)
		w.drainAll()
		So(w.checkBills(), ShouldBeEmpty)
	})
}

// shortenDeadline makes requests end soon whose call the platform must allow.
func (w *world) shortenDeadline() {
	w.row.Deadline = 2 * time.Second
	version, err := w.SaveTeam(w.ctx, &w.row)
	So(err, ShouldBeNil)
	w.until("the short deadline is in force", func() bool { return w.inForce(version) })
}

// inForce reports whether a version of the team's row, or a later one, is in
// force on all running hosts.
func (w *world) inForce(version int64) bool {
	for _, running := range w.running() {
		if running.TeamVersion(teamName) < version {
			return false
		}
	}
	return true
}

// Guards P1, P2 and P8 in a partition between zones with changes on one side.
func TestZoneCutOff(t *testing.T) {
	Convey("A zone is cut off while a budget is topped up and a row edited on the other side", t, func() {
		const topUp = 50_000
		w := start(3, 2)
		w.shortenDeadline()
		w.warm()
		cut, far := w.sides(zones[2])
		before := cut[0].TeamVersion(teamName)
		w.CutZone(zones[2])
		w.row.Weight = 7
		version, err := w.SaveTeam(w.ctx, &w.row)
		So(err, ShouldBeNil)
		for range 2 {
			So(w.Budgets().TopUp(w.ctx, teamName, topUp, "during-partition", "test"), ShouldBeNil)
		}
		w.until("the new row is in force on the far side", func() bool { return inForceOn(far, version) })
		served := all(together(24, func(number int) result { return w.ask(200+number, 10, far[number%len(far)].CallerAddress()) }))
		So(w.take(served...), ShouldBeEmpty)
		spent := w.spendShares(cut)
		So(spent, ShouldBeGreaterThan, 0)
		for _, running := range cut {
			So(running.TeamVersion(teamName), ShouldEqual, before)
			code, run := w.pay(running.CallerAddress(), newKey())
			So(code, ShouldEqual, "platform_unreachable")
			So(run, ShouldEqual, "unknown")
		}
		w.HealZone(zones[2])
		w.until("the newer row is in force everywhere", func() bool { return w.inForce(version) })
		w.warm()
		So(w.inForce(version), ShouldBeTrue)
		budgets, err := w.Budgets().List(w.ctx)
		So(err, ShouldBeNil)
		So(budgets[0].Prepaid, ShouldEqual, prepaid+topUp)
		w.drainAll()
		So(w.checkBills(), ShouldBeEmpty)
	})
}

// sides divides the hosts into those of a zone and the others.
func (w *world) sides(zone core.ZoneName) (in, out []*localfleet.RunningHost) {
	for _, running := range w.running() {
		if running.Zone == zone {
			in = append(in, running)
		} else {
			out = append(out, running)
		}
	}
	return in, out
}

func inForceOn(hosts []*localfleet.RunningHost, version int64) bool {
	for _, running := range hosts {
		if running.TeamVersion(teamName) < version {
			return false
		}
	}
	return true
}

// spendShares sends requests to hosts without the platform until each refuses
// for lack of budget, and returns how many were answered.
func (w *world) spendShares(hosts []*localfleet.RunningHost) int {
	const most = 4000
	served := 0
	for _, running := range hosts {
		refused := false
		for number := 0; !refused && number < most; number += 20 {
			for _, r := range all(together(20, func(of int) result { return w.ask(5000+number+of, 60, running.CallerAddress()) })) {
				if r.answered {
					So(w.take(r), ShouldBeEmpty)
					served++
					continue
				}
				So(refusedForTokens(r), ShouldBeEmpty)
				refused = true
			}
		}
		So(refused, ShouldBeTrue)
	}
	return served
}
