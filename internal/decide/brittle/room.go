package brittle

import (
	"math"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/placement"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// reserveFraction is the fraction of the slots that stays unused, for attempts that
	// were given up and for hosts that join or leave.
	reserveFraction = 1.0 / 16
	// repeatRoomFraction is the fraction of the slots that must be free for a request
	// that is sent a second time or beside a silent attempt.
	repeatRoomFraction = 0.25
	// borrowersPerTolerance is the number of hosts that may borrow for each request
	// that the upstream can turn away in a second. Each borrows one slot at a time, so
	// that they alone are turned away at most half as often as the upstream can.
	borrowersPerTolerance = 0.5
	// lendingFraction is the fraction of the slots of which more must be free to be lent,
	// unless there are fewer borrowers: shares that are lent turn their owners away.
	lendingFraction = 0.25
	// minPause is the shortest time for which a host that was turned away sends the
	// upstream nothing, and maxFirstPause the longest after one rejection.
	minPause      = 1500 * time.Millisecond
	maxFirstPause = 4 * time.Second
	// firstPause is the time in seconds between two rejections of the first host in the
	// order, for an upstream that can turn one request away in a second.
	firstPause = 4.0
	// maxPause bounds the time after many rejections in a row.
	maxPause = 30 * time.Second
	// maxDoublings bounds how often the pause doubles.
	maxDoublings = 5
)

// MaySend reports whether a request may be sent to an upstream that is listed. repeat is
// true if an earlier attempt of it may have reached an upstream.
func (t *Table) MaySend(upstream gateway.Upstream, occupancy placement.Occupancy, repeat bool, now time.Time) bool {
	if t.paused(upstream, now) {
		return false
	}
	tolerance, brittle := t.tolerance(upstream, now)
	if !brittle {
		return true
	}
	if state, found := t.upstreams[upstream.ID]; found && state.start == upstream.StartMillis {
		state.expireLingering(now)
		occupancy.Own += len(state.lingering)
		occupancy.Total += len(state.lingering)
	}
	free := occupancy.Slots - reserve(occupancy.Slots, tolerance) - occupancy.Total
	if free <= 0 {
		return false
	}
	if repeat && float64(free) < max(repeatRoomFraction*float64(occupancy.Slots), 2) {
		return false
	}
	if occupancy.Own < t.share(upstream.ID, occupancy.Slots-reserve(occupancy.Slots, tolerance)) {
		return occupancy.Unanswered < t.maxUnanswered(free)
	}
	return !repeat && t.mayBorrow(upstream.ID, tolerance, free, occupancy)
}

// reserve returns the slots that stay unused. An upstream that can turn nothing away
// keeps at least one, if it has several.
func reserve(slots, tolerance int) int {
	unused := int(reserveFraction * float64(slots))
	if tolerance == 0 && slots > 1 {
		return max(unused, 1)
	}
	return unused
}

// maxUnanswered returns the number of attempts that may be unanswered: this host's
// part of the free slots, twice as many because not all hosts send at once.
func (t *Table) maxUnanswered(free int) int {
	return max(int(math.Ceil(2*float64(free)/float64(t.hostCount()))), 1)
}

// share returns this host's part of the slots in use. The first hosts in the order of
// the upstream get one more than the others if they can't be divided equally.
func (t *Table) share(id core.UpstreamID, slots int) int {
	count := t.hostCount()
	share := slots / count
	if t.position(id) < slots%count {
		share++
	}
	return share
}

// mayBorrow reports whether this host may use one slot beyond its share. The last hosts
// in the order of the upstream may, which have the smallest shares.
func (t *Table) mayBorrow(id core.UpstreamID, tolerance, free int, occupancy placement.Occupancy) bool {
	borrowers := int(min(borrowersPerTolerance*float64(tolerance), float64(t.hostCount())))
	if t.position(id) < t.hostCount()-borrowers {
		return false
	}
	return occupancy.Unanswered == 0 && free > min(borrowers, int(lendingFraction*float64(occupancy.Slots)))
}

func (t *Table) hostCount() int { return max(len(t.hosts), 1) }

// position returns this host's position in the order of an upstream, by rendezvous
// hashing. A host that is not listed is the last one.
func (t *Table) position(id core.UpstreamID) int {
	if len(t.hosts) == 0 {
		return 0
	}
	position, known := t.positions[id]
	if !known {
		position = slices.Index(rendezvous.Rank(string(id), t.hosts), string(t.self))
		if position < 0 {
			position = len(t.hosts)
		}
		if t.positions == nil {
			t.positions = make(map[core.UpstreamID]int)
		}
		t.positions[id] = position
	}
	return position
}

// pause returns for how long this host sends nothing after it was turned away a number
// of times in a row. If all hosts are turned away again and again, each in the order of the
// upstream tries half as often as the one before it, up to maxPause; the first one tries
// often enough for all to hear that the upstream is still brittle.
func (t *Table) pause(id core.UpstreamID, tolerance, rejections int) time.Duration {
	own := firstPause / max(float64(tolerance), 1) * math.Exp2(float64(t.position(id)))
	longest := time.Duration(min(max(own*float64(time.Second), float64(minPause)), float64(maxPause)))
	pause := min(longest, maxFirstPause) << min(rejections-1, maxDoublings)
	spread := float64(rendezvous.Weight(string(id), string(t.self))) / math.MaxUint64
	return time.Duration((1 + spread/2) * float64(min(pause, longest)))
}
