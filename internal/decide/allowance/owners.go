package allowance

import (
	"cmp"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

// Member is a host that may own balances.
type Member struct {
	Host core.HostID
	Zone core.ZoneName
	// Address is where other hosts reach it.
	Address string
}

// standbysPerZone is how many hosts of a zone have a holding of a balance: its owner and
// the host that takes its place.
const standbysPerZone = 2

// Standby reports whether a host is to have a holding of a team's balance, so that it is
// established by the time at which it may have to take the place of its zone's owner.
func Standby(team core.TeamName, host core.HostID, zone core.ZoneName, members []Member) bool {
	own, better, found := rendezvous.Weight(string(team), string(host)), 0, false
	for _, member := range members {
		switch {
		case member.Host == host:
			found = true
		case member.Zone == zone && rendezvous.Weight(string(team), string(member.Host)) > own:
			better++
		}
	}
	return found && better < standbysPerZone
}

// Owners returns the hosts to ask for a team's tokens, one in each zone: first
// that of the given zone, then the others in an order that depends on the team.
// Each zone's owner is chosen by rendezvous hashing, so that hosts with the same
// view of the members agree. Few owners per balance mean that each holds enough
// for a large request, and that few hosts write the ledger.
func Owners(team core.TeamName, zone core.ZoneName, members []Member, usable func(Member) bool) []Member {
	type ranked struct {
		Member
		weight uint64
	}
	best := make(map[core.ZoneName]ranked)
	for _, member := range members {
		if !usable(member) {
			continue
		}
		weight := rendezvous.Weight(string(team), string(member.Host))
		if current, found := best[member.Zone]; !found || weight > current.weight {
			best[member.Zone] = ranked{member, weight}
		}
	}
	owners := make([]ranked, 0, len(best))
	for _, owner := range best {
		owners = append(owners, owner)
	}
	zoneRank := func(r ranked) int {
		if r.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(owners, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(zoneRank(a), zoneRank(b)), cmp.Compare(b.weight, a.weight), cmp.Compare(a.Host, b.Host))
	})
	members = make([]Member, len(owners))
	for i, owner := range owners {
		members[i] = owner.Member
	}
	return members
}
