package upstream

import "strings"

// arenaBytes holds the texts of some hundred tokens. A text that is kept keeps
// its whole arena, so the size also bounds what a kept text costs.
const arenaBytes = 2 << 10

// textArena makes strings that share an allocation, as the texts of tokens are
// a few bytes long and a host relays 33,000 of them a second. It belongs to
// one stream.
type textArena struct {
	// builder never grows beyond its capacity, so the strings taken from it
	// stay as they are.
	builder strings.Builder
}

// reserve makes room for a text of up to size bytes and returns its start.
func (a *textArena) reserve(size int) int {
	if a.builder.Cap()-a.builder.Len() < size {
		a.builder = strings.Builder{}
		a.builder.Grow(max(arenaBytes, size))
	}
	return a.builder.Len()
}

// since returns what was written from a start on.
func (a *textArena) since(start int) string {
	return a.builder.String()[start:]
}
