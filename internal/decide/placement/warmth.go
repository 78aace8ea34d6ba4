package placement

import (
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
	"github.com/peridotreel/peridotreel/internal/gateway"
)

const (
	// warmAge is how long a part is believed to stay in an upstream's cache
	// after its last use.
	warmAge = 30 * time.Second
	// maxWarm bounds the remembered parts; the oldest are dropped.
	maxWarm = 8192
)

// place names a part of prompts at an upstream.
type place struct {
	upstream core.UpstreamID
	part     string
}

// warmth remembers which shared parts this host has sent where.
type warmth struct {
	used map[place]time.Time
}

func newWarmth() *warmth { return &warmth{used: make(map[place]time.Time)} }

// touch records that a prompt was sent to an upstream.
func (w *warmth) touch(id core.UpstreamID, prompt *gateway.Prompt, now time.Time) {
	if len(w.used) > maxWarm {
		w.drop(now)
	}
	for _, part := range prompt.Parts {
		w.used[place{id, part.ID}] = now
	}
}

// drop removes old entries, and all if none is old.
func (w *warmth) drop(now time.Time) {
	for key, at := range w.used {
		if now.Sub(at) > warmAge {
			delete(w.used, key)
		}
	}
	if len(w.used) > maxWarm {
		clear(w.used)
	}
}

// cached returns the tokens at the start of a prompt that an upstream is
// believed to keep.
func (w *warmth) cached(id core.UpstreamID, prompt *gateway.Prompt, now time.Time) core.Tokens {
	var tokens core.Tokens
	for _, part := range prompt.Parts {
		at, found := w.used[place{id, part.ID}]
		if !found || now.Sub(at) > warmAge {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// forget drops what an upstream kept.
func (w *warmth) forget(id core.UpstreamID) {
	for key := range w.used {
		if key.upstream == id {
			delete(w.used, key)
		}
	}
}
