package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/peridotreel/peridotreel/internal/core"
)

// suspect is a part with the crashes that speak against it.
type suspect struct {
	part  string
	depth int
	// answered is true if a request with the part was answered before.
	answered  bool
	crashes   int
	upstreams int
	latest    time.Time
}

// decide derives the held parts from the crashes. It reports whether they changed.
//
// A request that crashes an upstream has innocent parts too, and breaks the
// requests beside it. So the part that explains the most crashes is held first,
// and the crashes that it explains no longer count against others.
func (r *Registry) decide() bool {
	holds := make(Holds)
	remaining := slices.Clone(r.evidence)
	for len(holds) < maxHeld {
		worst, found := r.worstSuspect(remaining)
		if !found {
			break
		}
		holds[worst.part] = Hold{
			Part: worst.part, Until: worst.latest.Add(holdTime(worst.crashes)), Crashes: worst.crashes, Upstreams: worst.upstreams,
		}
		explained := slices.DeleteFunc(slices.Clone(remaining), func(c evidence) bool { return c.part != worst.part })
		remaining = slices.DeleteFunc(remaining, func(c evidence) bool {
			return slices.ContainsFunc(explained, func(e evidence) bool { return sameCrash(c, e) })
		})
	}
	changed := len(holds) != len(r.holds)
	for part := range holds {
		if _, held := r.holds[part]; !held {
			changed = true
		}
	}
	for part := range r.trials {
		if _, held := holds[part]; !held {
			delete(r.trials, part)
		}
	}
	r.holds = holds
	return changed
}

// worstSuspect returns the part with the most crashes, if they suffice to hold it.
// Of equals, it prefers a part that was never answered, then the deepest: holding
// that one affects the fewest requests.
func (r *Registry) worstSuspect(crashes []evidence) (suspect, bool) {
	byPart := make(map[string][]evidence)
	for _, c := range crashes {
		byPart[c.part] = append(byPart[c.part], c)
	}
	var suspects []suspect
	for part, records := range byPart {
		counted, upstreams, sameZone := r.count(records)
		needed := crossZoneCrashesToHold
		if sameZone {
			needed = crashesToHold
		}
		if counted < needed || upstreams < upstreamsToHold {
			continue
		}
		_, answered := r.answers[part]
		suspects = append(suspects, suspect{
			part: part, depth: records[0].depth, answered: answered, crashes: counted, upstreams: upstreams, latest: records[len(records)-1].at,
		})
	}
	if len(suspects) == 0 {
		return suspect{}, false
	}
	rank := func(s suspect) int {
		if s.answered {
			return 1
		}
		return 0
	}
	return slices.MinFunc(suspects, func(a, b suspect) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(rank(a), rank(b)),
			cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part))
	}), true
}

// count sorts the records of one part by time and returns how many separate
// crashes they are about, of how many different upstreams, and whether one was
// observed from the upstream's zone. Of what one other host reports, fewer
// than crashesToHold count, so that a host that is wrong can't have a part held
// everywhere that other requests share. A request that is sent again comes at the same
// host, so that its last part is held by that host's word.
func (r *Registry) count(records []evidence) (crashes, upstreams int, sameZone bool) {
	slices.SortFunc(records, func(a, b evidence) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.origin, b.origin), cmp.Compare(a.upstream, b.upstream))
	})
	var counted []evidence
	crashed := make(map[core.UpstreamID]bool)
	byOrigin := make(map[core.HostID]int)
	for _, c := range records {
		if c.origin != r.self && !c.own && byOrigin[c.origin] >= crashesToHold-1 {
			continue
		}
		same := slices.ContainsFunc(counted, func(known evidence) bool {
			return sameCrash(known, c) || c.at.Sub(known.at).Abs() < simultaneousWindow
		})
		if same {
			continue
		}
		byOrigin[c.origin]++
		crashed[c.upstream] = true
		sameZone = sameZone || c.sameZone
		counted = append(counted, c)
	}
	return len(counted), len(crashed), sameZone
}

// holdTime is how long a part is held after its latest crash.
func holdTime(crashes int) time.Duration {
	held := holdAfterCrash
	for range crashes - crashesToHold {
		if held *= 2; held >= maxHold {
			return maxHold
		}
	}
	return held
}
