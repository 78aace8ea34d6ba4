package shortage

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/allowance"
)

// Guards against requests that wait for tokens which are known not to be had: a team that
// sends 300 requests a second with its balance in doubt.
func TestATeamWithoutTokensIsRefusedAtOnce(t *testing.T) {
	Convey("Given 60 hosts and a team of which nothing is left", t, func() {
		hosts := make([]*Table[string], 60)
		for i := range hosts {
			hosts[i] = New[string]()
			hosts[i].SetHosts(len(hosts))
		}
		start := time.Unix(0, 0)
		free := core.Tokens(0)
		asked, refused, granted := 0, 0, 0
		send := func(from, duration time.Duration) {
			for at := from; at < from+duration; at += time.Second / 300 {
				now, host := start.Add(at), hosts[int(at/(time.Second/300))%len(hosts)]
				verdict, detail := host.Decide("t", 1000, now)
				switch {
				case verdict == Refuse:
					So(detail, ShouldEqual, "why")
					refused++
				case free >= 1000:
					asked, granted, free = asked+1, granted+1, free-1000
					host.Granted("t", 1000)
				default:
					asked++
					host.Refused("t", 1000, allowance.CauseInDoubt, "why", now)
				}
			}
		}
		Convey("one that sends to one host is refused at once, but for a request a second", func() {
			host := hosts[0]
			host.Refused("t", 1000, allowance.CauseInDoubt, "why", start)
			probes := 0
			for i := range 300 {
				now := start.Add(time.Duration(i) * time.Second / 300)
				if verdict, _ := host.Decide("t", 1000, now); verdict != Refuse {
					probes++
					host.Refused("t", 1000, allowance.CauseInDoubt, "why", now)
				}
			}
			So(probes, ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("what becomes free is granted within a second by the hosts together", func() {
			send(0, 3*time.Second)
			free, granted, asked = 20_000, 0, 0
			send(3*time.Second, time.Second)
			So(granted, ShouldEqual, 20)
			So(asked, ShouldBeLessThan, 100)
		})
		Convey("a host of few asks ten times a second", func() {
			host := New[string]()
			host.SetHosts(3)
			probes := 0
			for i := range 300 {
				now := start.Add(time.Duration(i) * time.Second / 300)
				if verdict, _ := host.Decide("t", 1000, now); verdict != Refuse {
					probes++
					host.Refused("t", 1000, allowance.CauseInDoubt, "why", now)
				}
			}
			So(probes, ShouldBeBetweenOrEqual, 9, 11)
		})
		Convey("a change of the totals ends the shortage", func() {
			host := hosts[0]
			host.Refused("t", 1000, allowance.CauseSpent, "why", start)
			host.Reset()
			verdict, _ := host.Decide("t", 1000, start)
			So(verdict, ShouldEqual, Ask)
		})
		Convey("smaller requests are asked for, and a top-up is noticed", func() {
			host := hosts[0]
			host.Refused("t", 1000, allowance.CauseSpent, "why", start)
			verdict, _ := host.Decide("t", 999, start)
			So(verdict, ShouldEqual, Probe)
			host.Granted("t", 999)
			verdict, _ = host.Decide("t", 1000, start)
			So(verdict, ShouldEqual, Refuse)
			host.Granted("t", 1000)
			verdict, _ = host.Decide("t", 1000, start)
			So(verdict, ShouldEqual, Ask)
		})
		Convey("a refusal that one call may have ended is forgotten sooner", func() {
			host := hosts[0]
			host.Refused("t", 1000, allowance.CauseLedger, "why", start)
			verdict, _ := host.Decide("t", 1000, start.Add(passingMemory+1))
			So(verdict, ShouldEqual, Ask)
			So(host.Short(start), ShouldEqual, 0)
		})
	})
}

// Guards against memory that grows with the number of teams.
func TestTheTeamsThatAreRememberedAreBounded(t *testing.T) {
	Convey("Given more short teams than are remembered", t, func() {
		table := New[int]()
		now := time.Unix(0, 0)
		for i := range 2 * maxTeams {
			table.Refused(core.TeamName(fmt.Sprint(i)), 1, allowance.CauseSpent, i, now)
		}
		So(table.Short(now), ShouldEqual, maxTeams)
		So(table.Short(now.Add(time.Second)), ShouldEqual, 0)
	})
}

func BenchmarkDecide(b *testing.B) {
	table := New[int]()
	now := time.Unix(0, 0)
	for i := range 1000 {
		table.Refused(core.TeamName(fmt.Sprint(i)), 1, allowance.CauseSpent, i, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		table.Decide("500", 10, now)
	}
}
