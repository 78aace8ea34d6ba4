package allowance

import (
	"cmp"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

// Member is a host that may own teams' balances.
type Member struct {
	Host core.HostID
	Zone core.ZoneName
	// Address is where its peers call it.
	Address string
}

// Owners returns the hosts to ask for a team's tokens, one a zone: that of the
// given zone first, the others in an order of the team's own. Hosts with the
// same view of the members agree. A balance that few hosts hold is divided into
// parts that cover large requests, and few hosts write its ledger.
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
	foreign := func(r ranked) int {
		if r.Zone == zone {
			return 0
		}
		return 1
	}
	slices.SortFunc(owners, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(foreign(a), foreign(b)), cmp.Compare(b.weight, a.weight), cmp.Compare(a.Host, b.Host))
	})
	members = make([]Member, len(owners))
	for i, owner := range owners {
		members[i] = owner.Member
	}
	return members
}
