// Package rendezvous ranks nodes for a key by rendezvous hashing (highest
// random weight), so that hosts with the same list of nodes agree without
// communicating, and the loss of a node moves only the keys for which it ranked
// first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a node for a key.
func Weight(key, node string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Rank returns the nodes ordered by descending weight for the key; nodes with
// equal weight are ordered by name.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}
