package budget

import (
	"cmp"
	"slices"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/decide/rendezvous"
)

// recalledHolders bounds the calls of one recall. The largest unspent shares
// come first, so more holders would add little.
const recalledHolders = 16

// Owners ranks the hosts of the zone of self that may serve draws on a
// budget, the owner first and self among them, and counts the fleet. Zones
// whose hosts are gone still count, so that a partition does not let the
// zones on either side draw larger parts of what remains.
func Owners(id core.BudgetID, self core.Peer, peers []core.Peer) ([]core.Peer, Fleet) {
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
	return ranked, Fleet{Zones: len(zones), Hosts: len(names)}
}

// RecallTargets returns the holders to ask for tokens on behalf of another,
// those with the most unspent tokens first.
func RecallTargets(shares []Share, to core.ShareID) []core.HostRef {
	spare := slices.DeleteFunc(slices.Clone(shares), func(share Share) bool {
		return share.State == Released || share.Unspent() <= 0 || share.ID == to || share.ID.Budget != to.Budget
	})
	slices.SortFunc(spare, func(a, b Share) int {
		return cmp.Or(cmp.Compare(b.Unspent(), a.Unspent()), cmp.Compare(a.ID.Holder.String(), b.ID.Holder.String()))
	})
	targets := make([]core.HostRef, 0, recalledHolders)
	for _, share := range spare[:min(recalledHolders, len(spare))] {
		targets = append(targets, share.ID.Holder)
	}
	return targets
}

// Yields reports whether a host gives tokens to a requester. Of two hosts
// that both have requests waiting only one gives, so that they don't swap
// their tokens and then both refuse.
func Yields(waiting bool, self, requester core.HostRef) bool {
	return !waiting || requester.String() < self.String()
}
