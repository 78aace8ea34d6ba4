package coldstart

import (
	"cmp"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

// settleTime is the time in which all hosts learn of a change of the list of hosts; the
// table of hosts is read each second. Until then a host that is new to the list is no
// user, and one that is gone keeps its place, so that its successor is no user yet.
const settleTime = 2 * time.Second

// hostList is the list of hosts as this host knows it.
type hostList struct {
	self core.HostID
	// present are the hosts of the latest list, with the time since when.
	present map[core.HostID]place
	// departed are those that have left it, with the time since when.
	departed map[core.HostID]place
	// others are all of them without this host.
	others []Member
	// zone is this host's. settled is true once it has been listed for settleTime.
	zone    core.ZoneName
	settled bool
	// version counts the changes of the order of hosts. settlesAt is the time of the next
	// one that comes by itself, zero for none.
	version   uint64
	settlesAt time.Time
}

type place struct {
	zone  core.ZoneName
	since time.Time
}

func newHostList(self core.HostID) hostList {
	return hostList{self: self, present: make(map[core.HostID]place), departed: make(map[core.HostID]place), version: 1}
}

// set replaces the hosts. It reports whether their number has changed.
func (l *hostList) set(members []Member, now time.Time) bool {
	before := l.present
	l.present = make(map[core.HostID]place, len(members))
	for _, member := range members {
		since := now
		if known, found := before[member.Host]; found {
			since = known.since
		}
		l.present[member.Host] = place{member.Zone, since}
		delete(l.departed, member.Host)
	}
	for host, known := range before {
		if _, found := l.present[host]; !found {
			l.departed[host] = place{known.zone, now}
		}
	}
	l.settle(now)
	return len(l.present) != len(before)
}

// settle drops departed hosts that no longer keep their place, and finds out when the
// order of hosts changes next.
func (l *hostList) settle(now time.Time) {
	l.version++
	l.settlesAt, l.others = time.Time{}, l.others[:0]
	pending := func(since time.Time) bool {
		at := since.Add(settleTime)
		if !now.Before(at) {
			return false
		}
		if l.settlesAt.IsZero() || at.Before(l.settlesAt) {
			l.settlesAt = at
		}
		return true
	}
	own, listed := l.present[l.self]
	l.zone, l.settled = own.zone, listed && !pending(own.since)
	for host, known := range l.departed {
		if !pending(known.since) {
			delete(l.departed, host)
		} else if host != l.self {
			l.others = append(l.others, Member{host, known.zone})
		}
	}
	for host, known := range l.present {
		if host != l.self {
			l.others = append(l.others, Member{host, known.zone})
		}
	}
}

// number returns the number of the current order of hosts.
func (l *hostList) number(now time.Time) uint64 {
	if !l.settlesAt.IsZero() && !now.Before(l.settlesAt) {
		l.settle(now)
	}
	return l.version
}

// rank returns this host's position in the order in which hosts become users of an
// upstream: hosts of its zone first, by rendezvous hashing. It returns -1 unless this host
// has settled.
func (l *hostList) rank(id core.UpstreamID, zone core.ZoneName) int {
	if !l.settled {
		return -1
	}
	near := l.zone == zone
	weight := rendezvous.Weight(string(id), string(l.self))
	position := 0
	for _, other := range l.others {
		if otherNear := other.Zone == zone; otherNear != near {
			if otherNear {
				position++
			}
			continue
		}
		otherWeight := rendezvous.Weight(string(id), string(other.Host))
		if cmp.Or(cmp.Compare(weight, otherWeight), cmp.Compare(other.Host, l.self)) < 0 {
			position++
		}
	}
	return position
}
