package allowance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/peridotreel/peridotreel/internal/core"
)

func anyone(Member) bool { return true }

// Guards against hosts that choose different owners although they know the same
// members, and against the loss of a host moving balances of other hosts.
func TestOwnersAreTheSameForAll(t *testing.T) {
	Convey("Given nine hosts in three zones", t, func() {
		var members []Member
		for i := range 9 {
			members = append(members, Member{Host: core.HostID(fmt.Sprintf("host-%d", i)), Zone: core.ZoneName(fmt.Sprintf("z%d", i%3))})
		}
		reversed := make([]Member, len(members))
		for i, member := range members {
			reversed[len(members)-1-i] = member
		}
		for i := range 20 {
			name := core.TeamName(fmt.Sprintf("team-%d", i))
			owners := Owners(name, "z1", members, anyone)
			So(owners, ShouldResemble, Owners(name, "z1", reversed, anyone))
			So(len(owners), ShouldEqual, 3)
			So(owners[0].Zone, ShouldEqual, core.ZoneName("z1"))
			without := Owners(name, "z1", members, func(m Member) bool { return m.Host != owners[0].Host })
			So(without[0].Zone, ShouldEqual, core.ZoneName("z1"))
			So(without[0].Host, ShouldNotEqual, owners[0].Host)
			So(without[1:], ShouldResemble, owners[1:])
		}
	})
}

// Guards against tokens that are counted twice, never released, or released twice
// when calls between hosts are lost, repeated or reordered.
func TestReservationsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		reservations := NewReservations()
		// held is what the owner's balance has reserved for other hosts.
		held := core.Tokens(0)
		amounts := make(map[uint64]core.Tokens)
		settled := make(map[uint64]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			number := rapid.Uint64Range(1, 20).Draw(t, "number")
			id := ReservationID{Process: "host/1", Number: number}
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "reserve") {
				// A call that arrives, for the first time or again.
				if _, found := amounts[number]; !found {
					amounts[number] = core.Tokens(rapid.IntRange(1, 100).Draw(t, "amount"))
				}
				held += amounts[number]
				if reservations.Register(id, "team", amounts[number], now) != Registered {
					held -= amounts[number]
				}
			} else {
				settled[number] = true
				if _, amount, found := reservations.Settle(id, now); found {
					held -= amount
				}
			}
			expected, count := core.Tokens(0), 0
			for number, amount := range amounts {
				if !settled[number] {
					expected += amount
					count++
				}
			}
			if held != expected || len(reservations.held) != count {
				t.Fatalf("%d tokens are held in %d reservations, want %d in %d", held, len(reservations.held), expected, count)
			}
		}
	})
}
