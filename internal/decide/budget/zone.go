package budget

import (
	"cmp"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

// maxRecallTargets bounds the calls of one recall. The shares with the most
// unspent tokens come first, so more holders would add little.
const maxRecallTargets = 16

// RankOwners ranks the hosts in the zone of self that may serve draws on a
// budget, self included, in rendezvous order: the first is the owner. It also
// returns the size of the fleet. Zones whose hosts are all unreachable still
// count, so that a partition does not let the zones on either side draw
// larger parts of what remains.
func RankOwners(id core.BudgetID, self core.Peer, peers []core.Peer) ([]core.Peer, FleetSize) {
	candidates := map[string]core.Peer{self.Ref.String(): self}
	zones := map[core.ZoneName]bool{self.Zone: true}
	names := []string{self.Ref.String()}
	for _, peer := range peers {
		zones[peer.Zone] = true
		if peer.Usable() && peer.Zone == self.Zone && peer.Ref != self.Ref {
			candidates[peer.Ref.String()] = peer
			names = append(names, peer.Ref.String())
		}
	}
	ranked := make([]core.Peer, 0, len(names))
	for _, name := range rendezvous.Rank(string(id), names) {
		ranked = append(ranked, candidates[name])
	}
	return ranked, FleetSize{Zones: len(zones), Hosts: len(names)}
}

// RecallTargets returns the holders to recall tokens from on behalf of
// another holder, those with the most unspent tokens first.
func RecallTargets(shares []Share, to core.ShareID) []core.HostRef {
	spare := slices.DeleteFunc(slices.Clone(shares), func(share Share) bool {
		return share.State == Released || share.Unspent() <= 0 || share.ID == to || share.ID.Budget != to.Budget
	})
	slices.SortFunc(spare, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Unspent(), a.Unspent()), cmp.Compare(a.ID.Holder.String(), b.ID.Holder.String()))
	})
	targets := make([]core.HostRef, 0, maxRecallTargets)
	for _, share := range spare[:min(maxRecallTargets, len(spare))] {
		targets = append(targets, share.ID.Holder)
	}
	return targets
}

// GrantsRecall reports whether a host gives tokens to a requester that recalls
// them. Of two hosts that both have waiting requests only one gives, so that
// they don't swap their tokens and then both refuse.
func GrantsRecall(waiting bool, self, requester core.HostRef) bool {
	return !waiting || requester.String() < self.String()
}
