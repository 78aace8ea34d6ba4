package connlimit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a host that closes a connection with a request, or one that has been
// idle for less long than another, to make room, against one that tells a connection
// twice to make room, and against one that refuses although it could make room.
func TestOnlyTheLongestIdleConnectionMakesRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Most runs reach only small limits.
		table := New[int](rapid.OneOf(rapid.IntRange(2, 6), rapid.IntRange(2, 70)).Draw(t, "limit"))
		now, next := start, 0
		// idle has the times since which connections are idle, busy the others.
		idle, busy := map[int]time.Time{}, map[int]bool{}
		// told has the connections that were evicted, which stay busy until they close.
		told := map[int]bool{}
		// crossed has those of them on which a request has arrived since.
		crossed := map[int]bool{}
		pick := func(t *rapid.T) (int, bool) {
			keys := make([]int, 0, len(idle)+len(busy))
			for key := range next {
				if _, found := idle[key]; found || busy[key] {
					keys = append(keys, key)
				}
			}
			if len(keys) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(keys).Draw(t, "connection"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				if table.Full() {
					return
				}
				oldest, found := start, false
				for _, since := range idle {
					if !found || since.Before(oldest) {
						oldest, found = since, true
					}
				}
				atLimit := table.Len() >= table.limit
				verdict, evicted, evict := table.Open(next, now)
				hasRoom := found && now.Sub(oldest) >= minIdle && len(crossed) < (table.reserve+1)/2
				if evict != (atLimit && hasRoom) || (verdict == Refuse) != (atLimit && !hasRoom) {
					t.Fatalf("verdict %d, evict %t with %d open of %d", verdict, evict, table.Len(), table.limit)
				}
				if evict {
					if since, found := idle[evicted]; !found || !since.Equal(oldest) {
						t.Fatalf("connection %d was evicted, which is not the longest idle", evicted)
					}
					if told[evicted] {
						t.Fatalf("connection %d was evicted twice", evicted)
					}
					delete(idle, evicted)
					busy[evicted], told[evicted] = true, true
				}
				if verdict == Serve {
					idle[next] = now
				} else {
					busy[next] = true
				}
				next++
			},
			"request": func(t *rapid.T) {
				if key, found := pick(t); found {
					table.Busy(key)
					delete(idle, key)
					busy[key] = true
					if told[key] {
						crossed[key] = true
					}
				}
			},
			"answer": func(t *rapid.T) {
				if key, found := pick(t); found && busy[key] {
					table.Idle(key, now)
					if !told[key] {
						delete(busy, key)
						idle[key] = now
					}
				}
			},
			"close": func(t *rapid.T) {
				if key, found := pick(t); found {
					table.Close(key)
					delete(idle, key)
					delete(busy, key)
					delete(crossed, key)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if table.Len() != len(idle)+len(busy) || table.Len() > table.limit+table.reserve {
					t.Fatalf("%d open, want %d, at most %d", table.Len(), len(idle)+len(busy), table.limit+table.reserve)
				}
			},
		})
	})
}

// Guards against a table that names a connection twice to make room: the server tells it by
// closing a channel, and the second close ends the process with all its requests. The
// answer to a request that crossed the first order may make the connection idle again.
func TestAConnectionMakesRoomOnce(t *testing.T) {
	Convey("Given a connection that was told to make room while it answered a request", t, func() {
		table := New[string](3)
		table.Open("first", start)
		table.Open("second", start)
		table.Busy("second")
		_, evicted, evict := table.Open("third", start.Add(minIdle))
		So(evict, ShouldBeTrue)
		So(evicted, ShouldEqual, "first")
		table.Busy("first")
		table.Idle("first", start.Add(minIdle))
		Convey("it is not told again", func() {
			table.Close("third")
			verdict, _, evict := table.Open("fourth", start.Add(2*minIdle))
			So(evict, ShouldBeFalse)
			So(verdict, ShouldEqual, Refuse)
		})
		Convey("its key can be used again once it is closed", func() {
			table.Close("first")
			table.Close("third")
			table.Open("first", start.Add(minIdle))
			_, evicted, evict := table.Open("fourth", start.Add(2*minIdle))
			So(evict, ShouldBeTrue)
			So(evicted, ShouldEqual, "first")
		})
	})
}

// Guards against a host that accepts nothing for as long as a stream lasts: connections that
// were evicted as a request arrived on them stay open, and took the whole reserve.
func TestEvictedConnectionsLeaveAPartOfTheReserve(t *testing.T) {
	Convey("Given a host at its limit with idle connections", t, func() {
		const limit = 320
		table := New[int](limit)
		next := 0
		for ; next < table.limit; next++ {
			table.Open(next, start)
		}
		now := start.Add(minIdle)
		Convey("if each gets a request as it is evicted, requests are refused before the host is full", func() {
			verdict := Serve
			for ; verdict == Serve; next++ {
				So(table.Full(), ShouldBeFalse)
				var evicted int
				verdict, evicted, _ = table.Open(next, now)
				if verdict == Serve {
					table.Busy(evicted)
				}
			}
			So(limit-table.Len(), ShouldBeGreaterThanOrEqualTo, table.reserve/2-1)
			Convey("and connections make room again once these have closed", func() {
				table.Close(0)
				_, _, evict := table.Open(next, now)
				So(evict, ShouldBeTrue)
			})
		})
		Convey("if none does, each new one is served", func() {
			for range table.reserve {
				verdict, _, evict := table.Open(next, now)
				So(verdict, ShouldEqual, Serve)
				So(evict, ShouldBeTrue)
				next++
			}
		})
	})
}

// Guards against a reserve that takes the whole limit, or is none.
func TestAPartOfTheLimitIsKeptForRefusals(t *testing.T) {
	Convey("The reserve is a small part of the limit, and never none", t, func() {
		for limit, reserve := range map[int]int{0: 1, 2: 1, 100: 3, 2900: 90} {
			table := New[int](limit)
			So(table.reserve, ShouldEqual, reserve)
			So(table.limit, ShouldEqual, max(limit, 2)-reserve)
		}
	})
}
