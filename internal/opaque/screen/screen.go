// Package screen is the filter that refuses requests that crash upstreams, before
// they reserve tokens.
package screen

import (
	"fmt"
	"time"

	"github.com/peridotreel/peridotreel/internal/decide/quarantine"
	"github.com/peridotreel/peridotreel/internal/gateway"
	"github.com/peridotreel/peridotreel/internal/opaque/match"
)

// Apply returns a *gateway.Refusal if a trait of the request is held. One whose hold
// has ended passes; the director decides which host tries it. The
// delay is not limited to what callers respect: no earlier retry would be served.
func Apply(matched *match.Matched, now time.Time) error {
	hold, found := matched.ConfigState.Holds.Find(matched.Traits)
	if !found || !now.Before(hold.Until) {
		return nil
	}
	return gateway.Refuse(gateway.Quarantined, hold.Until.Sub(now), "%s", Reason(hold, matched.Fingerprint))
}

// Reason tells the caller why a request with a held trait is refused.
func Reason(hold quarantine.Hold, fingerprint string) string {
	if hold.Trait == fingerprint {
		return fmt.Sprintf("the request is quarantined: %d upstreams crashed while they ran it, in %d crashes; change the request, or retry later",
			hold.Upstreams, hold.Crashes)
	}
	return fmt.Sprintf("prompt part %s is quarantined: %d upstreams crashed on requests with it, in %d crashes; change the prompt, or retry later",
		hold.Trait, hold.Upstreams, hold.Crashes)
}
