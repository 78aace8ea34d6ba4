package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

const (
	// maxSaved bounds the crashes that are kept in the store for all hosts. A crash
	// takes about 120 bytes there.
	maxSaved = 128
	// maxSavedPerTrait is the number of the latest crashes of one trait that are kept:
	// with as many the longest hold is reached.
	maxSavedPerTrait = crashesToHold + 3
)

// Repeated reports whether a trait was in flight at crashes of several upstreams.
func (r *Registry) Repeated() bool {
	upstreams := make(map[string]core.UpstreamID)
	for _, c := range r.evidence {
		if other, found := upstreams[c.trait.ID]; found && other != c.upstream {
			return true
		}
		upstreams[c.trait.ID] = c.upstream
	}
	return false
}

// Suspicions returns the crashes that would be missing if all hosts were killed at
// once: those of held traits first, then those of the traits with the most crashes. The
// result is bounded by maxSaved.
func (r *Registry) Suspicions(now time.Time) []CrashReport {
	byTrait := make(map[string][]evidence)
	for _, c := range r.evidence {
		byTrait[c.trait.ID] = append(byTrait[c.trait.ID], c)
	}
	traits := make([]string, 0, len(byTrait))
	for trait, crashes := range byTrait {
		slices.SortFunc(crashes, func(a, b evidence) int { return b.at.Compare(a.at) })
		byTrait[trait] = crashes[:min(len(crashes), maxSavedPerTrait)]
		traits = append(traits, trait)
	}
	rank := func(trait string) int {
		if _, held := r.holds[trait]; held {
			return 0
		}
		return 1
	}
	slices.SortFunc(traits, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(len(byTrait[b]), len(byTrait[a])),
			byTrait[b][0].at.Compare(byTrait[a][0].at), cmp.Compare(a, b))
	})
	var saved []CrashReport
	for _, trait := range traits {
		for _, c := range byTrait[trait] {
			if len(saved) < maxSaved {
				saved = append(saved, c.report(now))
			}
		}
	}
	return saved
}

// MergeSaved adds the crashes that the store keeps. It reports whether the held traits
// changed. Hosts read them from the store, so that they are not passed on.
func (r *Registry) MergeSaved(saved []CrashReport, now time.Time) bool {
	changed := false
	for _, c := range saved[:min(len(saved), maxSaved)] {
		if c.Age < 0 || c.Age > crashTTL || c.Origin == "" {
			continue
		}
		changed = r.addCrash(evidence{
			trait: c.trait(), upstream: c.Upstream, at: now.Add(-c.Age), origin: c.Origin, sameZone: c.SameZone, repeat: c.Repeat,
		}, now) || changed
	}
	return changed && r.decide()
}

// SameSuspicions reports whether two lists are about the same crashes, whose ages may
// differ.
func SameSuspicions(a, b []CrashReport) bool {
	type key struct{ trait, upstream, origin string }
	count := make(map[key]int)
	for _, c := range a {
		count[key{c.Part, string(c.Upstream), string(c.Origin)}]++
	}
	for _, c := range b {
		count[key{c.Part, string(c.Upstream), string(c.Origin)}]--
	}
	for _, n := range count {
		if n != 0 {
			return false
		}
	}
	return true
}
