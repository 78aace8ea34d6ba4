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
	// maxSavedPerPart is the number of the latest crashes of one part that are kept:
	// with as many the longest hold is reached.
	maxSavedPerPart = crashesToHold + 3
)

// Repeated reports whether a part was in flight at crashes of several upstreams.
func (r *Registry) Repeated() bool {
	upstreams := make(map[string]core.UpstreamID)
	for _, c := range r.evidence {
		if other, found := upstreams[c.part]; found && other != c.upstream {
			return true
		}
		upstreams[c.part] = c.upstream
	}
	return false
}

// Suspicions returns the crashes that would be missing if all hosts were killed at
// once: those of held parts first, then those of the parts with the most crashes. The
// result is bounded by maxSaved.
func (r *Registry) Suspicions(now time.Time) []CrashReport {
	byPart := make(map[string][]evidence)
	for _, c := range r.evidence {
		byPart[c.part] = append(byPart[c.part], c)
	}
	parts := make([]string, 0, len(byPart))
	for part, crashes := range byPart {
		slices.SortFunc(crashes, func(a, b evidence) int { return b.at.Compare(a.at) })
		byPart[part] = crashes[:min(len(crashes), maxSavedPerPart)]
		parts = append(parts, part)
	}
	rank := func(part string) int {
		if _, held := r.holds[part]; held {
			return 0
		}
		return 1
	}
	slices.SortFunc(parts, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(len(byPart[b]), len(byPart[a])),
			byPart[b][0].at.Compare(byPart[a][0].at), cmp.Compare(a, b))
	})
	var saved []CrashReport
	for _, part := range parts {
		for _, c := range byPart[part] {
			if len(saved) < maxSaved {
				saved = append(saved, c.report(now))
			}
		}
	}
	return saved
}

// MergeSaved adds the crashes that the store keeps. It reports whether the held parts
// changed. Hosts read them from the store, so that they are not passed on.
func (r *Registry) MergeSaved(saved []CrashReport, now time.Time) bool {
	changed := false
	for _, c := range saved[:min(len(saved), maxSaved)] {
		if c.Age < 0 || c.Age > crashTTL || c.Origin == "" {
			continue
		}
		changed = r.addCrash(evidence{
			part: c.Part, depth: c.Depth, own: c.Own, upstream: c.Upstream, at: now.Add(-c.Age), origin: c.Origin, sameZone: c.SameZone,
		}, now) || changed
	}
	return changed && r.decide()
}

// SameSuspicions reports whether two lists are about the same crashes, whose ages may
// differ.
func SameSuspicions(a, b []CrashReport) bool {
	type key struct{ part, upstream, origin string }
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
