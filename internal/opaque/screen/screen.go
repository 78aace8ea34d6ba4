// Package screen is the filter that refuses requests with a prompt part that
// crashes upstreams, before they reserve tokens.
package screen

import (
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
)

// Apply returns a *gateway.Refusal if a part of the request's prompt is held. A
// part whose hold has ended passes; the director decides which host tries it. The
// delay is not limited to what callers respect: no earlier retry would be served.
func Apply(matched *match.Matched, now time.Time) error {
	hold, found := matched.ConfigState.Holds.Find(matched.Request.Prompt)
	if !found || !now.Before(hold.Until) {
		return nil
	}
	return gateway.Refuse(gateway.Quarantined, hold.Until.Sub(now), "%s", Reason(hold))
}

// Reason tells the caller why a request with a held part is refused.
func Reason(hold quarantine.Hold) string {
	return fmt.Sprintf("prompt part %s is quarantined: %d upstreams crashed on requests with it, in %d crashes; change the prompt, or retry later",
		hold.Part, hold.Upstreams, hold.Crashes)
}
