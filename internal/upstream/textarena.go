package upstream

import "strings"

// arenaBytes is enough for the texts of some hundred tokens. A text that stays
// referenced keeps its whole arena in memory, so a larger size would waste more.
const arenaBytes = 2 << 10

// textArena allocates strings in blocks, because the texts of tokens are a few
// bytes long and a host relays 33,000 of them per second. Each stream has its
// own arena.
type textArena struct {
	// builder is never written beyond its capacity, so the strings taken from
	// it stay valid.
	builder strings.Builder
}

// reserve makes room for a text of at most size bytes and returns the position
// at which it starts.
func (a *textArena) reserve(size int) int {
	if a.builder.Cap()-a.builder.Len() < size {
		a.builder = strings.Builder{}
		a.builder.Grow(max(arenaBytes, size))
	}
	return a.builder.Len()
}

// since returns the text written since position start.
func (a *textArena) since(start int) string {
	return a.builder.String()[start:]
}
